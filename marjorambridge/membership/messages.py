"""Define the messages between hosts and the replicas of log group 0."""

from msgspec import Struct

from marjorambridge.configuration.state import CommandAnswer


class FreshnessQuery(Struct):
    """Ask a replica for the position of its log; also the heartbeat of the host.

    Attributes
    ----------
    number : int
        Serial number of the poll within the host's incarnation; 0 for a query that only asks for
        the next part of a transfer and confirms nothing.
    applied : int
        Index of the last entry that the host has applied.
    preferred : bool
        Whether the replica should send what the host lacks.
    leaving : bool
        Whether the host is shutting down.
    address, zone, region : str
        Where the host is; empty while the host sees itself in the view.
    snapshot_index, snapshot_offset : int
        Snapshot of which the host has received the first bytes; 0 if there is none.
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
    """Carry one committed entry."""

    index: int
    payload: bytes


class EntryBatch(Struct):
    """Carry the committed entries with an index above `after`, up to `through`.

    Indices that are not listed belong to entries of the log itself, which change nothing.
    """

    after: int
    through: int
    entries: tuple[CommittedEntry, ...] = ()


class SnapshotChunk(Struct):
    """Carry a part of a snapshot that covers all entries up to `index`.

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
    """Answer a query with the position of the replica's log when the query arrived.

    Attributes
    ----------
    number, incarnation : int
        Number of the query and incarnation of the host that asked.
    last_index, commit_index, voter, voters
        As in `marjorambridge.replication.events.LogPositionChanged`.
    leader, term : str, int
        Leader of group 0 as far as the replica knows, and its term.
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
    """Ask for the host that sends it to be marked as leaving; later queries repeat this."""

    incarnation: int


class CommandForward(Struct):
    """Hand an operator command to the leader.

    Attributes
    ----------
    payload : bytes
        The command as encoded by `marjorambridge.configuration.codec`.
    """

    command_id: str
    payload: bytes


class CommandReply(Struct):
    """Carry the committed answer of a command back to the host that forwarded it."""

    command_id: str
    answer: CommandAnswer


class CommandRedirect(Struct):
    """Tell that a replica does not lead; `leader` is empty if it knows none."""

    command_id: str
    leader: str
    term: int
