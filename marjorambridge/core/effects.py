"""Define the effects that every component may return."""

from typing import Any

from msgspec import Struct, field

from marjorambridge.core.events import Event
from marjorambridge.core.identity import TimerKey


class Effect(Struct):
    """Base of all effects; a driver or the node reducer executes them."""


class SendMessage(Effect):
    """Send a message to a host; delivery is not guaranteed. A message to this host loops back."""

    to: str
    message: Any


class SendExpiringMessage(SendMessage):
    """Send a message that is valid for a short time only.

    Attributes
    ----------
    lifetime : float
        Time in seconds for which the message may wait to be sent, or to be sent again.
    """

    lifetime: float


class SetTimer(Effect):
    """Set a timer for monotonic time `at` in seconds; replaces a timer with an equal key."""

    key: TimerKey
    at: float


class CancelTimer(Effect):
    """Remove a timer, if it is set."""

    key: TimerKey


class Publish(Effect):
    """Deliver an event to the subscribed components of this host before the next external event."""

    event: Event


class Notify(Effect):
    """Deliver an internal event to the driver as well, because it concerns the process."""

    event: Event


class WriteLog(Effect):
    """Write one structured log line."""

    level: str
    message: str
    fields: dict[str, Any] = field(default_factory=dict)


class Measure(Effect):
    """Record a value in the metric `name`.

    Attributes
    ----------
    name : str
        Name from `marjorambridge.telemetry.metrics`.
    value : float
        Increment of a counter, new value of a gauge, or observation of a histogram.
    labels : dict of str to str
        Values from bounded sets only.
    """

    name: str
    value: float = 1.0
    labels: dict[str, str] = field(default_factory=dict)


class RecordSpan(Effect):
    """Record one span of a request for the traces.

    Attributes
    ----------
    trace : str
        Value of the caller's ``traceparent`` header, or the request's identifier.
    span, parent : str
        Names of this span and of its parent, unique within the trace; the root span has an empty
        parent.
    start, end : float
        Monotonic times of this host in seconds.
    """

    trace: str
    span: str
    parent: str
    start: float
    end: float
    attributes: dict[str, Any] = field(default_factory=dict)
