"""Blocking of requests that crash the engines that run them.

There are two load patterns. In the first one, different requests share one part of their prompts,
and each engine that begins to answer one of them crashes. In the second one, a request crashes each
engine that begins to run it, and its caller repeats it. A crash looks like a failure of the engine,
so that each retry sends the cause to the next one, until none is left for other requests.

All requests at an engine break off when it crashes, and most of them are innocent. A cause is
innocent if any request with it was answered after the crash, and it is blocked only if several
engines crashed meanwhile. So hosts exchange crashes and answers; all hosts that know the same ones
decide alike.
"""

import math

import xxhash
from msgspec import Struct, field

from marjorambridge.conf import defaults
from marjorambridge.forwarding.blocks import count_tests, estimate_seconds_to_test, get_block_end
from marjorambridge.forwarding.causes import HASH_MASK, is_whole_request


class Crash(Struct, frozen=True):
    """The crash of an engine at which a request with a cause waited for its first event.

    Attributes
    ----------
    cause : int
        See `marjorambridge.forwarding.causes`.
    endpoint : int
        Hash of the incarnation of the engine.
    request : int
        Hash of the request and its prompt.
    at, began_at : float
        Monotonic times in seconds of the crash and of the start of the attempt.
    answered_before : bool
        Whether a host had seen an answer to a request with the cause before.
    """

    cause: int
    endpoint: int
    request: int
    at: float
    began_at: float
    answered_before: bool = False


class Suspect(Struct):
    """What a host knows about a cause since the last answer to a request with it.

    Attributes
    ----------
    crashes : dict of int to Crash
        Crashes by incarnation of the engine, the oldest first.
    blocked_at : float
        Monotonic time in seconds since which requests with the cause are refused; infinite if they
        are not.
    last_test : int
        Number of the last test in which this host sent a request to an engine nevertheless.
    """

    crashes: dict[int, Crash] = field(default_factory=dict)
    blocked_at: float = math.inf
    last_test: int = 0


class CrashHistory(Struct):
    """Crashes and answers, as far as this host knows them.

    Attributes
    ----------
    min_request_crashes : int
        Crashes with which a request as a whole is blocked.
    suspects : dict of int to Suspect
        By cause; the oldest are dropped when there are too many.
    answered_at : dict of int to float
        Monotonic time in seconds of the last answer to a request with a cause, the oldest first.
    new_blocks : list of int
        Causes that were blocked and not yet logged.
    """

    min_request_crashes: int = defaults.MIN_REQUEST_CRASHES
    suspects: dict[int, Suspect] = field(default_factory=dict)
    answered_at: dict[int, float] = field(default_factory=dict)
    new_blocks: list[int] = field(default_factory=list)


def record_crash(
    history: CrashHistory,
    causes: tuple[int, ...],
    request: int,
    incarnation: str,
    began_at: float,
    now: float,
) -> list[Crash]:
    """Record an attempt that broke off before its first event, and return the crashes to report.

    Causes that another request was answered with while the attempt was running are innocent.

    Parameters
    ----------
    causes : tuple of int
        See `marjorambridge.forwarding.causes.list_causes`.
    request : int
        See `marjorambridge.forwarding.causes.hash_prompt`.
    incarnation : str
        Name of the engine that distinguishes its starts.
    began_at : float
        Monotonic time in seconds at which the attempt began.
    """
    crashes = []
    for cause in causes:
        answered_at = history.answered_at.get(cause)
        if answered_at is not None and answered_at >= began_at:
            continue
        is_common = answered_at is not None
        crash = Crash(cause, _hash_text(incarnation), request, now, began_at, is_common)
        if store_crash(history, crash, now):
            crashes.append(crash)
    return crashes


def _hash_text(text: str) -> int:
    return xxhash.xxh3_64_intdigest(text.encode()) & HASH_MASK


