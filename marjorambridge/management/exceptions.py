"""Define the errors of the command-line tool, each with its exit code."""

from enum import IntEnum

from marjorambridge.core.exceptions import MarjorambridgeError


class ExitCode(IntEnum):
    """Exit code of the tool by the kind of outcome."""

    DONE = 0
    INVALID = 1
    USAGE = 2
    CONFLICT = 3
    UNAVAILABLE = 4


class ManagementError(MarjorambridgeError):
    """A command failed; the message names the remedy."""

    exit_code = ExitCode.UNAVAILABLE


class InvalidError(ManagementError):
    """The command, or a file that it reads, was refused as invalid and changed nothing."""

    exit_code = ExitCode.INVALID


class UsageError(ManagementError):
    """An option, a token or a settings file can't be used."""

    exit_code = ExitCode.USAGE


class ConflictError(ManagementError):
    """Another change was accepted first; the command changed nothing."""

    exit_code = ExitCode.CONFLICT


class UnavailableError(ManagementError):
    """No host answered, or the outcome is unknown."""

    exit_code = ExitCode.UNAVAILABLE
