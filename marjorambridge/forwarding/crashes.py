"""Blocking of prompt parts that crash the engines that answer them.

The load pattern is a stream of different requests that share one part, and each engine that begins
to answer one of them crashes. The crash looks like a failure of the engine, so that each retry
sends the part to the next one, until none is left for other requests.

All requests at an engine break off when it crashes, and most of their parts are innocent. A part
is innocent if any request with it was answered after the crash, and it becomes a suspect only if
several engines crashed under several requests meanwhile. So hosts exchange crashes and answers; all
hosts that know the same ones decide alike.
"""

import math

import xxhash
from msgspec import Struct, field

from marjorambridge.conf import defaults

IDENTIFIER_MASK = 2**63 - 1


class PartCrash(Struct, frozen=True):
    """The crash of an engine at which a request with a part waited for its first event.

    Attributes
    ----------
    part : int
        Identifier of the part.
    endpoint, request : int
        Hashes of the incarnation of the engine and of the identifier of the request.
    at : float
        Monotonic time in seconds.
    answered_before : bool
        Whether a host had seen an answer to a request with the part before.
    """

    part: int
    endpoint: int
    request: int
    at: float
    answered_before: bool = False


class SuspectPart(Struct):
    """What a host knows about a part since the last answer to a request with it.

    Attributes
    ----------
    crashes : dict of int to PartCrash
        Crashes by incarnation of the engine, the oldest first.
    blocked_at : float
        Monotonic time in seconds since which requests with the part are refused; infinite if they
        are not.
    last_test : int
        Number of the last test in which this host sent a request to an engine nevertheless.
    """

    crashes: dict[int, PartCrash] = field(default_factory=dict)
    blocked_at: float = math.inf
    last_test: int = 0


class CrashHistory(Struct):
    """Crashes and answers of prompt parts, as far as this host knows them.

    Attributes
    ----------
    suspects : dict of int to SuspectPart
        By part; the oldest are dropped when there are too many.
    answered_at : dict of int to float
        Monotonic time in seconds of the last answer to a request with a part, the oldest first.
    new_blocks : list of int
        Parts that were blocked and not yet logged.
    """

    suspects: dict[int, SuspectPart] = field(default_factory=dict)
    answered_at: dict[int, float] = field(default_factory=dict)
    new_blocks: list[int] = field(default_factory=list)


def list_shared_parts(parts: tuple[int, ...]) -> tuple[int, ...]:
    """Return the parts of a prompt that other requests may have, too; the last one is its own."""
    return parts[:-1]


def record_crash(
    history: CrashHistory,
    parts: tuple[int, ...],
    incarnation: str,
    request_id: str,
    began_at: float,
    now: float,
) -> list[PartCrash]:
    """Record an attempt that broke off before its first event, and return the crashes to report.

    Parts that another request was answered with while the attempt was running are innocent.

    Parameters
    ----------
    incarnation : str
        Name of the engine that distinguishes its starts.
    began_at : float
        Monotonic time in seconds at which the attempt began.
    """
    crashes = []
    # The later a part, the fewer requests share it. If several parts have the same crashes, the
    # last of them is blocked first, and then explains the crashes of the others.
    for part in reversed(list_shared_parts(parts)):
        answered_at = history.answered_at.get(part)
        if answered_at is not None and answered_at >= began_at:
            continue
        crash = PartCrash(
            part,
            _hash_text(incarnation),
            _hash_text(request_id),
            now,
            answered_at is not None,
        )
        if store_crash(history, crash, now):
            crashes.append(crash)
    return crashes


def _hash_text(text: str) -> int:
    return xxhash.xxh3_64_intdigest(text.encode()) & IDENTIFIER_MASK


def store_crash(history: CrashHistory, crash: PartCrash, now: float) -> bool:
    """Store a crash that this host or another one observed, and return whether it is new.

    A crash before the last answer to a request with the part is ignored.
    """
    if is_answered_since(history, crash.part, crash.at):
        return False
    suspect = _get_suspect(history, crash.part)
    for endpoint, known in list(suspect.crashes.items()):
        if now - known.at > defaults.CRASH_EXPIRY_SECONDS:
            del suspect.crashes[endpoint]
    if crash.endpoint in suspect.crashes:
        return False
    suspect.crashes[crash.endpoint] = crash
    if math.isinf(suspect.blocked_at) and has_enough_evidence(history, crash.part):
        suspect.blocked_at = now
        history.new_blocks.append(crash.part)
    return True


def _get_suspect(history: CrashHistory, part: int) -> SuspectPart:
    """Return a part that is or becomes a suspect, in the place of the oldest one if necessary."""
    suspects = history.suspects
    if part not in suspects:
        while len(suspects) >= defaults.MAX_SUSPECT_PARTS:
            unblocked = (other for other, item in suspects.items() if math.isinf(item.blocked_at))
            del suspects[next(unblocked, next(iter(suspects)))]
        suspects[part] = SuspectPart()
    return suspects[part]


def is_answered_since(history: CrashHistory, part: int, at: float) -> bool:
    """Return whether this host knows an answer to a request with a part at a time or later."""
    return history.answered_at.get(part, -math.inf) >= at


