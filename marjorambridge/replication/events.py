"""Define the events by which other packages use the replicated logs."""

from enum import StrEnum

from marjorambridge.core.events import Event


class ProposalRequested(Event):
    """A request to append a payload to a group's log.

    `EntryCommitted` with the same `proposal` reports success, and `ProposalRefused` a refusal. A
    proposal may also be lost; the proposer then retries, and the state machine recognizes the
    repeated command.
    """

    group: int
    proposal: str
    payload: bytes


class ProposalRefused(Event):
    """A proposal was not appended.

    Attributes
    ----------
    leader : str
        Host of the current leader; empty if unknown.
    """

    group: int
    proposal: str
    reason: str
    leader: str


class EntryCommitted(Event):
    """The next committed entry of a group, delivered in order and once per process start.

    Entries of the log itself (a leader's first entry, a membership change) are delivered with an
    empty payload, so that the applied index reaches the last index of the log.

    Attributes
    ----------
    proposal : str
        Identifier of the proposal if it was made on this replica in this term, else empty.
    """

    group: int
    index: int
    term: int
    payload: bytes
    proposal: str = ""


class SnapshotInstalled(Event):
    """A snapshot of all entries up to `index` that replaces the state machine's state."""

    group: int
    index: int
    term: int
    data: bytes


class SnapshotRequested(Event):
    """A request for a snapshot of the state machine's state; `SnapshotTaken` answers it."""

    group: int


class SnapshotTaken(Event):
    """A snapshot of a state machine that has applied all entries up to `index`."""

    group: int
    index: int
    data: bytes


class LeadershipChanged(Event):
    """The leader or the term of a group changed on this replica.

    Attributes
    ----------
    leader : str
        Host of the leader; empty if unknown.
    is_leader : bool
        Whether this replica leads and has committed an entry of its term, so that its commit index
        covers every earlier commit.
    """

    group: int
    leader: str
    term: int
    is_leader: bool


class LogPositionChanged(Event):
    """The position of this replica's log changed; the freshness poll reports it.

    Attributes
    ----------
    last_index : int
        Index of the last entry that is appended, synced or not.
    commit_index : int
        Index of the last entry known to be committed.
    voter : bool
        Whether this replica's current disk is a voter.
    voters : tuple of str
        Hosts of the voters, by the latest membership in the log.
    """

    group: int
    last_index: int
    commit_index: int
    voter: bool
    voters: tuple[str, ...]


class StorageSynced(Event):
    """All writes up to the `SyncStorage` with this ticket are durable."""

    ticket: int


class StorageFailed(Event):
    """A write or a sync failed; storage executes nothing from then on."""

    ticket: int
    reason: str


class ReplicaHalted(Event):
    """Storage failed; the local replica sends nothing until its process is restarted."""

    reason: str


class LeadershipTransferRequested(Event):
    """A request to transfer a group's leadership to `host`, or to any voter if it is empty."""

    group: int
    host: str = ""


class MembershipAction(StrEnum):
    """The membership changes that an operator can request."""

    ADD_HOST = "add_host"
    REMOVE_HOST = "remove_host"


class MembershipChangeRequested(Event):
    """A request to the leader of a group to add a host's replica as a voter, or to remove it."""

    group: int
    action: MembershipAction
    host: str


class MembershipChangeRefused(Event):
    """A membership change was not started."""

    group: int
    host: str
    reason: str


class PeersDiscovered(Event):
    """A peer named further hosts that may lead the group that this replica is to join."""

    hosts: tuple[str, ...]


class RepairStage(StrEnum):
    """The last committed step of making a host's replica a voter."""

    WAITING = "waiting"
    CATCHING_UP = "catching_up"
    REPAIRED = "repaired"


class RepairStatus(Event):
    """The committed stage of a repair, or of an added host; `REPAIRED` is the last one."""

    group: int
    host: str
    disk: str
    stage: RepairStage
