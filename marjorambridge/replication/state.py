"""Define the state of the replicated logs of one replica."""

import random
from collections import deque
from enum import StrEnum
from typing import Any

from msgspec import Struct, field

from marjorambridge.conf import defaults
from marjorambridge.replication.logs import Log
from marjorambridge.replication.models import Membership, ReplicaId, Snapshot


class ReplicationSettings(Struct):
    """Hold the settings of the replicated logs.

    Attributes
    ----------
    host : str
        Name of this host.
    peers : tuple of str
        Hosts that have a replica, this one included.
    groups : int
        Number of groups, group 0 included.
    bootstrap : bool
        Whether this replica may create a cluster if every peer answers that its folder is empty.
    unresponsive_voter_seconds : float
        Time without a reply after which a voter is removed if the number of voters is even,
        because another replica has replaced it; 0 if only an operator removes voters.
    """

    host: str
    peers: tuple[str, ...]
    groups: int = 1 + defaults.CLAIM_GROUP_COUNT
    bootstrap: bool = False
    heartbeat_interval_seconds: float = defaults.HEARTBEAT_INTERVAL_SECONDS
    election_timeout_seconds: float = defaults.ELECTION_TIMEOUT_SECONDS
    snapshot_interval_entries: int = defaults.SNAPSHOT_INTERVAL_ENTRIES
    snapshot_trailing_entries: int = defaults.SNAPSHOT_TRAILING_ENTRIES
    snapshot_chunk_bytes: int = defaults.SNAPSHOT_CHUNK_BYTES
    max_append_bytes: int = defaults.MAX_APPEND_BYTES
    max_proposal_bytes: int = defaults.MAX_PROPOSAL_BYTES
    max_appends_in_flight: int = defaults.MAX_APPENDS_IN_FLIGHT
    max_promotion_lag_entries: int = defaults.MAX_PROMOTION_LAG_ENTRIES
    join_retry_interval_seconds: float = defaults.JOIN_RETRY_INTERVAL_SECONDS
    unresponsive_voter_seconds: float = 0.0


class Role(StrEnum):
    """The role of a replica in a group; learners are followers."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre_candidate"
    CANDIDATE = "candidate"
    LEADER = "leader"


class ProgressMode(StrEnum):
    """The way in which a leader sends entries to a member.

    `PROBE` sends one append at a time until one is acknowledged; `REPLICATE` sends several without
    waiting; `SNAPSHOT` sends chunks.
    """

    PROBE = "probe"
    REPLICATE = "replicate"
    SNAPSHOT = "snapshot"


class Progress(Struct):
    """Hold the replication progress of a member, on the leader.

    Attributes
    ----------
    in_flight : deque of tuple of (int, float)
        Last index and time of each append that is not yet acknowledged.
    serial : int
        Number of the last append sent.
    first_valid_serial : int
        Appends with a smaller number were sent before the last refusal. Acting on their replies
        as well would send several appends for each one, and the number of messages would grow
        without bound when many are lost or delayed.
    sent_commit_index : int
        Last commit index sent to the member.
    snapshot : Snapshot or None
        Snapshot in transfer; kept here so that a newer one does not replace it meanwhile.
    """

    match_index: int = 0
    next_index: int = 1
    mode: ProgressMode = ProgressMode.PROBE
    in_flight: deque[tuple[int, float]] = field(default_factory=deque)
    serial: int = 0
    first_valid_serial: int = 0
    last_contact_at: float = 0.0
    sent_commit_index: int = 0
    snapshot: Snapshot | None = None
    snapshot_offset: int = 0
    snapshot_sent_at: float = 0.0


class PartialSnapshot(Struct):
    """Collect the chunks of a snapshot; `size` counts the bytes collected."""

    index: int
    term: int
    total: int
    parts: list[bytes] = field(default_factory=list)
    size: int = 0


class GroupState(Struct):
    """Hold the state of one group on this replica.

    Attributes
    ----------
    memberships : list of tuple of (int, Membership)
        Index and value of the memberships in the log; the first one is at or before the log's
        base, the last one is in effect.
    synced_index : int
        Last index that is durable on this replica's disk.
    vote_ticket : int
        Ticket of the sync that makes the current term and vote durable.
    append_ticket : int
        Ticket of the sync that makes the current log durable.
    syncing_index : int
        Last index that the sync in progress covers.
    proposals : dict of int to tuple of (int, str)
        Term and proposal identifier of each uncommitted entry that this replica proposed.
    tokens : dict of ReplicaId to int
        Token of the challenge sent to each replica that requests to join.
    """

    group: int
    log: Log
    term: int = 0
    voted_for: ReplicaId = ReplicaId()
    role: Role = Role.FOLLOWER
    leader: ReplicaId = ReplicaId()
    commit_index: int = 0
    applied_index: int = 0
    snapshot: Snapshot | None = None
    memberships: list[tuple[int, Membership]] = field(default_factory=list)
    synced_index: int = 0
    vote_ticket: int = 0
    append_ticket: int = 0
    syncing_index: int = 0
    election_at: float = 0.0
    leader_contact_at: float = float("-inf")
    votes: set[ReplicaId] = field(default_factory=set)
    transfer_election: bool = False
    progress: dict[ReplicaId, Progress] = field(default_factory=dict)
    term_start_index: int = 0
    proposals: dict[int, tuple[int, str]] = field(default_factory=dict)
    tokens: dict[ReplicaId, int] = field(default_factory=dict)
    transfer_target: ReplicaId = ReplicaId()
    transfer_deadline: float = 0.0
    election_request_sent: bool = False
    partial: PartialSnapshot | None = None
    snapshot_requested_index: int = 0
    published_position: tuple[Any, ...] = ()
    published_leadership: tuple[Any, ...] = ("", 0, False)


class HeldMessage(Struct):
    """Hold a message until the sync with its ticket is done.

    Attributes
    ----------
    term : int
        Term of the message; it is dropped if the group has entered a later term.
    """

    ticket: int
    group: int
    term: int
    to: str
    message: Any


class ReplicaState(Struct):
    """Hold the state of all groups on this replica.

    Attributes
    ----------
    cluster : str
        Identity of the cluster; empty until this replica created or joined one.
    cluster_ticket : int
        Ticket of the sync that makes the cluster durable.
    next_ticket : int
        Ticket of the next sync; writes made now are covered by it.
    ticket_in_flight : int
        Ticket of the sync in progress, or 0.
    halted : str
        Reason why this replica halted; empty if it did not.
    probe_replies : dict of str to ReplicaId
        Peers that answered that their data folder is empty.
    discovered_peers : tuple of str
        Hosts that a peer named as replicas, besides those of the settings.
    """

    settings: ReplicationSettings
    replica: ReplicaId
    random: random.Random
    cluster: str = ""
    founders: tuple[ReplicaId, ...] = ()
    cluster_ticket: int = 0
    groups: dict[int, GroupState] = field(default_factory=dict)
    next_ticket: int = 1
    ticket_in_flight: int = 0
    synced_ticket: int = 0
    dirty: bool = False
    held: list[HeldMessage] = field(default_factory=list)
    halted: str = ""
    probe_replies: dict[str, ReplicaId] = field(default_factory=dict)
    discovered_peers: tuple[str, ...] = ()
