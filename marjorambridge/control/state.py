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
    """Hold a command until this replica has applied it."""

    payload: bytes
    sent_at: float


class Subscriber(Struct):
    """Hold what a host was told.

    Attributes
    ----------
    revision : int
        Revision of the endpoint table up to which the host was told; -1 for nothing.
    index, version : int
        Last control index and manifest version that were sent.
    may_be_old : bool
        Whether the host also takes a manifest of a replica that is not current.
    table_digest : int
        Digest of the endpoints that the host knew at its last poll; 0 for none.
    hosts : tuple of str
        Hosts that were named last.
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
    """Hold a host that follows another replica, and when that replica last said so."""

    reported_at: float
    zone: str


class ControlReplicaState(Struct):
    """Hold the state of a replica's control part.

    Attributes
    ----------
    has_contact : callable
        Takes monotonic seconds; says whether this replica leads, or heard the leader lately.
    peers_heard_at : dict of str to float
        Monotonic times in seconds when the other replicas told last what they heard.
    barrier : str
        Identifier of the read barrier in progress; empty if there is none.
    commands : int
        Commands of its own that this replica has submitted.
    ungossiped : dict of str to None
        Endpoints whose entry changed by a report that came here, and that the other replicas have
        not been told.
    unregistered : dict of str to EndpointRecord
        Endpoints that reported here and are not in the log yet.
    registration : str
        Command that registers or forgets endpoints at present; empty if there is none.
    confirmed : bool
        Whether a barrier was applied since contact with the leader was lost last.
    unconfirmed_since : float
        Monotonic time in seconds at which this replica started or lost contact last.
    digest, digest_revision : int
        Digest of the endpoint table, and the revision for which it was computed.
    is_push_scheduled : bool
        Whether the timer is set that tells hosts of changes of the table.
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
    peers_heard_at: dict[str, float] = field(default_factory=dict)
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
    """Return whether this replica has applied everything that was acknowledged before."""
    return state.confirmed and not state.halted and state.has_contact(now)
