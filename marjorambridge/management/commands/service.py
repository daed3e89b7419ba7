"""List, show, put and delete services."""

from typing import Annotated, Any

import typer
from msgspec.structs import replace

from marjorambridge.configuration.commands import DeleteService, PutService
from marjorambridge.configuration.models import Configuration, Service, ServiceKind, Urgency
from marjorambridge.management.changes import ChangeOptions, run_conditional_change, warn_if_stale
from marjorambridge.management.client import fetch_configuration
from marjorambridge.management.exceptions import InvalidError
from marjorambridge.management.lookup import find_item
from marjorambridge.management.options import (
    CommandIdOption,
    JsonOption,
    OperatorOption,
    WaitOption,
    open_client,
)
from marjorambridge.management.output import format_table, print_fields, print_json

application = typer.Typer(no_args_is_help=True, help="Services that callers use.")
Name = Annotated[str, typer.Argument(help="Name of the service.")]


@application.command("list")
def list_services(context: typer.Context, as_json: JsonOption = False) -> None:
    """List all services."""
    report = fetch_configuration(open_client(context))
    warn_if_stale(report)
    items = [item for _, item in sorted(report.configuration.services.items())]
    if as_json:
        print_json(items)
        return
    rows = [
        (item.name, item.kind.value, item.zones, item.urgency.value, item.buckets, item.models)
        for item in items
    ]
    headers = ("service", "kind", "availability zones", "urgency", "buckets", "models")
    typer.echo(format_table(headers, rows))


@application.command("show")
def show_service(context: typer.Context, name: Name, as_json: JsonOption = False) -> None:
    """Show one service."""
    report = fetch_configuration(open_client(context))
    warn_if_stale(report)
    item = find_item(report.configuration.services, "service", name)
    print_json(item) if as_json else print_fields(item)


@application.command("put")
def put_service(
    context: typer.Context,
    name: Name,
    kind: Annotated[ServiceKind | None, typer.Option(help="Needed for a new service.")] = None,
    zone: Annotated[
        list[str] | None, typer.Option(help="Availability zone with endpoints; repeatable.")
    ] = None,
    urgency: Annotated[Urgency | None, typer.Option(help="Rank of the service.")] = None,
    buckets: Annotated[int | None, typer.Option(help="Shards per availability zone.")] = None,
    bytes_per_token: Annotated[
        float | None, typer.Option(help="Bytes of UTF-8 text per token.")
    ] = None,
    default_timeout_seconds: Annotated[
        float | None, typer.Option(help="Deadline of a request that names none.")
    ] = None,
    default_output_tokens: Annotated[
        int | None, typer.Option(help="Output tokens reserved for a request that names none.")
    ] = None,
    repeatable: Annotated[
        bool | None,
        typer.Option("--repeatable/--not-repeatable", help="Whether calls may run twice."),
    ] = None,
    checks_fencing: Annotated[
        bool | None,
        typer.Option(
            "--checks-fencing/--no-checks-fencing",
            help="Whether its endpoints refuse orders with an old fencing number.",
        ),
    ] = None,
    model: Annotated[
        list[str] | None, typer.Option(help="Model name besides the service name; repeatable.")
    ] = None,
    command_id: CommandIdOption = "",
    wait: WaitOption = True,
    operator: OperatorOption = "",
    as_json: JsonOption = False,
) -> None:
    """Create a service, or change the given fields of an existing one."""
    fields: dict[str, Any] = {
        "kind": kind,
        "zones": tuple(zone) if zone else None,
        "urgency": urgency,
        "buckets": buckets,
        "bytes_per_token": bytes_per_token,
        "default_timeout_seconds": default_timeout_seconds,
        "default_output_tokens": default_output_tokens,
        "repeatable": repeatable,
        "checks_fencing": checks_fencing,
        "models": tuple(model) if model else None,
    }
    given = {key: value for key, value in fields.items() if value is not None}

    def build(configuration: Configuration) -> PutService:
        present = configuration.services.get(name)
        if present is not None:
            return PutService(replace(present, **given))
        if kind is None or not zone:
            raise InvalidError(f"service {name} is new; give --kind and at least one --zone")
        return PutService(Service(name=name, **given))

    run_conditional_change(context, ChangeOptions(command_id, wait, operator, as_json), build)


@application.command("delete")
def delete_service(
    context: typer.Context,
    name: Name,
    command_id: CommandIdOption = "",
    wait: WaitOption = True,
    operator: OperatorOption = "",
    as_json: JsonOption = False,
) -> None:
    """Delete a service that no workspace names."""
    options = ChangeOptions(command_id, wait, operator, as_json)
    run_conditional_change(context, options, lambda _: DeleteService(name))
