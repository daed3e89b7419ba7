"""Split a stream of server-sent events into events and check their order."""

import re
from collections.abc import Callable

from msgspec import Struct, field

from marjorambridge.core.numbers import parse_count
from marjorambridge.gateway.exceptions import FailedStreamError
from marjorambridge.gateway.messages import StreamEvent

# Events of an engine have some hundred characters.
MAX_EVENT_BYTES = 65_536
# Bytes of comments between two events; endpoints send a few as keepalives.
MAX_COMMENT_BYTES = 4_096
MAX_EVENT_NUMBER = 2**53
# Pieces of one event, and of what precedes it; endpoints send an event in one or a few.
MAX_EVENT_PIECES = 1_024
# An event ends with an empty line; lines end with LF or CRLF.
_EVENT_END = re.compile(rb"\n\r?\n")
MAX_END_BYTES = 3


class StreamCursor(Struct):
    """Store the position in an event stream, which several attempts may continue.

    Attributes
    ----------
    last_event : int or None
        Number of the last event that was sent to the caller.
    buffer : bytearray
        Start of an event that is not complete yet.
    searched : int
        Length of the start of the buffer in which no event ends.
    pieces : int
        Pieces since the last event.
    comment_bytes : int
        Bytes of comments, and of events without content, since the last event.
    events : int
        Events with content that were accepted, over all attempts.
    has_ended : bool
        Whether the event arrived with which a stream ends.
    error : Exception or None
        Error of the event that follows those returned last.
    handle_comment : callable or None
        Called with each block of comments.
    """

    last_event: int | None = None
    buffer: bytearray = field(default_factory=bytearray)
    searched: int = 0
    pieces: int = 0
    comment_bytes: int = 0
    events: int = 0
    has_ended: bool = False
    error: Exception | None = None
    handle_comment: Callable[[bytes], None] | None = None


def reset_attempt(cursor: StreamCursor) -> None:
    """Drop what belongs to the previous attempt only."""
    cursor.buffer, cursor.searched, cursor.pieces = bytearray(), 0, 0
    cursor.comment_bytes, cursor.error = 0, None


class EventOrderError(ValueError):
    """An event is missing or invalid."""


def read_numbered_event(event: bytes) -> StreamEvent:
    """Return an event that is forwarded unchanged, with the number that it names, if any."""
    number = parse_event_number(event)
    return StreamEvent(event, number, number or 0)


def extract_events(
    cursor: StreamCursor,
    data: bytes,
    read_event: Callable[[bytes], StreamEvent] = read_numbered_event,
) -> bytes:
    r"""Return what the caller gets for the new complete events, and buffer an incomplete one.

    Comments, and events that were returned before, are left out. If an event is missing, invalid or
    reports a failure, the events before it are returned, and the error is stored in the cursor, to
    be raised once they are sent.

    Raises
    ------
    EventOrderError
        If an event is missing or invalid, and there are no events before it.
    FailedStreamError
        If an event reports a failure, and there are no events before it.

    Examples
    --------
    >>> cursor = StreamCursor()
    >>> extract_events(cursor, b"id: 1\ndata: a\n\nid: 2\nda")
    b'id: 1\ndata: a\n\n'
    >>> cursor.last_event, bytes(cursor.buffer)
    (1, b'id: 2\nda')
    """
    if cursor.has_ended:
        return b""
    cursor.buffer += data
    cursor.pieces += 1
    complete: list[bytes] = []
    try:
        _extract_complete(cursor, complete, read_event)
    except (EventOrderError, FailedStreamError) as error:
        if not any(complete):
            raise
        cursor.error = error
    return b"".join(complete)


def _extract_complete(
    cursor: StreamCursor, complete: list[bytes], read_event: Callable[[bytes], StreamEvent]
) -> None:
    while not cursor.has_ended and (event := _take_event(cursor)):
        if is_comment(event):
            if cursor.handle_comment is not None:
                cursor.handle_comment(event)
            _count_comment(cursor, event)
            continue
        read = read_event(event)
        if not read.data and read.first is None and not read.is_end:
            _count_comment(cursor, event)
            continue
        cursor.comment_bytes = cursor.pieces = 0
        if read.first is not None:
            last = cursor.last_event
            if last is not None and read.last <= last:
                continue
            if last is not None and read.first != last + 1:
                raise EventOrderError(f"event {read.first} follows event {last}")
            cursor.last_event = read.last
        if read.first is not None or not read.is_end:
            cursor.events += 1
        complete.append(read.data)
        if read.is_end:
            cursor.has_ended = True
            cursor.buffer.clear()
    if len(cursor.buffer) > MAX_EVENT_BYTES:
        raise EventOrderError(f"an event is longer than {MAX_EVENT_BYTES} bytes")
    if cursor.pieces > MAX_EVENT_PIECES:
        raise EventOrderError(f"an event comes in more than {MAX_EVENT_PIECES} pieces")


def _count_comment(cursor: StreamCursor, event: bytes) -> None:
    """Count what brings the answer no further, of which an endpoint may send a bounded amount."""
    cursor.comment_bytes += len(event)
    if cursor.comment_bytes > MAX_COMMENT_BYTES:
        raise EventOrderError(f"{cursor.comment_bytes} bytes of comments without an event")


def _take_event(cursor: StreamCursor) -> bytes:
    """Remove the first complete event from the buffer and return it; empty if there is none.

    Only bytes that were not searched before are searched, since an event may come byte by byte.
    """
    buffer = cursor.buffer
    found = _EVENT_END.search(buffer, max(0, cursor.searched - MAX_END_BYTES + 1))
    if found is None:
        cursor.searched = len(buffer)
        return b""
    event = bytes(buffer[: found.end()])
    del buffer[: found.end()]
    cursor.searched = 0
    return event


def is_comment(event: bytes) -> bool:
    r"""Return whether a block of lines has only comments.

    Examples
    --------
    >>> is_comment(b": keepalive\n\n"), is_comment(b"\n\n"), is_comment(b"data: x\n\n")
    (True, True, False)
    """
    return all(line in (b"", b"\r") or line.startswith(b":") for line in event.split(b"\n"))


def parse_event_number(event: bytes) -> int | None:
    """Return the number of an event, or None if it has none.

    Raises
    ------
    EventOrderError
        If the number is no whole number of at least 0.
    """
    for line in event.split(b"\n"):
        name, _, value = line.partition(b":")
        if name == b"id":
            number = parse_count(value)
            if number is None or number > MAX_EVENT_NUMBER:
                raise EventOrderError(f"event number {value[:40]!r} is not a number of an event")
            return number
    return None
