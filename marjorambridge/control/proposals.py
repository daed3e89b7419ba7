"""Propose commands to the log, through the leader if that is another replica."""

from marjorambridge.conf import defaults
from marjorambridge.control.commands import AnyCommand, ReadBarrier, encode_command
from marjorambridge.control.messages import ProposalForward
from marjorambridge.control.state import CONTROL_GROUP, ControlReplicaState, PendingCommand
from marjorambridge.core.effects import Effect, Publish, SendExpiringMessage
from marjorambridge.replication.events import ProposalRequested


def propose(now: float, command_id: str, payload: bytes) -> Effect:
    """Return the effect that makes the leader append a command."""
    return Publish(ProposalRequested(now, CONTROL_GROUP, command_id, payload))


def send_command(state: ControlReplicaState, command_id: str, now: float) -> list[Effect]:
    """Propose a pending command, or forward it to the leader."""
    pending = state.pending[command_id]
    pending.sent_at = now
    if state.leader == state.host:
        # Entries may be appended before the first one of the term is committed.
        return [propose(now, command_id, pending.payload)]
    if state.leader:
        # Sent again below while the command is pending. A forward that waits for a connection would
        # outlive a command that was withdrawn, and be applied after newer ones.
        message = ProposalForward(command_id, pending.payload)
        lifetime = defaults.LOG_COMMAND_RETRY_SECONDS
        return [SendExpiringMessage(state.leader, message, lifetime)]
    return []


def resend_commands(state: ControlReplicaState, now: float) -> list[Effect]:
    """Resend the commands that were not applied within the retry interval."""
    effects: list[Effect] = []
    for command_id, pending in list(state.pending.items()):
        if now - pending.sent_at >= defaults.LOG_COMMAND_RETRY_SECONDS:
            effects += send_command(state, command_id, now)
    return effects


def create_command_id(state: ControlReplicaState) -> str:
    """Return a unique command identifier."""
    state.commands += 1
    return f"{state.host}/{state.incarnation:x}/{state.commands}"


def submit_command(state: ControlReplicaState, command: AnyCommand, now: float) -> list[Effect]:
    """Submit a command that originates at this replica."""
    state.pending[command.command_id] = PendingCommand(encode_command(command), now)
    return send_command(state, command.command_id, now)


def renew_barrier(state: ControlReplicaState, now: float) -> list[Effect]:
    """Confirm by a read barrier that this replica has caught up after it lost contact."""
    if not state.has_contact(now):
        if state.confirmed:
            state.confirmed, state.unconfirmed_since = False, now
        state.pending.pop(state.barrier, None)
        state.barrier = ""
        return []
    if state.confirmed or state.barrier or state.halted:
        return []
    state.barrier = create_command_id(state)
    return submit_command(state, ReadBarrier(state.barrier), now)
