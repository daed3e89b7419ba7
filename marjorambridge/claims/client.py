"""Claim, complete and release calls for the requests component of this host."""

import hashlib
from collections.abc import Callable

from msgspec.structs import replace

from marjorambridge.claims.digests import compute_group, compute_key_digest
from marjorambridge.claims.events import (
    ClaimCompletionRequested,
    ClaimDecided,
    ClaimReleaseRequested,
    ClaimReplicasChanged,
    ClaimRequested,
    ClaimSettled,
)
from marjorambridge.claims.messages import (
    ClaimAnswer,
    ClaimComplete,
    ClaimOperation,
    ClaimRelease,
    ClaimRequest,
    ClaimStatus,
    RecordedAnswer,
)
from marjorambridge.claims.state import CallPhase, CallState, ClientState
from marjorambridge.core.effects import (
    CancelTimer,
    Effect,
    Measure,
    Publish,
    SendMessage,
    SetTimer,
    WriteLog,
)
from marjorambridge.core.events import Event, MessageReceived, TimerFired
from marjorambridge.core.identity import AttemptId, TimerKey, parse_attempt_id

RESEND_TIMER = "resend"
# Upper bound of the factor by which the resend timeout grows in the background.
MAX_BACKOFF_FACTOR = 64

OPERATIONS_BY_PHASE = {
    CallPhase.CLAIMING: ClaimOperation.CLAIM,
    CallPhase.COMPLETING: ClaimOperation.COMPLETE,
    CallPhase.RELEASING: ClaimOperation.RELEASE,
}


def step(state: ClientState, event: Event) -> list[Effect]:
    """Handle one event of the client."""
    handler = HANDLERS.get(type(event))
    return handler(state, event) if handler is not None else []


def receive_replicas(state: ClientState, event: ClaimReplicasChanged) -> list[Effect]:
    """Store the hosts that have replicas and remove leaders that are not among them."""
    state.replicas = event.hosts
    state.leaders = {
        group: leader for group, leader in state.leaders.items() if leader in event.hosts
    }
    return []


def receive_claim_requested(state: ClientState, event: ClaimRequested) -> list[Effect]:
    """Send a request to claim a call, unless the claim is in progress."""
    if event.claim in state.calls:
        return []
    digest = compute_key_digest(event.workspace, event.key)
    call = CallState(
        event.claim,
        event.workspace,
        event.key,
        event.fingerprint,
        compute_group(digest, state.settings.groups),
        CallPhase.CLAIMING,
        event.give_up_at,
        trace=event.trace,
        request=event.request,
    )
    state.calls[event.claim] = call
    return _send(state, call, event.now)


def receive_completion_requested(
    state: ClientState, event: ClaimCompletionRequested
) -> list[Effect]:
    """Send the answer of a held call to be recorded."""
    call = state.calls.get(event.claim)
    if call is None or call.phase not in (CallPhase.HELD, CallPhase.COMPLETING):
        return [Publish(ClaimSettled(event.now, event.claim, False))]
    if call.phase is CallPhase.HELD:
        call.answer = trim_answer(event.answer, state.settings.max_answer_bytes)
    _change_phase(state, call, CallPhase.COMPLETING, event.give_up_at)
    return _send(state, call, event.now)


def receive_release_requested(state: ClientState, event: ClaimReleaseRequested) -> list[Effect]:
    """Send a request to release a claim, unless its completion was requested."""
    call = state.calls.get(event.claim)
    if call is None or call.phase is CallPhase.COMPLETING:
        return [Publish(ClaimSettled(event.now, event.claim, False))]
    _change_phase(state, call, CallPhase.RELEASING, event.give_up_at)
    return _send(state, call, event.now)


def receive_message(state: ClientState, event: MessageReceived) -> list[Effect]:
    """Handle the answer to the operation in progress; other answers are late copies."""
    message = event.message
    if not isinstance(message, ClaimAnswer):
        return []
    call = state.calls.get(message.claim)
    if call is None or message.operation != OPERATIONS_BY_PHASE.get(call.phase):
        return []
    if message.status == ClaimStatus.UNAVAILABLE:
        return _receive_unavailable(state, call, event.sender, message.leader, event.now)
    state.leaders[call.group] = event.sender
    effects: list[Effect] = [CancelTimer(_build_timer_key(call.claim))]
    if call.phase is CallPhase.CLAIMING:
        if message.status == ClaimStatus.GRANTED:
            call.phase = CallPhase.HELD
        else:
            del state.calls[call.claim]
        effects.append(Publish(ClaimDecided(event.now, call.claim, message.status, message.answer)))
        return effects
    _remove_call(state, call)
    if not call.background:
        committed = message.status == ClaimStatus.GRANTED
        effects.append(Publish(ClaimSettled(event.now, call.claim, committed)))
    return effects


def receive_timer(state: ClientState, event: TimerFired) -> list[Effect]:
    """Resend an unanswered message, or give up at the end of the time for retries."""
    if event.key.name != RESEND_TIMER:
        return []
    call = state.calls.get(parse_attempt_id(event.key.ident))
    if call is None or call.phase is CallPhase.HELD:
        return []
    if event.now >= call.give_up_at:
        return _give_up(state, call, event.now)
    if state.leaders.get(call.group) == call.target:
        del state.leaders[call.group]
    return _send(state, call, event.now)


