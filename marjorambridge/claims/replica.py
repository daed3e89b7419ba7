"""Replicas of the claims groups on this host, as leaders and followers."""

from collections.abc import Callable

from marjorambridge.claims.commands import (
    Batch,
    Claim,
    Command,
    Complete,
    MarkHosts,
    Release,
    encode_batch,
)
from marjorambridge.claims.digests import (
    compute_fingerprint_digest,
    compute_group,
    compute_key_digest,
    parse_key_date,
)
from marjorambridge.claims.events import WallClockRead
from marjorambridge.claims.exceptions import ClaimEntryError, ClaimSnapshotError
from marjorambridge.claims.messages import (
    ClaimAnswer,
    ClaimComplete,
    ClaimOperation,
    ClaimRelease,
    ClaimRequest,
    ClaimStatus,
)
from marjorambridge.claims.state import GroupState, ReplicaState, Waiter, WaitKey
from marjorambridge.claims.state_machine import (
    CommandResult,
    apply_entry,
    decode_answer,
    encode_answer,
    estimate_state_bytes,
    is_sweep_due,
    restore_snapshot,
    take_snapshot,
)
from marjorambridge.core.effects import (
    Effect,
    Measure,
    Publish,
    RecordSpan,
    SendMessage,
    SetTimer,
    WriteLog,
)
from marjorambridge.core.events import Event, MessageReceived, Started, TimerFired, ViewApplied
from marjorambridge.core.identity import AttemptId, TimerKey
from marjorambridge.core.spans import SpanKind, name_span
from marjorambridge.replication.events import (
    EntryCommitted,
    LeadershipChanged,
    ProposalRefused,
    ProposalRequested,
    SnapshotInstalled,
    SnapshotRequested,
    SnapshotTaken,
)

BATCH_TIMER = "batch"
MAINTENANCE_TIMER = "maintenance"
# Encoded bytes of a command without its answer, rounded up.
COMMAND_OVERHEAD_BYTES = 100
# Time after which a waiter is removed, as a multiple of the proposal timeout.
WAITER_TIMEOUT_FACTOR = 30

OPERATIONS_BY_MESSAGE = {
    ClaimRequest: ClaimOperation.CLAIM,
    ClaimComplete: ClaimOperation.COMPLETE,
    ClaimRelease: ClaimOperation.RELEASE,
}


def step(state: ReplicaState, event: Event) -> list[Effect]:
    """Handle one event of the replicas."""
    handler = HANDLERS.get(type(event))
    return handler(state, event) if handler is not None else []


def receive_started(state: ReplicaState, event: Started) -> list[Effect]:
    """Start the maintenance timer on hosts that have replicas."""
    if not state.groups:
        return []
    return [
        SetTimer(
            TimerKey("claims", MAINTENANCE_TIMER),
            event.now + state.settings.maintenance_interval_seconds,
        )
    ]


def receive_wall_clock(state: ReplicaState, event: WallClockRead) -> list[Effect]:
    """Store a reading of the wall clock."""
    state.clock = (event.now, event.wall)
    return []


def receive_view(state: ReplicaState, event: ViewApplied) -> list[Effect]:
    """Store the live host processes and propose to mark claimants that left or returned."""
    state.members = {(entry.host, entry.incarnation) for entry in event.view.hosts.values()}
    effects = []
    for group in state.groups.values():
        effects += propose_maintenance(state, group, event.now)
    return effects


def receive_timer(state: ReplicaState, event: TimerFired) -> list[Effect]:
    """Propose the commands of a batch, or do the regular maintenance."""
    effects: list[Effect] = []
    if event.key.name == BATCH_TIMER:
        group = state.groups.get(int(event.key.ident))
        if group is not None:
            group.timer_set = False
            effects += propose_pending(state, group, event.now)
    elif event.key.name == MAINTENANCE_TIMER:
        for group in state.groups.values():
            _remove_expired_waiters(state, group, event.now)
            effects += propose_maintenance(state, group, event.now)
            size = estimate_state_bytes(group.machine)
            effects.append(Measure("claims_state_bytes", size, {"group": str(group.group)}))
        effects.append(SetTimer(event.key, event.now + state.settings.maintenance_interval_seconds))
    return effects


def receive_message(state: ReplicaState, event: MessageReceived) -> list[Effect]:
    """Queue a claim, completion or release, or answer with the leader if it is another host."""
    message = event.message
    operation = OPERATIONS_BY_MESSAGE.get(type(message))
    if operation is None:
        return []
    digest = compute_key_digest(message.workspace, message.key)
    group = state.groups.get(compute_group(digest, state.settings.groups))
    if group is None or not group.is_leader or state.clock is None or group.halted:
        leader = group.leader if group is not None and not group.is_leader else ""
        return [_refuse(event.sender, (operation, message.claim), leader)]
    key = (operation, message.claim)
    waiter = group.waiting.get(key)
    if waiter is not None:
        waiter.sender = event.sender
        if event.now < waiter.proposed_at + state.settings.proposal_timeout_seconds:
            return []
        # The proposal may be lost; the state machine recognizes a second copy.
        waiter.proposed_at = event.now
    else:
        trace = getattr(message, "trace", None)
        group.waiting[key] = Waiter(event.sender, event.now, event.now, trace)
    group.pending.append((_build_command(message, digest), key))
    group.pending_bytes += COMMAND_OVERHEAD_BYTES
    if isinstance(message, ClaimComplete):
        group.pending_bytes += len(message.answer.body)
        group.pending_bytes += sum(len(name) + len(value) for name, value in message.answer.headers)
    return _propose_or_delay(state, group, event.now)


