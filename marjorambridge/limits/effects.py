"""Define the effects that an owner of shards has on endpoints."""

from marjorambridge.core.effects import Effect
from marjorambridge.core.identity import AttemptId


class CancelOnEndpoint(Effect):
    """Tell an endpoint to stop an attempt and free its memory.

    The driver answers with `EndpointCancelled` when the endpoint has confirmed; without an
    answer the reducer asks again.
    """

    endpoint: str
    incarnation: int
    address: str
    attempt: AttemptId


class CancelHostOnEndpoint(Effect):
    """Tell an endpoint to stop all attempts of one incarnation of a host, and older ones."""

    endpoint: str
    incarnation: int
    address: str
    host: str
    host_incarnation: int
