"""Follow how far the answers on a connection have reached their caller.

An answer is complete for the program once the kernel has taken it. Its caller may still read it,
while the connection is idle, lingers, or is about to end with the process.
"""

import math
from collections.abc import Callable, Iterable

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
        Monotonic time in seconds at which the time of the last request is over, and that of earlier
        ones whose answers were not delivered before it.
    earlier_ends_at : float
        The part of this for earlier requests; 0 if their answers were delivered.
    undelivered_bytes : int
        Bytes that the caller had not acknowledged at the last check.
    kernel_bytes : int
        The part of them that the kernel holds.
    acknowledged_bytes : int
        Bytes that the caller had acknowledged at the last check, of all answers together.
    progressed_at : float
        Monotonic time in seconds of the last check that found more bytes acknowledged, or none
        left to acknowledge, or of a request that arrived in that state.
    busy_at : float
        Monotonic time in seconds of the last check that found undelivered bytes.
    is_settled : bool
        Whether the last check found nothing to deliver, and no request was served after it.
    """

    stream: SocketStream
    request_id: str = ""
    arrived_at: float = 0.0
    ends_at: float = 0.0
    earlier_ends_at: float = 0.0
    undelivered_bytes: int = 0
    kernel_bytes: int = 0
    acknowledged_bytes: int = -1
    progressed_at: float = -math.inf
    busy_at: float = -math.inf
    is_settled: bool = True


def count_undelivered_bytes(stream: SocketStream) -> int:
    """Return the bytes that the caller has not acknowledged, as far as that is known."""
    return max(0, count_unsent_bytes(stream)) + max(0, count_unacknowledged_bytes(stream))


def start_request(delivery: Delivery, now: float, seconds: float) -> None:
    """Record that a request arrived, which may take some seconds until its own time is known."""
    is_delivered = not count_undelivered_bytes(delivery.stream)
    delivery.earlier_ends_at = 0.0 if is_delivered else delivery.ends_at
    if is_delivered:
        delivery.progressed_at = now
    delivery.arrived_at, delivery.request_id = now, ""
    set_end(delivery, now + seconds)


def set_end(delivery: Delivery, ends_at: float) -> None:
    """Set the monotonic time in seconds at which the time of the last request is over."""
    delivery.ends_at = max(delivery.earlier_ends_at, ends_at)


def check_delivery(delivery: Delivery, now: float) -> PeerProgress | None:
    """Update what is known, and return the state of the caller.

    It is None if there is nothing to deliver, or if the kernel can't tell.

    Raises
    ------
    OSError
        If the connection is closed.
    """
    before = delivery.undelivered_bytes
    delivery.kernel_bytes = max(0, count_unacknowledged_bytes(delivery.stream))
    delivery.undelivered_bytes = delivery.kernel_bytes + max(0, count_unsent_bytes(delivery.stream))
    delivery.is_settled = not delivery.undelivered_bytes
    if delivery.is_settled:
        delivery.progressed_at = now
        return None
    delivery.busy_at = now
    progress = read_progress(delivery.stream.extra(SocketAttribute.raw_socket))
    if delivery.undelivered_bytes < before:
        # Some kernels don't report acknowledged bytes.
        delivery.progressed_at = now
    if progress is not None and progress.acknowledged_bytes > delivery.acknowledged_bytes:
        delivery.acknowledged_bytes = progress.acknowledged_bytes
        delivery.progressed_at = now
    return progress


def find_fault(delivery: Delivery, progress: PeerProgress | None, now: float) -> str:
    """Return why an answer can't be delivered; empty if it can.

    A caller that reads slowly, or not at all for a while, is served until the time of its request
    is over, and after that as long as it reads.
    """
    if progress is not None and is_unreachable(progress, CALLER_SILENCE_SECONDS):
        return UNREACHABLE
    if not delivery.undelivered_bytes:
        return ""
    if now >= delivery.ends_at and now - delivery.progressed_at >= STALL_SECONDS:
        return STALLED
    return ""


def select_excess(deliveries: Iterable[Delivery], limit_bytes: int, now: float) -> list[Delivery]:
    """Return the deliveries to end, so that the kernel holds no more than a limit for the others.

    Those whose time is over end first, and among them those that have made no progress for the
    longest time.
    """
    return _select(deliveries, lambda delivery: delivery.kernel_bytes, limit_bytes, now)


def select_late(deliveries: Iterable[Delivery], limit_bytes: int, now: float) -> list[Delivery]:
    """Return the deliveries to end, whose time is over and which hold memory of this process.

    Those that have made no progress for the longest time end first, until the process holds no more
    than a limit for such answers.
    """
    late = (delivery for delivery in deliveries if now >= delivery.ends_at)
    return _select(
        late, lambda delivery: delivery.undelivered_bytes - delivery.kernel_bytes, limit_bytes, now
    )


def _select(
    deliveries: Iterable[Delivery],
    count: Callable[[Delivery], int],
    limit_bytes: int,
    now: float,
) -> list[Delivery]:
    sizes = {delivery: size for delivery in deliveries if (size := count(delivery)) > 0}
    excess = sum(sizes.values()) - limit_bytes
    selected: list[Delivery] = []
    for delivery in sorted(sizes, key=lambda item: (now < item.ends_at, item.progressed_at)):
        if excess <= 0:
            break
        excess -= sizes[delivery]
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
