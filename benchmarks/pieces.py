"""Measure the work for one event by its length and by the size of the pieces it arrives in."""

import time

from marjorambridge.gateway.events import MAX_EVENT_PIECES, StreamCursor, extract_events

EVENT_BYTES = (1_000, 4_000, 16_000, 64_000)
PIECE_BYTES = (1, 16, 256, 4_096)
REPEATS = 20


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


def main() -> None:
    """Print the microseconds of each combination, and of one search of the whole event."""
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
