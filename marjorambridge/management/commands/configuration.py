"""Show the configuration and its history, and apply filled-in questionnaires."""

import sys
from datetime import UTC, datetime
from pathlib import Path
from typing import Annotated

import typer

from marjorambridge.configuration.commands import ApplyConfiguration
from marjorambridge.configuration.comparison import describe_differences, list_changes
from marjorambridge.configuration.models import Configuration
from marjorambridge.management.changes import ChangeOptions, run_conditional_change, warn_if_stale
from marjorambridge.management.client import fetch_configuration
from marjorambridge.management.documents import (
    STANDARD_INPUT,
    is_questionnaire,
    print_report,
    read_document,
    review_document,
)
from marjorambridge.management.exceptions import UsageError
from marjorambridge.management.options import (
    CommandIdOption,
    JsonOption,
    KeysOption,
    OperatorOption,
    WaitOption,
    open_client,
)
from marjorambridge.management.output import format_table, print_diagnostic, print_json
from marjorambridge.management.questionnaires import read_configuration

application = typer.Typer(no_args_is_help=True, help="The configuration as a whole.")
Questionnaire = Annotated[Path, typer.Argument(help="Filled-in questionnaire, a JSON file.")]


@application.command("show")
def show_configuration(context: typer.Context, as_json: JsonOption = False) -> None:
    """Show the configuration in force: a summary, or all of it with --json."""
    report = fetch_configuration(open_client(context))
    warn_if_stale(report)
    item = report.configuration
    if as_json:
        print_json(item)
        return
    typer.echo(f"version {item.version}, from {report.host}")
    rows = [
        ("availability zones", len(item.zones), tuple(sorted(item.zones))),
        ("services", len(item.services), tuple(sorted(item.services))),
        ("workspaces", len(item.workspaces), tuple(sorted(item.workspaces))),
    ]
    typer.echo(format_table(("part", "count", "names"), rows))


@application.command("check")
def check_file(
    file: Annotated[
        Path,
        typer.Argument(
            help="Configuration document of the platform, - for standard input, or a filled-in "
            "questionnaire; both are JSON files."
        ),
    ],
    keys: KeysOption = None,
    in_force: Annotated[
        Path | None,
        typer.Option(help="Document in force; the differences from it are listed."),
    ] = None,
    as_json: JsonOption = False,
) -> None:
    """Check a document or a questionnaire without a host, and list every fault.

    For a document, the exit code is 0 without findings, 1 with warnings only, and 2 with errors.
    """
    data = read_document(file)
    if file == STANDARD_INPUT or in_force is not None or not is_questionnaire(data):
        present = read_document(in_force) if in_force is not None else None
        raise typer.Exit(print_report(review_document(data, present), as_json))
    _check_questionnaire(file, keys, as_json)


def _check_questionnaire(questionnaire: Path, keys: Path | None, as_json: bool) -> None:
    item = read_configuration(questionnaire, keys)
    if as_json:
        print_json({"valid": True, "configuration": item})
        return
    typer.echo(
        f"{questionnaire} is valid: {len(item.zones)} availability zones, {len(item.services)} "
        f"services, {len(item.workspaces)} workspaces"
    )


@application.command("diff")
def diff_questionnaire(
    context: typer.Context,
    questionnaire: Questionnaire,
    keys: KeysOption = None,
    as_json: JsonOption = False,
) -> None:
    """Show what a questionnaire would change in the configuration in force."""
    report = fetch_configuration(open_client(context))
    warn_if_stale(report)
    proposed = read_configuration(questionnaire, keys, report.configuration)
    lines = describe_differences(report.configuration, proposed)
    if as_json:
        print_json({"version": report.configuration.version, "differences": lines})
        return
    typer.echo("\n".join(lines) or f"no difference to version {report.configuration.version}")


@application.command("apply")
def apply_questionnaire(
    context: typer.Context,
    questionnaire: Questionnaire,
    keys: KeysOption = None,
    yes: Annotated[bool, typer.Option("--yes", help="Don't ask for confirmation.")] = False,
    command_id: CommandIdOption = "",
    wait: WaitOption = True,
    operator: OperatorOption = "",
    as_json: JsonOption = False,
) -> None:
    """Show what a questionnaire changes, and apply it as one command after confirmation."""

    def build(present: Configuration) -> ApplyConfiguration:
        proposed = read_configuration(questionnaire, keys, present)
        lines = describe_differences(present, proposed)
        print_diagnostic(
            "\n".join([f"changes to version {present.version}:", *(lines or ["none"])])
        )
        if not yes:
            _confirm()
        return ApplyConfiguration(tuple(list_changes(present, proposed)))

    run_conditional_change(context, ChangeOptions(command_id, wait, operator, as_json), build)


def _confirm() -> None:
    if not sys.stdin.isatty():
        raise UsageError("there is no terminal to ask for confirmation; add --yes")
    if not typer.confirm("Apply these changes?", err=True):
        raise UsageError("not confirmed; nothing was changed")


@application.command("history")
def show_history(
    context: typer.Context,
    count: Annotated[int, typer.Option(min=1, help="Number of the newest changes.")] = 20,
    as_json: JsonOption = False,
) -> None:
    """Show who changed the configuration, newest last."""
    report = fetch_configuration(open_client(context))
    warn_if_stale(report)
    records = report.history[-count:]
    if as_json:
        print_json(records)
        return
    rows = [
        (
            item.version,
            datetime.fromtimestamp(item.wall, UTC).strftime("%Y-%m-%d %H:%M:%SZ"),
            item.operator,
            item.command_id,
            item.summary,
        )
        for item in records
    ]
    typer.echo(format_table(("version", "sent", "operator", "command id", "change"), rows))
