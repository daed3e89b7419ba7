"""Run the command-line tool for operators."""

import sys
from collections.abc import Sequence
from pathlib import Path
from typing import Annotated

import typer

from marjorambridge.management.commands import (
    check,
    configuration,
    endpoint,
    host,
    service,
    settings,
    status,
    workspace,
    zone,
)
from marjorambridge.management.exceptions import ManagementError
from marjorambridge.management.options import ADDRESS_VARIABLE, TOKEN_FILE_VARIABLE, GlobalOptions

EXIT_CODES = (
    "Exit codes: 0 done, 1 refused as invalid, 2 usage or settings, 3 conflict, 4 unavailable or "
    "unknown."
)

application = typer.Typer(
    no_args_is_help=True, add_completion=False, pretty_exceptions_enable=False, epilog=EXIT_CODES
)
for name, module in (
    ("service", service),
    ("workspace", workspace),
    ("zone", zone),
    ("configuration", configuration),
    ("endpoint", endpoint),
    ("host", host),
    ("settings", settings),
):
    application.add_typer(module.application, name=name)
application.command("status")(status.show_status)
application.command("check")(check.check_host)


@application.callback()
def configure(
    context: typer.Context,
    address: Annotated[
        list[str] | None,
        typer.Option(
            envvar=ADDRESS_VARIABLE,
            help="Admin address ip:port of a host; repeatable, and separated by spaces in the "
            "variable. The next one is tried when a host does not answer.",
        ),
    ] = None,
    token_file: Annotated[
        Path | None,
        typer.Option(envvar=TOKEN_FILE_VARIABLE, help="File with the operator token."),
    ] = None,
) -> None:
    """Operate a marjorambridge fleet."""
    context.obj = GlobalOptions(tuple(address or ()), token_file)


def run_command_line(arguments: Sequence[str]) -> int:
    """Run the tool and return the exit code."""
    try:
        application(args=list(arguments), prog_name="marjorambridge")
    except ManagementError as error:
        typer.echo(f"error: {error}", err=True)
        return int(error.exit_code)
    except SystemExit as error:
        return error.code if isinstance(error.code, int) else 1
    return 0


def run() -> None:
    """Run the tool as the console script."""
    sys.exit(run_command_line(sys.argv[1:]))


if __name__ == "__main__":
    run()
