"""Handle the calls to the admin address of a host."""

import hashlib
import time
from typing import Any

import anyio
import msgspec

from marjorambridge.configuration.commands import OperatorCommand
from marjorambridge.configuration.exceptions import EntryDecodeError
from marjorambridge.configuration.json_commands import (
    is_target_command,
    parse_command,
    parse_target_command,
)
from marjorambridge.configuration.state import AnswerStatus, CommandAnswer
from marjorambridge.daemon.gauges import render_metrics
from marjorambridge.daemon.runtime import post
from marjorambridge.daemon.state import Host, PendingCommands, Waiter
from marjorambridge.daemon.state_dump import (
    describe_configuration,
    describe_host,
    describe_state,
)
from marjorambridge.http.admin import AdminCallbacks
from marjorambridge.http.headers import matches_any_digest
from marjorambridge.membership.events import CommandAnswered, CommandSubmitted
from marjorambridge.orders.state_machine import SetTarget

# Longer than the reducer's timeout for a command, so that the reducer's answer arrives first.
COMMAND_ANSWER_TIMEOUT_SECONDS = 30.0
STATUSES = {
    AnswerStatus.ACCEPTED: 200,
    AnswerStatus.CONFLICT: 409,
    AnswerStatus.INVALID: 422,
    AnswerStatus.EXPIRED: 410,
    AnswerStatus.UNAVAILABLE: 503,
}


def deliver_answer(pending_commands: PendingCommands, event: CommandAnswered) -> None:
    """Pass the answer of a command to all connections that wait for it."""
    for waiter in pending_commands.waiting.pop(event.command_id, []):
        waiter.answer = event.answer
        waiter.event.set()


def build_callbacks(host: Host) -> AdminCallbacks:
    """Return the callbacks of the admin application."""

    async def run_command(raw: dict[str, Any]) -> tuple[int, Any]:
        try:
            command = parse_target_command(raw) if is_target_command(raw) else parse_command(raw)
        except EntryDecodeError as error:
            return 400, {"status": "invalid", "message": str(error)}
        answer = await _submit_command(host, command)
        return STATUSES[answer.status], msgspec.to_builtins(answer)

    return AdminCallbacks(
        is_ready=lambda: _is_ready(host),
        render_metrics=lambda: render_metrics(host),
        dump_state=lambda: describe_state(host),
        run_command=run_command,
        check_token=lambda token: _check_token(host, token),
        describe_host=lambda: describe_host(host),
        describe_configuration=lambda: describe_configuration(host),
    )


async def _submit_command(host: Host, command: OperatorCommand | SetTarget) -> CommandAnswer:
    waiter = Waiter()
    identifier = command.command if isinstance(command, SetTarget) else command.command_id
    host.pending_commands.waiting.setdefault(identifier, []).append(waiter)
    post(host.runtime, CommandSubmitted(time.monotonic(), command))
    with anyio.move_on_after(COMMAND_ANSWER_TIMEOUT_SECONDS):
        await waiter.event.wait()
    if waiter.answer is not None:
        return waiter.answer
    return CommandAnswer(
        identifier,
        AnswerStatus.UNAVAILABLE,
        0,
        "no answer came in time; send the same command again",
    )


def _is_ready(host: Host) -> tuple[bool, str]:
    if host.shutting_down:
        return False, "the host is shutting down"
    if time.monotonic() >= host.fresh_until:
        return False, "no majority of replicas confirms that the configuration is current"
    return True, ""


def _check_token(host: Host, token: str) -> bool:
    digest = hashlib.sha256(token.encode()).hexdigest()
    return matches_any_digest(digest, host.settings.operator_token_hashes)
