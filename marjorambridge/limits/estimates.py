"""Estimate the durations of attempts from measured rates."""

from msgspec import Struct

RATE_SMOOTHING_FACTOR = 0.1

# Values until the first attempts have ended; the second is the target of 51 ms between tokens.
INITIAL_PREFILL_RATE = 8_000.0
INITIAL_SECONDS_PER_OUTPUT_TOKEN = 0.051
INITIAL_HOLD_SECONDS = 1.0

# The time of a shorter prefill is mostly the fixed cost of a request.
MINIMUM_RATE_TOKENS = 512


# The margin covers the usual delay of the start and one chunk of a longer prefill.
FIRST_TOKEN_MARGIN_SECONDS = 0.1
FIRST_TOKEN_MARGIN_FACTOR = 1.5


class Rates(Struct):
    """Moving averages of the rates of a shard.

    Attributes
    ----------
    prefill_rate : float
        Prefill tokens per second.
    seconds_per_output_token : float
        Seconds from the first token to the end, per reserved output token.
    hold_seconds : float
        Seconds from the grant to the end, of all attempts.
    """

    prefill_rate: float = INITIAL_PREFILL_RATE
    seconds_per_output_token: float = INITIAL_SECONDS_PER_OUTPUT_TOKEN
    hold_seconds: float = INITIAL_HOLD_SECONDS


def record_attempt(
    rates: Rates, prefill: int, output_tokens: int, first_token: float, hold_seconds: float
) -> None:
    """Update the averages with an attempt that ended with a whole answer.

    Parameters
    ----------
    prefill : int
        Prefill tokens processed until the first token, with those of earlier prompts.
    first_token : float
        Seconds from the start to the first token; negative if unknown.
    hold_seconds : float
        Seconds from the grant to the end.
    """
    rates.hold_seconds += RATE_SMOOTHING_FACTOR * (hold_seconds - rates.hold_seconds)
    if first_token > 0 and prefill >= MINIMUM_RATE_TOKENS:
        rates.prefill_rate += RATE_SMOOTHING_FACTOR * (prefill / first_token - rates.prefill_rate)
    if first_token >= 0 and output_tokens > 0:
        seconds_per_token = max(0.0, hold_seconds - first_token) / output_tokens
        rates.seconds_per_output_token += RATE_SMOOTHING_FACTOR * (
            seconds_per_token - rates.seconds_per_output_token
        )


def estimate_duration(rates: Rates, prefill: int, output_tokens: int) -> float:
    """Return the expected seconds from the grant to the end of an attempt.

    Examples
    --------
    >>> estimate_duration(Rates(1000.0, 0.1, 2.0), 5000, 10)
    6.0
    >>> estimate_duration(Rates(1000.0, 0.1, 2.0), 0, 0)
    2.0
    """
    if prefill == 0 and output_tokens == 0:
        return rates.hold_seconds
    return prefill / rates.prefill_rate + output_tokens * rates.seconds_per_output_token


def estimate_first_token_seconds(rates: Rates, prefill: int) -> float:
    """Return the seconds after which the prefill of a short prompt has most probably ended.

    To save messages, holders report the first token of a short prompt only with the next renewal.
    Until then, the endpoint would count as busy with a prefill that has ended.

    Examples
    --------
    >>> estimate_first_token_seconds(Rates(10_000.0), 1_000)
    0.25
    """
    return FIRST_TOKEN_MARGIN_SECONDS + FIRST_TOKEN_MARGIN_FACTOR * prefill / rates.prefill_rate
