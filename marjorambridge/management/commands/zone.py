"""List, put and delete availability zones, and take them out of service."""

from typing import Annotated

import typer

from marjorambridge.configuration.commands import DeleteZone, PutZone, SetZoneIn, SetZoneOut
from marjorambridge.management.changes import (
    ChangeOptions,
    run_conditional_change,
    run_unconditional_change,
    warn_if_stale,
)
from marjorambridge.management.client import fetch_configuration
from marjorambridge.management.options import (
    CommandIdOption,
    JsonOption,
    OperatorOption,
    WaitOption,
    open_client,
)
from marjorambridge.management.output import format_table, print_json

application = typer.Typer(no_args_is_help=True, help="Availability zones.")
Name = Annotated[str, typer.Argument(help="Name of the availability zone.")]


@application.command("list")
def list_zones(context: typer.Context, as_json: JsonOption = False) -> None:
    """List all availability zones and the services that have endpoints there."""
    report = fetch_configuration(open_client(context))
    warn_if_stale(report)
    items = [item for _, item in sorted(report.configuration.zones.items())]
    if as_json:
        print_json(items)
        return
    services = report.configuration.services.values()
    rows = [
        (
            item.name,
            item.region,
            item.out,
            tuple(sorted(service.name for service in services if item.name in service.zones)),
        )
        for item in items
    ]
    headers = ("availability zone", "region", "out of service", "services")
    typer.echo(format_table(headers, rows))


@application.command("put")
def put_zone(
    context: typer.Context,
    name: Name,
    region: Annotated[str, typer.Option(help="Region of the availability zone.")],
    command_id: CommandIdOption = "",
    wait: WaitOption = True,
    operator: OperatorOption = "",
    as_json: JsonOption = False,
) -> None:
    """Create an availability zone in service, or change the region of an existing one."""
    options = ChangeOptions(command_id, wait, operator, as_json)
    run_conditional_change(context, options, lambda _: PutZone(name, region))


@application.command("delete")
def delete_zone(
    context: typer.Context,
    name: Name,
    command_id: CommandIdOption = "",
    wait: WaitOption = True,
    operator: OperatorOption = "",
    as_json: JsonOption = False,
) -> None:
    """Delete an availability zone that no service names."""
    options = ChangeOptions(command_id, wait, operator, as_json)
    run_conditional_change(context, options, lambda _: DeleteZone(name))


@application.command("out")
def take_zone_out(
    context: typer.Context,
    name: Name,
    command_id: CommandIdOption = "",
    wait: WaitOption = True,
    operator: OperatorOption = "",
    as_json: JsonOption = False,
) -> None:
    """Take an availability zone out of service, whatever else has changed meanwhile."""
    options = ChangeOptions(command_id, wait, operator, as_json)
    run_unconditional_change(context, options, SetZoneOut(name))


@application.command("in")
def return_zone(
    context: typer.Context,
    name: Name,
    command_id: CommandIdOption = "",
    wait: WaitOption = True,
    operator: OperatorOption = "",
    as_json: JsonOption = False,
) -> None:
    """Return an availability zone to service."""
    options = ChangeOptions(command_id, wait, operator, as_json)
    run_conditional_change(context, options, lambda _: SetZoneIn(name))
