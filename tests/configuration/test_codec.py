"""Guard the entry codec against entries that a round trip alters or decodes as another kind."""

import contextlib
import math

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from marjorambridge.configuration import commands
from marjorambridge.configuration.codec import decode_entry, encode_entry
from marjorambridge.configuration.exceptions import EntryDecodeError
from marjorambridge.core.view import HostEntry
from tests.configuration.helpers import make_command, make_example_change

EXAMPLE_CHANGE = make_example_change()
ENTRIES = [
    *(make_command(1, change, base=0) for change in EXAMPLE_CHANGE.changes),
    make_command(2, EXAMPLE_CHANGE, base=3),
    make_command(3, commands.DeleteService("geru"), base=0),
    make_command(4, commands.DeleteWorkspace("lots"), base=0),
    make_command(5, commands.DeleteZone("bhuj"), base=0),
    make_command(6, commands.SetZoneOut("bhuj")),
    make_command(7, commands.SetZoneIn("bhuj"), base=2),
    commands.HostJoined(HostEntry("h1", 1, "10.0.0.1:7000", "bhuj", "kutch")),
    commands.HostLeaving("h1", 1),
    commands.HostRemoved("h1", 1),
]


@pytest.mark.parametrize("entry", ENTRIES, ids=lambda entry: type(entry).__name__)
def test_every_kind_is_equal_after_a_round_trip(entry):
    assert decode_entry(encode_entry(entry)) == entry


@pytest.mark.parametrize("entry", ENTRIES, ids=lambda entry: type(entry).__name__)
def test_every_truncation_is_a_typed_error(entry):
    payload = encode_entry(entry)
    for length in range(len(payload)):
        with pytest.raises(EntryDecodeError):
            decode_entry(payload[:length])


@given(st.binary(max_size=64))
def test_arbitrary_bytes_give_a_typed_error_only(data):
    with contextlib.suppress(EntryDecodeError):
        decode_entry(data)


def test_the_error_for_an_unknown_kind_contains_the_kind_and_a_remedy():
    for payload in (
        msgspec.msgpack.encode(("put_region", {"name": "x"})),
        encode_entry(make_command(1, EXAMPLE_CHANGE, base=0)).replace(
            b"\xa8put_zone", b"\xa8put_bone"
        ),
    ):
        with pytest.raises(EntryDecodeError, match="unknown kind 'put_.*update this host"):
            decode_entry(payload)


def test_a_wall_time_that_is_not_finite_is_refused():
    """Such a time would make every later comparison of times meaningless."""
    for wall in (math.nan, math.inf):
        with pytest.raises(EntryDecodeError, match="finite"):
            decode_entry(encode_entry(make_command(1, EXAMPLE_CHANGE, base=0, wall=wall)))
