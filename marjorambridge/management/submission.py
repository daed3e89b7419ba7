"""Submit operator commands so that a resend after a lost answer never applies a change twice.

The identifier of a command encodes its time and base version, so that another run of the tool can
rebuild and resend the same command.
"""

import re
import secrets
from collections.abc import Callable, Sequence
from typing import Any

import msgspec
from msgspec import Struct

from marjorambridge.configuration.commands import ApplyConfiguration, Change, OperatorCommand
from marjorambridge.configuration.json_commands import make_command_object
from marjorambridge.configuration.state import AnswerStatus, ChangeRecord, CommandAnswer
from marjorambridge.http.reports import ConfigurationReport
from marjorambridge.management.exceptions import (
    ConflictError,
    InvalidError,
    UnavailableError,
    UsageError,
)

NO_BASE = "any"
COMMAND_ID_PATTERN = re.compile(r"c([0-9]{1,13})-(any|[0-9]{1,18})-[0-9a-f]{16}", re.ASCII)
SUBMIT_TIMEOUT_SECONDS = 40.0
RETRY_DELAY_SECONDS = 0.5


class CommandIdentity(Struct):
    """Identifier of a command, with the time and the base version that it encodes.

    Attributes
    ----------
    wall : float
        Unix time in seconds, in whole milliseconds.
    base_version : int or None
        Version that the command is based on; None for any.
    """

    command_id: str
    wall: float
    base_version: int | None


def create_identity(base_version: int | None, wall: float) -> CommandIdentity:
    """Return the identity of a new command that is first sent at `wall`."""
    milliseconds = int(wall * 1000)
    base = NO_BASE if base_version is None else str(base_version)
    command_id = f"c{milliseconds}-{base}-{secrets.token_hex(8)}"
    return CommandIdentity(command_id, milliseconds / 1000, base_version)


def parse_identity(command_id: str) -> CommandIdentity:
    """Return the identity that a printed identifier encodes.

    Raises
    ------
    UsageError
        If this tool did not generate the identifier.

    Examples
    --------
    >>> parse_identity("c1700000000000-7-0123456789abcdef").base_version
    7
    """
    match = COMMAND_ID_PATTERN.fullmatch(command_id)
    if match is None:
        raise UsageError(
            f"{command_id!r} is not a command id of this tool; give the one that it printed, or "
            "leave --command-id out for a new command"
        )
    base = None if match[2] == NO_BASE else int(match[2])
    return CommandIdentity(command_id, int(match[1]) / 1000, base)


def find_earlier_outcome(
    identity: CommandIdentity, report: ConfigurationReport
) -> ChangeRecord | None:
    """Return the record of an earlier acceptance, or None if the command must be sent again.

    Only a fresh report shows that a command was not accepted.

    Raises
    ------
    ConflictError
        If the command was not accepted and its base version is no longer in force.
    UnavailableError
        If the report does not show whether the command was accepted.
    """
    for record in report.history:
        if record.command_id == identity.command_id:
            return record
    if not report.fresh:
        raise UnavailableError(
            f"{report.host} is not fresh, so it can't tell whether {identity.command_id} was "
            "accepted; give the --address of another host, or repeat this call later"
        )
    version, base = report.configuration.version, identity.base_version
    if base is None or base == version:
        return None
    if not report.history or report.history[0].version > base + 1:
        raise UnavailableError(
            f"version {base} is older than the kept history, so it can't be told whether "
            f"{identity.command_id} was accepted; look at the configuration, and run the command "
            "without --command-id if the change is still wanted"
        )
    raise ConflictError(
        f"{identity.command_id} was not accepted: it is based on version {base}, and version "
        f"{version} is in force; run the command without --command-id if it is still wanted"
    )


def make_command(
    identity: CommandIdentity, operator: str, change: Change | ApplyConfiguration
) -> OperatorCommand:
    """Return the command with this identity."""
    return OperatorCommand(
        identity.command_id, operator, identity.base_version, identity.wall, change
    )


def submit_command(
    command: OperatorCommand,
    addresses: Sequence[str],
    send: Callable[[str, dict[str, Any]], dict[str, Any]],
    clock: Callable[[], float],
    sleep: Callable[[float], None],
    timeout_seconds: float = SUBMIT_TIMEOUT_SECONDS,
) -> CommandAnswer:
    """Send a command to the addresses in turn until one answers, and return the answer.

    Raises
    ------
    InvalidError, ConflictError, UnavailableError
        By the kind of answer; `UnavailableError` also if no answer came within `timeout_seconds`.
    """
    raw = make_command_object(command)
    deadline = clock() + timeout_seconds
    last_error = ""
    while True:
        for address in addresses:
            try:
                answer = _parse_answer(send(address, raw), command.command_id)
            except UnavailableError as error:
                last_error = str(error)
            else:
                if answer.status is not AnswerStatus.UNAVAILABLE:
                    return check_answer(answer)
                last_error = answer.message
            if clock() >= deadline:
                raise UnavailableError(
                    f"no answer to {command.command_id} arrived, and the command may still take "
                    f"effect; run it again with --command-id {command.command_id} ({last_error})"
                )
        sleep(RETRY_DELAY_SECONDS)


def check_answer(answer: CommandAnswer) -> CommandAnswer:
    """Return an answer whose status is accepted.

    Raises
    ------
    InvalidError, ConflictError, UnavailableError
        By the kind of answer.
    """
    match answer.status:
        case AnswerStatus.ACCEPTED:
            return answer
        case AnswerStatus.CONFLICT:
            raise ConflictError(answer.message)
        case AnswerStatus.INVALID:
            faults = [f"{f.path}: {f.problem}; {f.remedy}" for f in answer.faults]
            raise InvalidError(
                "\n".join(["the command was refused", *(faults or [answer.message])])
            )
    raise UnavailableError(answer.message)


def _parse_answer(raw: dict[str, Any], command_id: str) -> CommandAnswer:
    values = {"command_id": command_id, "version": 0, "message": ""} | raw
    try:
        return msgspec.convert(values, CommandAnswer)
    except msgspec.ValidationError as error:
        raise UnavailableError(
            f"the answer can't be read ({error}); use the tool of the hosts' version"
        ) from error
