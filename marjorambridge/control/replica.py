"""Dispatch the events of a replica: commands, reports of endpoints, other replicas and hosts."""

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
    drop_followers,
    push,
    run_push,
    schedule_push,
)
from marjorambridge.control.messages import (
    EndpointGossip,
    FeedPoll,
    MemberList,
    ProposalForward,
    find_fault,
)
from marjorambridge.control.proposals import propose, renew_barrier, resend_commands, send_command
from marjorambridge.control.registry import (
    gossip_alive,
    gossip_changes,
    merge_all,
    merge_gossip,
    merge_records,
    register_endpoints,
    take_report,
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
                return run_push(state, event.now)
            return _run_tick(state, event.now)
        case CommandSubmitted():
            state.pending[event.command_id] = PendingCommand(event.payload, event.now)
            return send_command(state, event.command_id, event.now)
        case CommandWithdrawn():
            state.pending.pop(event.command_id, None)
        case EndpointReported():
            changed, effects = take_report(state, event)
            return effects + (schedule_push(state, event.now) if changed else [])
        case EntryCommitted():
            return _apply(state, event)
        case SnapshotInstalled():
            return _install(state, event)
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
            # After a restart of the whole fleet callers wait until a replica is current.
            return effects + renew_barrier(state, event.now)
        case LogPositionChanged():
            state.members = event.voters
        case MessageReceived():
            return _take_message(state, event)
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


def _take_message(state: ControlReplicaState, event: MessageReceived) -> list[Effect]:
    message = event.message
    fault = find_fault(message)
    if fault:
        fields = {"peer": event.sender, "reason": fault}
        return [WriteLog("warning", "dropped a message that contradicts itself", fields)]
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
            return _admit(state, event.sender, event.now)
        case MemberList():
            return [Publish(PeersDiscovered(event.now, message.hosts))]
    return []


# Entries of the log.


def _apply(state: ControlReplicaState, event: EntryCommitted) -> list[Effect]:
    if event.group != CONTROL_GROUP or state.halted:
        return []
    before = _describe_content(state)
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
    is_due = _describe_content(state) != before
    if command.command_id == state.barrier:
        state.barrier = ""
        state.confirmed = is_due = True
    if is_due:
        # Hosts are told before the operator, so that few requests cross the acknowledgement.
        effects += push(state, event.now)
    elif state.table.revision != revision:
        effects += schedule_push(state, event.now)
    if state.pending.pop(command.command_id, None) is not None:
        effects.append(Publish(CommandApplied(event.now, command.command_id)))
    return effects


def _install(state: ControlReplicaState, event: SnapshotInstalled) -> list[Effect]:
    if event.group != CONTROL_GROUP or event.index <= state.control.index:
        return []
    try:
        state.control = restore_snapshot(event.data)
    except ControlDecodeError as error:
        return _halt(state, str(error))
    state.control.index = max(state.control.index, event.index)
    merge_all(state, event.now)
    return push(state, event.now)


def _halt(state: ControlReplicaState, reason: str) -> list[Effect]:
    state.halted = reason
    state.confirmed = False
    return [WriteLog("error", "the replica can't apply the control log", {"reason": reason})]


def _describe_content(state: ControlReplicaState) -> tuple[int, ...]:
    control = state.control
    return control.version, len(control.drained), len(control.retired)


# Members.


def _admit(state: ControlReplicaState, host: str, now: float) -> list[Effect]:
    """Add an unknown replica to the group, or tell it who may do so."""
    if not state.is_leader:
        members = (*state.members, state.leader) if state.leader else state.members
        return [SendMessage(host, MemberList(tuple(dict.fromkeys(members))))]
    if host in state.members:
        return []
    request = MembershipChangeRequested(now, CONTROL_GROUP, MembershipAction.ADD_HOST, host)
    return [Publish(request)]


# Time.


def _run_tick(state: ControlReplicaState, now: float) -> list[Effect]:
    effects: list[Effect] = [SetTimer(TICK, now + defaults.CONTROL_TICK_SECONDS)]
    effects += resend_commands(state, now)
    effects += renew_barrier(state, now)
    changed = expire_endpoints(state.table, now)
    effects += register_endpoints(state, now)
    changed |= drop_followers(state, now)
    effects += gossip_changes(state, now)
    if now - state.gossiped_at >= defaults.GOSSIP_INTERVAL_SECONDS:
        effects += gossip_alive(state, now)
    current = is_current(state, now)
    if any(follower.current != current for follower in state.followers.values()):
        effects += push(state, now)
    elif changed:
        effects += schedule_push(state, now)
    return effects
