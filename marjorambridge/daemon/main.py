"""Run a host from the command line."""

import signal
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
    async with anyio.create_task_group() as tasks:
        try:
            host = await hosts.start(settings, tasks)
        except (MarjorambridgeError, OSError) as error:
            logger.bind(error=str(error)).error("the host can't start")
            tasks.cancel_scope.cancel()
            return EXIT_START_FAILED
        tasks.start_soon(_watch_signals, host)
        await host.drained.wait()
        await hosts.close(host)
        tasks.cancel_scope.cancel()
    logger.bind(cut=host.cut).info("the host has stopped")
    return EXIT_REQUESTS_CUT if host.cut else 0


async def _watch_signals(host: hosts.Host) -> None:
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async for _ in signals:
            hosts.request_shutdown(host)


def run() -> None:
    """Run the command-line application; the entry point of the console script."""
    application()


if __name__ == "__main__":
    sys.exit(run())
