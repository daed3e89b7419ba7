"""Identify attempts, timers and host processes."""

from msgspec import Struct


class AttemptId(Struct, frozen=True, order=True):
    """Identifier of one attempt to run a request, and of the permit that it uses.

    Attributes
    ----------
    host : str
        Host that makes the attempt.
    incarnation : int
        Incarnation of that host's process, larger after each restart.
    number : int
        Serial number within the incarnation.

    Examples
    --------
    >>> str(AttemptId("host-1", 7, 42))
    'host-1:7:42'
    """

    host: str
    incarnation: int
    number: int

    def __str__(self) -> str:
        """Return the text form that endpoints and logs use."""
        return f"{self.host}:{self.incarnation}:{self.number}"


def parse_attempt_id(text: str) -> AttemptId:
    """Parse the text form of an attempt identifier.

    Raises
    ------
    ValueError
        If the text does not have three parts or a number is malformed.

    Examples
    --------
    >>> parse_attempt_id("host-1:7:42").number
    42
    """
    host, incarnation, number = text.rsplit(":", 2)
    return AttemptId(host, int(incarnation), int(number))


class TimerKey(Struct, frozen=True, order=True):
    """Identifier of a timer; setting a timer with an equal key replaces the earlier one.

    Attributes
    ----------
    part : str
        Name of the component that set it, such as ``"limits"``; its reducer receives the event.
    name : str
        Purpose within the component.
    ident : str
        Object that the timer is for, or empty.
    """

    part: str
    name: str
    ident: str = ""
