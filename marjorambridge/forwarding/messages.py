"""Messages in which gateways exchange their loads.

Endpoints are identified by keys and times are whole milliseconds, because the datagrams of a large
fleet would otherwise fill the links of the hosts that relay them. For the same reason, fields that
only planned services use are missing where they say nothing.
"""

from msgspec import Struct


class EndpointLoad(Struct):
    """The load of one host or of several hosts at an endpoint.

    Attributes
    ----------
    endpoint : int
        Key of the endpoint, see `marjorambridge.forwarding.state.Endpoint`.
    requests, reads, read_milliseconds, kv_tokens : int
        The fields of `marjorambridge.forwarding.state.Load`; ``read`` means prefill.
    pause_milliseconds : int
        Longest pause that all the requests tolerate; 0 if it is not limited.
    helps : int or None
        Prefill shards that the endpoint computes for requests at other endpoints.
    write_milliseconds : int or None
        Time in which the requests write what is left of their answers, or in which a plain service
        does what is left of their work.
    """

    endpoint: int
    requests: int
    reads: int
    read_milliseconds: int
    kv_tokens: int
    pause_milliseconds: int
    helps: int | None = None
    write_milliseconds: int | None = None


class EndpointFailure(Struct):
    """The report that hosts avoid an endpoint.

    Attributes
    ----------
    failures : int
        Consecutive failures; the maximum over these hosts.
    avoided_milliseconds : int
        Time for which the endpoint is still avoided.
    hosts : int
        Number of hosts that avoid it.
    leaving : bool
        Whether the endpoint signalled to one of them that it is leaving.
    request_limit : float
        Requests per second that the endpoint takes from all hosts; negative for no limit.
    limit_age_milliseconds : int
        Time since the endpoint stated the limit, or that it has none; negative if it is unknown.
    declined_milliseconds : int or None
        Time for which the endpoint should not be asked to help with prompts.
    slowdown_percent : int or None
        Measured time of its work as a percentage of the expected time; None if it is unknown.
    """

    endpoint: int
    failures: int
    avoided_milliseconds: int
    hosts: int
    leaving: bool = False
    request_limit: float = -1.0
    limit_age_milliseconds: int = -1
    declined_milliseconds: int | None = None
    slowdown_percent: int | None = None


class WorkspaceUse(Struct):
    """What the requests of a workspace use of all endpoints.

    Attributes
    ----------
    workspace : int
        Hash of the name with 31 bits.
    milliseconds : int
        Time for which its running requests occupy endpoints.
    waiting : int
        Requests that wait for room on their hosts.
    """

    workspace: int
    milliseconds: int
    waiting: int = 0


class LoadShare(Struct):
    """The load of a host at the endpoints where it changed, and the failures that it reports.

    Attributes
    ----------
    for_zone : bool
        Whether the receiver relays the message to the hosts of its zone.
    """

    host: str
    for_zone: bool
    loads: tuple[EndpointLoad, ...]
    failures: tuple[EndpointFailure, ...] = ()
    workspaces: tuple[WorkspaceUse, ...] | None = None


class LoadTotals(Struct):
    """The load of all hosts at the endpoints where it changed, for the hosts of a zone.

    Attributes
    ----------
    host : str
        Host that aggregated it.
    """

    host: str
    loads: tuple[EndpointLoad, ...]
    failures: tuple[EndpointFailure, ...] = ()
    workspaces: tuple[WorkspaceUse, ...] | None = None


class ZoneTotals(Struct):
    """The load of one zone at the endpoints where it changed, for the hosts of another zone.

    Attributes
    ----------
    zone : str
        Zone of the hosts.
    is_first : bool
        Whether the receiver relays the message to the other aggregating hosts of its zone.
    """

    zone: str
    is_first: bool
    loads: tuple[EndpointLoad, ...]
    failures: tuple[EndpointFailure, ...] = ()
    workspaces: tuple[WorkspaceUse, ...] | None = None


class CrashEntry(Struct):
    """The crash of an engine; see `marjorambridge.forwarding.crashes.Crash`.

    Attributes
    ----------
    age_milliseconds : int
        Time since the crash.
    attempt_milliseconds : int
        Time from the start of the attempt to the crash; negative if it is unknown.
    """

    cause: int
    endpoint: int
    request: int
    age_milliseconds: int
    answered_before: bool
    attempt_milliseconds: int = -1


class CauseEntry(Struct):
    """A cause of crashes, and the time since it was blocked or last answered."""

    cause: int
    age_milliseconds: int


class CrashReport(Struct):
    """Crashes of engines, and the causes that a host blocks or knows to be innocent.

    Attributes
    ----------
    for_zone : bool
        Whether the receiver relays the message to the hosts of its zone.
    blocked, answered : tuple of CauseEntry
        Causes with which requests are refused, and suspects with which one was answered.
    """

    host: str
    for_zone: bool
    crashes: tuple[CrashEntry, ...] = ()
    blocked: tuple[CauseEntry, ...] = ()
    answered: tuple[CauseEntry, ...] = ()