def store_crash(history: CrashHistory, crash: Crash, now: float) -> bool:
    """Store a crash that this host or another one observed, and return whether it is new.

    A crash before the last answer to a request with the cause is ignored.
    """
    if is_answered_since(history, crash.cause, crash.at):
        return False
    suspect = _get_suspect(history, crash.cause)
    for endpoint, known in list(suspect.crashes.items()):
        if now - known.at > defaults.CRASH_EXPIRY_SECONDS:
            del suspect.crashes[endpoint]
    if crash.endpoint in suspect.crashes:
        return False
    suspect.crashes[crash.endpoint] = crash
    if math.isinf(suspect.blocked_at) and has_enough_evidence(history, crash.cause):
        suspect.blocked_at = now
        history.new_blocks.append(crash.cause)
    return True


def _get_suspect(history: CrashHistory, cause: int) -> Suspect:
    """Return a cause that is or becomes a suspect, in the place of the oldest one if necessary."""
    suspects = history.suspects
    if cause not in suspects:
        while len(suspects) >= defaults.MAX_SUSPECTS:
            unblocked = (other for other, item in suspects.items() if math.isinf(item.blocked_at))
            del suspects[next(unblocked, next(iter(suspects)))]
        suspects[cause] = Suspect()
    return suspects[cause]


def is_answered_since(history: CrashHistory, cause: int, at: float) -> bool:
    """Return whether this host knows an answer to a request with a cause at a time or later."""
    return history.answered_at.get(cause, -math.inf) >= at


def has_enough_evidence(history: CrashHistory, cause: int) -> bool:
    """Return whether chance is an unlikely cause of the crashes of a suspect.

    A part of prompts is blocked for crashes under several requests, a whole request for crashes at
    several moments, because the crashes of one moment may have one cause. Chance hits common
    causes most, which were answered before, so that these require more.
    """
    known = history.suspects[cause].crashes
    if len(known) < min(history.min_request_crashes, defaults.MIN_CRASHES_NEW_PART):
        return False
    crashes = list_unexplained_crashes(history, cause)
    is_common = any(crash.answered_before for crash in crashes)
    if is_whole_request(cause):
        factor = defaults.ANSWERED_REQUEST_CRASH_FACTOR if is_common else 1
        return count_moments(crashes) >= history.min_request_crashes * factor
    needed, seconds = (
        (defaults.MIN_CRASHES_ANSWERED_PART, defaults.MIN_CRASH_SPAN_ANSWERED_PART_SECONDS)
        if is_common
        else (defaults.MIN_CRASHES_NEW_PART, defaults.MIN_CRASH_SPAN_NEW_PART_SECONDS)
    )
    return (
        len(crashes) >= needed
        and len({crash.request for crash in crashes}) >= defaults.MIN_CRASH_REQUESTS
        and crashes[-1].at - crashes[0].at >= seconds
    )


def list_unexplained_crashes(history: CrashHistory, cause: int) -> list[Crash]:
    """Return the crashes of a suspect in order, without those that a blocked cause explains.

    A crash is explained if a blocked cause was present at the engine. The request itself is no
    explanation, because it may be blocked as a whole only for repetitions with a part that crashes
    engines.
    """
    blocked = [
        (other, suspect.crashes)
        for other, suspect in history.suspects.items()
        if other != cause and not math.isinf(suspect.blocked_at)
    ]

    def is_explained(crash: Crash) -> bool:
        return any(
            crash.endpoint in known
            and not (is_whole_request(other) and known[crash.endpoint].request == crash.request)
            for other, known in blocked
        )

    known_crashes = history.suspects[cause].crashes.values()
    crashes = [crash for crash in known_crashes if not is_explained(crash)]
    return sorted(crashes, key=lambda crash: crash.at)


def count_moments(crashes: list[Crash]) -> int:
    """Return at how many moments engines crashed, from their crashes in order.

    Two crashes are not of one moment if the attempt at the second engine began after the first one
    crashed, or if there is some time between them.
    """
    count, last_at = 0, -math.inf
    for crash in crashes:
        if crash.began_at >= last_at or crash.at - last_at >= defaults.DISTINCT_CRASH_SECONDS:
            count, last_at = count + 1, crash.at
    return count


