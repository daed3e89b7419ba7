"""Hold what a host knows about the endpoints that it sends requests to."""

import math
import random
from collections import deque

from msgspec import Struct, field

from marjorambridge.conf import defaults
from marjorambridge.forwarding.settings import ForwardingSettings
from marjorambridge.forwarding.thresholds import Thresholds
from marjorambridge.manifests.matching import RouteTable

# Name under which an endpoint holds what was told of all other hosts at once.
OTHER_HOSTS_TOTAL = "total"


class Load(Struct):
    """Count the work that one host has at one endpoint.

    Attributes
    ----------
    requests : int
        Requests that wait or run.
    reads : int
        Prompts that are not read yet.
    prefill_seconds : float
        Time that the endpoint needs to read them, as of `as_of`.
    kv_tokens : int
        Memory in tokens that the requests need at their end.
    pauses : list of float
        Longest pause in seconds that each of the requests bears between two events.
    as_of : float
        Monotonic time in seconds.
    """

    requests: int = 0
    reads: int = 0
    prefill_seconds: float = 0.0
    kv_tokens: int = 0
    pause_limits: list[float] = field(default_factory=list)
    as_of: float = 0.0


class FailureReport(Struct):
    """Hold what another host told about failures of an endpoint.

    Attributes
    ----------
    failures : int
        Failures in a row, as the other host counts them.
    avoid_until : float
        Monotonic time in seconds until which the other host prefers other endpoints.
    hosts : int
        How many hosts the report is about.
    received_at : float
        Monotonic time in seconds when it came.
    """

    failures: int
    avoid_until: float
    hosts: int = 1
    received_at: float = 0.0


class Endpoint(Struct):
    """Hold what this host knows about one incarnation of an endpoint.

    Attributes
    ----------
    silent : bool
        Whether the endpoint stopped reporting to the replicas.
    leaving, signalled_leaving : bool
        Whether it leaves for good, and whether a host learned so from an answer of it.
    gone : bool
        Whether another endpoint answered at its address.
    declines_until : float
        Monotonic time in seconds until which it asked this host for nothing more.
    order : int
        Place in an order of all endpoints on which all hosts agree.
    key : int
        Short form of the name in messages; a hash of 31 bits.
    failures : int
        Failures since the last success, those that other hosts reported included.
    avoid_until : float
        Monotonic time in seconds until which other endpoints are preferred.
    sent : deque of float
        Times of the last requests while cold.
    load : Load
        Work of this host.
    other_loads : dict of str to Load
        Work of the other hosts, by host.
    reports : dict of str to FailureReport
        What other hosts told about failures, by host.
    """

    name: str
    service: str
    zone: str
    address: str
    slots: int
    born: int
    leaving: bool = False
    signalled_leaving: bool = False
    silent: bool = False
    replaced: bool = False
    order: int = 0
    key: int = 0
    cold_until: float = 0.0
    failures: int = 0
    failed_at: float = 0.0
    avoid_until: float = 0.0
    declines_until: float = 0.0
    recent_sends: deque[float] = field(default_factory=deque)
    load: Load = field(default_factory=Load)
    other_loads: dict[str, Load] = field(default_factory=dict)
    reports: dict[str, FailureReport] = field(default_factory=dict)


class RetryWindow(Struct):
    """Hold the requests and the further attempts of one service in the last window.

    Attributes
    ----------
    requests, retries : deque of float
        Times in monotonic seconds.
    """

    requests: deque[float] = field(default_factory=deque)
    retries: deque[float] = field(default_factory=deque)


class ForwardingState(Struct):
    """Hold the state of forwarding on one host.

    Attributes
    ----------
    table : RouteTable or None
        None until the first manifest is known.
    thresholds : dict of str to Thresholds
        Bounds for reads at the engines of each service of the table.
    drained : frozenset of str
        Zones that get no new requests.
    restored : dict of str to int
        Zones that were taken back, with the index of the command that did it.
    hosts : dict of str to str
        All hosts that send requests to the endpoints, this one included, and their zones.
    started_at : float
        Monotonic time in seconds when this host started.
    loads_received_at : float
        Monotonic time in seconds when loads of other hosts were last told.
    saved_hints : dict of tuple of (str, int) to Endpoint
        Endpoints that the table lost and that had said something of themselves, by name and start,
        the oldest first.
    cold_senders : dict of tuple of (str, int) to bool
        Whether this host is among so many hosts that may send to a cold endpoint.
    cold_senders_hosts : dict of str to str
        Hosts from which `cold_senders` follows.
    """

    settings: ForwardingSettings
    generator: random.Random
    table: RouteTable | None = None
    thresholds: dict[str, Thresholds] = field(default_factory=dict)
    endpoints: dict[str, Endpoint] = field(default_factory=dict)
    by_service: dict[str, dict[str, Endpoint]] = field(default_factory=dict)
    by_key: dict[int, Endpoint] = field(default_factory=dict)
    drained: frozenset[str] = frozenset()
    restored: dict[str, int] = field(default_factory=dict)
    hosts: dict[str, str] = field(default_factory=dict)
    started_at: float = -math.inf
    loads_received_at: float = -math.inf
    retry_windows: dict[str, RetryWindow] = field(default_factory=dict)
    saved_hints: dict[tuple[str, int], Endpoint] = field(default_factory=dict)
    cold_senders: dict[tuple[str, int], bool] = field(default_factory=dict)
    cold_senders_hosts: dict[str, str] = field(default_factory=dict)


def create_state(
    settings: ForwardingSettings, seed: int, started_at: float = -math.inf
) -> ForwardingState:
    """Return the state of a host that knows nothing yet."""
    return ForwardingState(
        settings,
        random.Random(seed),
        hosts={settings.host: settings.zone},
        started_at=started_at,
    )


def is_starting(state: ForwardingState, now: float) -> bool:
    """Return whether this host has just started, so that it knows neither hosts nor their loads."""
    return now - state.started_at < defaults.STARTUP_SYNC_SECONDS
