"""Define the events of the control state."""

from marjorambridge.control.messages import FeedUpdate
from marjorambridge.core.events import Event
from marjorambridge.discovery.models import EndpointReport


class CommandSubmitted(Event):
    """Ask the replica to bring a command into the log; `CommandApplied` answers."""

    command_id: str
    payload: bytes


class CommandWithdrawn(Event):
    """Tell that nobody waits for a command any longer; it may still be applied."""

    command_id: str


class CommandApplied(Event):
    """Tell that this replica applied a command, so that a majority has stored it."""

    command_id: str


class EndpointReported(Event):
    """Deliver the report of an endpoint to this replica."""

    report: EndpointReport


class FleetUpdated(Event):
    """Tell a host what the replica that it follows told.

    Attributes
    ----------
    update : FeedUpdate
        The document is empty unless its version is higher than every earlier one.
    can_apply_endpoints : bool
        Whether the changes of endpoints follow on those that the host knows.
    can_apply_zones : bool
        Whether the drained zones are not older than those that the host knows.
    is_current : bool
        Whether a replica that has applied everything acknowledged stands behind the update.
    """

    update: FeedUpdate
    can_apply_endpoints: bool
    can_apply_zones: bool
    is_current: bool


class FeedLost(Event):
    """Tell that no replica answers this host."""

    unanswered_seconds: float


class FeedRegained(Event):
    """Tell that a replica answers this host again."""

    replica: str