def trim_answer(answer: RecordedAnswer, limit: int) -> RecordedAnswer:
    """Return the answer without a body or headers that are longer than `limit` bytes."""
    if len(answer.body) > limit:
        digest = hashlib.blake2b(answer.body, digest_size=16).hexdigest()
        answer = replace(answer, body=b"", kept=False, digest=digest)
    if sum(len(name) + len(value) for name, value in answer.headers) > limit:
        answer = replace(answer, headers=())
    return answer


def _receive_unavailable(
    state: ClientState, call: CallState, sender: str, leader: str, now: float
) -> list[Effect]:
    """Set a timer to send the message to the named leader or to another replica."""
    if sender != call.target:
        return []
    if leader and leader != sender and state.leaders.get(call.group) != leader:
        state.leaders[call.group] = leader
    elif state.leaders.get(call.group) == sender:
        del state.leaders[call.group]
    # Without the delay, two replicas that name each other as leader would cause a message loop.
    call.target = ""
    at = now + state.settings.unavailable_retry_delay_seconds * _compute_backoff(call)
    return [SetTimer(_build_timer_key(call.claim), min(at, call.give_up_at))]


def _give_up(state: ClientState, call: CallState, now: float) -> list[Effect]:
    """Report that the operation failed, and retry it in the background.

    A claim may have been committed, so it is released; otherwise repeated requests are blocked.
    """
    phase = call.phase
    effects: list[Effect] = []
    if call.background:
        _remove_call(state, call)
        fields = {
            "claim": str(call.claim),
            "phase": call.phase.value,
            "request": call.request,
            "trace": call.trace,
        }
        return [WriteLog("warning", "gave up a claim operation; its key stays claimed", fields)]
    if call.phase is CallPhase.CLAIMING:
        effects.append(Publish(ClaimDecided(now, call.claim, ClaimStatus.UNAVAILABLE)))
        call.phase = CallPhase.RELEASING
    else:
        effects.append(Publish(ClaimSettled(now, call.claim, False)))
    effects.append(Measure("claim_steps_given_up_total", 1.0, {"phase": phase.value}))
    call.background = True
    call.send_count = 0
    call.give_up_at = now + state.settings.background_retry_timeout_seconds
    state.background[call.claim] = None
    if len(state.background) > state.settings.max_background_calls:
        oldest = next(iter(state.background))
        effects.append(CancelTimer(_build_timer_key(oldest)))
        effects.append(
            WriteLog("warning", "too many background claim operations; dropped the oldest")
        )
        _remove_call(state, state.calls[oldest])
        if oldest == call.claim:
            return effects
    return effects + _send(state, call, now)


def _send(state: ClientState, call: CallState, now: float) -> list[Effect]:
    """Send the message of the call's phase and set the timer for the next resend."""
    call.send_count += 1
    call.target = _choose_replica(state, call.group)
    at = now + state.settings.resend_timeout_seconds * _compute_backoff(call)
    effects: list[Effect] = [SetTimer(_build_timer_key(call.claim), min(at, call.give_up_at))]
    if call.target:
        effects.append(SendMessage(call.target, _build_message(call)))
    return effects


def _build_message(call: CallState) -> ClaimRequest | ClaimComplete | ClaimRelease:
    if call.phase is CallPhase.CLAIMING:
        trace = call.trace or None
        return ClaimRequest(call.claim, call.workspace, call.key, call.fingerprint, trace)
    if call.phase is CallPhase.COMPLETING:
        return ClaimComplete(call.claim, call.workspace, call.key, call.answer)
    return ClaimRelease(call.claim, call.workspace, call.key)


def _choose_replica(state: ClientState, group: int) -> str:
    leader = state.leaders.get(group)
    if leader is not None:
        return leader
    if not state.replicas:
        return ""
    state.rotation += 1
    return state.replicas[state.rotation % len(state.replicas)]


def _change_phase(state: ClientState, call: CallState, phase: CallPhase, give_up_at: float) -> None:
    call.phase = phase
    call.give_up_at = give_up_at
    call.send_count = 0
    call.background = False
    state.background.pop(call.claim, None)


def _remove_call(state: ClientState, call: CallState) -> None:
    state.calls.pop(call.claim, None)
    state.background.pop(call.claim, None)


def _compute_backoff(call: CallState) -> int:
    if not call.background:
        return 1
    return min(1 << min(call.send_count, 30), MAX_BACKOFF_FACTOR)


def _build_timer_key(claim: AttemptId) -> TimerKey:
    return TimerKey("claims", RESEND_TIMER, str(claim))


HANDLERS: dict[type, Callable[..., list[Effect]]] = {
    ClaimReplicasChanged: receive_replicas,
    ClaimRequested: receive_claim_requested,
    ClaimCompletionRequested: receive_completion_requested,
    ClaimReleaseRequested: receive_release_requested,
    MessageReceived: receive_message,
    TimerFired: receive_timer,
}
