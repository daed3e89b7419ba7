"""Detect connections that fell silent, by acknowledgements of the frames that were received.

A connection may pass nothing any longer without being reset, and what is between two hosts may
still acknowledge the segments of TCP. The acceptor therefore returns the number of frames that it
has read, and the dialer closes a connection on which frames stay unacknowledged. The numbers are
not authenticated: a forged one can only hide that a connection is silent, or that a frame was lost.
"""

import contextlib
import struct
from collections import deque
from typing import Any

import anyio
from anyio.abc import ByteStream
from anyio.streams.buffered import BufferedByteReceiveStream
from msgspec import Struct, field

COUNT = struct.Struct(">Q")
# Frames that arrive within this time share one acknowledgement.
ACKNOWLEDGEMENT_INTERVAL_SECONDS = 0.1
# A connection whose frames are unacknowledged for this long is silent, or its peer is.
ACKNOWLEDGEMENT_TIMEOUT_SECONDS = 1.0
STREAM_ERRORS = (
    OSError,
    anyio.EndOfStream,
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
    anyio.IncompleteRead,
)


class ReceivedFrames(Struct):
    """Frames that an acceptor has read.

    Attributes
    ----------
    changed : anyio.Event
        Set when frames were read since the last acknowledgement, and when the connection ended.
    """

    count: int = 0
    ended: bool = False
    changed: anyio.Event = field(default_factory=anyio.Event)


def count_received(frames: ReceivedFrames) -> None:
    """Count a frame that was read."""
    frames.count += 1
    frames.changed.set()


def end_received(frames: ReceivedFrames) -> None:
    """End the acknowledgements of a connection."""
    frames.ended = True
    frames.changed.set()


async def send_acknowledgements(stream: ByteStream, frames: ReceivedFrames) -> None:
    """Acknowledge the frames of a connection until it ends."""
    with contextlib.suppress(*STREAM_ERRORS):
        while True:
            await frames.changed.wait()
            if frames.ended:
                return
            frames.changed = anyio.Event()
            await stream.send(COUNT.pack(frames.count))
            await anyio.sleep(ACKNOWLEDGEMENT_INTERVAL_SECONDS)


class SentBatch(Struct):
    """Frames that were sent together.

    Attributes
    ----------
    last : int
        Number of the last frame on its connection, counted from 1.
    sent_at : float
        Monotonic time in seconds.
    messages : list
        What the frames carry, in order.
    """

    last: int
    sent_at: float
    messages: list[Any]


class SentFrames(Struct):
    """Frames that a dialer has sent.

    Attributes
    ----------
    is_acknowledged : bool
        Whether the acceptor sends acknowledgements; hosts of older versions do not.
    acknowledged : int
        Number of the last frame that the acceptor has read.
    batches : deque of SentBatch
        Batches that are not completely acknowledged, the oldest first.
    """

    is_acknowledged: bool
    acknowledged: int = 0
    batches: deque[SentBatch] = field(default_factory=deque)


def record_batch(frames: SentFrames, batch: SentBatch) -> None:
    """Record that a batch is sent."""
    if frames.is_acknowledged:
        frames.batches.append(batch)


def record_acknowledgement(frames: SentFrames, count: int) -> None:
    """Record that the acceptor has read `count` frames."""
    frames.acknowledged = count
    while frames.batches and frames.batches[0].last <= count:
        frames.batches.popleft()


def list_unacknowledged(frames: SentFrames) -> list[Any]:
    """Return what the frames carry that the acceptor may not have read, in order.

    Examples
    --------
    >>> frames = SentFrames(is_acknowledged=True)
    >>> record_batch(frames, SentBatch(2, 5.0, ["a", "b"]))
    >>> record_batch(frames, SentBatch(3, 5.5, ["c"]))
    >>> record_acknowledgement(frames, 1)
    >>> list_unacknowledged(frames)
    ['b', 'c']
    """
    return [
        message
        for batch in frames.batches
        for number, message in enumerate(batch.messages, batch.last - len(batch.messages) + 1)
        if number > frames.acknowledged
    ]


def compute_timeout(frames: SentFrames) -> float | None:
    """Return the time at which the connection counts as silent; None if nothing is outstanding.

    Examples
    --------
    >>> frames = SentFrames(is_acknowledged=True)
    >>> record_batch(frames, SentBatch(2, 5.0, ["a", "b"]))
    >>> record_batch(frames, SentBatch(3, 5.5, ["c"]))
    >>> record_acknowledgement(frames, 2)
    >>> compute_timeout(frames) - ACKNOWLEDGEMENT_TIMEOUT_SECONDS
    5.5
    >>> record_acknowledgement(frames, 3)
    >>> compute_timeout(frames) is None
    True
    """
    return frames.batches[0].sent_at + ACKNOWLEDGEMENT_TIMEOUT_SECONDS if frames.batches else None


async def read_acknowledgements(
    reader: BufferedByteReceiveStream, frames: SentFrames, scope: anyio.CancelScope
) -> None:
    """Record acknowledgements until the connection is closed, and then cancel `scope`."""
    with contextlib.suppress(*STREAM_ERRORS):
        while frames.is_acknowledged:
            (count,) = COUNT.unpack(await reader.receive_exactly(COUNT.size))
            record_acknowledgement(frames, count)
        # An acceptor without acknowledgements sends nothing after its handshake.
        await reader.receive()
    scope.cancel()
