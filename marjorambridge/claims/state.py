"""State of the claims component: its replicas of the claims groups and its client."""

from enum import StrEnum

from msgspec import Struct, field

from marjorambridge.claims.commands import Command, Policy
from marjorambridge.claims.messages import ClaimOperation, RecordedAnswer
from marjorambridge.claims.state_machine import ClaimsStateMachine
from marjorambridge.conf import defaults
from marjorambridge.core.identity import AttemptId


class ClaimSettings(Struct):
    """Settings of the claims component; names that end in seconds or bytes have that unit.

    Attributes
    ----------
    groups : int
        Number of claims groups, which are numbered from 1. It is the same on all hosts and must
        never change, because it determines the group of a key.
    max_answer_bytes : int
        Longest body, and longest headers, of an answer that is stored.
    """

    groups: int = defaults.CLAIM_GROUP_COUNT
    policy: Policy = field(default_factory=Policy)
    max_answer_bytes: int = defaults.MAX_CLAIM_ANSWER_BYTES
    max_batch_commands: int = defaults.MAX_CLAIM_BATCH_COMMANDS
    max_batch_bytes: int = defaults.MAX_CLAIM_BATCH_BYTES
    batch_delay_seconds: float = defaults.CLAIM_BATCH_DELAY_SECONDS
    proposal_timeout_seconds: float = defaults.CLAIM_PROPOSAL_TIMEOUT_SECONDS
    maintenance_interval_seconds: float = defaults.CLAIM_MAINTENANCE_INTERVAL_SECONDS
    claimant_grace_seconds: float = defaults.CLAIMANT_GRACE_SECONDS
    resend_timeout_seconds: float = defaults.CLAIM_RESEND_TIMEOUT_SECONDS
    unavailable_retry_delay_seconds: float = defaults.CLAIM_UNAVAILABLE_RETRY_DELAY_SECONDS
    background_retry_timeout_seconds: float = defaults.CLAIM_BACKGROUND_RETRY_TIMEOUT_SECONDS
    max_background_calls: int = defaults.MAX_CLAIM_BACKGROUND_CALLS


WaitKey = tuple[ClaimOperation, AttemptId]


class Waiter(Struct):
    """A host that waits for the result of a command.

    Attributes
    ----------
    proposed_at : float
        Arrival time of the last message that caused a proposal.
    received_at : float
        Arrival time of the first message.
    trace : str or None
        Trace of the request; None if it is not traced.
    """

    sender: str
    proposed_at: float
    received_at: float = 0.0
    trace: str | None = None


class GroupState(Struct):
    """One replica of a claims group and, on the leader, the commands in progress.

    Attributes
    ----------
    index : int
        Index of the last applied entry.
    pending : list
        Commands for the next entry, and the keys of their waiters in `waiting`.
    proposals : dict
        Time of each proposal that is neither committed nor refused, and the keys in it.
    waiting : dict
        Hosts that wait for results, by operation and claim.
    halted : str
        Why this replica can't apply further entries of the group; empty if it can.
    """

    group: int
    machine: ClaimsStateMachine = field(default_factory=ClaimsStateMachine)
    index: int = 0
    leader: str = ""
    is_leader: bool = False
    term: int = 0
    pending: list[tuple[Command, WaitKey]] = field(default_factory=list)
    pending_bytes: int = 0
    timer_set: bool = False
    proposals: dict[str, tuple[float, tuple[WaitKey, ...]]] = field(default_factory=dict)
    serial: int = 0
    waiting: dict[WaitKey, Waiter] = field(default_factory=dict)
    halted: str = ""


class ReplicaState(Struct):
    """The replicas of the claims groups on this host.

    Attributes
    ----------
    groups : dict
        Replicas by group number; empty on hosts without a disk.
    clock : tuple of float or None
        Last reading of the wall clock, as (monotonic, wall) seconds.
    members : set or None
        Host processes in the view, as (host, incarnation); None before the first view.
    """

    settings: ClaimSettings
    host: str
    incarnation: int
    groups: dict[int, GroupState] = field(default_factory=dict)
    clock: tuple[float, float] | None = None
    members: set[tuple[str, int]] | None = None


class CallPhase(StrEnum):
    """The phase of a call at the claims client."""

    CLAIMING = "claiming"
    HELD = "held"
    COMPLETING = "completing"
    RELEASING = "releasing"


class CallState(Struct):
    """A call that this host is claiming or has claimed.

    Attributes
    ----------
    background : bool
        Whether the failure of the operation was reported to the requests component.
    send_count : int
        Messages sent in the current phase.
    """

    claim: AttemptId
    workspace: str
    key: str
    fingerprint: str
    group: int
    phase: CallPhase
    give_up_at: float
    answer: RecordedAnswer | None = None
    background: bool = False
    send_count: int = 0
    target: str = ""
    trace: str = ""
    request: str = ""


class ClientState(Struct):
    """The calls of this host and the last known leaders of the groups.

    Attributes
    ----------
    replicas : tuple of str
        Hosts that have replicas of the claims groups.
    leaders : dict
        Last known leader by group.
    rotation : int
        Number of messages sent to a replica while no leader was known; it determines the next one.
    """

    settings: ClaimSettings
    host: str
    replicas: tuple[str, ...] = ()
    leaders: dict[int, str] = field(default_factory=dict)
    rotation: int = 0
    calls: dict[AttemptId, CallState] = field(default_factory=dict)
    background: dict[AttemptId, None] = field(default_factory=dict)


class ClaimsState(Struct):
    """The state of the claims component of one host."""

    replica: ReplicaState
    client: ClientState


def create_state(
    settings: ClaimSettings,
    host: str,
    incarnation: int,
    replicas: tuple[str, ...] = (),
    is_replica: bool = False,
) -> ClaimsState:
    """Return the state of the claims component of a host process that has just started."""
    numbers = range(1, settings.groups + 1) if is_replica else ()
    groups = {number: GroupState(number) for number in numbers}
    return ClaimsState(
        ReplicaState(settings, host, incarnation, groups),
        ClientState(settings, host, replicas),
    )
