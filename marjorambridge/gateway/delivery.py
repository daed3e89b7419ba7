"""Follow how far the answers on a connection have reached their caller.

An answer is complete for the program once the kernel has taken it. Its caller may still read it,
while the connection is idle, lingers, or is about to end with the process.
"""

import math
from collections.abc import Iterable

from anyio.abc import SocketAttribute, SocketStream
from loguru import logger
from msgspec import Struct

from marjorambridge.gateway.streams import count_unacknowledged_bytes, count_unsent_bytes
from marjorambridge.transport.progress import PeerProgress, is_unreachable, read_progress

# A caller that has answered nothing for this time is unreachable.
CALLER_SILENCE_SECONDS = 4.0
# When the time of a request is over, its caller may still receive the answer, unless it has read
# nothing for this time.
STALL_SECONDS = 4.0
CHECK_INTERVAL_SECONDS = 0.5
UNREACHABLE, STALLED, MEMORY = "unreachable", "stalled", "memory"


class Delivery(Struct, eq=False):
    """Store what is known of the answers on a connection.

    Attributes
    ----------
    request_id : str
        Identifier of the last request; empty before the first one is decoded.
    arrived_at : float
        Monotonic time in seconds at which the last request arrived.
    ends_at : float
        Monotonic time in seconds at which the time of the last request is over.
    undelivered_bytes : int
        Bytes that the caller had not acknowledged at the last check.
    kernel_bytes : int
        The part of them that the kernel holds.
    acknowledged_bytes : int
        Bytes that the caller had acknowledged at the last check, of all answers together.
    progressed_at : float
        Monotonic time in seconds of the last check that found more bytes acknowledged, or none
        left to acknowledge.
    busy_at : float
        Monotonic time in seconds of the last check that found undelivered bytes.
    """

    stream: SocketStream
    request_id: str = ""
    arrived_at: float = 0.0
    ends_at: float = 0.0
    undelivered_bytes: int = 0
    kernel_bytes: int = 0
    acknowledged_bytes: int = -1
    progressed_at: float = -math.inf
    busy_at: float = -math.inf


def count_undelivered_bytes(stream: SocketStream) -> int:
    """Return the bytes that the caller has not acknowledged, as far as that is known."""
    return max(0, count_unsent_bytes(stream)) + max(0, count_unacknowledged_bytes(stream))


def check_delivery(delivery: Delivery, now: float) -> PeerProgress | None:
    """Update what is known, and return the state of the caller.

    It is None if there is nothing to deliver, or if the kernel can't tell.

    Raises
    ------
    OSError
        If the connection is closed.
    """
    delivery.kernel_bytes = max(0, count_unacknowledged_bytes(delivery.stream))
    delivery.undelivered_bytes = delivery.kernel_bytes + max(0, count_unsent_bytes(delivery.stream))
    if not delivery.undelivered_bytes:
        delivery.progressed_at = now
        return None
    delivery.busy_at = now
    progress = read_progress(delivery.stream.extra(SocketAttribute.raw_socket))
    if progress is not None and progress.acknowledged_bytes > delivery.acknowledged_bytes:
        delivery.acknowledged_bytes = progress.acknowledged_bytes
        delivery.progressed_at = now
    return progress


def find_fault(delivery: Delivery, progress: PeerProgress | None, now: float) -> str:
    """Return why an answer can't be delivered; empty if it can.

    A caller that reads slowly, or not at all for a while, is served until the time of its request
    is over, and after that as long as it reads.
    """
    if progress is None:
        return ""
    if is_unreachable(progress, CALLER_SILENCE_SECONDS):
        return UNREACHABLE
    if now >= delivery.ends_at and now - delivery.progressed_at >= STALL_SECONDS:
        return STALLED
    return ""


def select_excess(deliveries: Iterable[Delivery], limit_bytes: int, now: float) -> list[Delivery]:
    """Return the deliveries to end, so that the kernel holds no more than a limit for the others.

    Those whose time is over end first, and among them those that have made no progress for the
    longest time.
    """
    waiting = [delivery for delivery in deliveries if delivery.kernel_bytes]
    excess = sum(delivery.kernel_bytes for delivery in waiting) - limit_bytes
    if excess <= 0:
        return []
    waiting.sort(key=lambda delivery: (now < delivery.ends_at, delivery.progressed_at))
    selected = []
    for delivery in waiting:
        if excess <= 0:
            break
        excess -= delivery.kernel_bytes
        selected.append(delivery)
    return selected


def log_failure(delivery: Delivery, error: BaseException, now: float) -> None:
    """Log that a connection failed before its caller had received an answer.

    The cause is the error of the operating system.
    """
    logger.bind(
        request=delivery.request_id,
        error=repr(error.__cause__ or error),
        seconds=round(now - delivery.arrived_at, 3),
        unacknowledged_bytes=delivery.undelivered_bytes,
    ).info("a connection failed before its caller had received an answer")


def log_reset(delivery: Delivery, reason: str, progress: PeerProgress | None, now: float) -> None:
    """Log that a connection is reset, because its answer can't be delivered."""
    logger.bind(
        request=delivery.request_id,
        reason=reason,
        seconds=round(now - delivery.arrived_at, 3),
        silent_seconds=round(progress.silent_seconds, 3) if progress is not None else 0.0,
        unacknowledged_bytes=delivery.undelivered_bytes,
    ).warning("a connection is reset, because an answer can't be delivered")
