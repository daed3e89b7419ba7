"""Define the state of a replica's control part."""

from collections.abc import Callable

from msgspec import Struct, field

from marjorambridge.control.commands import EndpointRecord
from marjorambridge.control.state_machine import ControlState
from marjorambridge.core.identity import TimerKey
from marjorambridge.discovery.table import EndpointTable

CONTROL_GROUP = 0
TICK = TimerKey("control", "tick")
PUSH = TimerKey("control", "push")


class PendingCommand(Struct):
    """A submitted command that this replica has not applied yet."""

    payload: bytes
    sent_at: float


class Subscriber(Struct):
    """The state that was sent to a host that polls this replica.

    Attributes
    ----------
    revision : int
        Revision of the endpoint table that was sent, or that the host reported; -1 for none.
    index, version : int
        Last control index and manifest version that were sent.
    may_be_old : bool
        Whether the host also accepts a manifest from a replica that is not current.
    table_digest : int
        Digest of the endpoints that the host held at its last poll; 0 for none.
    hosts : tuple of str
        List of hosts that was sent last.
    """

    polled_at: float
    zone: str
    revision: int = -1
    index: int = -1
    version: int = 0
    may_be_old: bool = True
    table_digest: int = 0
    current: bool = False
    hosts: tuple[str, ...] = ()


class RemoteSubscriber(Struct):
    """A host that polls another replica, and the time when that replica last reported it."""

    reported_at: float
    zone: str


class ControlReplicaState(Struct):
    """Hold the state of a replica's control part.

    Attributes
    ----------
    has_contact : callable
        Takes monotonic seconds; returns whether this replica leads or had recent contact with the
        leader.
    last_gossip_at : dict of str to float
        Monotonic time in seconds of the last gossip from each of the other replicas.
    barrier : str
        Identifier of the read barrier in progress; empty if there is none.
    commands : int
        Number of commands that originated at this replica.
    pending_gossip : dict of str to None
        Endpoints whose entry changed by a report to this replica and was not sent to the other
        replicas yet.
    unregistered : dict of str to EndpointRecord
        Endpoints that reported here and are not in the log yet.
    registration_id : str
        Identifier of the command in progress that registers or removes endpoints; empty if there
        is none.
    confirmed : bool
        Whether a read barrier was applied since contact with the leader was last lost.
    unconfirmed_since : float
        Monotonic time in seconds at which this replica started or last lost contact.
    digest, digest_revision : int
        Digest of the endpoint table, and the revision for which it was computed.
    is_push_scheduled : bool
        Whether the timer is set that pushes table changes to hosts.
    """

    host: str
    zone: str
    incarnation: int
    has_contact: Callable[[float], bool]
    table: EndpointTable
    control: ControlState = field(default_factory=ControlState)
    pending: dict[str, PendingCommand] = field(default_factory=dict)
    leader: str = ""
    is_leader: bool = False
    members: tuple[str, ...] = ()
    zones: dict[str, str] = field(default_factory=dict)
    subscribers: dict[str, Subscriber] = field(default_factory=dict)
    remote_subscribers: dict[str, RemoteSubscriber] = field(default_factory=dict)
    pending_gossip: dict[str, None] = field(default_factory=dict)
    gossip_sent_at: float = 0.0
    last_gossip_at: dict[str, float] = field(default_factory=dict)
    recently_reported: dict[str, None] = field(default_factory=dict)
    barrier: str = ""
    commands: int = 0
    unregistered: dict[str, EndpointRecord] = field(default_factory=dict)
    registration_id: str = ""
    confirmed: bool = False
    unconfirmed_since: float = 0.0
    digest: int = 0
    digest_revision: int = -1
    is_push_scheduled: bool = False
    halted: str = ""


def create_state(
    host: str,
    zone: str,
    incarnation: int,
    report_interval_seconds: float,
    has_contact: Callable[[float], bool],
) -> ControlReplicaState:
    """Return the state of a replica that has just started."""
    table = EndpointTable(report_interval_seconds)
    return ControlReplicaState(host, zone, incarnation, has_contact, table, zones={host: zone})


def is_current(state: ControlReplicaState, now: float) -> bool:
    """Return whether this replica has applied every command that was acknowledged before."""
    return state.confirmed and not state.halted and state.has_contact(now)
