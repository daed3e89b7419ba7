"""Define the events that every component may receive."""

from typing import Any

from msgspec import Struct

from marjorambridge.core.identity import TimerKey


class Event(Struct):
    """Base of all events.

    Attributes
    ----------
    now : float
        Monotonic time of this host in seconds at which the event occurred.
    """

    now: float


class Started(Event):
    """The process has started."""


class ShutdownRequested(Event):
    """A graceful shutdown was requested, or an immediate one if `forced`."""

    forced: bool


class TimerFired(Event):
    """A timer is due; only the component named in its key receives this."""

    key: TimerKey


class MessageReceived(Event):
    """A message from another host, or from this one, was received.

    Attributes
    ----------
    sender : str
        Host that sent the message.
    incarnation : int
        Incarnation of the sender's process.
    message : Any
        One of the structures in the packages' ``messages`` modules.
    """

    sender: str
    incarnation: int
    message: Any


class ConfigurationApplied(Event):
    """A configuration is in force on this host.

    Attributes
    ----------
    index : int
        Index in log group 0 of the last entry that changed it.
    configuration : marjorambridge.configuration.models.Configuration
        The whole configuration; receivers must not change it.
    """

    index: int
    configuration: Any


class ViewApplied(Event):
    """A new view of the live hosts is in force on this host.

    Attributes
    ----------
    index : int
        Index in log group 0 of the entry that created the view.
    view : marjorambridge.core.view.View
        The live and leaving hosts; receivers must not change it.
    """

    index: int
    view: Any


class FreshnessChanged(Event):
    """The time until which this host's configuration and view are known to be current changed.

    Attributes
    ----------
    fresh_until : float
        Monotonic time in seconds; in the past if the host is not fresh.
    """

    fresh_until: float


class ControlLeaderChanged(Event):
    """The known leader of log group 0 changed; empty if there is none."""

    leader: str
