"""Define the data that messages, storage and reducer of the replicated logs share."""

from enum import StrEnum

import msgspec
from msgspec import Struct, field


class ReplicaId(Struct, frozen=True, order=True):
    """Identify a replica by its host and by the random identifier of its disk.

    A replica that lost its disk has another identity, so that no vote or acknowledgement of the old
    disk is attributed to it.
    """

    host: str = ""
    disk: str = ""


class MemberRole(StrEnum):
    """Whether the votes and acknowledgements of a member count."""

    VOTER = "voter"
    LEARNER = "learner"


class Member(Struct, frozen=True, order=True):
    """Describe one member of a group."""

    replica: ReplicaId
    role: MemberRole = MemberRole.VOTER


class Membership(Struct, frozen=True):
    """Hold the members of a group.

    Attributes
    ----------
    members : tuple of Member
        Voters and learners, at most one per host.
    pending : tuple of str
        Hosts whose replica must become a voter: added by an operator, or under repair.
    """

    members: tuple[Member, ...] = ()
    pending: tuple[str, ...] = ()


class EntryKind(StrEnum):
    """The kind of an entry's payload."""

    NOOP = "noop"
    COMMAND = "command"
    MEMBERSHIP = "membership"


class LogEntry(Struct, frozen=True):
    """Hold one entry of a log."""

    index: int
    term: int
    kind: EntryKind
    payload: bytes = b""


class Snapshot(Struct, frozen=True):
    """Hold the state of a state machine that has applied all entries up to `index`."""

    index: int = 0
    term: int = 0
    membership: Membership = Membership()
    data: bytes = b""


class RecoveredGroup(Struct):
    """Hold what storage recovered of one group.

    Attributes
    ----------
    voted_for : ReplicaId
        Replica that this replica voted for in `term`; empty if it did not vote.
    snapshot : Snapshot or None
        None if there never was one.
    entries : list of LogEntry
        Entries in order, all after the snapshot.
    """

    term: int = 0
    voted_for: ReplicaId = ReplicaId()
    snapshot: Snapshot | None = None
    entries: list[LogEntry] = field(default_factory=list)


class RecoveredReplica(Struct):
    """Hold what storage recovered of a replica; `cluster` is empty in a new data folder."""

    disk: str
    cluster: str = ""
    founders: tuple[ReplicaId, ...] = ()
    groups: dict[int, RecoveredGroup] = field(default_factory=dict)


def is_same_replica(one: ReplicaId, other: ReplicaId) -> bool:
    """Return whether two identities name the same disk of the same host."""
    return one == other


def encode_membership(membership: Membership) -> bytes:
    """Return the payload of a membership entry."""
    return msgspec.json.encode(membership)


def decode_membership(payload: bytes) -> Membership:
    """Return the membership of an entry's payload."""
    return msgspec.json.decode(payload, type=Membership)
