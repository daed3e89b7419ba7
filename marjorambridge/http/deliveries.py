"""Judge how far a caller has received what was written to its connection."""

from msgspec import Struct

from marjorambridge.transport.progress import PeerProgress, is_unreachable


class Delivery(Struct):
    """What was seen of the delivery of an answer that the program has written.

    Attributes
    ----------
    began_at, moved_at : float
        Monotonic times in seconds at which the last answer was complete for the program, and at
        which bytes of it were last seen to arrive.
    unsent_bytes : int
        Bytes that the caller had not acknowledged when they were last counted.
    unanswered_since : float or None
        Monotonic time in seconds at which the system of the caller was first seen not to answer;
        None while it answers.
    """

    began_at: float
    moved_at: float
    unsent_bytes: int = 0
    unanswered_since: float | None = None


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


def note_progress(delivery: Delivery, progress: PeerProgress, now: float) -> None:
    """Take what the kernel knows of the system of the caller."""
    if not progress.unanswered:
        delivery.unanswered_since = None
    elif delivery.unanswered_since is None:
        delivery.unanswered_since = now


def has_vanished(
    delivery: Delivery, progress: PeerProgress, timeout_seconds: float, now: float
) -> bool:
    """Return whether the system of a caller has not answered for a time.

    The time since its last acknowledgement alone is not enough: it also passes while an engine
    writes nothing.

    Examples
    --------
    >>> delivery, progress = Delivery(0.0, 0.0, unanswered_since=30.0), PeerProgress(2, 30.7)
    >>> has_vanished(delivery, progress, 4.0, 30.7), has_vanished(delivery, progress, 4.0, 34.0)
    (False, True)
    """
    since = delivery.unanswered_since
    is_long = since is not None and now - since >= timeout_seconds
    return is_long and is_unreachable(progress, timeout_seconds)
