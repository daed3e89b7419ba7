"""Test which requests and parts of prompts are blocked after crashes of engines."""

import math

import pytest

from marjorambridge.conf import defaults
from marjorambridge.forwarding.blocks import count_tests
from marjorambridge.forwarding.causes import hash_prompt, list_causes
from marjorambridge.forwarding.crashes import (
    CrashHistory,
    estimate_block_seconds,
    find_blocked_cause,
    record_answer,
    record_crash,
    start_test,
    store_answer,
    store_block,
)

COMMON, CRASHING, OWN = 0x5C, 0xDEAD, 0x1
REQUEST = -0xBEEF
PROMPT = (COMMON, CRASHING, OWN)
SOUND_PROMPT = (COMMON, OWN)


def crash(history, number, now, parts=PROMPT, request=None, seconds=0.1):
    """Crash an engine of its own under a request; without one, under a request of its own."""
    request = -1 - number if request is None else request
    causes, prompt = list_causes(request, parts), hash_prompt(request, parts)
    return record_crash(history, causes, prompt, f"e{number}/1", now - seconds, now)


def record_prompt(history, parts, now):
    """Record an answer to a prompt that is no repetition of another one."""
    return record_answer(history, list_causes(-(10**6), parts), now)


def find_blocked(history, now, parts=PROMPT, request=-(10**6)):
    return find_blocked_cause(history, list_causes(request, parts), now)


def test_only_the_crashing_part_is_blocked():
    """Guard against refusing sound prompts that share a caller and other parts."""
    history = CrashHistory()
    record_prompt(history, SOUND_PROMPT, 0.0)
    for number in range(5):
        now = 1.0 + 0.3 * number
        crash(history, number, now)
        record_prompt(history, SOUND_PROMPT, now + 0.05)
    assert find_blocked(history, 3.0) == CRASHING
    assert find_blocked(history, 3.0, SOUND_PROMPT) is None


def test_the_own_part_of_a_request_is_not_blocked():
    """Guard against remembering a part for each request."""
    history = CrashHistory()
    crash(history, 1, 1.0, parts=(OWN,), request=REQUEST)
    assert list(history.suspects) == [REQUEST]


@pytest.mark.parametrize(
    ("crashes", "requests", "gap_seconds"), [(2, 2, 1.0), (6, 2, 1.0), (20, 20, 0.01)]
)
def test_chance_blocks_no_new_part(crashes, requests, gap_seconds):
    """Guard against blaming a prompt for few crashes, one caller's, or those of one moment."""
    history = CrashHistory()
    for number in range(crashes):
        crash(history, number, 1.0 + gap_seconds * number, request=-1 - number % requests)
    assert find_blocked(history, 8.0) is None


def test_a_common_part_needs_more_crashes():
    """Guard against refusing all prompts of a service when many engines crash by chance."""
    history = CrashHistory()
    record_prompt(history, SOUND_PROMPT, 0.0)
    for number in range(defaults.MIN_CRASHES_ANSWERED_PART - 1):
        crash(history, number, 1.0 + number, parts=SOUND_PROMPT)
    assert find_blocked(history, 10.0) is None
    # A part that was sound once may crash engines after they changed.
    crash(history, 99, 10.0, parts=SOUND_PROMPT)
    assert find_blocked(history, 10.0) == COMMON


def test_a_rare_first_part_is_not_blocked_with_the_crashing_part():
    """Guard against refusing all prompts of a caller who sends few."""
    history = CrashHistory()
    for number in range(6):
        crash(history, number, 1.0 + number)
    assert find_blocked(history, 8.0) == CRASHING
    assert find_blocked(history, 8.0, SOUND_PROMPT) is None


