"""Test which requests count as repetitions of one another."""

import time
import tracemalloc

import pytest

from marjorambridge.forwarding.causes import identify_request, is_whole_request, list_causes
from marjorambridge.manifests.models import CallerLimits

REQUEST = (b"POST", b"/p/x?q=1", "app.example", "team", b"body")
# Part of the shortest objective (0.1 s) that the hash of the longest body may take.
MAX_HASH_SECONDS = 0.01


@pytest.mark.parametrize("field", range(len(REQUEST)))
def test_requests_that_differ_anywhere_are_different(field):
    """Guard against refusing the same body of another caller, or another path."""
    other = list(REQUEST)
    other[field] += "x" if isinstance(other[field], str) else b"x"
    assert identify_request(*other) != identify_request(*REQUEST) == identify_request(*REQUEST)


def test_text_does_not_move_from_one_field_to_the_next():
    """Guard against two requests that are equal only when their fields are joined."""
    assert identify_request(b"A", b"/b", "c", "d", b"") != identify_request(
        b"A", b"/", "bc", "d", b""
    )


def test_whole_requests_and_parts_are_told_apart():
    """Guard against a part whose identifier equals the hash of a request."""
    for number in range(1_000):
        assert is_whole_request(identify_request(b"GET", b"/%d" % number, "h", "w", b""))
    causes = list_causes(identify_request(*REQUEST), (0, 2**63 - 1, 7))
    assert [is_whole_request(cause) for cause in causes] == [True, False, False]
    assert causes[1:] == (2**63 - 1, 0)


def test_the_hash_of_the_longest_body_is_fast_and_copies_nothing():
    """Guard against short requests that wait while a long body is hashed or copied."""
    body = bytes(CallerLimits().body_bytes)
    tracemalloc.start()
    try:
        began = time.process_time()
        identify_request(b"POST", b"/p/x", "app.example", "team", body)
        assert time.process_time() - began < MAX_HASH_SECONDS
        assert tracemalloc.get_traced_memory()[1] < len(body) / 10
    finally:
        tracemalloc.stop()
