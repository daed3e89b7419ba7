"""Run a host from the command line."""

import sys
from pathlib import Path
from typing import Annotated

import anyio
import typer
from loguru import logger

from marjorambridge.conf.exceptions import SettingsError
from marjorambridge.conf.loading import load_settings
from marjorambridge.conf.settings import HostSettings
from marjorambridge.core.exceptions import MarjorambridgeError
from marjorambridge.daemon import host as hosts
from marjorambridge.daemon import signals
from marjorambridge.telemetry import logs

EXIT_SETTINGS = 2
EXIT_REQUESTS_CUT = 3
EXIT_START_FAILED = 4

application = typer.Typer(add_completion=False)


@application.command()
def serve(
    settings: Annotated[Path, typer.Option(help="JSON file with the settings of this host.")],
    check: Annotated[bool, typer.Option(help="Check the settings and exit.")] = False,
) -> None:
    """Run one host of a marjorambridge fleet."""
    try:
        loaded = load_settings(settings)
    except SettingsError as error:
        for fault in error.faults:
            typer.echo(fault, err=True)
        raise typer.Exit(EXIT_SETTINGS) from error
    if check:
        typer.echo(f"{settings} is valid")
        return
    logs.start(loaded.log, loaded.host)
    code = anyio.run(_run_host, loaded)
    logs.close()
    raise typer.Exit(code)


async def _run_host(settings: HostSettings) -> int:
    stop_requested, end_requested = anyio.Event(), anyio.Event()
    async with anyio.create_task_group() as tasks:
        await tasks.start(
            signals.watch_signals, stop_requested.set, end_requested.set, _keep_settings
        )
        try:
            host = await hosts.start(settings, tasks)
        except (MarjorambridgeError, OSError) as error:
            logger.bind(error=str(error)).error("the host can't start")
            tasks.cancel_scope.cancel()
            return EXIT_START_FAILED
        tasks.start_soon(_shut_down_after, host, stop_requested, False)
        tasks.start_soon(_shut_down_after, host, end_requested, True)
        await host.drained.wait()
        await hosts.close(host)
        tasks.cancel_scope.cancel()
    logger.bind(cut=host.cut).info("the host has stopped")
    return EXIT_REQUESTS_CUT if host.cut else 0


async def _shut_down_after(host: hosts.Host, requested: anyio.Event, forced: bool) -> None:
    """Wait for a signal, which may have come before the host was started, and shut down."""
    await requested.wait()
    hosts.request_shutdown(host, forced)


def _keep_settings() -> None:
    logger.info("the settings are read at the start; restart the host to change them")


def run() -> None:
    """Run the command-line application; the entry point of the console script."""
    application()


if __name__ == "__main__":
    sys.exit(run())
