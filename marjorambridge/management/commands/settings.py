"""Check settings files, and generate tokens and keys."""

import os
from pathlib import Path
from typing import Annotated

import typer

from marjorambridge.conf.exceptions import SettingsError
from marjorambridge.conf.loading import load_settings
from marjorambridge.management.exceptions import UsageError
from marjorambridge.management.keys import create_secret, hash_secret
from marjorambridge.management.options import JsonOption
from marjorambridge.management.output import print_json

SECRET_FILE_MODE = 0o600

application = typer.Typer(no_args_is_help=True, help="Settings files and secrets.")
OutputOption = Annotated[
    Path | None,
    typer.Option(help="New file for the secret; by default the secret is printed."),
]
SettingsFile = Annotated[Path, typer.Argument(help="Settings file of a host.")]


@application.command("check")
def check_settings_file(path: SettingsFile, as_json: JsonOption = False) -> None:
    """Check a settings file without the files that it names; see also 'marjorambridge check'."""
    try:
        load_settings(path)
    except SettingsError as error:
        if as_json:
            print_json({"valid": False, "faults": error.faults})
        raise UsageError("\n".join(error.faults)) from error
    print_json({"valid": True, "faults": []}) if as_json else typer.echo(f"{path} is valid")


@application.command("token")
def generate_token(output: OutputOption = None, as_json: JsonOption = False) -> None:
    """Generate an operator token or a workspace key, and print its SHA-256 digest.

    The digest of an operator token belongs into operator_token_hashes of the settings, that of a
    workspace key into the questionnaire or the file of --keys.
    """
    token = create_secret()
    result = {"sha256": hash_secret(token)}
    if output is None:
        result = {"token": token} | result
    else:
        _write_secret(output, token)
    _print_result(result, as_json)


@application.command("fleet-key")
def generate_fleet_key(output: OutputOption = None, as_json: JsonOption = False) -> None:
    """Generate a fleet key, which all hosts of a fleet share in fleet_key_file."""
    key = create_secret()
    if output is None:
        _print_result({"fleet_key": key}, as_json)
        return
    _write_secret(output, key)
    _print_result({"file": str(output)}, as_json)


def _write_secret(path: Path, secret: str) -> None:
    try:
        descriptor = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_EXCL, SECRET_FILE_MODE)
    except OSError as error:
        raise UsageError(
            f"can't create {path}: {error.strerror}; name a new file in a folder that exists"
        ) from error
    with os.fdopen(descriptor, "w", encoding="utf-8") as file:
        file.write(secret + "\n")


def _print_result(result: dict[str, str], as_json: bool) -> None:
    if as_json:
        print_json(result)
    else:
        typer.echo("\n".join(f"{name}: {value}" for name, value in result.items()))
