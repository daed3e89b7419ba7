"""Dispatch the events of a replica: commands, endpoint reports, and messages from other hosts."""

from marjorambridge.conf import defaults
from marjorambridge.control.commands import RegisterEndpoints, RetireEndpoint
from marjorambridge.control.events import (
    CommandApplied,
    CommandSubmitted,
    CommandWithdrawn,
    EndpointReported,
)
from marjorambridge.control.exceptions import ControlDecodeError
from marjorambridge.control.feed import (
    answer_poll,
    drop_expired_subscribers,
    push_updates,
    run_scheduled_push,
    schedule_push,
)
from marjorambridge.control.messages import (
    EndpointGossip,
    FeedPoll,
    MemberList,
    ProposalForward,
    find_inconsistency,
)
from marjorambridge.control.proposals import propose, renew_barrier, resend_commands, send_command
from marjorambridge.control.registry import (
    gossip_changes,
    gossip_live_endpoints,
    merge_gossip,
    merge_records,
    merge_snapshot,
    record_report,
    register_endpoints,
)
from marjorambridge.control.state import (
    CONTROL_GROUP,
    PUSH,
    TICK,
    ControlReplicaState,
    PendingCommand,
    is_current,
)
from marjorambridge.control.state_machine import apply_entry, restore_snapshot, take_snapshot
from marjorambridge.core.effects import Effect, Publish, SendMessage, SetTimer, WriteLog
from marjorambridge.core.events import Event, MessageReceived, Started, TimerFired
from marjorambridge.discovery.table import expire_endpoints, retire_endpoint
from marjorambridge.replication.events import (
    EntryCommitted,
    LeadershipChanged,
    LogPositionChanged,
    MembershipAction,
    MembershipChangeRequested,
    PeersDiscovered,
    ProposalRefused,
    SnapshotInstalled,
    SnapshotRequested,
    SnapshotTaken,
)
from marjorambridge.replication.messages import JoinRequest


def step(state: ControlReplicaState, event: Event) -> list[Effect]:
    """Apply an event and return the effects."""
    match event:
        case Started():
            state.unconfirmed_since = event.now
            return [SetTimer(TICK, event.now)]
        case TimerFired():
            if event.key == PUSH:
                return run_scheduled_push(state, event.now)
            return _handle_tick(state, event.now)
        case CommandSubmitted():
            state.pending[event.command_id] = PendingCommand(event.payload, event.now)
            return send_command(state, event.command_id, event.now)
        case CommandWithdrawn():
            state.pending.pop(event.command_id, None)
        case EndpointReported():
            changed, effects = record_report(state, event)
            return effects + (schedule_push(state, event.now) if changed else [])
        case EntryCommitted():
            return _apply_entry(state, event)
        case SnapshotInstalled():
            return _install_snapshot(state, event)
        case SnapshotRequested() if not state.halted:
            data = take_snapshot(state.control)
            return [Publish(SnapshotTaken(event.now, CONTROL_GROUP, state.control.index, data))]
        case LeadershipChanged():
            state.leader, state.is_leader = event.leader, event.is_leader
            effects = [
                effect
                for command_id in state.pending
                for effect in send_command(state, command_id, event.now)
            ]
            # The barrier does not wait for the next tick, because after a restart of the whole
            # fleet callers wait until a replica is current.
            return effects + renew_barrier(state, event.now)
        case LogPositionChanged():
            state.members = event.voters
        case MessageReceived():
            return _handle_message(state, event)
    return []


EVENTS = frozenset(
    {
        Started,
        CommandSubmitted,
        CommandWithdrawn,
        EndpointReported,
        EntryCommitted,
        SnapshotInstalled,
        SnapshotRequested,
        LeadershipChanged,
        LogPositionChanged,
        ProposalRefused,
    }
)
MESSAGES = frozenset({ProposalForward, EndpointGossip, FeedPoll, JoinRequest, MemberList})


