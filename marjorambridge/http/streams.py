"""Parse server-sent events of engines incrementally."""

import msgspec
from msgspec import Struct, field

from marjorambridge.http.bodies import DECODE_ERRORS
from marjorambridge.http.exceptions import EndpointProtocolError

END_MARKER = b"[DONE]"
MAX_EVENT_BYTES = 1024 * 1024


class EventBuffer(Struct):
    """The part of a stream that is not yet a complete event.

    Attributes
    ----------
    data : list of bytes
        Data of the complete lines.
    data_bytes : int
        Their size.
    """

    incomplete_line: bytearray = field(default_factory=bytearray)
    data: list[bytes] = field(default_factory=list)
    data_bytes: int = 0


class _Choice(msgspec.Struct):
    finish_reason: str | None = None


class EngineChunk(msgspec.Struct):
    """One event of an engine's stream.

    Attributes
    ----------
    index : int
        Index of the first token of the chunk in the whole answer.
    tokens : list of str
        Texts of the tokens; empty in the event that has the finish reason.
    """

    index: int = -1
    tokens: list[str] | None = None
    choices: list[_Choice] = []
    usage: dict[str, int] | None = None
    error: dict[str, object] | str | None = None


def parse_events(buffer: EventBuffer, piece: bytes) -> list[bytes]:
    r"""Return the data of the events that `piece` completes.

    Raises
    ------
    EndpointProtocolError
        If an event is larger than `MAX_EVENT_BYTES`.

    Examples
    --------
    >>> buffer = EventBuffer()
    >>> parse_events(buffer, b"data: a\n\ndata: b")
    [b'a']
    >>> parse_events(buffer, b"c\r\n\r\n: comment\n\n")
    [b'bc']
    """
    events: list[bytes] = []
    first, *others = piece.split(b"\n")
    # Only the new bytes are searched and copied, since an event may come byte by byte.
    buffer.incomplete_line += first
    for following in others:
        line = bytes(buffer.incomplete_line).removesuffix(b"\r")
        buffer.incomplete_line = bytearray(following)
        if line.startswith(b"data:"):
            data = line[5:].removeprefix(b" ")
            buffer.data.append(data)
            buffer.data_bytes += len(data)
        elif not line and buffer.data:
            events.append(b"\n".join(buffer.data))
            buffer.data.clear()
            buffer.data_bytes = 0
    if len(buffer.incomplete_line) + buffer.data_bytes > MAX_EVENT_BYTES:
        raise EndpointProtocolError(
            f"an event of the engine is larger than {MAX_EVENT_BYTES} bytes; send smaller chunks"
        )
    return events


def parse_chunk(data: bytes) -> EngineChunk:
    """Parse the data of one event.

    Raises
    ------
    EndpointProtocolError
        If the event is not a chunk of the engine protocol.
    """
    try:
        chunk = msgspec.json.decode(data, type=EngineChunk)
    except DECODE_ERRORS as error:
        raise EndpointProtocolError(f"an event of the engine is not valid: {error}") from error
    if chunk.error is None and chunk.tokens and chunk.index < 0:
        raise EndpointProtocolError("a chunk of the engine has tokens but no 'index'")
    return chunk
