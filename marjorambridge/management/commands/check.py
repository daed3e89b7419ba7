"""Check a settings file together with the files that it names."""

from pathlib import Path
from typing import Annotated

import typer

from marjorambridge.checks.files import check_files, list_warnings
from marjorambridge.conf.exceptions import SettingsError
from marjorambridge.conf.loading import inspect_settings, read_settings
from marjorambridge.management.exceptions import UsageError
from marjorambridge.management.options import JsonOption
from marjorambridge.management.output import print_diagnostic, print_json


def check_host(
    path: Annotated[Path, typer.Argument(help="Settings file of a host.")],
    as_json: JsonOption = False,
) -> None:
    """Check a settings file and the files that it names, and list all faults at once.

    Run it on the host, as the user and in the folder of the daemon.
    """
    try:
        data = read_settings(path)
    except SettingsError as error:
        raise UsageError(str(error)) from error
    settings, faults = inspect_settings(data)
    if settings is not None:
        faults += check_files(settings)
    warnings = list_warnings(path)
    if as_json:
        print_json({"valid": not faults, "faults": faults, "warnings": warnings})
    else:
        for warning in warnings:
            print_diagnostic(f"warning: {warning}")
    if faults:
        raise UsageError("\n".join(faults))
    if not as_json:
        typer.echo(f"{path} and the files that it names are usable")
