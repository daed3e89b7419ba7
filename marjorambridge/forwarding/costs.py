"""Estimates of prefill and decode times, from the published profile of an engine."""

import math

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


def compute_loaded_pass_seconds(profile: EngineProfile, requests: int, context: int) -> float:
    """Return the time of a pass with a number of requests and of tokens in their contexts.

    Examples
    --------
    >>> profile = EngineProfile(8, step_seconds=0.001, context_seconds=1e-9, stride_steps=50)
    >>> round(compute_loaded_pass_seconds(profile, 3, 200_000), 4)
    0.06
    """
    step = profile.step_seconds + min(requests, profile.slots) * profile.sequence_seconds
    return (step + context * profile.context_seconds) * profile.stride_steps


def estimate_write_seconds(profile: EngineProfile, answer_tokens: int) -> float:
    """Return the time in which a full engine writes an answer.

    A length that no engine can hold says nothing, as for `estimate_kv_tokens`.

    Examples
    --------
    >>> profile = EngineProfile(8, 90_000, step_seconds=0.001, stride_steps=50)
    >>> round(estimate_write_seconds(profile, 120), 3), estimate_write_seconds(profile, 2**31)
    (0.15, 0.0)
    """
    if 0 < profile.kv_tokens < answer_tokens:
        answer_tokens = min(profile.usual_answer_tokens, profile.kv_tokens)
    return math.ceil(answer_tokens / max(1, profile.stride_steps)) * compute_pass_seconds(profile)
