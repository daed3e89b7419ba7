"""Run a state-changing command: build it, submit it and wait until it is in force."""

import time
from collections.abc import Callable

import typer
from msgspec import Struct

from marjorambridge.configuration.commands import ApplyConfiguration, Change
from marjorambridge.configuration.models import Configuration
from marjorambridge.configuration.state import CommandAnswer
from marjorambridge.http.reports import ConfigurationReport
from marjorambridge.management.client import (
    Client,
    build_sender,
    fetch_configuration,
    fetch_host_reports,
)
from marjorambridge.management.exceptions import UnavailableError
from marjorambridge.management.options import find_operator, open_client
from marjorambridge.management.output import print_diagnostic, print_json
from marjorambridge.management.submission import (
    CommandIdentity,
    create_identity,
    find_earlier_outcome,
    make_command,
    parse_identity,
    submit_command,
)
from marjorambridge.management.waiting import Progress, is_in_force, wait_in_force

BuildChange = Callable[[Configuration], Change | ApplyConfiguration]


class ChangeOptions(Struct):
    """Options that all state-changing commands have."""

    command_id: str = ""
    wait: bool = True
    operator: str = ""
    as_json: bool = False


class ChangeResult(Struct):
    """Outcome of a change, as --json prints it.

    Attributes
    ----------
    in_force : bool or None
        Whether all live hosts have the version; None if the command did not wait.
    """

    command_id: str
    version: int
    message: str
    in_force: bool | None = None


def run_conditional_change(
    context: typer.Context, options: ChangeOptions, build: BuildChange
) -> None:
    """Run a change that is accepted only if the configuration is still at the version read first.

    Parameters
    ----------
    build : callable
        Returns the change for the configuration in force, and may show it or ask for confirmation.

    Raises
    ------
    ManagementError
        By the kind of outcome.
    """
    client = open_client(context)
    report = fetch_configuration(client)
    if options.command_id:
        identity = parse_identity(options.command_id)
        record = find_earlier_outcome(identity, report)
        if record is not None:
            message = f"accepted before: {record.summary}"
            _report_result(
                client, options, ChangeResult(record.command_id, record.version, message)
            )
            return
    else:
        warn_if_stale(report)
        identity = create_identity(report.configuration.version, time.time())
    _submit_change(client, options, identity, build(report.configuration))


def run_unconditional_change(
    context: typer.Context, options: ChangeOptions, change: Change
) -> None:
    """Run a change that applies to any version, without reading the configuration first."""
    client = open_client(context)
    if options.command_id:
        identity = parse_identity(options.command_id)
    else:
        identity = create_identity(None, time.time())
    _submit_change(client, options, identity, change)


def warn_if_stale(report: ConfigurationReport) -> None:
    """Warn if the configuration may not be the one in force."""
    if not report.fresh:
        print_diagnostic(
            f"warning: {report.host} is not fresh, so its configuration may be old; see "
            "'marjorambridge status'"
        )


def _submit_change(
    client: Client,
    options: ChangeOptions,
    identity: CommandIdentity,
    change: Change | ApplyConfiguration,
) -> None:
    # Printed before sending, so that the command can be resent even if this process is stopped.
    print_diagnostic(f"command id: {identity.command_id}")
    command = make_command(identity, options.operator or find_operator(), change)
    try:
        answer: CommandAnswer = submit_command(
            command, client.addresses, build_sender(client), time.monotonic, time.sleep
        )
    except KeyboardInterrupt as error:
        raise UnavailableError(
            f"interrupted, and the command may still take effect; run it again with --command-id "
            f"{identity.command_id}"
        ) from error
    _report_result(client, options, ChangeResult(answer.command_id, answer.version, answer.message))


def _report_result(client: Client, options: ChangeOptions, result: ChangeResult) -> None:
    print_diagnostic(f"{result.message} (version {result.version})")
    progress = Progress()
    if options.wait:
        progress = wait_in_force(
            lambda: fetch_host_reports(client)[0].values(),
            result.version,
            _show_progress,
            time.monotonic,
            time.sleep,
        )
        result.in_force = is_in_force(progress)
    if options.as_json:
        print_json(result)
    elif result.in_force:
        typer.echo(f"version {result.version} is in force on all live hosts ({len(progress.done)})")
    elif result.in_force is None:
        typer.echo(f"version {result.version} is accepted; it was not waited for")
    if result.in_force is False:
        names = ", ".join(progress.waiting) or "any host"
        raise UnavailableError(
            f"version {result.version} is accepted, but it is not confirmed on {names}; a host "
            "without it stops serving after 1.8 s, so look at 'marjorambridge status' and give the "
            "admin addresses of the replicas with --address"
        )


def _show_progress(progress: Progress) -> None:
    if progress.required_index is None:
        print_diagnostic("waiting until a host reports the version")
        return
    total = len(progress.done) + len(progress.waiting)
    rest = f"; waiting for {', '.join(progress.waiting)}" if progress.waiting else ""
    print_diagnostic(f"in force on {len(progress.done)} of {total} hosts{rest}")
