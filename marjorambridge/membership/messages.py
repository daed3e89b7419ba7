"""Messages between hosts and the replicas of log group 0."""

from msgspec import Struct

from marjorambridge.configuration.state import CommandAnswer


class FreshnessQuery(Struct):
    """A request for the log position of a replica; also the heartbeat of the host.

    Attributes
    ----------
    number : int
        Serial number of the poll within the host's incarnation; 0 for a query that only requests
        the next part of a transfer and does not confirm freshness.
    applied : int
        Index of the last entry that the host has applied.
    preferred : bool
        Whether the replica sends the entries that the host has not applied.
    leaving : bool
        Whether the host is shutting down.
    address, zone, region : str
        Location of the host; empty while the host is in its view.
    snapshot_index, snapshot_offset : int
        Snapshot in transfer to the host and the bytes received so far; 0 if there is none.
    """

    number: int
    applied: int
    preferred: bool = False
    leaving: bool = False
    address: str = ""
    zone: str = ""
    region: str = ""
    snapshot_index: int = 0
    snapshot_offset: int = 0


class CommittedEntry(Struct):
    """A committed entry."""

    index: int
    payload: bytes


class EntryBatch(Struct):
    """The committed entries with an index above `after`, up to `through`.

    Indices that are not listed belong to entries of the log itself, which have no payload.
    """

    after: int
    through: int
    entries: tuple[CommittedEntry, ...] = ()


class SnapshotChunk(Struct):
    """A part of a snapshot that covers all entries up to `index`.

    Attributes
    ----------
    offset, total : int
        Position of `data` in the snapshot and length of the whole snapshot, in bytes.
    """

    index: int
    offset: int
    total: int
    data: bytes


class FreshnessReply(Struct):
    """The reply to a query: the position of the replica's log when the query arrived.

    Attributes
    ----------
    number, incarnation : int
        Number of the query and incarnation of the host that sent it.
    last_index, commit_index, voter, voters
        As in `marjorambridge.replication.events.LogPositionChanged`.
    leader, term : str, int
        Leader of group 0 according to the replica, and the leader's term.
    """

    number: int
    incarnation: int
    last_index: int
    commit_index: int
    voter: bool
    voters: tuple[str, ...]
    leader: str = ""
    term: int = 0
    batch: EntryBatch | None = None
    chunk: SnapshotChunk | None = None


class HostLeaveRequest(Struct):
    """A request to mark the sender as leaving; later queries repeat it."""

    incarnation: int


class CommandForward(Struct):
    """An operator command that a host forwards to the leader.

    Attributes
    ----------
    payload : bytes
        The command as encoded by `marjorambridge.configuration.codec`.
    """

    command_id: str
    payload: bytes


class CommandReply(Struct):
    """The committed answer to a command, sent to the host that forwarded it."""

    command_id: str
    answer: CommandAnswer


class CommandRedirect(Struct):
    """The answer of a replica that does not lead; `leader` is empty if unknown."""

    command_id: str
    leader: str
    term: int
