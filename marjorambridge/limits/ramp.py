"""Limit the load of cold endpoints and detect endpoints that became cold unannounced."""

from msgspec import Struct

# Prefill limit of a warm endpoint, which has none of its own.
UNLIMITED_PREFILL = 1 << 60

# The fixed cost of a request dominates shorter prefills and would count as a slowdown.
MINIMUM_BASELINE_TOKENS = 512
BASELINE_SMOOTHING_FACTOR = 0.1


class Ramp(Struct):
    """Cold-start state of one incarnation of an endpoint.

    Attributes
    ----------
    concurrency : int
        Announced full concurrency.
    concurrency_now : int
        Announced present concurrency; 0 if the endpoint does not report it.
    limit : int
        Concurrency that the ramp allows.
    warm : bool
        Whether the ramp has ended.
    announced_cold : bool
        Whether the endpoint announces that it is cold.
    generation : int
        Number of restarts of the ramp; attempts granted before a restart do not change the limit
        when they end.
    baseline : float
        Warm seconds to first token per prefill token; 0 if unknown.
    slow_first_tokens : int
        Slow first tokens in a row.
    """

    concurrency: int = 1
    concurrency_now: int = 0
    limit: int = 1
    warm: bool = False
    announced_cold: bool = False
    generation: int = 0
    baseline: float = 0.0
    slow_first_tokens: int = 0


def restart_ramp(ramp: Ramp) -> None:
    """Apply the limit of a cold endpoint again; the warm baseline is kept."""
    ramp.limit = 1
    ramp.warm = False
    ramp.generation += 1
    ramp.slow_first_tokens = 0


def apply_announced_limits(
    ramp: Ramp, concurrency: int, concurrency_now: int, announced_cold: bool
) -> None:
    """Apply the limits that the endpoint announces."""
    if announced_cold and not ramp.announced_cold:
        restart_ramp(ramp)
    ramp.announced_cold = announced_cold
    ramp.concurrency = max(1, concurrency)
    ramp.concurrency_now = concurrency_now
    if ramp.warm:
        ramp.limit = ramp.concurrency
    ramp.limit = min(ramp.limit, ramp.concurrency)


def compute_limit(ramp: Ramp) -> int:
    """Return the number of requests that the endpoint may run at a time."""
    if ramp.concurrency_now > 0:
        return min(ramp.limit, ramp.concurrency_now)
    return ramp.limit


def compute_prefill_limit(ramp: Ramp, cold_prefill_tokens: int) -> int:
    """Return the prefill tokens that may be in progress on the endpoint."""
    if ramp.warm:
        return UNLIMITED_PREFILL
    return compute_limit(ramp) * cold_prefill_tokens


def record_attempt_end(ramp: Ramp, generation: int, succeeded: bool, endpoint_failed: bool) -> None:
    """Adjust the limit of a cold endpoint after the end of an attempt.

    Examples
    --------
    >>> ramp = Ramp(concurrency=4)
    >>> for _ in range(3):
    ...     record_attempt_end(ramp, 0, True, False)
    >>> ramp.limit, ramp.warm
    (4, True)
    """
    if ramp.warm or generation != ramp.generation:
        return
    if endpoint_failed:
        ramp.limit = max(1, ramp.limit // 2)
    elif succeeded:
        ramp.limit = min(ramp.concurrency, ramp.limit + 1)
        ramp.warm = ramp.limit >= ramp.concurrency and not ramp.announced_cold


def record_first_token(
    ramp: Ramp, generation: int, seconds: float, tokens: int, factor: float, slow_limit: int
) -> bool:
    """Compare a time to first token with the warm baseline; return whether the ramp restarted.

    Parameters
    ----------
    seconds : float
        Time from the start to the first token.
    tokens : int
        Uncached prefill tokens that the engine processed before it.
    factor : float
        Slowdown relative to the baseline that counts as slow.
    slow_limit : int
        Slow first tokens in a row that restart the ramp.
    """
    if not ramp.warm or generation != ramp.generation or seconds < 0:
        return False
    seconds_per_token = seconds / max(tokens, MINIMUM_BASELINE_TOKENS)
    if ramp.baseline == 0.0:
        ramp.baseline = seconds_per_token
        return False
    if seconds_per_token <= factor * ramp.baseline:
        ramp.slow_first_tokens = 0
        ramp.baseline += BASELINE_SMOOTHING_FACTOR * (seconds_per_token - ramp.baseline)
        return False
    ramp.slow_first_tokens += 1
    if ramp.slow_first_tokens < slow_limit:
        return False
    restart_ramp(ramp)
    return True
