"""Build the node of a host that stores a replica of the control log."""

from msgspec import Struct

from marjorambridge.conf import defaults
from marjorambridge.control import replica as control
from marjorambridge.control import state as control_state
from marjorambridge.control.events import CommandApplied
from marjorambridge.core.effects import Effect
from marjorambridge.core.reducer import Component, Node, create_node
from marjorambridge.replication import events as log_events
from marjorambridge.replication import reducer as replication
from marjorambridge.replication.models import RecoveredReplica
from marjorambridge.replication.quorums import has_leader_contact
from marjorambridge.replication.recovery import recover
from marjorambridge.replication.state import ReplicationSettings

NOTIFIED_EVENTS = frozenset(
    {
        CommandApplied,
        log_events.LeadershipChanged,
        log_events.RepairStatus,
        log_events.ReplicaHalted,
    }
)


class ReplicaNodeSettings(Struct):
    """Hold the settings of a replica's node.

    Attributes
    ----------
    host : str
        ``ip:port`` at which other hosts reach this one; also its name.
    founders : tuple of str
        Replicas that create the group from empty disks.
    report_interval_seconds : float
        Time between two reports of an endpoint.
    """

    host: str
    zone: str
    founders: tuple[str, ...]
    bootstrap: bool
    incarnation: int
    report_interval_seconds: float


def compose_replica(
    settings: ReplicaNodeSettings, recovered: RecoveredReplica, now: float
) -> tuple[Node, list[Effect]]:
    """Build the node and return it with the effects of its recovery.

    Parameters
    ----------
    recovered : RecoveredReplica
        Replica state recovered from storage.
    now : float
        Monotonic time in seconds.
    """
    replication_settings = ReplicationSettings(
        settings.host,
        settings.founders,
        groups=1,
        bootstrap=settings.bootstrap,
        max_appends_in_flight=defaults.MAX_CONTROL_APPENDS_IN_FLIGHT,
        unresponsive_voter_seconds=defaults.UNRESPONSIVE_VOTER_SECONDS,
    )
    log, effects = recover(replication_settings, recovered, settings.incarnation, now)

    def has_contact(now: float) -> bool:
        group = log.groups[control_state.CONTROL_GROUP]
        return has_leader_contact(group, defaults.LEADER_CONTACT_TIMEOUT_SECONDS, now)

    state = control_state.create_state(
        settings.host,
        settings.zone,
        settings.incarnation,
        settings.report_interval_seconds,
        has_contact,
    )
    parts = [
        Component(
            "replication",
            log,
            replication.step,
            frozenset(replication.EVENT_HANDLERS),
            frozenset(replication.BOOTSTRAP_HANDLERS) | frozenset(replication.GROUP_HANDLERS),
        ),
        Component("control", state, control.step, control.EVENTS, control.MESSAGES),
    ]
    return create_node(settings.host, settings.incarnation, parts, NOTIFIED_EVENTS), effects
