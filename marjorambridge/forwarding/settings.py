"""Settings of forwarding."""

from msgspec import Struct

from marjorambridge.conf import defaults
from marjorambridge.scheduling.activation import SchedulingMode


class ForwardingSettings(Struct, frozen=True):
    """Bounds that a deployment sets, and the name and zone of this host.

    Attributes
    ----------
    host : str
        Name of this host at the other hosts and the replicas.
    retry_ratio : float
        Retries of all hosts together, as a share of the requests in a window.
    retry_window_seconds : float
        Length of the window.
    retry_allowance : float
        Further retries that are allowed in a window.
    cold_overrun, cold_allowance : float
        All hosts together may send a cold endpoint its tolerated rate times `cold_overrun` plus
        `cold_allowance` requests per second.
    min_request_crashes : int
        Engines that a request crashes before it is refused by all hosts; the same at all hosts.
    near_zones : frozenset of str
        Zones of the region of this host; empty if there is only one region.
    scheduling : SchedulingMode
        Which services are planned.
    """

    host: str
    zone: str
    retry_ratio: float = defaults.FORWARD_RETRY_RATIO
    retry_window_seconds: float = defaults.FORWARD_RETRY_WINDOW_SECONDS
    retry_allowance: float = defaults.FORWARD_RETRY_ALLOWANCE
    cold_overrun: float = 1.0
    cold_allowance: float = 0.0
    min_request_crashes: int = defaults.MIN_REQUEST_CRASHES
    near_zones: frozenset[str] = frozenset()
    scheduling: SchedulingMode = SchedulingMode.AUTO
