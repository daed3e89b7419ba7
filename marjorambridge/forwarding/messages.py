"""Define the messages by which gateways tell one another about their load.

Endpoints are named by their keys and times are whole milliseconds, because the datagrams of a large
fleet would otherwise fill the links of the hosts that pass them on.
"""

from msgspec import Struct


class EndpointLoad(Struct):
    """Tell the work of one or of all hosts at an endpoint.

    Attributes
    ----------
    endpoint : int
        Key of the endpoint, see `marjorambridge.forwarding.state.Endpoint`.
    requests, reads, read_milliseconds, kv_tokens : int
        As in `marjorambridge.forwarding.state.Load`.
    pause_milliseconds : int
        Longest pause that all the requests bear; 0 if any.
    """

    endpoint: int
    requests: int
    reads: int
    read_milliseconds: int
    kv_tokens: int
    pause_milliseconds: int


class EndpointFailure(Struct):
    """Tell that hosts avoid an endpoint.

    Attributes
    ----------
    failures : int
        Failures in a row.
    avoided_milliseconds : int
        Time for which the endpoint is still avoided.
    hosts : int
        How many hosts avoid it.
    leaving : bool
        Whether the endpoint told one of them that it leaves.
    """

    endpoint: int
    failures: int
    avoided_milliseconds: int
    hosts: int
    leaving: bool = False


class LoadShare(Struct):
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


class LoadTotals(Struct):
    """Tell the hosts of a zone the work of all hosts at the endpoints where it changed.

    Attributes
    ----------
    host : str
        Host that collected it.
    """

    host: str
    loads: tuple[EndpointLoad, ...]
    failures: tuple[EndpointFailure, ...] = ()


class ZoneTotals(Struct):
    """Tell another zone the work of the hosts of one zone at the endpoints where it changed.

    Attributes
    ----------
    zone : str
        Zone of the hosts.
    is_first : bool
        Whether the receiver passes the message on to the other collecting hosts of its zone.
    """

    zone: str
    is_first: bool
    loads: tuple[EndpointLoad, ...]
    failures: tuple[EndpointFailure, ...] = ()
