"""Define the effects by which an owner of shards cancels attempts on endpoints."""

from marjorambridge.core.effects import Effect
from marjorambridge.core.identity import AttemptId


class CancelOnEndpoint(Effect):
    """Cancel an attempt on an endpoint, which then frees its memory.

    The driver reports the endpoint's confirmation with `EndpointCancelled`; until then the reducer
    repeats the effect.
    """

    endpoint: str
    incarnation: int
    address: str
    attempt: AttemptId


class CancelHostOnEndpoint(Effect):
    """Cancel on an endpoint all attempts of a host up to `host_incarnation`."""

    endpoint: str
    incarnation: int
    address: str
    host: str
    host_incarnation: int
