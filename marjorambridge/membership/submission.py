"""Forward operator commands from the host where they are submitted to the leader.

A command is resent with the same identifier until its answer arrives or the timeout expires; the
state machine applies it once and repeats its first answer.
"""

from marjorambridge.conf import defaults
from marjorambridge.configuration.codec import decode_entry, encode_entry
from marjorambridge.configuration.commands import OperatorCommand
from marjorambridge.configuration.exceptions import EntryDecodeError
from marjorambridge.configuration.faults import Fault
from marjorambridge.configuration.state import AnswerStatus, CommandAnswer
from marjorambridge.configuration.state_machine import MAX_IDENTIFIER_LENGTH, check_envelope
from marjorambridge.core.effects import CancelTimer, Effect, Publish, SendMessage, SetTimer
from marjorambridge.core.events import ControlLeaderChanged
from marjorambridge.core.identity import TimerKey
from marjorambridge.membership.events import CommandAnswered
from marjorambridge.membership.host import make_query
from marjorambridge.membership.messages import CommandForward, CommandRedirect, CommandReply
from marjorambridge.membership.state import MembershipState, PendingCommand
from marjorambridge.orders.state_machine import SetTarget, encode_command

COMMAND_TIMER = "command"


def check_target_command(command: SetTarget) -> list[Fault]:
    """Return the faults of a command that sets a target."""
    return [
        Fault(path, f"has {len(text)} characters", f"use 1 to {MAX_IDENTIFIER_LENGTH} characters")
        for path, text in (("command_id", command.command), ("change.name", command.name))
        if not 1 <= len(text) <= MAX_IDENTIFIER_LENGTH
    ]


def submit_command(
    state: MembershipState, command: OperatorCommand | SetTarget, now: float
) -> list[Effect]:
    """Send a command to the leader, or refuse it at once if it cannot be an entry."""
    is_target = isinstance(command, SetTarget)
    identifier = command.command if is_target else command.command_id
    faults = check_target_command(command) if is_target else check_envelope(command)
    payload = b""
    try:
        if is_target:
            payload = encode_command(command)
        else:
            payload = encode_entry(command)
            decode_entry(payload)
    except (EntryDecodeError, OverflowError, TypeError, UnicodeEncodeError) as error:
        faults.append(Fault("command", f"cannot be encoded: {error}", "correct the command"))
    if len(payload) > defaults.MAX_COMMAND_BYTES:
        problem = f"has {len(payload)} bytes; the limit is {defaults.MAX_COMMAND_BYTES}"
        faults.append(Fault("command", problem, "send the changes in several commands"))
    if faults:
        message = "correct the listed faults and send the command with a new identifier"
        version = state.host.control.configuration.version
        answer = CommandAnswer(
            identifier, AnswerStatus.INVALID, version, message, faults=tuple(faults)
        )
        return [Publish(CommandAnswered(now, identifier, answer))]
    earlier = state.commands.get(identifier)
    if earlier is not None and earlier.payload != payload:
        # Answers are identified by the command identifier only, so the answer to one command could
        # be delivered for the other.
        return _answer_unavailable(
            state,
            identifier,
            "another command with this identifier is in progress; look at the present state, and "
            "send the command with a new identifier",
            now,
        )
    if earlier is None and len(state.commands) >= defaults.MAX_PENDING_COMMANDS:
        return _answer_unavailable(
            state, identifier, "too many commands wait for an answer; send it again later", now
        )
    state.commands[identifier] = PendingCommand(
        payload, now + state.settings.command_timeout_seconds, is_target
    )
    return _send_command(state, identifier, now)


def retry_command(state: MembershipState, identifier: str, now: float) -> list[Effect]:
    """Resend a command, or give up if its timeout has expired."""
    pending = state.commands.get(identifier)
    if pending is None:
        return []
    if now >= pending.give_up_at:
        if pending.answer is not None:
            return _publish_answer(state, identifier, pending.answer, now)
        return _answer_unavailable(
            state,
            identifier,
            "no committed answer arrived in time, and the command may still take effect; send the "
            "same command again with the same identifier",
            now,
        )
    return _send_command(state, identifier, now)


def handle_redirect(state: MembershipState, message: CommandRedirect, now: float) -> list[Effect]:
    """Store a leader with a later term and send the command to it at once."""
    host = state.host
    if not message.leader or message.term < host.term or message.leader == host.leader:
        return []
    host.leader, host.term = message.leader, message.term
    effects: list[Effect] = [Publish(ControlLeaderChanged(now, host.leader))]
    return effects + (
        _send_command(state, message.command_id, now)
        if message.command_id in state.commands
        else []
    )


def handle_answer(
    state: MembershipState, sender: str, message: CommandReply, now: float
) -> list[Effect]:
    """Relay an answer to the operator; a second answer to the same command is ignored.

    An operator who reads the configuration of this host after the answer must see the change, so
    the answer is delayed until this host has applied it. The replica that answered is queried for
    the missing entries.
    """
    pending = state.commands.get(message.command_id)
    if pending is None:
        return []
    pending.answer = message.answer
    effects = publish_ready_answers(state, now)
    return effects or [SendMessage(sender, make_query(state, 0, True))]


def publish_ready_answers(state: MembershipState, now: float) -> list[Effect]:
    """Relay the answers whose version this host has reached."""
    version = state.host.control.configuration.version
    effects: list[Effect] = []
    for identifier, pending in list(state.commands.items()):
        answer = pending.answer
        if answer is not None and (pending.is_target or answer.version <= version):
            effects += _publish_answer(state, identifier, answer, now)
    return effects


def _publish_answer(
    state: MembershipState, identifier: str, answer: CommandAnswer, now: float
) -> list[Effect]:
    del state.commands[identifier]
    return [
        CancelTimer(_make_timer_key(identifier)),
        Publish(CommandAnswered(now, identifier, answer)),
    ]


def _send_command(state: MembershipState, identifier: str, now: float) -> list[Effect]:
    pending = state.commands[identifier]
    replica = state.replica
    leader = state.settings.host if replica and replica.is_leader else state.host.leader
    effects: list[Effect] = [
        SetTimer(_make_timer_key(identifier), now + state.settings.command_retry_interval_seconds)
    ]
    if leader:
        effects.append(SendMessage(leader, CommandForward(identifier, pending.payload)))
    return effects


def _answer_unavailable(
    state: MembershipState, identifier: str, message: str, now: float
) -> list[Effect]:
    state.commands.pop(identifier, None)
    answer = CommandAnswer(identifier, AnswerStatus.UNAVAILABLE, 0, message)
    return [
        CancelTimer(_make_timer_key(identifier)),
        Publish(CommandAnswered(now, identifier, answer)),
    ]


def _make_timer_key(identifier: str) -> TimerKey:
    return TimerKey("membership", COMMAND_TIMER, identifier)
