"""Define the messages by which gateways tell one another about their load."""

from dataclasses import dataclass


@dataclass(slots=True)
class EndpointLoad:
    """Tell the work of a host at one endpoint; see `marjorambridge.forwarding.state.Load`.

    Attributes
    ----------
    pause_seconds : float
        Longest pause that all the requests bear.
    """

    endpoint: str
    requests: int
    reads: int
    read_seconds: float
    kv_tokens: int
    pause_seconds: float


@dataclass(slots=True)
class EndpointFailure:
    """Tell that a host avoids an endpoint, after how many failures and for how long."""

    endpoint: str
    failures: int
    avoided_seconds: float


@dataclass(slots=True)
class LoadShare:
    """Tell the work of a host at the endpoints where it changed, and which ones fail.

    Attributes
    ----------
    for_zone : bool
        Whether the receiver passes the message on to the hosts of its zone.
    """

    host: str
    for_zone: bool
    loads: tuple[EndpointLoad, ...]
    failures: tuple[EndpointFailure, ...] = ()


@dataclass(slots=True)
class LoadBatch:
    """Tell the hosts of a zone what several hosts said within a moment."""

    shares: tuple[LoadShare, ...]
