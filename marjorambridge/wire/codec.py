"""Encode messages as thrift compact structures and decode them with validation.

The accelerated thrift encoder reads the fields of any object by name, so that it encodes the
slotted message structures of the other packages directly. Decoding fills the generated thrift
class, and `msgspec` converts it to the message structure and checks every type.
"""

import importlib
from typing import Any

import msgspec
from thrift.protocol.TCompactProtocol import TCompactProtocolAcceleratedFactory
from thrift.transport.TTransport import TMemoryBuffer

from marjorambridge.wire.exceptions import (
    MessageEncodeError,
    UnknownMessageError,
    UnregisteredMessageError,
    WireError,
)
from marjorambridge.wire.registry import PACKAGES, list_messages, load_messages

PROTOCOL_FACTORY = TCompactProtocolAcceleratedFactory(
    string_length_limit=1 << 20, container_length_limit=1 << 16, fallback=False
)

# Characters of an unknown kind that an error shows.
MAX_SHOWN_KIND = 64

# Message class and generated structure by kind, and kind by message class, of loaded packages.
STRUCTURES_BY_KIND: dict[str, tuple[type, type]] = {}
KINDS_BY_CLASS: dict[type, str] = {}


def load_package(package: str) -> None:
    """Add the messages of a package to `STRUCTURES_BY_KIND` and `KINDS_BY_CLASS`.

    Raises
    ------
    UnregisteredMessageError
        If the generated code lacks a message.
    """
    generated = importlib.import_module(f"marjorambridge.wire.gen.{package}.ttypes")
    for message in list_messages(load_messages(package)):
        structure = getattr(generated, message.__name__, None)
        if structure is None:
            raise UnregisteredMessageError(
                f"no thrift structure for {message.__name__}; run 'make wire'"
            )
        kind = f"{package}.{message.__name__}"
        STRUCTURES_BY_KIND[kind] = (message, structure)
        KINDS_BY_CLASS[message] = kind


def _find_kind(message: type) -> str | None:
    if message not in KINDS_BY_CLASS:
        package = message.__module__.removeprefix("marjorambridge.").removesuffix(".messages")
        if package in PACKAGES:
            load_package(package)
    return KINDS_BY_CLASS.get(message)


def _find_structure(kind: str) -> tuple[type, type] | None:
    if kind not in STRUCTURES_BY_KIND:
        package = kind.partition(".")[0]
        if package in PACKAGES:
            load_package(package)
    return STRUCTURES_BY_KIND.get(kind)


def encode_structure(value: Any, structure: type) -> bytes:
    """Encode an object whose attributes are the fields of a generated thrift class."""
    protocol = PROTOCOL_FACTORY.getProtocol(TMemoryBuffer())
    return protocol._fast_encode(value, [structure, structure.thrift_spec])


def decode_structure(data: bytes, structure: type) -> Any:
    """Decode a generated thrift class.

    Raises
    ------
    WireError
        If `data` is not a whole structure of this class.
    """
    protocol = PROTOCOL_FACTORY.getProtocol(TMemoryBuffer(data))
    try:
        value = structure()
        value.read(protocol)
    except Exception as error:
        # For malformed input, the thrift library raises many kinds of exceptions, such as EOFError
        # and UnicodeDecodeError. The text of some of them contains the data, so it is left out.
        name = type(error).__name__
        raise WireError(f"malformed {structure.__name__}: {name}; drop the frame") from error
    return value


def encode_message(message: Any) -> tuple[str, bytes]:
    """Return the kind and the encoded body of a message.

    Raises
    ------
    UnregisteredMessageError
        If the class of the message is not in the registry.
    MessageEncodeError
        If a field does not fit its type.
    """
    kind = _find_kind(type(message))
    if kind is None:
        raise UnregisteredMessageError(
            f"{type(message).__name__} is not registered; add its module to wire.registry"
        )
    try:
        return kind, encode_structure(message, STRUCTURES_BY_KIND[kind][1])
    except (OverflowError, TypeError, UnicodeError) as error:
        raise MessageEncodeError(f"{kind} can't be encoded: {error}") from error


def decode_message(kind: str | None, body: bytes) -> Any:
    """Decode and validate a message; a frame that lacks a kind has None.

    Raises
    ------
    UnknownMessageError
        If the kind is unknown.
    WireError
        If the body is malformed or has a field of a wrong type.
    """
    kind = kind or ""
    entry = _find_structure(kind)
    if entry is None:
        raise UnknownMessageError(
            f"unknown message kind {kind[:MAX_SHOWN_KIND]!r}; the peer may run a newer version"
        )
    message, structure = entry
    decoded = decode_structure(body, structure)
    try:
        return msgspec.convert(decoded, message, from_attributes=True)
    except (msgspec.ValidationError, RecursionError) as error:
        raise WireError(f"invalid {kind}: {error}; drop the frame") from error
