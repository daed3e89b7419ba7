"""Learn from the outcomes of requests which endpoints to avoid.

Liveness answers may be wrong in either direction, and probes cost; outcomes cost nothing.
"""

from marjorambridge.conf import defaults
from marjorambridge.forwarding.state import Endpoint


def note_success(endpoint: Endpoint) -> None:
    """Trust an endpoint again."""
    endpoint.failures = 0
    endpoint.avoid_until = 0.0


def note_failure(endpoint: Endpoint, now: float) -> float:
    """Avoid an endpoint after a failure, longer after each further one; return for how long."""
    if now - endpoint.failed_at > defaults.FAILURE_MEMORY_SECONDS:
        endpoint.failures = 0
    endpoint.failures += 1
    endpoint.failed_at = now
    seconds = min(defaults.AVOID_SECONDS * 2 ** (endpoint.failures - 1), defaults.MAX_AVOID_SECONDS)
    endpoint.avoid_until = now + seconds
    return seconds


def note_gone(endpoint: Endpoint) -> None:
    """Note that another endpoint answered at the address."""
    endpoint.gone = True
