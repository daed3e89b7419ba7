"""Guard the wire format against malformed input and an IDL that does not match the messages."""

import contextlib
import subprocess
import sys
from pathlib import Path

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from marjorambridge.core.identity import AttemptId
from marjorambridge.wire.codec import (
    KINDS_BY_CLASS,
    STRUCTURES_BY_KIND,
    decode_message,
    encode_message,
    load_package,
)
from marjorambridge.wire.exceptions import WireError
from marjorambridge.wire.registry import PACKAGES, list_messages, load_messages

ROOT = Path(__file__).resolve().parents[2]

for package_name in PACKAGES:
    load_package(package_name)


def list_classes() -> list[type]:
    return [message for package in PACKAGES for message in list_messages(load_messages(package))]


@pytest.mark.parametrize("message_class", list_classes(), ids=lambda item: KINDS_BY_CLASS[item])
@settings(max_examples=30)
@given(data=st.data())
def test_every_message_is_equal_after_a_round_trip(message_class, data):
    small = st.integers(-(2**63), 2**63 - 1)
    attempt = st.builds(AttemptId, st.text(), small, small)
    st.register_type_strategy(AttemptId, attempt)
    st.register_type_strategy(int, small)
    st.register_type_strategy(float, st.floats(allow_nan=False))
    message = data.draw(st.from_type(message_class))
    kind, body = encode_message(message)
    assert decode_message(kind, body) == message


@given(kind=st.sampled_from(sorted(STRUCTURES_BY_KIND)), body=st.binary(max_size=300))
def test_malformed_bodies_raise_only_a_typed_error(kind, body):
    with contextlib.suppress(WireError):
        decode_message(kind, body)


@given(data=st.data(), kind=st.sampled_from(sorted(STRUCTURES_BY_KIND)))
def test_damaged_bodies_raise_only_a_typed_error(data, kind):
    message = data.draw(st.from_type(STRUCTURES_BY_KIND[kind][0]))
    body = bytearray(encode_message(message)[1])
    position = data.draw(st.integers(0, max(0, len(body) - 1)))
    if body:
        body[position] ^= data.draw(st.integers(1, 255))
    with contextlib.suppress(WireError):
        decode_message(kind, bytes(body))


def test_an_unknown_kind_is_a_typed_error():
    with pytest.raises(WireError, match="unknown message kind"):
        decode_message("limits.Missing", b"\x00")


def test_the_committed_idl_matches_the_messages():
    script = ROOT / "scripts" / "generate_idl.py"
    result = subprocess.run(
        [sys.executable, str(script), "--check"], capture_output=True, text=True, cwd=ROOT
    )
    assert result.returncode == 0, result.stdout
