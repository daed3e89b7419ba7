"""Define the events that every part may receive."""

from typing import Any

from msgspec import Struct

from marjorambridge.core.identity import TimerKey


class Event(Struct):
    """Base of all events.

    Attributes
    ----------
    now : float
        Monotonic time of this host in seconds at which the event took place.
    """

    now: float


class Started(Event):
    """Tell every part that the process has started."""


class ShutdownRequested(Event):
    """Ask for a graceful shutdown, or for an immediate one if `forced`."""

    forced: bool


class TimerFired(Event):
    """Tell the subscribing part that a timer is due."""

    key: TimerKey


class MessageReceived(Event):
    """Deliver a message from another host, or from this one.

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
    """Tell every part that a configuration is in force on this host.

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
    """Tell every part which hosts are live.

    Attributes
    ----------
    index : int
        Index in log group 0 of the entry that made the view.
    view : marjorambridge.core.view.View
        The live and leaving hosts; receivers must not change it.
    """

    index: int
    view: Any


class FreshnessChanged(Event):
    """Tell every part until when this host's configuration and view are known to be current.

    Attributes
    ----------
    fresh_until : float
        Monotonic time in seconds; in the past if the host is not fresh.
    """

    fresh_until: float


class ControlLeaderChanged(Event):
    """Tell that this host learned of another leader of log group 0; empty for none."""

    leader: str
