"""Frame stored data with a length and a checksum.

A frame is the marker, the length of the payload (4 bytes, big endian), the 64-bit xxh3 digest of
length and payload (8 bytes, big endian) and the payload.
"""

import struct

import xxhash

MARKER = b"\xa9MJ1"
HEADER = struct.Struct(">4sIQ")
LENGTH = struct.Struct(">I")


def compute_checksum(payload: bytes | memoryview) -> int:
    """Return the digest of a payload and its length."""
    digest = xxhash.xxh3_64(LENGTH.pack(len(payload)))
    digest.update(payload)
    return digest.intdigest()


def encode_frame(payload: bytes) -> bytes:
    """Return the frame of a payload."""
    return HEADER.pack(MARKER, len(payload), compute_checksum(payload)) + payload


def decode_frame(data: bytes, offset: int) -> bytes | None:
    """Return the payload of the frame at `offset`; None if there is no whole frame.

    Examples
    --------
    >>> decode_frame(b"-" + encode_frame(b"payload"), 1)
    b'payload'
    """
    if offset + HEADER.size > len(data):
        return None
    marker, length, checksum = HEADER.unpack_from(data, offset)
    start = offset + HEADER.size
    if marker != MARKER or start + length > len(data):
        return None
    payload = memoryview(data)[start : start + length]
    return bytes(payload) if compute_checksum(payload) == checksum else None


def decode_frames(data: bytes) -> tuple[list[bytes], int]:
    """Return the payloads of the frames from the start on, and the offset where they end."""
    payloads = []
    offset = 0
    while (payload := decode_frame(data, offset)) is not None:
        payloads.append(payload)
        offset += HEADER.size + len(payload)
    return payloads, offset


def has_frame_after(data: bytes, offset: int) -> bool:
    """Return whether a whole frame begins anywhere after `offset`.

    The length of a damaged frame cannot be trusted, so every marker is tried.
    """
    position = data.find(MARKER, offset + 1)
    while position >= 0:
        if decode_frame(data, position) is not None:
            return True
        position = data.find(MARKER, position + 1)
    return False
