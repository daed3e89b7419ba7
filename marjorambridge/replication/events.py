"""Define the events by which other parts use the replicated logs."""

from enum import StrEnum

from marjorambridge.core.events import Event


class ProposalRequested(Event):
    """Ask this replica to append a payload to a group's log.

    The proposer learns of success from `EntryCommitted` with the same `proposal`, and of refusal
    from `ProposalRefused`. A proposal may also vanish; the proposer then tries again, and the
    state machine recognizes the repeated command.
    """

    group: int
    proposal: str
    payload: bytes


class ProposalRefused(Event):
    """Tell that a proposal was not appended.

    Attributes
    ----------
    leader : str
        Host of the present leader; empty if unknown.
    """

    group: int
    proposal: str
    reason: str
    leader: str


class EntryCommitted(Event):
    """Deliver the next committed entry of a group, in order and each once per process life.

    Entries of the log itself (a leader's first entry, a change of members) are delivered with an
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
    """Replace the state machine's state by a snapshot that covers all entries up to `index`."""

    group: int
    index: int
    term: int
    data: bytes


class SnapshotRequested(Event):
    """Ask the state machine for a snapshot of its state; `SnapshotTaken` answers."""

    group: int


class SnapshotTaken(Event):
    """Deliver a snapshot of a state machine that has applied all entries up to `index`."""

    group: int
    index: int
    data: bytes


class LeadershipChanged(Event):
    """Tell who leads a group, as far as this replica knows.

    Attributes
    ----------
    leader : str
        Host of the leader; empty if unknown.
    is_leader : bool
        Whether this replica leads and has committed an entry of its term, so that it knows
        every earlier commit.
    """

    group: int
    leader: str
    term: int
    is_leader: bool


class LogPositionChanged(Event):
    """Tell the position of this replica's log, for the freshness poll.

    Attributes
    ----------
    last_index : int
        Index of the last entry that is appended, synced or not.
    commit_index : int
        Index of the last entry known to be committed.
    voter : bool
        Whether this replica's present disk is a voter.
    voters : tuple of str
        Hosts of the voters, by the latest membership in the log.
    """

    group: int
    last_index: int
    commit_index: int
    voter: bool
    voters: tuple[str, ...]


class StorageSynced(Event):
    """Tell that all writes up to the `SyncStorage` with this ticket are durable."""

    ticket: int


class StorageFailed(Event):
    """Tell that a write or a sync failed; storage carries out nothing from then on."""

    ticket: int
    reason: str


class ReplicaHalted(Event):
    """Tell that this replica promises nothing more until its process is started again."""

    reason: str


class LeadershipTransferRequested(Event):
    """Ask the leader of a group to pass leadership to `host`, or to any voter if it is empty."""

    group: int
    host: str = ""


class MembershipAction(StrEnum):
    """Say how an operator changes the members of a group."""

    ADD_HOST = "add_host"
    REMOVE_HOST = "remove_host"


class MembershipChangeRequested(Event):
    """Ask the leader of a group to add a host's replica as a voter, or to remove it."""

    group: int
    action: MembershipAction
    host: str


class MembershipChangeRefused(Event):
    """Tell that a change of members was not begun."""

    group: int
    host: str
    reason: str


class PeersDiscovered(Event):
    """Name further hosts that may lead the group, for a replica that wants to join it."""

    hosts: tuple[str, ...]


class RepairStage(StrEnum):
    """Name the last committed step of bringing a host's replica in as a voter."""

    WAITING = "waiting"
    CATCHING_UP = "catching_up"
    REPAIRED = "repaired"


class RepairStatus(Event):
    """Tell the committed stage of a repair, or of an added host; `REPAIRED` is the last one."""

    group: int
    host: str
    disk: str
    stage: RepairStage
