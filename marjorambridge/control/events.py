"""Define the events of the control state."""

from marjorambridge.control.messages import FeedUpdate
from marjorambridge.core.events import Event
from marjorambridge.discovery.models import EndpointReport


class CommandSubmitted(Event):
    """A command was submitted to the log; `CommandApplied` confirms it."""

    command_id: str
    payload: bytes


class CommandWithdrawn(Event):
    """No caller waits for a command any longer; it may still be applied."""

    command_id: str


class CommandApplied(Event):
    """A command was applied by this replica, so a majority has stored it."""

    command_id: str


class EndpointReported(Event):
    """An endpoint sent a report to this replica."""

    report: EndpointReport


class FleetUpdated(Event):
    """A replica sent an update of the manifest, the zones and the endpoints to this host.

    Attributes
    ----------
    update : FeedUpdate
        The document is empty unless its version is higher than every earlier one.
    can_apply_endpoints : bool
        Whether the endpoint changes continue the table that the host holds.
    can_apply_zones : bool
        Whether the drained zones are at least as recent as those that the host holds.
    is_current : bool
        Whether the sending replica had applied every acknowledged command.
    """

    update: FeedUpdate
    can_apply_endpoints: bool
    can_apply_zones: bool
    is_current: bool


class FeedLost(Event):
    """No replica answers the polls of this host."""

    unanswered_seconds: float


class FeedRegained(Event):
    """A replica answers the polls of this host again."""

    replica: str
