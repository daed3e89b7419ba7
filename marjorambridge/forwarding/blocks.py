"""Compute when a cause of crashes is blocked, and when its block is tested."""

import math

from msgspec import Struct

from marjorambridge.conf import defaults
from marjorambridge.forwarding.causes import is_whole_request

# The logarithm of a power may be less than its exponent by this.
ROUNDING = 1e-9


class BlockSchedule(Struct, frozen=True):
    """The time for which a cause is blocked, and the tests during it.

    Attributes
    ----------
    seconds : float
        Length of a block.
    first_test_seconds : float
        Time until the first test.
    test_factor : int
        Factor by which the time between two tests grows, because each of them may crash an engine.
    """

    seconds: float
    first_test_seconds: float
    test_factor: int


PART_SCHEDULE = BlockSchedule(
    defaults.PART_BLOCK_SECONDS, defaults.FIRST_PART_TEST_SECONDS, defaults.PART_TEST_FACTOR
)
# Only its caller misses a request that is blocked by mistake, so that there are fewer tests.
REQUEST_SCHEDULE = BlockSchedule(
    defaults.REQUEST_BLOCK_SECONDS,
    defaults.FIRST_REQUEST_TEST_SECONDS,
    defaults.REQUEST_TEST_FACTOR,
)


def _get_schedule(cause: int) -> BlockSchedule:
    return REQUEST_SCHEDULE if is_whole_request(cause) else PART_SCHEDULE


def get_block_end(cause: int, blocked_at: float) -> float:
    """Return the monotonic time in seconds at which a cause is no longer blocked."""
    return blocked_at + _get_schedule(cause).seconds


def count_tests(cause: int, blocked_at: float, now: float) -> int:
    """Return how many tests of a blocked cause were due so far."""
    schedule = _get_schedule(cause)
    factor = schedule.test_factor
    intervals = (now - blocked_at) / schedule.first_test_seconds
    return int(math.log(intervals * (factor - 1) + 1.0, factor) + ROUNDING)


def estimate_seconds_to_test(cause: int, blocked_at: float, now: float) -> float:
    """Return the seconds until the next test of a blocked cause, or until its block ends."""
    schedule = _get_schedule(cause)
    factor = schedule.test_factor
    intervals = (factor ** (count_tests(cause, blocked_at, now) + 1) - 1) / (factor - 1)
    next_test = blocked_at + schedule.first_test_seconds * intervals
    return min(next_test, get_block_end(cause, blocked_at)) - now
