"""Detect connections that fell silent, by acknowledgements of the frames that were received.

A connection may pass nothing any longer without being reset, and what is between two hosts may
still acknowledge the segments of TCP. The acceptor therefore returns the number of frames that it
has read, and the dialer closes a connection on which frames stay unacknowledged. The numbers are
not authenticated: a forged one can only hide that a connection is silent, or that a frame was lost.

A peer that reads slowly is not silent: each frame that it acknowledges counts as progress, and so
does each byte of the oldest frames that its system acknowledges. Bytes of later frames do not, so
that a connection on which frames reach no program is closed, although its messages are regular.
"""

import contextlib
import math
import struct
import time
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
    end : int
        Bytes of all frames of the connection up to the last one.
    """

    last: int
    sent_at: float
    messages: list[Any]
    end: int = 0


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
    progressed_at : float
        Monotonic time in seconds at which the acceptor read a frame, or its system a part of the
        oldest batch.
    sent_bytes, delivered_bytes : int
        Bytes of the frames that were sent, and of those that the system of the acceptor has.
    delivered_at : float
        Monotonic time in seconds since which bytes are on their way and none has arrived.
    has_bytes : anyio.Event
        Set while bytes may be on their way.
    handshake_bytes : int or None
        Bytes that were sent before the first frame; None if the kernel can't tell what the system
        of the acceptor has. Frames then count as delivered once the own kernel has them.
    """

    is_acknowledged: bool
    acknowledged: int = 0
    batches: deque[SentBatch] = field(default_factory=deque)
    progressed_at: float = -math.inf
    sent_bytes: int = 0
    delivered_bytes: int = 0
    delivered_at: float = -math.inf
    has_bytes: anyio.Event = field(default_factory=anyio.Event)
    handshake_bytes: int | None = None


def record_batch(frames: SentFrames, batch: SentBatch, size: int) -> None:
    """Record that a batch of `size` bytes is sent."""
    if not is_under_way(frames):
        frames.delivered_at = batch.sent_at
    frames.sent_bytes += size
    frames.has_bytes.set()
    batch.end = frames.sent_bytes
    if frames.is_acknowledged:
        frames.batches.append(batch)


def record_acknowledgement(frames: SentFrames, count: int, now: float) -> None:
    """Record that the acceptor has read `count` frames."""
    if count > frames.acknowledged:
        frames.progressed_at = frames.delivered_at = now
    frames.acknowledged = count
    while frames.batches and frames.batches[0].last <= count:
        frames.batches.popleft()


def is_under_way(frames: SentFrames) -> bool:
    """Return whether the system of the acceptor may lack bytes of the frames."""
    return frames.delivered_bytes < frames.sent_bytes


def record_delivery(frames: SentFrames, delivered_bytes: int, now: float) -> None:
    """Record how many bytes of the frames the system of the acceptor has.

    Examples
    --------
    >>> frames = SentFrames(is_acknowledged=True)
    >>> record_batch(frames, SentBatch(1, 5.0, ["a"]), 1_000)
    >>> record_batch(frames, SentBatch(2, 5.1, ["b"]), 1_000)
    >>> record_delivery(frames, 500, 6.0)
    >>> record_delivery(frames, 1_000, 6.5)
    >>> record_delivery(frames, 2_000, 7.0)
    >>> frames.progressed_at, frames.delivered_at
    (6.5, 7.0)
    """
    if delivered_bytes <= frames.delivered_bytes:
        return
    if frames.batches and frames.delivered_bytes < frames.batches[0].end:
        frames.progressed_at = max(frames.progressed_at, now)
    frames.delivered_bytes = delivered_bytes
    frames.delivered_at = max(frames.delivered_at, now)


def list_unacknowledged(frames: SentFrames) -> list[Any]:
    """Return what the frames carry that the acceptor may not have read, in order.

    Examples
    --------
    >>> frames = SentFrames(is_acknowledged=True)
    >>> record_batch(frames, SentBatch(2, 5.0, ["a", "b"]), 200)
    >>> record_batch(frames, SentBatch(3, 5.5, ["c"]), 100)
    >>> record_acknowledgement(frames, 1, 5.6)
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
    >>> record_batch(frames, SentBatch(2, 5.0, ["a", "b"]), 200)
    >>> compute_timeout(frames) - ACKNOWLEDGEMENT_TIMEOUT_SECONDS
    5.0
    >>> record_acknowledgement(frames, 1, 5.5)
    >>> compute_timeout(frames) - ACKNOWLEDGEMENT_TIMEOUT_SECONDS
    5.5
    >>> record_acknowledgement(frames, 2, 5.6)
    >>> compute_timeout(frames) is None
    True
    """
    if not frames.batches:
        return None
    return max(frames.batches[0].sent_at, frames.progressed_at) + ACKNOWLEDGEMENT_TIMEOUT_SECONDS


async def read_acknowledgements(
    reader: BufferedByteReceiveStream, frames: SentFrames, scope: anyio.CancelScope
) -> None:
    """Record acknowledgements until the connection is closed, and then cancel `scope`."""
    with contextlib.suppress(*STREAM_ERRORS):
        while frames.is_acknowledged:
            (count,) = COUNT.unpack(await reader.receive_exactly(COUNT.size))
            record_acknowledgement(frames, count, time.monotonic())
        # An acceptor without acknowledgements sends nothing after its handshake.
        await reader.receive()
    scope.cancel()