def receive_entry(state: ReplicaState, event: EntryCommitted) -> list[Effect]:
    """Apply a committed entry and answer the senders of its commands."""
    group = state.groups.get(event.group)
    if group is None or group.halted or event.index <= group.index:
        return []
    effects: list[Effect] = []
    try:
        # Entries of the log itself, such as the first one of a term, have no payload.
        results = apply_entry(group.machine, event.payload) if event.payload else []
    except ClaimEntryError as error:
        return _halt(group, f"entry {event.index}: {error}")
    group.index = event.index
    for result in results:
        waiter = group.waiting.pop((result.operation, result.claim), None)
        if waiter is not None:
            effects.append(SendMessage(waiter.sender, _build_answer(state, result)))
            labels = {"operation": result.operation.value, "status": result.status.value}
            effects.append(Measure("claims_answered_total", 1.0, labels))
            if waiter.trace:
                effects.append(_record_decision(group, waiter, result, event.now))
    if event.proposal:
        group.proposals.pop(event.proposal, None)
        if group.pending and not group.proposals:
            effects += propose_pending(state, group, event.now)
    return effects


def _record_decision(
    group: GroupState, waiter: Waiter, result: CommandResult, now: float
) -> Effect:
    """Return the span of the processing of a claim at this leader."""
    return RecordSpan(
        waiter.trace,
        name_span(SpanKind.DECISION, result.claim),
        name_span(SpanKind.CLAIM, result.claim),
        waiter.received_at,
        now,
        {"group": group.group, "status": result.status.value},
    )


def receive_refusal(state: ReplicaState, event: ProposalRefused) -> list[Effect]:
    """Answer the senders of commands in a refused proposal with the current leader."""
    group = state.groups.get(event.group)
    proposal = group.proposals.pop(event.proposal, None) if group is not None else None
    if proposal is None:
        return []
    effects: list[Effect] = []
    for key in proposal[1]:
        waiter = group.waiting.pop(key, None)
        if waiter is not None:
            leader = event.leader if event.leader != state.host else ""
            effects.append(_refuse(waiter.sender, key, leader))
    return effects


def receive_leadership(state: ReplicaState, event: LeadershipChanged) -> list[Effect]:
    """Store the leader; a former leader answers all waiting senders with the new leader.

    Their commands may still be committed; the status "unavailable" does not exclude that.
    """
    group = state.groups.get(event.group)
    if group is None:
        return []
    lost = group.is_leader and (not event.is_leader or event.term != group.term)
    group.leader = event.leader
    group.is_leader = event.is_leader
    group.term = event.term
    effects: list[Effect] = []
    if lost:
        effects += _refuse_waiting(group, event.leader if event.leader != state.host else "")
    if event.is_leader:
        effects += propose_maintenance(state, group, event.now)
    return effects


def receive_snapshot(state: ReplicaState, event: SnapshotInstalled) -> list[Effect]:
    """Replace the state of a group by a snapshot."""
    group = state.groups.get(event.group)
    if group is None or event.index <= group.index:
        return []
    try:
        group.machine = restore_snapshot(event.data)
    except ClaimSnapshotError as error:
        return _halt(group, f"snapshot {event.index}: {error}")
    group.index = event.index
    group.halted = ""
    return []


def receive_snapshot_request(state: ReplicaState, event: SnapshotRequested) -> list[Effect]:
    """Publish a snapshot of a group; none while it can't apply entries."""
    group = state.groups.get(event.group)
    if group is None or group.halted:
        return []
    data = take_snapshot(group.machine)
    return [Publish(SnapshotTaken(event.now, group.group, group.index, data))]


def propose_pending(state: ReplicaState, group: GroupState, now: float) -> list[Effect]:
    """Propose all pending commands, in as many entries as the limits require."""
    effects: list[Effect] = []
    settings = state.settings
    while group.pending and group.is_leader:
        count = size = 0
        for command, _ in group.pending[: settings.max_batch_commands]:
            size += COMMAND_OVERHEAD_BYTES + (
                len(command.answer) if isinstance(command, Complete) else 0
            )
            if count and size > settings.max_batch_bytes:
                break
            count += 1
        taken = group.pending[:count]
        del group.pending[:count]
        commands = tuple(command for command, _ in taken)
        effects += _propose(state, group, commands, tuple(key for _, key in taken), now)
    group.pending_bytes = 0
    return effects


