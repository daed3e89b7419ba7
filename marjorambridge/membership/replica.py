"""Answer polls from the replica's log; on the leader, process hosts and operator commands."""

from marjorambridge.conf import defaults
from marjorambridge.configuration.codec import decode_entry, encode_entry
from marjorambridge.configuration.commands import (
    Entry,
    HostJoined,
    HostLeaving,
    HostRemoved,
    OperatorCommand,
)
from marjorambridge.configuration.exceptions import EntryDecodeError, SnapshotDecodeError
from marjorambridge.configuration.state import CommandAnswer
from marjorambridge.configuration.state_machine import (
    MAX_IDENTIFIER_LENGTH,
    apply_entry,
    check_envelope,
    find_stored_answer,
    make_target_answer,
    restore_snapshot,
    take_snapshot,
)
from marjorambridge.core.effects import Effect, Publish, SendMessage, WriteLog
from marjorambridge.core.view import HostEntry, HostState
from marjorambridge.membership.messages import (
    CommandForward,
    CommandRedirect,
    CommandReply,
    CommittedEntry,
    EntryBatch,
    FreshnessQuery,
    FreshnessReply,
    SnapshotChunk,
)
from marjorambridge.membership.state import (
    HostProgress,
    HostProposal,
    MembershipState,
    ProposedCommand,
    ReplicaState,
)
from marjorambridge.membership.submission import check_target_command
from marjorambridge.orders.events import TargetStateApplied
from marjorambridge.orders.exceptions import OrderEntryError
from marjorambridge.orders.state_machine import (
    OrderCommand,
    SetTarget,
    decode_command,
    is_order_payload,
)
from marjorambridge.replication.events import (
    EntryCommitted,
    LeadershipChanged,
    ProposalRefused,
    ProposalRequested,
    SnapshotInstalled,
    SnapshotTaken,
)

CONTROL_GROUP = 0


def handle_entry(state: MembershipState, event: EntryCommitted) -> list[Effect]:
    """Apply a committed entry, store it for the hosts and answer the command that it contains."""
    replica, settings = state.replica, state.settings
    if replica.halted or event.index <= replica.control.index:
        return []
    try:
        applied = apply_entry(replica.control, event.index, event.payload)
    except EntryDecodeError as error:
        return [_halt(replica, f"entry {event.index}: {error}")]
    replica.recent.append(CommittedEntry(event.index, event.payload))
    replica.recent_bytes += len(event.payload)
    while (
        len(replica.recent) > settings.max_recent_entries
        or replica.recent_bytes > settings.max_recent_entry_bytes
    ):
        oldest = replica.recent.popleft()
        replica.recent_bytes -= len(oldest.payload)
        replica.recent_after = oldest.index
    if applied.view_changed:
        _remove_applied_proposals(replica)
    effects = [_publish_targets(replica, event.now)] if applied.targets_changed else []
    waiting = replica.commands.pop(event.payload, None)
    if waiting is None or applied.answer is None:
        return effects
    return effects + [
        SendMessage(origin, CommandReply(applied.answer.command_id, applied.answer))
        for origin in waiting.origins
    ]


def handle_snapshot(state: MembershipState, event: SnapshotInstalled) -> list[Effect]:
    """Replace the control state by a snapshot, unless the state already covers it."""
    replica = state.replica
    if event.index <= replica.control.index:
        return []
    try:
        control = restore_snapshot(event.data)
    except SnapshotDecodeError as error:
        return [_halt(replica, f"snapshot {event.index}: {error}")]
    control.index = max(control.index, event.index)
    replica.control = control
    replica.recent.clear()
    replica.recent_bytes = 0
    replica.recent_after = control.index
    replica.snapshot, replica.snapshot_index = event.data, control.index
    replica.halted = ""
    _remove_applied_proposals(replica)
    return [_publish_targets(replica, event.now)]


def handle_snapshot_request(state: MembershipState, now: float) -> list[Effect]:
    """Publish a snapshot of the control state; none while the replica cannot apply entries."""
    control = state.replica.control
    if state.replica.halted:
        return []
    return [Publish(SnapshotTaken(now, CONTROL_GROUP, control.index, take_snapshot(control)))]


def handle_leadership(state: MembershipState, event: LeadershipChanged) -> list[Effect]:
    """Store the leader; a new leader waits before it removes hosts."""
    replica = state.replica
    if event.is_leader and not (replica.is_leader and replica.term == event.term):
        replica.leader_since = event.now
        replica.last_tick = event.now
    replica.leader, replica.term = event.leader, event.term
    replica.is_leader = event.is_leader
    if not event.is_leader:
        # The origins resend their commands to the new leader.
        replica.proposals.clear()
        replica.commands.clear()
    return []


def handle_refusal(state: MembershipState, event: ProposalRefused) -> list[Effect]:
    """Remove a refused command; its origin resends it."""
    replica = state.replica
    for payload, command in list(replica.commands.items()):
        if command.proposal == event.proposal:
            del replica.commands[payload]
    return []


