"""Model the settings of forwarding."""

from msgspec import Struct

from marjorambridge.conf import defaults


class ForwardingSettings(Struct, frozen=True):
    """Hold the bounds that a deployment sets, and this host's place.

    Attributes
    ----------
    host : str
        Name by which the other hosts and the replicas know this one.
    retry_ratio : float
        Attempts beyond the first, of all hosts together, as a share of the requests in a window.
    retry_window_seconds : float
        Length of that window.
    retry_allowance : float
        Attempts beyond the first that are allowed in a window besides.
    cold_overrun, cold_allowance : float
        A cold endpoint may get its tolerated rate times `cold_overrun`, and `cold_allowance`
        requests more, in a second from all hosts together.
    """

    host: str
    zone: str
    retry_ratio: float = defaults.FORWARD_RETRY_RATIO
    retry_window_seconds: float = defaults.FORWARD_RETRY_WINDOW_SECONDS
    retry_allowance: float = defaults.FORWARD_RETRY_ALLOWANCE
    cold_overrun: float = 1.0
    cold_allowance: float = 0.0
