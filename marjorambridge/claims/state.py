"""Hold the state of the claims part: its replicas of the claims groups and its client."""

from enum import StrEnum

from msgspec import Struct, field

from marjorambridge.claims.commands import Command, Policy
from marjorambridge.claims.messages import ClaimOperation, RecordedAnswer
from marjorambridge.claims.state_machine import ClaimsStateMachine
from marjorambridge.conf import defaults
from marjorambridge.core.identity import AttemptId


class ClaimSettings(Struct):
    """Hold the settings of the claims part; names that end in seconds or bytes have that unit.

    Attributes
    ----------
    groups : int
        Number of claims groups, 1 to `groups`; equal on all hosts and never changed, because it
        decides which group holds a key.
    max_answer_bytes : int
        Longest body, and longest headers, of an answer that is kept.
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
    """Remember who waits for the result of a command, and since when it is in a proposal.

    Attributes
    ----------
    came : float
        Time of the first message.
    trace : str or None
        Trace of the request; None if it is not traced.
    """

    sender: str
    proposed_at: float
    received_at: float = 0.0
    trace: str | None = None


class GroupState(Struct):
    """Hold one replica of a claims group and, on the leader, the commands in progress.

    Attributes
    ----------
    index : int
        Index of the last applied entry.
    pending : list
        Commands for the next entry, with the keys of their waiters.
    proposals : dict
        Time of each proposal that is neither committed nor refused, and the keys in it.
    waiting : dict
        Who waits for the result of which command.
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


class ReplicaState(Struct):
    """Hold the replicas of the claims groups on this host.

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
    """Tell what the claims client does about a call."""

    CLAIMING = "claiming"
    HELD = "held"
    COMPLETING = "completing"
    RELEASING = "releasing"


class CallState(Struct):
    """Describe a call that this host claims, or has claimed.

    Attributes
    ----------
    background : bool
        Whether the requests part was already told that the step was given up.
    sends : int
        Messages sent in the present phase.
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
    """Hold the calls of this host and what it knows about the leaders of the groups.

    Attributes
    ----------
    replicas : tuple of str
        Hosts that have replicas of the claims groups.
    leaders : dict
        Last known leader by group.
    rotation : int
        Position of the replica to ask next while no leader is known.
    """

    settings: ClaimSettings
    host: str
    replicas: tuple[str, ...] = ()
    leaders: dict[int, str] = field(default_factory=dict)
    rotation: int = 0
    calls: dict[AttemptId, CallState] = field(default_factory=dict)
    background: dict[AttemptId, None] = field(default_factory=dict)


class ClaimsState(Struct):
    """Hold the whole state of the claims part of one host."""

    replica: ReplicaState
    client: ClientState


def create_state(
    settings: ClaimSettings,
    host: str,
    incarnation: int,
    replicas: tuple[str, ...] = (),
    is_replica: bool = False,
) -> ClaimsState:
    """Return the state of the claims part of a host process that has just started."""
    numbers = range(1, settings.groups + 1) if is_replica else ()
    groups = {number: GroupState(number) for number in numbers}
    return ClaimsState(
        ReplicaState(settings, host, incarnation, groups),
        ClientState(settings, host, replicas),
    )
