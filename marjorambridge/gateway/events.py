"""Split a stream of server-sent events and keep it in order."""

from dataclasses import dataclass

# An event that is larger is no event of an engine.
MAX_EVENT_BYTES = 1_048_576


@dataclass(slots=True)
class StreamCursor:
    """Hold the place in a stream that one or several runs produce.

    Attributes
    ----------
    last_event : int or None
        Number of the last event that was passed on.
    buffer : bytes
        Beginning of an event that is not complete yet.
    """

    last_event: int | None = None
    buffer: bytes = b""


class EventOrderError(ValueError):
    """A run left an event out, or what it sent is no event."""


def take_events(cursor: StreamCursor, data: bytes) -> bytes:
    r"""Return the bytes of the complete events that are due, and keep the rest.

    Events that were passed on before are left out.

    Raises
    ------
    EventOrderError
        If an event is missing.

    Examples
    --------
    >>> cursor = StreamCursor()
    >>> take_events(cursor, b"id: 1\ndata: a\n\nid: 2\nda")
    b'id: 1\ndata: a\n\n'
    >>> cursor.last_event, cursor.buffer
    (1, b'id: 2\nda')
    """
    cursor.buffer += data
    due: list[bytes] = []
    while (end := cursor.buffer.find(b"\n\n")) >= 0:
        event, cursor.buffer = cursor.buffer[: end + 2], cursor.buffer[end + 2 :]
        number = find_number(event)
        if number is not None:
            last = cursor.last_event
            if last is not None and number <= last:
                continue
            if last is not None and number != last + 1:
                raise EventOrderError(f"event {number} came after event {last}")
            cursor.last_event = number
        due.append(event)
    if len(cursor.buffer) > MAX_EVENT_BYTES:
        raise EventOrderError(f"an event is longer than {MAX_EVENT_BYTES} bytes")
    return b"".join(due)


def find_number(event: bytes) -> int | None:
    """Return the number of an event, or None if it has none.

    Raises
    ------
    EventOrderError
        If the number is no integer.
    """
    for line in event.split(b"\n"):
        name, _, value = line.partition(b":")
        if name == b"id":
            try:
                return int(value)
            except ValueError as error:
                raise EventOrderError(f"event number {value!r} is no integer") from error
    return None