def has_enough_evidence(history: CrashHistory, part: int) -> bool:
    """Return whether chance is an unlikely cause of the crashes of a part.

    Crashes of engines at which another, blocked part was waiting are explained by that one.

    The crashes of one moment may have one cause, and the attempts of one caller may fail by chance,
    so that several engines, several requests and some time between the crashes are required. Chance
    hits common parts most, which were answered before, so that these require more.
    """
    explained = {
        endpoint
        for suspect in history.suspects.values()
        if not math.isinf(suspect.blocked_at)
        for endpoint in suspect.crashes
    }
    crashes = [
        crash
        for endpoint, crash in history.suspects[part].crashes.items()
        if endpoint not in explained
    ]
    if not crashes:
        return False
    times = [crash.at for crash in crashes]
    common = any(crash.answered_before for crash in crashes)
    needed = defaults.MIN_CRASHES_ANSWERED_PART if common else defaults.MIN_CRASHES_NEW_PART
    seconds = (
        defaults.MIN_CRASH_SPAN_ANSWERED_PART_SECONDS
        if common
        else defaults.MIN_CRASH_SPAN_NEW_PART_SECONDS
    )
    return (
        len(crashes) >= needed
        and len({crash.request for crash in crashes}) >= defaults.MIN_CRASH_REQUESTS
        and max(times) - min(times) >= seconds
    )


def store_block(history: CrashHistory, part: int, blocked_at: float, now: float) -> bool:
    """Store that another host refuses requests with a part, and return whether that is new."""
    if is_answered_since(history, part, blocked_at) or now >= get_block_end(blocked_at):
        return False
    suspect = _get_suspect(history, part)
    is_new = math.isinf(suspect.blocked_at)
    suspect.blocked_at = min(suspect.blocked_at, blocked_at)
    if is_new:
        history.new_blocks.append(part)
    return is_new


def take_new_blocks(history: CrashHistory) -> list[tuple[int, SuspectPart]]:
    """Return the parts that were blocked since the last call, and what is known about them."""
    parts, history.new_blocks = history.new_blocks, []
    return [(part, history.suspects[part]) for part in parts if part in history.suspects]


def record_answer(history: CrashHistory, parts: tuple[int, ...], now: float) -> list[int]:
    """Record the first event of an attempt, and return the parts that were suspects until now."""
    return [part for part in list_shared_parts(parts) if store_answer(history, part, now)]


def store_answer(history: CrashHistory, part: int, at: float) -> bool:
    """Store the time of an answer to a request with a part; return whether it was a suspect."""
    at = max(at, history.answered_at.pop(part, -math.inf))
    history.answered_at[part] = at
    if len(history.answered_at) > defaults.MAX_ANSWERED_PARTS:
        del history.answered_at[next(iter(history.answered_at))]
    suspect = history.suspects.get(part)
    if suspect is None:
        return False
    suspect.crashes = {
        endpoint: crash for endpoint, crash in suspect.crashes.items() if crash.at > at
    }
    if suspect.blocked_at <= at:
        suspect.blocked_at, suspect.last_test = math.inf, 0
    if suspect.crashes or not math.isinf(suspect.blocked_at):
        return False
    del history.suspects[part]
    return True


def find_blocked_part(history: CrashHistory, parts: tuple[int, ...], now: float) -> int | None:
    """Return the first part of a prompt with which requests are refused, or None."""
    if not history.suspects:
        return None
    for part in list_shared_parts(parts):
        suspect = history.suspects.get(part)
        if suspect is None or math.isinf(suspect.blocked_at):
            continue
        if now < get_block_end(suspect.blocked_at):
            return part
        del history.suspects[part]
    return None


def get_block_end(blocked_at: float) -> float:
    """Return the monotonic time in seconds at which a part is no longer blocked."""
    return blocked_at + defaults.PART_BLOCK_SECONDS


def count_tests(blocked_at: float, now: float) -> int:
    """Return how many tests of a blocked part were due so far.

    The time between two tests doubles, because each of them may crash an engine.
    """
    return int(math.log2((now - blocked_at) / defaults.FIRST_PART_TEST_SECONDS + 1.0))


def start_test(
    history: CrashHistory, part: int, host: str, hosts: dict[str, str], now: float
) -> bool:
    """Return whether a request with a blocked part is to be sent to an engine, to test the part.

    A hash of host and part selects one host for all tests, so that no message is needed to keep
    hosts from sending several.
    """
    suspect = history.suspects[part]
    test = count_tests(suspect.blocked_at, now)
    if test <= suspect.last_test:
        return False
    if host != max(hosts or [host], key=lambda name: _hash_text(f"{name}/{part}")):
        return False
    suspect.last_test = test
    return True


def estimate_block_seconds(history: CrashHistory, part: int, now: float) -> float:
    """Return the seconds until the next test of a blocked part, or until its block ends."""
    blocked_at = history.suspects[part].blocked_at
    tests = count_tests(blocked_at, now) + 1
    next_test = blocked_at + defaults.FIRST_PART_TEST_SECONDS * (2**tests - 1)
    return min(next_test, get_block_end(blocked_at)) - now


def list_blocked_parts(history: CrashHistory, now: float) -> list[tuple[int, float]]:
    """Return the parts with which requests are refused at present, and since when."""
    return [
        (part, suspect.blocked_at)
        for part, suspect in history.suspects.items()
        if suspect.blocked_at <= now < get_block_end(suspect.blocked_at)
    ]


def list_recent_crashes(history: CrashHistory, now: float) -> list[PartCrash]:
    """Return the crashes that are still sent to the other hosts, in case a message was lost.

    Parts with a single crash are left out: after the loss of many engines they are most parts.
    """
    return [
        crash
        for suspect in history.suspects.values()
        if len(suspect.crashes) > 1
        for crash in suspect.crashes.values()
        if now - crash.at <= defaults.CRASH_REPEAT_SECONDS
    ]
