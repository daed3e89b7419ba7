"""Limits of callers and of connections to endpoints."""

from msgspec import Struct

from marjorambridge.conf import defaults
from marjorambridge.http.servers import MAX_HEADER_BYTES


class CallerSettings(Struct):
    """Limits of requests from callers and of announcements.

    Attributes
    ----------
    max_header_bytes : int
        Names and values of all headers; the parser of the server only limits incomplete headers.
    max_buffered_bytes : int
        Bytes of the bodies of all requests in progress above which new requests are answered with
        "not run".
    announcement_token_hashes : tuple of str
        Hexadecimal SHA-256 digests of the tokens that announcing endpoints must send; empty if
        they need none.
    body_idle_timeout_seconds, body_timeout_seconds : float
        Longest pause between two parts of a body, and longest time for a whole body.
    send_timeout_seconds : float
        Longest time that a write may wait while a caller reads nothing; a caller that reads slowly
        may take longer for it.
    """

    max_header_bytes: int = MAX_HEADER_BYTES
    max_body_bytes: int = defaults.MAX_BODY_BYTES
    max_announcement_bytes: int = 512 * 1024
    announcement_token_hashes: tuple[str, ...] = ()
    max_buffered_bytes: int = 512 * 1024 * 1024
    max_answer_bytes: int = defaults.MAX_BODY_BYTES
    body_idle_timeout_seconds: float = 15.0
    body_timeout_seconds: float = 120.0
    send_timeout_seconds: float = 30.0


class EndpointSettings(Struct):
    """Limits of the connections to endpoints.

    Attributes
    ----------
    max_connections : int
        Most connections of attempts to one endpoint address; the pool has one more for cancels.
    keepalive_seconds : float
        Time that an unused connection is kept open. It is shorter than the idle time of usual
        servers (5 s and more), because a request on a connection that the endpoint is closing
        ends with an unknown outcome.
    pool_idle_timeout_seconds : float
        Time after which the pool of an unused address is closed.
    cancel_timeout_seconds : float
        Longest time for one cancel; the reducer repeats it.
    part_expiry_seconds : float
        Time after which a reserved part of a group expires unless the lead renews it.
    order_timeout_seconds : float
        Longest time to wait for the answer to an order.
    """

    max_connections: int = 256
    keepalive_seconds: float = 2.0
    pool_idle_timeout_seconds: float = 30.0
    cancel_timeout_seconds: float = 1.0
    part_expiry_seconds: float = 5.0
    order_timeout_seconds: float = 5.0