def store_block(history: CrashHistory, cause: int, blocked_at: float, now: float) -> bool:
    """Store that another host refuses requests with a cause, and return whether that is new."""
    if is_answered_since(history, cause, blocked_at) or now >= get_block_end(cause, blocked_at):
        return False
    suspect = _get_suspect(history, cause)
    is_new = math.isinf(suspect.blocked_at)
    suspect.blocked_at = min(suspect.blocked_at, blocked_at)
    if is_new:
        history.new_blocks.append(cause)
    return is_new


def take_new_blocks(history: CrashHistory) -> list[tuple[int, Suspect]]:
    """Return the causes that were blocked since the last call, and what is known about them."""
    causes, history.new_blocks = history.new_blocks, []
    return [(cause, history.suspects[cause]) for cause in causes if cause in history.suspects]


def record_answer(history: CrashHistory, causes: tuple[int, ...], now: float) -> list[int]:
    """Record the first event of an attempt, and return the causes that were suspects until now."""
    return [cause for cause in causes if store_answer(history, cause, now)]


def store_answer(history: CrashHistory, cause: int, at: float) -> bool:
    """Store the time of an answer to a request with a cause; return whether it was a suspect."""
    at = max(at, history.answered_at.pop(cause, -math.inf))
    history.answered_at[cause] = at
    if len(history.answered_at) > defaults.MAX_ANSWERED_CAUSES:
        del history.answered_at[next(iter(history.answered_at))]
    suspect = history.suspects.get(cause)
    if suspect is None:
        return False
    suspect.crashes = {
        endpoint: crash for endpoint, crash in suspect.crashes.items() if crash.at > at
    }
    if suspect.blocked_at <= at:
        suspect.blocked_at, suspect.last_test = math.inf, 0
    if suspect.crashes or not math.isinf(suspect.blocked_at):
        return False
    del history.suspects[cause]
    return True


def find_blocked_cause(history: CrashHistory, causes: tuple[int, ...], now: float) -> int | None:
    """Return the first cause with which requests are refused, or None."""
    if not history.suspects:
        return None
    for cause in causes:
        suspect = history.suspects.get(cause)
        if suspect is None or math.isinf(suspect.blocked_at):
            continue
        if now < get_block_end(cause, suspect.blocked_at):
            return cause
        del history.suspects[cause]
    return None


def start_test(
    history: CrashHistory, cause: int, host: str, hosts: dict[str, str], now: float
) -> bool:
    """Return whether a request with a blocked cause is to be sent to an engine, to test the cause.

    A hash of host and cause selects one host for all tests, so that no message is needed to keep
    hosts from sending several.
    """
    suspect = history.suspects[cause]
    test = count_tests(cause, suspect.blocked_at, now)
    if test <= suspect.last_test:
        return False
    if host != max(hosts or [host], key=lambda name: _hash_text(f"{name}/{cause}")):
        return False
    suspect.last_test = test
    return True


def estimate_block_seconds(history: CrashHistory, cause: int, now: float) -> float:
    """Return the seconds until the next test of a blocked cause, or until its block ends."""
    return estimate_seconds_to_test(cause, history.suspects[cause].blocked_at, now)


def list_blocked_causes(history: CrashHistory, now: float) -> list[tuple[int, float]]:
    """Return the causes with which requests are refused at present, and since when."""
    return [
        (cause, suspect.blocked_at)
        for cause, suspect in history.suspects.items()
        if suspect.blocked_at <= now < get_block_end(cause, suspect.blocked_at)
    ]


def list_recent_crashes(history: CrashHistory, now: float) -> list[Crash]:
    """Return the crashes that are still sent to the other hosts, in case a message was lost.

    Their number is bounded, because most causes have one after the loss of many engines. Those of
    the suspects with the most crashes come first.
    """
    suspects = sorted(history.suspects.values(), key=lambda item: len(item.crashes), reverse=True)
    recent = [
        crash
        for suspect in suspects
        for crash in suspect.crashes.values()
        if now - crash.at <= defaults.CRASH_REPEAT_SECONDS
    ]
    return recent[: defaults.MAX_REPEATED_CRASHES]
