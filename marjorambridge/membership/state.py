"""State of the freshness polls, the host registry and the operator commands."""

import math
from collections import deque

from msgspec import Struct, field

from marjorambridge.conf import defaults
from marjorambridge.configuration.commands import HostJoined, HostLeaving, HostRemoved
from marjorambridge.configuration.state import CommandAnswer, ControlState
from marjorambridge.membership.messages import CommittedEntry, FreshnessReply
from marjorambridge.replication.events import LogPositionChanged


class MembershipSettings(Struct):
    """Settings of a host; names that end in seconds or bytes have that unit.

    Attributes
    ----------
    host, incarnation, address, zone, region
        Identity of this host process, as in `marjorambridge.core.view.HostEntry`.
    replicas : tuple of str
        Hosts that are polled. Voters that the replies name are polled as well.
    replica : bool
        Whether this host has a replica of log group 0.
    """

    host: str
    incarnation: int
    address: str
    zone: str
    region: str
    replicas: tuple[str, ...]
    replica: bool = False
    freshness_seconds: float = defaults.FRESHNESS_SECONDS
    poll_interval_seconds: float = defaults.POLL_INTERVAL_SECONDS
    host_timeout_seconds: float = defaults.HOST_TIMEOUT_SECONDS
    new_leader_grace_seconds: float = defaults.NEW_LEADER_GRACE_SECONDS
    host_record_retention_seconds: float = defaults.HOST_RECORD_RETENTION_SECONDS
    proposal_retry_interval_seconds: float = defaults.PROPOSAL_RETRY_INTERVAL_SECONDS
    command_retry_interval_seconds: float = defaults.COMMAND_RETRY_INTERVAL_SECONDS
    command_timeout_seconds: float = defaults.COMMAND_TIMEOUT_SECONDS
    max_recent_entries: int = defaults.MAX_RECENT_ENTRIES
    max_recent_entry_bytes: int = defaults.MAX_RECENT_ENTRY_BYTES
    max_reply_entry_bytes: int = defaults.MAX_REPLY_ENTRY_BYTES
    snapshot_chunk_bytes: int = defaults.SNAPSHOT_CHUNK_BYTES


class Poll(Struct):
    """A poll of the replicas.

    Attributes
    ----------
    sent_at : float
        Monotonic time of this host in seconds at which the poll started.
    replies : dict of str to FreshnessReply
        First reply of each replica, without the state that it transferred.
    """

    sent_at: float
    targets: tuple[str, ...]
    replies: dict[str, FreshnessReply] = field(default_factory=dict)


class SnapshotTransfer(Struct):
    """The chunks of a snapshot that were received from one replica."""

    sender: str
    index: int
    total: int
    data: bytearray = field(default_factory=bytearray)


class PollerState(Struct):
    """The host's copy of the control state, and the polls that confirm that it is current.

    Attributes
    ----------
    polls : dict of int to Poll
        Polls that may still confirm freshness, by number, oldest first.
    fresh_until : float
        Monotonic time in seconds; never decreases.
    fresh_reported : bool
        Whether the last `FreshnessChanged` reported that the host is fresh.
    log_voters : tuple of str
        Voters named by the last reply of a replica whose log contained every entry that this host
        has applied.
    preferred_reply_at : float
        Time of the last reply of the preferred replica, or at which it was chosen.
    preferred_progressed : bool
        Whether the preferred replica sent new state since the last poll.
    rejected : dict of str to str
        Replicas whose snapshot could not be read, with the reason.
    halted : str
        Reason why no further entry can be applied; empty if there is none.
    """

    control: ControlState = field(default_factory=ControlState)
    number: int = 0
    polls: dict[int, Poll] = field(default_factory=dict)
    fresh_until: float = -math.inf
    fresh_reported: bool = False
    log_voters: tuple[str, ...] = ()
    preferred: str = ""
    preferred_reply_at: float = -math.inf
    preferred_progressed: bool = False
    transfer: SnapshotTransfer | None = None
    leader: str = ""
    term: int = 0
    leaving: bool = False
    rejected: dict[str, str] = field(default_factory=dict)
    halted: str = ""


class HostProgress(Struct):
    """The last poll of a host that a replica received.

    Attributes
    ----------
    applied : int
        Index of the last entry that the host has applied, by its polls.
    last_poll_at : float
        Monotonic time of the replica in seconds.
    """

    host: str
    incarnation: int
    applied: int
    last_poll_at: float


class HostProposal(Struct):
    """A proposal about a host that is not yet applied."""

    entry: HostJoined | HostLeaving | HostRemoved
    proposed_at: float


class ProposedCommand(Struct):
    """A forwarded command that this leader has proposed.

    Attributes
    ----------
    proposed_at, received : float
        Monotonic times of the last proposal and of the message that caused it.
    origins : dict of str to None
        Hosts that wait for the answer, in order.
    """

    proposal: str
    proposed_at: float
    received: float
    origins: dict[str, None]


class ReplicaState(Struct):
    """The replica's control state, the recent entries and the host registry.

    Attributes
    ----------
    recent : deque of CommittedEntry
        Entries with an index above `recent_after`, up to that of `control`.
    snapshot, snapshot_index
        Snapshot in transfer to hosts; reused while `recent` contains all later entries.
    leader_since : float
        Time since which this replica has been the leader without interruption of its process.
    commands : dict of bytes to ProposedCommand
        By encoded command, because two different commands may have the same identifier by mistake.
    """

    control: ControlState = field(default_factory=ControlState)
    recent: deque[CommittedEntry] = field(default_factory=deque)
    recent_after: int = 0
    recent_bytes: int = 0
    snapshot: bytes = b""
    snapshot_index: int = 0
    position: LogPositionChanged | None = None
    leader: str = ""
    term: int = 0
    is_leader: bool = False
    leader_since: float = 0.0
    last_tick: float = 0.0
    progress: dict[str, HostProgress] = field(default_factory=dict)
    proposals: dict[str, HostProposal] = field(default_factory=dict)
    commands: dict[bytes, ProposedCommand] = field(default_factory=dict)
    proposal_number: int = 0
    halted: str = ""


class PendingCommand(Struct):
    """A command that an operator submitted at this host.

    Attributes
    ----------
    is_target : bool
        Whether the command sets a target state, which has versions of its own.
    answer : CommandAnswer or None
        The leader's answer, while this host's configuration is older than the answer.
    """

    payload: bytes
    give_up_at: float
    is_target: bool = False
    answer: CommandAnswer | None = None


class MembershipState(Struct):
    """The state of the membership component."""

    settings: MembershipSettings
    host: PollerState = field(default_factory=PollerState)
    replica: ReplicaState | None = None
    commands: dict[str, PendingCommand] = field(default_factory=dict)


def create_state(settings: MembershipSettings) -> MembershipState:
    """Return the state of a host that has just started, without any control state."""
    return MembershipState(settings, replica=ReplicaState() if settings.replica else None)
