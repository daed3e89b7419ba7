"""State of the shard owner on one host."""

import random

from msgspec import Struct, field

from marjorambridge.configuration.models import Configuration
from marjorambridge.core.view import View
from marjorambridge.limits.exceptions import InvalidSettingsError
from marjorambridge.limits.messages import ShardHandover
from marjorambridge.limits.settings import LimitsSettings
from marjorambridge.limits.shard import Shard
from marjorambridge.orders.messages import EndpointSummary


class HandoverParts(Struct):
    """The received parts of one handover.

    Attributes
    ----------
    received : dict
        Parts by number.
    """

    epoch: int
    parts: int
    received: dict[int, ShardHandover] = field(default_factory=dict)


class LimitsState(Struct):
    """The shards that this host owns, and the configuration and view that assign them.

    Attributes
    ----------
    fresh_until : float
        Monotonic time in seconds until which this host may grant.
    pending_handovers : dict
        Handovers of each shard, by sender, that lack parts or arrived before their view.
    host_incarnations : dict
        Latest known incarnation of each host.
    host_restarts : dict
        Time at which the restart of a host was detected; endpoints that are added later also get
        the cancel for its earlier processes.
    absent_since : dict
        Time since which a known host has been missing from the view; its incarnation is kept
        until none of its attempts can be left.
    last_tick : float
        Time of the last tick, to detect that the process was frozen.
    expire_from : float
        Time before which no permit expires, because renewals may be unread after a freeze of the
        process.
    is_timer_set : bool
        Whether the timer of the tick is set.
    control_leader : str
        Leader of log group 0, which issues orders; empty if unknown.
    last_inventory_at : float
        Time of the last inventory report to the leader.
    reported_inventory, reported_demand : dict
        Last reported values: time and summary of each endpoint, waiting requests by service.
    """

    host: str
    region: str
    settings: LimitsSettings
    rng: random.Random
    configuration: Configuration | None = None
    configuration_index: int = 0
    view: View | None = None
    fresh_until: float = float("-inf")
    shards: dict[str, Shard] = field(default_factory=dict)
    pending_handovers: dict[str, dict[str, HandoverParts]] = field(default_factory=dict)
    host_incarnations: dict[str, int] = field(default_factory=dict)
    host_restarts: dict[str, float] = field(default_factory=dict)
    absent_since: dict[str, float] = field(default_factory=dict)
    last_tick: float = float("-inf")
    expire_from: float = float("-inf")
    is_timer_set: bool = False
    control_leader: str = ""
    last_inventory_at: float = float("-inf")
    reported_inventory: dict[str, tuple[float, EndpointSummary]] = field(default_factory=dict)
    reported_demand: dict[str, int] = field(default_factory=dict)


def create_state(
    host: str, region: str, settings: LimitsSettings | None = None, seed: int = 0
) -> LimitsState:
    """Create the state of a host that owns no shard yet.

    Parameters
    ----------
    host, region : str
        Name of this host and the region of its zone.
    settings : LimitsSettings, optional
        Defaults of `conf.defaults` if not given.
    seed : int
        Seed of the random numbers, so that a replay makes the same choices.

    Raises
    ------
    InvalidSettingsError
        If a grant to a queued request could come after its start window.
    """
    settings = settings or LimitsSettings()
    if 2 * settings.queue_renewal_interval_seconds >= settings.start_window_seconds:
        raise InvalidSettingsError(
            "lower queue_renewal_interval_seconds below half of start_window_seconds"
        )
    return LimitsState(host, region, settings, random.Random(seed))


def is_fresh(state: LimitsState, now: float) -> bool:
    """Return whether the configuration and the view are confirmed to be current."""
    return now < state.fresh_until
