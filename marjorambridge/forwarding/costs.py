"""Estimates of prefill and decode times, from the published profile of an engine."""

from marjorambridge.core.numbers import YEAR_SECONDS
from marjorambridge.manifests.models import EngineProfile

# No caller waits for longer than a year, and sums of estimates stay within all messages.
MAX_PREFILL_SECONDS = YEAR_SECONDS


def compute_prefill_seconds(profile: EngineProfile, tokens: float, parts: int = 1) -> float:
    """Return the time in which an idle engine prefills one of `parts` equal shards of a prompt.

    Attention makes the time grow with the square of the prompt length; each prefill shard takes an
    equal share of it.

    Parameters
    ----------
    tokens : float
        Length of the whole prompt in tokens.
    parts : int
        Number of engines that share the prefill.

    Examples
    --------
    >>> profile = EngineProfile(read_tokens_per_second=177_000.0, pair_seconds=1.84e-10)
    >>> round(compute_prefill_seconds(profile, 154_000), 2)
    3.05
    """
    if profile.read_tokens_per_second <= 0:
        return 0.0
    alone = tokens / profile.read_tokens_per_second + profile.pair_seconds * tokens * tokens / 2
    return min(alone / parts, MAX_PREFILL_SECONDS)


def estimate_kv_tokens(profile: EngineProfile, prompt_tokens: int, answer_tokens: int) -> int:
    """Return the memory in tokens that a request is expected to need at its end.

    Parameters
    ----------
    answer_tokens : int
        Length of the answer that the caller names. Callers that set no limit name one that no
        engine can hold; such a number says nothing, and the usual length of an answer counts.

    Examples
    --------
    >>> profile = EngineProfile(kv_tokens=315_000, usual_answer_tokens=1_600)
    >>> estimate_kv_tokens(profile, 5_000, 80), estimate_kv_tokens(profile, 5_000, 2**31)
    (5080, 6600)
    """
    if 0 < profile.kv_tokens < answer_tokens:
        answer_tokens = min(profile.usual_answer_tokens, profile.kv_tokens)
    return prompt_tokens + answer_tokens


def compute_pass_seconds(profile: EngineProfile) -> float:
    """Return the time of a pass in which all slots of an engine produce one event each.

    Examples
    --------
    >>> profile = EngineProfile(slots=8, step_seconds=0.001, stride_steps=50)
    >>> compute_pass_seconds(profile)
    0.05
    """
    step = profile.step_seconds + profile.slots * profile.sequence_seconds
    return step * profile.stride_steps


def compute_answer_seconds(profile: EngineProfile, tokens: float) -> float:
    """Return the time in which an engine with all slots in use writes an answer.

    Examples
    --------
    >>> profile = EngineProfile(slots=8, step_seconds=0.001, stride_steps=50)
    >>> compute_answer_seconds(profile, 1_600)
    1.6
    """
    seconds = compute_pass_seconds(profile) * tokens / max(1, profile.stride_steps)
    return min(seconds, MAX_PREFILL_SECONDS)
