"""Dispatch events to the poller, the replica and the operator commands."""

from marjorambridge.core.effects import Effect, SetTimer
from marjorambridge.core.events import (
    Event,
    MessageReceived,
    ShutdownRequested,
    Started,
    TimerFired,
)
from marjorambridge.core.identity import TimerKey
from marjorambridge.membership import host, replica, submission
from marjorambridge.membership.events import CommandSubmitted
from marjorambridge.membership.messages import (
    CommandForward,
    CommandRedirect,
    CommandReply,
    FreshnessQuery,
    FreshnessReply,
    HostLeaveRequest,
)
from marjorambridge.membership.state import MembershipState
from marjorambridge.replication.events import (
    EntryCommitted,
    LeadershipChanged,
    LogPositionChanged,
    ProposalRefused,
    SnapshotInstalled,
    SnapshotRequested,
)

POLL_TIMER = TimerKey("membership", "poll")


def step(state: MembershipState, event: Event) -> list[Effect]:
    """Apply one event and return its effects; an event without a handler has none."""
    now = event.now
    match event:
        case Started():
            return replica.publish_targets(state, now) + _poll(state, now)
        case ShutdownRequested():
            return host.request_leave(state)
        case TimerFired(_, key) if key == POLL_TIMER:
            return _poll(state, now)
        case TimerFired(_, TimerKey("membership", submission.COMMAND_TIMER, identifier)):
            return submission.retry_command(state, identifier, now)
        case CommandSubmitted():
            return submission.submit_command(state, event.command, now)
        case MessageReceived():
            return _handle_message(state, event)
    if state.replica is None or getattr(event, "group", None) != replica.CONTROL_GROUP:
        return []
    match event:
        case EntryCommitted():
            return replica.handle_entry(state, event)
        case SnapshotInstalled():
            return replica.handle_snapshot(state, event)
        case SnapshotRequested():
            return replica.handle_snapshot_request(state, now)
        case LeadershipChanged():
            return replica.handle_leadership(state, event)
        case ProposalRefused():
            return replica.handle_refusal(state, event)
        case LogPositionChanged():
            state.replica.position = event
    return []


def _poll(state: MembershipState, now: float) -> list[Effect]:
    effects = host.poll_replicas(state, now)
    if state.replica is not None:
        effects += replica.expire_hosts(state, now)
    return [*effects, SetTimer(POLL_TIMER, now + state.settings.poll_interval_seconds)]


def _handle_message(state: MembershipState, event: MessageReceived) -> list[Effect]:
    sender, incarnation, now = event.sender, event.incarnation, event.now
    match event.message:
        case FreshnessReply() as reply:
            effects = host.handle_reply(state, sender, reply, now)
            return effects + submission.publish_ready_answers(state, now)
        case CommandReply() as message:
            return submission.handle_answer(state, sender, message, now)
        case CommandRedirect() as message:
            return submission.handle_redirect(state, message, now)
        case CommandForward() as message:
            return replica.handle_forward(state, sender, message, now)
        case FreshnessQuery() as query if state.replica is not None:
            return replica.handle_query(state, sender, incarnation, query, now)
        case HostLeaveRequest() as request if state.replica is not None:
            return replica.handle_leave_request(state, sender, request.incarnation, now)
    return []
