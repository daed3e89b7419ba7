"""Define the messages between replicas.

All messages name the cluster, because a replica ignores messages of a cluster other than its own.
`target` is the full identity of the receiver, so that a replica with a new disk ignores a message
to its old disk.
"""

from msgspec import Struct

from marjorambridge.replication.models import LogEntry, Membership, ReplicaId


class VoteRequest(Struct):
    """A request for a vote in `term`, or with `pre` for a pre-vote.

    Attributes
    ----------
    transfer : bool
        Whether the leader itself requested the election, which overrides leader stickiness.
    """

    group: int
    cluster: str
    source: ReplicaId
    target: ReplicaId
    term: int
    last_index: int
    last_term: int
    pre: bool
    transfer: bool


class VoteReply(Struct):
    """The reply to a `VoteRequest`; `election` is the requested term, `term` the sender's."""

    group: int
    cluster: str
    source: ReplicaId
    target: ReplicaId
    term: int
    election: int
    pre: bool
    granted: bool


class AppendRequest(Struct):
    """The entries after `previous_index`, or a heartbeat if there are none.

    Attributes
    ----------
    serial : int
        Number of the append to this target in this term; the reply repeats it.
    """

    group: int
    cluster: str
    source: ReplicaId
    target: ReplicaId
    term: int
    previous_index: int
    previous_term: int
    commit_index: int
    serial: int
    entries: tuple[LogEntry, ...] = ()


class AppendReply(Struct):
    """The acknowledgement of synced entries up to `match_index`, or a refusal.

    Attributes
    ----------
    match_index : int
        If refused, the `previous_index` of the request.
    hint_index, hint_term : int
        If refused, the last position of the sender that may match.
    """

    group: int
    cluster: str
    source: ReplicaId
    target: ReplicaId
    term: int
    serial: int
    accepted: bool
    match_index: int
    hint_index: int = 0
    hint_term: int = 0


class SnapshotChunk(Struct):
    """A part of a snapshot's data, from byte `offset` of `total`."""

    group: int
    cluster: str
    source: ReplicaId
    target: ReplicaId
    term: int
    index: int
    snapshot_term: int
    membership: Membership
    offset: int
    total: int
    data: bytes
    serial: int


class SnapshotReply(Struct):
    """A request for the chunk at `offset` of the snapshot at `index`.

    Attributes
    ----------
    answered : int
        Offset of the chunk that this message answers.
    """

    group: int
    cluster: str
    source: ReplicaId
    target: ReplicaId
    term: int
    index: int
    answered: int
    offset: int


class ElectionRequest(Struct):
    """A request to the target of a leadership transfer to start an election at once."""

    group: int
    cluster: str
    source: ReplicaId
    target: ReplicaId
    term: int


class JoinRequest(Struct):
    """A request to make the sender a member; `token` repeats that of `JoinChallenge`."""

    group: int
    cluster: str
    source: ReplicaId
    token: int


class JoinChallenge(Struct):
    """A request to a joining replica to repeat `token`, because its join request may be old."""

    group: int
    cluster: str
    source: ReplicaId
    target: ReplicaId
    token: int


class ProbeRequest(Struct):
    """A request for a peer's cluster, sent by a replica that has none."""

    source: ReplicaId


class ProbeReply(Struct):
    """The reply of a peer whose data folder is empty as well.

    Attributes
    ----------
    peers : tuple of str
        Hosts with a replica according to the sender's settings, sorted.
    """

    source: ReplicaId
    target: ReplicaId
    peers: tuple[str, ...]


class ClusterOffer(Struct):
    """The existing cluster and its initial voters, for a replica without a cluster."""

    source: ReplicaId
    target: ReplicaId
    cluster: str
    founders: tuple[ReplicaId, ...]


GroupMessage = (
    VoteRequest
    | VoteReply
    | AppendRequest
    | AppendReply
    | SnapshotChunk
    | SnapshotReply
    | ElectionRequest
    | JoinRequest
    | JoinChallenge
)