def propose_maintenance(state: ReplicaState, group: GroupState, now: float) -> list[Effect]:
    """Propose marks for claimants that left or returned, a changed policy, or a due sweep."""
    if not group.is_leader or state.clock is None or group.halted:
        return []
    machine = group.machine
    wall = _compute_wall_time(state, group, now)
    marks = ()
    if state.members is not None:
        lost = tuple(
            name
            for name, claimant in machine.claimants.items()
            if not claimant.lost
            and name not in state.members
            and wall >= claimant.first_claim_at + state.settings.claimant_grace_seconds
        )
        live = tuple(
            name
            for name, claimant in machine.claimants.items()
            if claimant.lost and name in state.members
        )
        if lost or live:
            marks = (MarkHosts(lost, live),)
    if marks or machine.policy != state.settings.policy or is_sweep_due(machine, wall):
        return _propose(state, group, marks, (), now)
    return []


def _remove_expired_waiters(state: ReplicaState, group: GroupState, now: float) -> None:
    """Remove waiters whose proposal was lost and whose sender did not resend."""
    oldest = now - WAITER_TIMEOUT_FACTOR * state.settings.proposal_timeout_seconds
    for key in [key for key, waiter in group.waiting.items() if waiter.proposed_at < oldest]:
        del group.waiting[key]


def _propose_or_delay(state: ReplicaState, group: GroupState, now: float) -> list[Effect]:
    """Propose now if no proposal is in flight or the entry is full, else set the batch timer."""
    oldest = now - state.settings.proposal_timeout_seconds
    for name in [name for name, (at, _) in group.proposals.items() if at <= oldest]:
        del group.proposals[name]
    if (
        not group.proposals
        or len(group.pending) >= state.settings.max_batch_commands
        or group.pending_bytes >= state.settings.max_batch_bytes
    ):
        return propose_pending(state, group, now)
    if group.timer_set:
        return []
    group.timer_set = True
    key = TimerKey("claims", BATCH_TIMER, str(group.group))
    return [SetTimer(key, now + state.settings.batch_delay_seconds)]


def _propose(
    state: ReplicaState,
    group: GroupState,
    commands: tuple[Command, ...],
    keys: tuple[WaitKey, ...],
    now: float,
) -> list[Effect]:
    group.serial += 1
    proposal = f"{state.host}:{state.incarnation}:{group.group}:{group.serial}"
    group.proposals[proposal] = (now, keys)
    policy = state.settings.policy
    changed = None if policy == group.machine.policy else policy
    payload = encode_batch(Batch(_compute_wall_time(state, group, now), commands, changed))
    return [Publish(ProposalRequested(now, group.group, proposal, payload))]


def _compute_wall_time(state: ReplicaState, group: GroupState, now: float) -> float:
    read_at, wall = state.clock
    return max(group.machine.wall, wall + now - read_at)


def _build_command(
    message: ClaimRequest | ClaimComplete | ClaimRelease, digest: bytes
) -> Claim | Complete | Release:
    claim: AttemptId = message.claim
    if isinstance(message, ClaimRequest):
        fingerprint = compute_fingerprint_digest(message.fingerprint)
        date = parse_key_date(message.key)
        return Claim(digest, fingerprint, date, claim.host, claim.incarnation, claim.number)
    if isinstance(message, ClaimComplete):
        answer = encode_answer(message.answer)
        return Complete(digest, claim.host, claim.incarnation, claim.number, answer)
    return Release(digest, claim.host, claim.incarnation, claim.number)


def _build_answer(state: ReplicaState, result: CommandResult) -> ClaimAnswer:
    answer = decode_answer(result.answer) if result.answer is not None else None
    return ClaimAnswer(result.claim, result.status, answer, operation=result.operation)


def _halt(group: GroupState, reason: str) -> list[Effect]:
    """Stop to apply entries, and refuse what waits; the outcome of its commands is unknown."""
    group.halted = reason
    fields = {"group": group.group, "reason": reason, "applied": group.index}
    line = WriteLog("error", "this replica can't apply any further entry of a claims group", fields)
    return [line, *_refuse_waiting(group, "")]


def _refuse_waiting(group: GroupState, leader: str) -> list[Effect]:
    effects: list[Effect] = [
        _refuse(waiter.sender, key, leader) for key, waiter in group.waiting.items()
    ]
    group.waiting.clear()
    group.pending.clear()
    group.pending_bytes = 0
    group.proposals.clear()
    return effects


def _refuse(sender: str, key: WaitKey, leader: str) -> SendMessage:
    operation, claim = key
    answer = ClaimAnswer(claim, ClaimStatus.UNAVAILABLE, None, leader, operation)
    return SendMessage(sender, answer)


HANDLERS: dict[type, Callable[..., list[Effect]]] = {
    Started: receive_started,
    WallClockRead: receive_wall_clock,
    ViewApplied: receive_view,
    TimerFired: receive_timer,
    MessageReceived: receive_message,
    EntryCommitted: receive_entry,
    ProposalRefused: receive_refusal,
    LeadershipChanged: receive_leadership,
    SnapshotInstalled: receive_snapshot,
    SnapshotRequested: receive_snapshot_request,
}
