"""Measure the work for the bytes of endpoints.

By length and size of the pieces for one event, and by kind of byte and size of the pieces for
answers in chunks, with the HTTP parser.
"""

import time

import h11

from marjorambridge.gateway.events import (
    MAX_EVENT_PIECES,
    EventOrderError,
    StreamCursor,
    extract_events,
    reset_attempt,
)

EVENT_BYTES = (1_000, 4_000, 16_000, 64_000)
PIECE_BYTES = (1, 16, 256, 4_096)
REPEATS = 20
# Kinds of bytes without progress, and events, as the text that fills a piece.
KINDS = {
    "one event": b"x",
    "line ends": b"\n",
    "starts of events": b"id: 1\n",
    "comments": b":\n\n",
    "events": b"data: x\n\n",
}
CHUNKS = 500
HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


def measure_event(size: int, piece: int) -> float:
    """Return the seconds in which an event is read."""
    event = b"id: 1\ndata: " + b"x" * (size - 14) + b"\n\n"
    pieces = [event[first : first + piece] for first in range(0, size, piece)]
    began = time.perf_counter()
    for _ in range(REPEATS):
        cursor = StreamCursor()
        for part in pieces:
            extract_events(cursor, part)
    return (time.perf_counter() - began) / REPEATS


def measure_scan(size: int) -> float:
    """Return the seconds in which an event is searched once."""
    event = b"x" * size
    began = time.perf_counter()
    for _ in range(REPEATS):
        event.find(b"\n\n")
    return (time.perf_counter() - began) / REPEATS


def measure_kind(text: bytes, piece: int) -> float:
    """Return the seconds of processor time for a chunk of an answer, with the HTTP parser."""
    data = text * max(1, piece // len(text))
    chunks = (b"%x\r\n%s\r\n" % (len(data), data)) * CHUNKS
    connection = h11.Connection(h11.CLIENT)
    headers = [(b"Host", b"x")]
    connection.send(h11.Request(method=b"GET", target=b"/", headers=headers))
    connection.send(h11.EndOfMessage())
    connection.receive_data(HEAD)
    connection.next_event()
    cursor = StreamCursor()
    began = time.thread_time()
    connection.receive_data(chunks)
    while isinstance(event := connection.next_event(), h11.Data):
        try:
            extract_events(cursor, bytes(event.data))
        except EventOrderError:
            # The attempt would end here; the rest is measured as that of another one.
            reset_attempt(cursor)
    return (time.thread_time() - began) / CHUNKS


def main() -> None:
    """Print the microseconds of each combination, and of one search of the whole event."""
    print("kind, piece bytes, microseconds a chunk")
    for kind, text in KINDS.items():
        for piece in PIECE_BYTES:
            print(f"{kind:17} {piece:6} {measure_kind(text, piece) * 1e6:8.2f}")
    print("event bytes, piece bytes, microseconds, microseconds a piece, one search")
    for size in EVENT_BYTES:
        for piece in PIECE_BYTES:
            count = -(-size // piece)
            if count > MAX_EVENT_PIECES:
                continue
            seconds = measure_event(size, piece)
            print(
                f"{size:7} {piece:6} {seconds * 1e6:10.1f} {seconds / count * 1e6:8.2f} "
                f"{measure_scan(size) * 1e6:8.2f}"
            )


if __name__ == "__main__":
    main()