def test_a_crashing_first_part_is_blocked_after_more_crashes():
    """Guard against blaming only the later parts, which differ between the prompts."""
    history = CrashHistory()
    for number in range(6):
        crash(history, number, 1.0 + 0.5 * number, parts=(COMMON, CRASHING + number // 3, OWN))
    assert find_blocked(history, 4.0) == CRASHING
    for number in range(6, 9):
        crash(history, number, 1.0 + 0.5 * number, parts=(COMMON, CRASHING + number, OWN))
    assert find_blocked(history, 6.0, (COMMON, OWN)) == COMMON


def test_an_answer_clears_a_part():
    """Guard against a part that stays blocked although engines answer it."""
    history = CrashHistory()
    for number in range(4):
        crash(history, number, 1.0 + number)
    assert find_blocked(history, 5.0) == CRASHING
    assert sorted(record_prompt(history, PROMPT, 6.0)) == [COMMON, CRASHING]
    assert find_blocked(history, 6.0) is None
    # Crashes and blocks of earlier moments, which other hosts report late, change nothing.
    assert not store_block(history, CRASHING, 5.5, 6.5)
    assert find_blocked(history, 6.5) is None


def test_an_answer_during_the_attempt_clears_the_crash():
    """Guard against suspecting a part that another engine answers at the same time."""
    history = CrashHistory()
    record_prompt(history, SOUND_PROMPT, 0.95)
    assert [item.cause for item in crash(history, 1, 1.0)] == [-2, CRASHING]


def test_an_old_answer_keeps_later_crashes():
    """Guard against a late report of an answer that hides the crashes after it."""
    history = CrashHistory()
    for number in range(4):
        crash(history, number, 1.0 + number)
    assert not store_answer(history, CRASHING, 2.5)
    assert find_blocked(history, 5.0, (CRASHING, OWN)) == CRASHING


def test_one_host_tests_a_blocked_part_ever_more_rarely():
    """Guard against a part that is blocked forever, and against tests by all hosts."""
    hosts = {f"h{number}": "z0" for number in range(8)}
    histories = {host: CrashHistory() for host in hosts}
    tests = []
    for history in histories.values():
        store_block(history, CRASHING, 0.0, 0.0)
    for now in range(1, int(defaults.PART_BLOCK_SECONDS)):
        for host, history in histories.items():
            if find_blocked(history, now) and start_test(history, CRASHING, host, hosts, now):
                tests.append((host, now))
    first = defaults.FIRST_PART_TEST_SECONDS
    assert [now for _, now in tests] == [first, 3 * first, 7 * first, 15 * first]
    assert len({host for host, _ in tests}) == 1
    assert find_blocked(histories["h0"], defaults.PART_BLOCK_SECONDS) is None


def test_retry_after_of_a_blocked_part_is_the_next_test():
    """Guard against telling callers to return at once."""
    history = CrashHistory()
    store_block(history, CRASHING, 0.0, 0.0)
    first, end = defaults.FIRST_PART_TEST_SECONDS, defaults.PART_BLOCK_SECONDS
    assert math.isclose(estimate_block_seconds(history, CRASHING, 5.0), first - 5.0)
    assert math.isclose(estimate_block_seconds(history, CRASHING, first), 2 * first)
    assert math.isclose(estimate_block_seconds(history, CRASHING, end - 1.0), 1.0)
    assert count_tests(CRASHING, 0.0, first - 0.001) == 0


def test_memory_is_bounded():
    """Guard against callers that send new parts without end."""
    history = CrashHistory()
    for number in range(defaults.MAX_ANSWERED_CAUSES + 10):
        record_prompt(history, (number, OWN), float(number))
    assert len(history.answered_at) == defaults.MAX_ANSWERED_CAUSES
    store_block(history, CRASHING, 1e6, 1e6)
    for number in range(defaults.MAX_SUSPECTS + 10):
        crash(history, number, 1e6 + number, parts=(10**6 + number, OWN))
    assert len(history.suspects) == defaults.MAX_SUSPECTS
    assert find_blocked(history, 1e6 + 1) == CRASHING


def test_a_new_suspect_replaces_the_oldest_when_all_are_blocked():
    """Guard against an error of the host when no unblocked part can be dropped."""
    history = CrashHistory()
    for part in range(defaults.MAX_SUSPECTS):
        store_block(history, part, 0.0, 0.0)
    crash(history, 1, 1.0)
    assert len(history.suspects) == defaults.MAX_SUSPECTS
    assert CRASHING in history.suspects and 0 not in history.suspects


def repeat(history, numbers, at=1.0, gap_seconds=0.3, **options):
    """Crash engines under one request that is repeated."""
    for number in numbers:
        crash(history, number, at + gap_seconds * number, request=REQUEST, **options)


def is_request_blocked(history, now, request=REQUEST, parts=()):
    return find_blocked(history, now, parts, request) == request


@pytest.mark.parametrize("gap_seconds", [0.001, 0.03, 5.0])
def test_a_repeated_request_is_blocked_after_three_crashes(gap_seconds):
    """Guard against one request that crashes all engines, at once or over a long time."""
    history = CrashHistory()
    # Each attempt begins after the crash before it.
    repeat(history, range(2), gap_seconds=gap_seconds, seconds=gap_seconds / 2)
    assert not is_request_blocked(history, 20.0)
    repeat(history, [2], gap_seconds=gap_seconds, seconds=gap_seconds / 2)
    assert is_request_blocked(history, 20.0)
    assert not is_request_blocked(history, 20.0, request=REQUEST - 1)


def test_the_number_of_crashes_is_a_setting():
    """Guard against a setting that nothing reads."""
    history = CrashHistory(min_request_crashes=5)
    repeat(history, range(4))
    assert not is_request_blocked(history, 3.0)
    repeat(history, [4])
    assert is_request_blocked(history, 3.0)


def test_the_loss_of_many_engines_blocks_no_request():
    """Guard against refusing polls that waited at several engines when these lost power."""
    history = CrashHistory()
    for number in range(20):
        crash(history, number, 1.0 + 0.003 * number, request=REQUEST, seconds=0.2)
    assert not is_request_blocked(history, 2.0)


def test_a_request_that_is_answered_between_two_crashes_is_innocent():
    """Guard against refusing a request that met engines which crashed for another reason."""
    history = CrashHistory()
    repeat(history, range(2))
    assert record_answer(history, list_causes(REQUEST, ()), 1.9) == [REQUEST]
    repeat(history, [3, 4])
    assert not is_request_blocked(history, 3.0)


def test_a_request_that_was_answered_before_needs_more_crashes():
    """Guard against refusing a poll that has always been answered, when engines fail by turns."""
    history = CrashHistory()
    record_answer(history, list_causes(REQUEST, ()), 0.5)
    needed = defaults.MIN_REQUEST_CRASHES * defaults.ANSWERED_REQUEST_CRASH_FACTOR
    repeat(history, range(needed - 1))
    assert not is_request_blocked(history, 5.0)
    repeat(history, [needed])
    assert is_request_blocked(history, 5.0)


def test_requests_beside_one_that_crashes_engines_are_innocent():
    """Guard against refusing a request that waited three times beside a blocked one."""
    history = CrashHistory()
    for number in range(6):
        now = 1.0 + 0.3 * number
        crash(history, number, now, request=REQUEST)
        crash(history, number, now + 0.001, request=REQUEST - 1 - number // 3)
    assert is_request_blocked(history, 4.0)
    assert not is_request_blocked(history, 4.0, request=REQUEST - 2)


def test_a_repeated_request_does_not_block_a_part_of_its_prompt():
    """Guard against refusing all prompts that share a part with a request that crashes engines."""
    history = CrashHistory()
    repeat(history, range(9), parts=PROMPT)
    assert is_request_blocked(history, 4.0, parts=PROMPT)
    assert find_blocked(history, 4.0) is None


def test_a_part_is_blocked_although_each_request_with_it_was_repeated():
    """Guard against requests that, blocked as a whole, hide the part that they share."""
    history = CrashHistory()
    for number in range(9):
        request, parts = REQUEST - number // 3, (COMMON, CRASHING, OWN + number // 3)
        crash(history, number, 1.0 + 0.3 * number, parts=parts, request=request)
        record_prompt(history, SOUND_PROMPT, 1.05 + 0.3 * number)
    assert find_blocked(history, 4.0) == CRASHING


def test_a_request_is_tested_three_times_within_an_hour():
    """Guard against tests that crash an engine every few seconds."""
    history = CrashHistory()
    store_block(history, REQUEST, 0.0, 0.0)
    tests = [
        now
        for now in range(1, int(defaults.REQUEST_BLOCK_SECONDS))
        if start_test(history, REQUEST, "h", {}, now)
    ]
    first = int(defaults.FIRST_REQUEST_TEST_SECONDS)
    assert tests == [first, 5 * first, 21 * first]
    assert math.isclose(estimate_block_seconds(history, REQUEST, 2 * first), 3 * first)
    assert not is_request_blocked(history, defaults.REQUEST_BLOCK_SECONDS)