def handle_query(
    state: MembershipState, sender: str, incarnation: int, query: FreshnessQuery, now: float
) -> list[Effect]:
    """Record the poll of a host, propose a change of the view if it is due, and reply."""
    replica, settings = state.replica, state.settings
    previous = replica.progress.get(sender)
    effects: list[Effect] = []
    if previous is None or previous.incarnation <= incarnation:
        applied = query.applied
        if previous is not None and previous.incarnation == incarnation:
            applied = max(applied, previous.applied)
        if previous is not None or len(replica.progress) < defaults.MAX_HOSTS:
            replica.progress[sender] = HostProgress(sender, incarnation, applied, now)
        effects += _propose_host_state(state, sender, incarnation, query, now)
    position = replica.position
    if position is None:
        return effects
    reply = FreshnessReply(
        number=query.number,
        incarnation=incarnation,
        last_index=position.last_index,
        commit_index=position.commit_index,
        voter=position.voter,
        voters=position.voters,
        leader=replica.leader,
        term=replica.term,
    )
    if query.preferred and query.applied < replica.control.index:
        if query.applied >= replica.recent_after:
            reply.batch = _make_batch(replica, query.applied, settings.max_reply_entry_bytes)
        else:
            reply.chunk = _make_chunk(replica, query, settings.snapshot_chunk_bytes)
    return [*effects, SendMessage(sender, reply)]


def handle_leave_request(
    state: MembershipState, sender: str, incarnation: int, now: float
) -> list[Effect]:
    """Propose to mark a host as leaving, if this replica leads."""
    current = state.replica.control.view.hosts.get(sender)
    if not _is_live(current, incarnation):
        return []
    return _propose_host(state, sender, HostLeaving(sender, incarnation), now)


def expire_hosts(state: MembershipState, now: float) -> list[Effect]:
    """Propose to remove hosts that timed out, if this replica leads, and remove old records."""
    replica, settings = state.replica, state.settings
    if now - replica.last_tick > settings.host_timeout_seconds / 2:
        # After an interruption of this process, the polls that arrived during it are not processed
        # yet, so hosts that sent polls seem to have timed out.
        replica.leader_since = now
    replica.last_tick = now
    hosts = replica.control.view.hosts
    for host, progress in list(replica.progress.items()):
        if now - progress.last_poll_at > settings.host_record_retention_seconds:
            del replica.progress[host]
    for payload, command in list(replica.commands.items()):
        if now - command.received > settings.command_timeout_seconds:
            del replica.commands[payload]
    if not replica.is_leader or now - replica.leader_since < settings.new_leader_grace_seconds:
        return []
    effects: list[Effect] = []
    for host, entry in hosts.items():
        progress = replica.progress.get(host)
        last_contact_at = replica.leader_since
        if progress is not None and progress.incarnation >= entry.incarnation:
            last_contact_at = max(last_contact_at, progress.last_poll_at)
        if now - last_contact_at > settings.host_timeout_seconds:
            effects += _propose_host(state, host, HostRemoved(host, entry.incarnation), now)
    return effects


def handle_forward(
    state: MembershipState, sender: str, message: CommandForward, now: float
) -> list[Effect]:
    """Propose a forwarded command, or answer it with a stored answer or with the leader."""
    replica = state.replica
    if replica is None or not replica.is_leader:
        leader, term = (replica.leader, replica.term) if replica else ("", 0)
        return [SendMessage(sender, CommandRedirect(message.command_id, leader, term))]
    # An entry that cannot be decoded would stop every host, so it must never be proposed.
    try:
        command = _decode_forward(message.payload)
    except EntryDecodeError as error:
        return [
            WriteLog(
                "error",
                "a forwarded command is malformed; update the host",
                {"peer": sender, "detail": str(error)},
            )
        ]
    if isinstance(command, SetTarget):
        valid = not check_target_command(command)
    else:
        valid = isinstance(command, OperatorCommand) and not check_envelope(command)
    if not valid:
        return [WriteLog("error", "a forwarded entry is not a valid command", {"peer": sender})]
    stored_answer = _find_answer(replica, command)
    if stored_answer is not None:
        return [SendMessage(sender, CommandReply(stored_answer.command_id, stored_answer))]
    waiting = replica.commands.get(message.payload)
    if waiting is not None:
        waiting.origins[sender] = None
        if now - waiting.proposed_at < state.settings.proposal_retry_interval_seconds:
            return []
        waiting.proposed_at = now
        waiting.received = now
    elif len(replica.commands) >= defaults.MAX_PENDING_COMMANDS:
        return []
    else:
        waiting = ProposedCommand("", now, now, {sender: None})
        replica.commands[message.payload] = waiting
    waiting.proposal = _make_proposal_id(state)
    return [Publish(ProposalRequested(now, CONTROL_GROUP, waiting.proposal, message.payload))]


def _decode_forward(payload: bytes) -> Entry | OrderCommand:
    if not is_order_payload(payload):
        return decode_entry(payload)
    try:
        return decode_command(payload)
    except OrderEntryError as error:
        raise EntryDecodeError(str(error)) from error


