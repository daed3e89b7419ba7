"""Define the options that several commands share."""

import getpass
from pathlib import Path
from typing import Annotated

import typer
from msgspec import Struct

from marjorambridge.management.client import Client
from marjorambridge.management.exceptions import UsageError

ADDRESS_VARIABLE = "MARJORAMBRIDGE_ADDRESS"
TOKEN_FILE_VARIABLE = "MARJORAMBRIDGE_TOKEN_FILE"

JsonOption = Annotated[bool, typer.Option("--json", help="Print JSON, one object per line.")]
CommandIdOption = Annotated[
    str,
    typer.Option(
        help="Resend the command with this identifier, as the tool printed it. Repeat the other "
        "arguments unchanged."
    ),
]
WaitOption = Annotated[
    bool, typer.Option("--wait/--no-wait", help="Wait until all live hosts have the version.")
]
OperatorOption = Annotated[
    str, typer.Option(help="Name shown to other operators; by default the name of the user.")
]
KeysOption = Annotated[
    Path | None,
    typer.Option(help="JSON file that maps key references to hexadecimal SHA-256 digests."),
]


class GlobalOptions(Struct):
    """Global options of the tool."""

    addresses: tuple[str, ...]
    token_file: Path | None


def open_client(context: typer.Context) -> Client:
    """Return a client with the addresses and the token of the global options.

    Raises
    ------
    UsageError
        If there is no address or no usable token.
    """
    connection: GlobalOptions = context.obj
    if not connection.addresses:
        raise UsageError(f"no admin address is given; use --address or set {ADDRESS_VARIABLE}")
    for address in connection.addresses:
        host, _, port = address.rpartition(":")
        if not host or not port.isdigit():
            raise UsageError(f"{address!r} is not ip:port; correct --address")
    if connection.token_file is None:
        raise UsageError(
            f"no operator token is given; use --token-file or set {TOKEN_FILE_VARIABLE}"
        )
    token = read_text(connection.token_file, "--token-file").strip()
    if not token or not token.isascii() or not token.isprintable():
        raise UsageError(f"{connection.token_file} has no token of printable ASCII characters")
    return Client(tuple(dict.fromkeys(connection.addresses)), token)


def read_text(path: Path, option: str) -> str:
    """Return the text of a file.

    Raises
    ------
    UsageError
        If it can't be read.
    """
    try:
        return path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        reason = getattr(error, "strerror", None) or "it is not UTF-8 text"
        raise UsageError(f"can't read {path}: {reason}; check {option}") from error


def find_operator() -> str:
    """Return the name of the user, for the history of changes."""
    try:
        return getpass.getuser()
    except (OSError, KeyError):
        return "unknown"
