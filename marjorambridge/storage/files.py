"""Write files durably, so that they survive a loss of power."""

import os
from pathlib import Path
from typing import TypeVar

import msgspec

from marjorambridge.core.decoding import DECODE_ERRORS
from marjorambridge.storage.exceptions import make_damage_error, make_unreadable_error
from marjorambridge.storage.frames import decode_frames, encode_frame

T = TypeVar("T")


def sync_descriptor(descriptor: int) -> None:
    """Make what was written to a file or a directory durable.

    Raises
    ------
    OSError
        If the disk reports an error; what is on the disk is then unknown.
    """
    os.fsync(descriptor)


def sync_directory(path: Path) -> None:
    """Make created, renamed and removed names of a directory durable."""
    descriptor = os.open(path, os.O_RDONLY | os.O_DIRECTORY)
    try:
        sync_descriptor(descriptor)
    finally:
        os.close(descriptor)


def write_bytes(descriptor: int, data: bytes) -> None:
    """Write all bytes at the end of a file."""
    view = memoryview(data)
    while view:
        view = view[os.write(descriptor, view) :]


def make_directory(path: Path) -> None:
    """Create a directory, if it does not exist, and make its name durable."""
    if not path.is_dir():
        path.mkdir()
        sync_directory(path.parent)


def replace_file(path: Path, payload: bytes) -> None:
    """Replace a file by one frame, atomically and durably."""
    temporary = path.with_name(path.name + ".new")
    descriptor = os.open(temporary, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, 0o600)
    try:
        write_bytes(descriptor, encode_frame(payload))
        sync_descriptor(descriptor)
    finally:
        os.close(descriptor)
    temporary.replace(path)
    sync_directory(path.parent)


def read_file(path: Path) -> bytes | None:
    """Return the payload that `replace_file` wrote; None if there is no file.

    Raises
    ------
    DamagedDataError
        If the file is not exactly one whole frame.
    """
    if not path.exists():
        return None
    data = path.read_bytes()
    payloads, end = decode_frames(data)
    if len(payloads) != 1 or end != len(data):
        raise make_damage_error(path, "the file is damaged")
    return payloads[0]


def decode_record(path: Path, payload: bytes, kind: type[T]) -> T:
    """Return the record in the payload of a frame.

    Raises
    ------
    UnreadableDataError
        If it is none of this build; the checksum has shown that the payload is whole.
    """
    try:
        return msgspec.msgpack.decode(payload, type=kind)
    except DECODE_ERRORS as error:
        raise make_unreadable_error(path, error) from error
