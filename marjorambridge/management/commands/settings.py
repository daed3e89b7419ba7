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

FLEET_KEY_MODE = 0o600

application = typer.Typer(no_args_is_help=True, help="Settings files and secrets.")
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
def generate_token(as_json: JsonOption = False) -> None:
    """Print a new operator token and its hash for operator_token_hashes.

    The hash has the form of a workspace key's, so the command also makes keys for --keys.
    """
    token = create_secret()
    if as_json:
        print_json({"token": token, "sha256": hash_secret(token)})
    else:
        typer.echo(f"token:  {token}\nsha256: {hash_secret(token)}")


@application.command("fleet-key")
def generate_fleet_key(
    output: Annotated[
        Path | None, typer.Option(help="New file for the key; by default it is printed.")
    ] = None,
    as_json: JsonOption = False,
) -> None:
    """Generate a fleet key, which all hosts of a fleet share in fleet_key_file."""
    key = create_secret()
    if output is None:
        print_json({"fleet_key": key}) if as_json else typer.echo(key)
        return
    try:
        descriptor = os.open(output, os.O_WRONLY | os.O_CREAT | os.O_EXCL, FLEET_KEY_MODE)
    except OSError as error:
        raise UsageError(
            f"can't create {output}: {error.strerror}; name a new file in a folder that exists"
        ) from error
    with os.fdopen(descriptor, "w", encoding="utf-8") as file:
        file.write(key + "\n")
    print_json({"file": str(output)}) if as_json else typer.echo(f"wrote {output}")
