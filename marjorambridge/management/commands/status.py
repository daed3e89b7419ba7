"""Show the problems of the fleet."""

from typing import Annotated

import typer

from marjorambridge.management.client import fetch_configuration, fetch_host_reports
from marjorambridge.management.exceptions import InvalidError, UnavailableError
from marjorambridge.management.findings import list_findings
from marjorambridge.management.options import JsonOption, open_client
from marjorambridge.management.output import format_table, print_json
from marjorambridge.management.waiting import merge_host_entries


def show_status(
    context: typer.Context,
    fail: Annotated[
        bool, typer.Option("--fail", help="Exit with code 1 if anything is not well.")
    ] = False,
    as_json: JsonOption = False,
) -> None:
    """Show at a glance what is not well, and why.

    Give the admin addresses of all hosts; what was not asked is listed as not known.
    """
    client = open_client(context)
    reports, errors = fetch_host_reports(client)
    if not reports:
        raise UnavailableError("\n".join(errors.values()))
    configuration = fetch_configuration(client).configuration
    findings = list_findings(reports, errors, configuration)
    hosts = merge_host_entries(reports.values())
    fresh = sum(report.fresh for report in reports.values())
    if as_json:
        print_json(
            {
                "version": configuration.version,
                "hosts": len(hosts),
                "asked": len(reports),
                "fresh": fresh,
                "findings": findings,
            }
        )
    else:
        typer.echo(
            f"version {configuration.version}; {len(hosts)} hosts in the view, {len(reports)} "
            f"asked, {fresh} fresh"
        )
        rows = [(item.subject, item.problem, item.remedy) for item in findings]
        text = format_table(("subject", "problem", "remedy"), rows) if rows else "all is well"
        typer.echo(text)
    if fail and findings:
        raise InvalidError(f"{len(findings)} findings; see the remedies above")