def _handle_message(state: ControlReplicaState, event: MessageReceived) -> list[Effect]:
    message = event.message
    inconsistency = find_inconsistency(message)
    if inconsistency:
        fields = {"peer": event.sender, "reason": inconsistency}
        return [WriteLog("warning", "dropped an inconsistent message", fields)]
    match message:
        case ProposalForward():
            if state.leader != state.host:
                return []
            return [propose(event.now, message.command_id, message.payload)]
        case EndpointGossip():
            changed = merge_gossip(state, event.sender, message, event.now)
            return schedule_push(state, event.now) if changed else []
        case FeedPoll():
            return answer_poll(state, event.sender, message, event.now)
        case JoinRequest():
            return _handle_join_request(state, event.sender, event.now)
        case MemberList():
            return [Publish(PeersDiscovered(event.now, message.hosts))]
    return []


# Entries of the log.


def _apply_entry(state: ControlReplicaState, event: EntryCommitted) -> list[Effect]:
    if event.group != CONTROL_GROUP or state.halted:
        return []
    before = _summarize_urgent_content(state)
    revision = state.table.revision
    try:
        command = apply_entry(state.control, event.index, event.payload)
    except ControlDecodeError as error:
        return _halt(state, str(error))
    effects: list[Effect] = []
    if command is None:
        return effects
    match command:
        case RegisterEndpoints():
            merge_records(state, command.endpoints, event.now)
        case RetireEndpoint():
            retire_endpoint(state.table, command.endpoint, command.born)
    is_urgent = _summarize_urgent_content(state) != before
    if command.command_id == state.barrier:
        state.barrier = ""
        state.confirmed = is_urgent = True
    if is_urgent:
        # The update is sent before the acknowledgement, so that few requests still use the old
        # state after it.
        effects += push_updates(state, event.now)
    elif state.table.revision != revision:
        effects += schedule_push(state, event.now)
    if state.pending.pop(command.command_id, None) is not None:
        effects.append(Publish(CommandApplied(event.now, command.command_id)))
    return effects


def _install_snapshot(state: ControlReplicaState, event: SnapshotInstalled) -> list[Effect]:
    if event.group != CONTROL_GROUP or event.index <= state.control.index:
        return []
    try:
        state.control = restore_snapshot(event.data)
    except ControlDecodeError as error:
        return _halt(state, str(error))
    state.control.index = max(state.control.index, event.index)
    merge_snapshot(state, event.now)
    return push_updates(state, event.now)


def _halt(state: ControlReplicaState, reason: str) -> list[Effect]:
    state.halted = reason
    state.confirmed = False
    # They would be sent again for ever, because this replica never sees them applied.
    state.pending.pop(state.barrier, None)
    state.pending.pop(state.registration_id, None)
    state.barrier = ""
    return [WriteLog("error", "the replica can't apply the control log", {"reason": reason})]


def _summarize_urgent_content(state: ControlReplicaState) -> tuple[int, ...]:
    control = state.control
    return control.version, len(control.drained), len(control.retired)


# Membership.


def _handle_join_request(state: ControlReplicaState, host: str, now: float) -> list[Effect]:
    """Add a new replica to the group, or reply with the members if another replica leads."""
    if not state.is_leader:
        members = (*state.members, state.leader) if state.leader else state.members
        return [SendMessage(host, MemberList(tuple(dict.fromkeys(members))))]
    if host in state.members:
        return []
    request = MembershipChangeRequested(now, CONTROL_GROUP, MembershipAction.ADD_HOST, host)
    return [Publish(request)]


# Timers.


def _handle_tick(state: ControlReplicaState, now: float) -> list[Effect]:
    effects: list[Effect] = [SetTimer(TICK, now + defaults.CONTROL_TICK_SECONDS)]
    effects += resend_commands(state, now)
    effects += renew_barrier(state, now)
    changed = expire_endpoints(state.table, now)
    effects += register_endpoints(state, now)
    changed |= drop_expired_subscribers(state, now)
    effects += gossip_changes(state, now)
    if now - state.gossip_sent_at >= defaults.GOSSIP_INTERVAL_SECONDS:
        effects += gossip_live_endpoints(state, now)
    current = is_current(state, now)
    if any(subscriber.current != current for subscriber in state.subscribers.values()):
        effects += push_updates(state, now)
    elif changed:
        effects += schedule_push(state, now)
    return effects
