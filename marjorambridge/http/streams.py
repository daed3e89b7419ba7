"""Parse server-sent events of engines incrementally."""

import msgspec
from msgspec import Struct, field

from marjorambridge.http.bodies import DECODE_ERRORS
from marjorambridge.http.exceptions import EndpointProtocolError

END_MARKER = b"[DONE]"
MAX_EVENT_BYTES = 1024 * 1024


class EventBuffer(Struct):
    """The part of a stream that is not yet a complete event."""

    incomplete_line: bytes = b""
    data: list[bytes] = field(default_factory=list)


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
    lines = (buffer.incomplete_line + piece).split(b"\n")
    buffer.incomplete_line = lines.pop()
    for line in lines:
        line = line.removesuffix(b"\r")
        if line.startswith(b"data:"):
            buffer.data.append(line[5:].removeprefix(b" "))
        elif not line and buffer.data:
            events.append(b"\n".join(buffer.data))
            buffer.data.clear()
    if len(buffer.incomplete_line) + sum(map(len, buffer.data)) > MAX_EVENT_BYTES:
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