def _find_answer(
    replica: ReplicaState, command: OperatorCommand | SetTarget
) -> CommandAnswer | None:
    if isinstance(command, OperatorCommand):
        return find_stored_answer(replica.control, command)
    result = replica.control.targets.results.get(command.command)
    return result and make_target_answer(result)


def publish_targets(state: MembershipState, now: float) -> list[Effect]:
    """Publish the target state of this replica to the issuer of orders at the process start."""
    return [] if state.replica is None else [_publish_targets(state.replica, now)]


def _publish_targets(replica: ReplicaState, now: float) -> Effect:
    # The state is shared and changed in place, so the issuer reads it as of the last applied entry
    # even while this event is queued behind others, such as a change of leadership.
    return Publish(TargetStateApplied(now, replica.control.index, replica.control.targets))


def list_host_progress(state: MembershipState) -> tuple[HostProgress, ...]:
    """Return the applied index of each host, from the polls that this replica has received."""
    if state.replica is None:
        return ()
    return tuple(progress for _, progress in sorted(state.replica.progress.items()))


def _propose_host_state(
    state: MembershipState, sender: str, incarnation: int, query: FreshnessQuery, now: float
) -> list[Effect]:
    current = state.replica.control.view.hosts.get(sender)
    if current is not None and current.incarnation >= incarnation:
        if query.leaving and _is_live(current, incarnation):
            return _propose_host(state, sender, HostLeaving(sender, incarnation), now)
        return []
    texts = (sender, query.address, query.zone, query.region)
    if not query.address or max(map(len, texts)) > MAX_IDENTIFIER_LENGTH:
        return []
    status = HostState.LEAVING if query.leaving else HostState.LIVE
    entry = HostEntry(sender, incarnation, query.address, query.zone, query.region, status)
    return _propose_host(state, sender, HostJoined(entry), now)


def _is_live(current: HostEntry | None, incarnation: int) -> bool:
    return (
        current is not None
        and current.incarnation == incarnation
        and current.state is HostState.LIVE
    )


def _propose_host(
    state: MembershipState, host: str, entry: HostJoined | HostLeaving | HostRemoved, now: float
) -> list[Effect]:
    replica = state.replica
    if not replica.is_leader:
        return []
    earlier = replica.proposals.get(host)
    if (
        earlier is not None
        and earlier.entry == entry
        and now - earlier.proposed_at < state.settings.proposal_retry_interval_seconds
    ):
        return []
    replica.proposals[host] = HostProposal(entry, now)
    proposal = _make_proposal_id(state)
    return [Publish(ProposalRequested(now, CONTROL_GROUP, proposal, encode_entry(entry)))]


def _make_proposal_id(state: MembershipState) -> str:
    state.replica.proposal_number += 1
    settings = state.settings
    return f"{settings.host}:{settings.incarnation}:{state.replica.proposal_number}"


def _remove_applied_proposals(replica: ReplicaState) -> None:
    """Remove the proposals that the view contains, so that a later change is proposed at once."""
    for host, proposal in list(replica.proposals.items()):
        current = replica.control.view.hosts.get(host)
        match proposal.entry:
            case HostJoined(entry):
                is_applied = current is not None and current.incarnation >= entry.incarnation
            case HostLeaving(_, incarnation):
                is_applied = not _is_live(current, incarnation)
            case HostRemoved(_, incarnation):
                is_applied = current is None or current.incarnation != incarnation
        if is_applied:
            del replica.proposals[host]


def _make_batch(replica: ReplicaState, applied: int, limit: int) -> EntryBatch:
    missing: list[CommittedEntry] = []
    for entry in reversed(replica.recent):
        if entry.index <= applied:
            break
        missing.append(entry)
    size = 0
    entries: list[CommittedEntry] = []
    for entry in reversed(missing):
        size += len(entry.payload)
        if entries and size > limit:
            return EntryBatch(applied, entries[-1].index, tuple(entries))
        if entry.payload:
            entries.append(entry)
    return EntryBatch(applied, replica.control.index, tuple(entries))


def _make_chunk(replica: ReplicaState, query: FreshnessQuery, limit: int) -> SnapshotChunk:
    if not replica.snapshot or replica.snapshot_index < replica.recent_after:
        replica.snapshot = take_snapshot(replica.control)
        replica.snapshot_index = replica.control.index
    total = len(replica.snapshot)
    offset = 0
    if query.snapshot_index == replica.snapshot_index and query.snapshot_offset < total:
        offset = query.snapshot_offset
    data = replica.snapshot[offset : offset + limit]
    return SnapshotChunk(replica.snapshot_index, offset, total, data)


def _halt(replica: ReplicaState, reason: str) -> Effect:
    replica.halted = reason
    return WriteLog(
        "error",
        "this replica cannot apply any further entry of the control log; update it",
        {"reason": reason, "applied": replica.control.index},
    )
