"""Judge how far a caller has received what was written to its connection."""

from msgspec import Struct


class Delivery(Struct):
    """What was seen of the delivery of an answer that the program has written.

    Attributes
    ----------
    began_at, moved_at : float
        Monotonic times in seconds at which the last answer was complete for the program, and at
        which bytes of it were last seen to arrive.
    unsent_bytes : int
        Bytes that the caller had not acknowledged when they were last counted.
    """

    began_at: float
    moved_at: float
    unsent_bytes: int = 0


def restart(delivery: Delivery, now: float) -> None:
    """Begin anew, because an answer is complete for the program."""
    delivery.began_at = delivery.moved_at = now


def count(delivery: Delivery, unsent_bytes: int, now: float) -> None:
    """Take the bytes that the caller has not acknowledged."""
    if unsent_bytes != delivery.unsent_bytes:
        delivery.moved_at = now
    delivery.unsent_bytes = unsent_bytes


def is_given_up(
    delivery: Delivery, pause_seconds: float, timeout_seconds: float, now: float
) -> bool:
    """Return whether a caller took nothing of an answer for too long, or too long for all of it.

    Examples
    --------
    >>> slow = Delivery(began_at=0.0, moved_at=80.0, unsent_bytes=9)
    >>> is_given_up(slow, 75.0, 600.0, 90.0), is_given_up(slow, 75.0, 600.0, 155.0)
    (False, True)
    """
    is_paused = now - delivery.moved_at >= pause_seconds
    return delivery.unsent_bytes > 0 and (is_paused or now - delivery.began_at >= timeout_seconds)
