"""Frame, authenticate and parse the data that two hosts exchange."""

import hashlib
import hmac
import struct

from msgspec import Struct

from marjorambridge.transport.exceptions import FrameError, HandshakeError
from marjorambridge.wire.codec import decode_structure, encode_structure
from marjorambridge.wire.gen.frame.ttypes import Frame, Hello

PROTOCOL_VERSION = 1
NONCE_BYTES = 16
MAC_BYTES = 16
LENGTH = struct.Struct(">I")
SEQUENCE = struct.Struct(">Q")
MAX_MESSAGE_NUMBER = 2**63 - 1


class Session(Struct):
    """Key and frame counter of one direction of a connection."""

    key: bytes
    sequence: int = 0


def encode_hello(hello: Hello) -> bytes:
    """Return the body of a handshake frame."""
    return encode_structure(hello, Hello)


def decode_hello(body: bytes, fleet: str) -> Hello:
    """Parse a handshake frame.

    Raises
    ------
    HandshakeError
        If the peer uses another protocol version or belongs to another fleet.
    """
    hello = decode_structure(body, Hello)
    if hello.version != PROTOCOL_VERSION:
        raise HandshakeError(
            f"peer {hello.host!r} uses protocol version {hello.version}, this host "
            f"{PROTOCOL_VERSION}; upgrade the older host"
        )
    if hello.fleet != fleet:
        raise HandshakeError(
            f"peer {hello.host!r} belongs to fleet {hello.fleet!r}, this host to {fleet!r}; "
            "check the addresses in the settings"
        )
    if not hello.host or not hello.nonce or len(hello.nonce) != NONCE_BYTES:
        raise HandshakeError("the peer's handshake lacks its host name or nonce; check its version")
    return hello


def derive_session(fleet_key: bytes, dialer: bytes, acceptor: bytes) -> Session:
    """Derive the session of a connection from the fleet key and both handshake bodies.

    The handshakes are part of the input, so that the first valid MAC also proves the peer's host
    name, incarnation and address.
    """
    key = hashlib.blake2b(fleet_key, digest_size=32).digest()
    digest = hashlib.blake2b(key=key, digest_size=32)
    digest.update(LENGTH.pack(len(dialer)) + dialer + acceptor)
    return Session(digest.digest())


def _compute_mac(session: Session, kind: str, body: bytes, trace: str, number: int | None) -> bytes:
    digest = hashlib.blake2b(key=session.key, digest_size=MAC_BYTES)
    encoded_kind = kind.encode()
    encoded_trace = trace.encode()
    digest.update(SEQUENCE.pack(session.sequence))
    digest.update(LENGTH.pack(len(encoded_kind)) + encoded_kind)
    digest.update(LENGTH.pack(len(encoded_trace)) + encoded_trace)
    digest.update(body)
    if number is not None:
        digest.update(SEQUENCE.pack(number))
    return digest.digest()


def seal_frame(
    session: Session, kind: str, body: bytes, trace: str = "", number: int | None = None
) -> bytes:
    """Return the bytes of the next frame of a session, without the length prefix.

    Parameters
    ----------
    number : int or None
        Number of the message among those to this peer; None if the peer does not recognize repeats.
    """
    mac = _compute_mac(session, kind, body, trace, number)
    frame = Frame(
        sequence=session.sequence, kind=kind, body=body, trace=trace, mac=mac, number=number
    )
    session.sequence += 1
    return encode_structure(frame, Frame)


def open_frame(session: Session, data: bytes) -> Frame:
    """Parse and authenticate the next frame of a session.

    Raises
    ------
    FrameError
        If the sequence number or the MAC is wrong.
    WireError
        If the bytes are not a frame.
    """
    frame = decode_structure(data, Frame)
    if frame.sequence != session.sequence:
        raise FrameError(f"received frame {frame.sequence} where {session.sequence} was expected")
    if frame.number is not None and not 0 < frame.number <= MAX_MESSAGE_NUMBER:
        raise FrameError(f"message number {frame.number} is out of range; the peer is faulty")
    expected = _compute_mac(
        session, frame.kind or "", frame.body or b"", frame.trace or "", frame.number
    )
    if not hmac.compare_digest(expected, frame.mac or b""):
        raise FrameError("wrong MAC; check that both hosts have the same fleet key file")
    session.sequence += 1
    return frame


def add_length(data: bytes) -> bytes:
    """Prefix a frame with its length."""
    return LENGTH.pack(len(data)) + data
