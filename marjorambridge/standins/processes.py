"""Run a stand-in as a process, and read its settings."""

import asyncio
import signal
import sys
import time
from collections.abc import Awaitable, Callable, Coroutine
from pathlib import Path
from typing import Annotated, Any, TypeVar

import msgspec
import typer

from marjorambridge.http.servers import Application, close_server, start_server

Settings = TypeVar("Settings")


def load_settings(kind: type[Settings], path: Path | None, flags: dict[str, Any]) -> Settings:
    """Read settings from a JSON file; flags that are not None or empty replace its values.

    Raises
    ------
    msgspec.ValidationError
        If a value has the wrong type.
    """
    values: dict[str, Any] = {}
    if path is not None:
        values = msgspec.json.decode(path.read_bytes(), type=dict[str, Any])
    values |= {name: value for name, value in flags.items() if value not in (None, [])}
    return msgspec.convert(values, kind)


def create_incarnation() -> int:
    """Return an incarnation that is larger than those of earlier processes."""
    return time.time_ns() // 1_000_000


async def run_process(
    application: Application,
    host: str,
    port: int,
    run: Callable[[str], Awaitable[None]],
) -> None:
    """Serve `application` until SIGTERM or SIGINT, and run `run(address)` concurrently.

    The process writes one JSON line with its address to standard output once it listens.
    """
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopped.set)
    server = await start_server(application, host, port)
    task = asyncio.ensure_future(run(server.address))
    task.add_done_callback(lambda _: stopped.set())
    sys.stdout.write(msgspec.json.encode({"address": server.address}).decode() + "\n")
    sys.stdout.flush()
    await stopped.wait()
    if task.done():
        await task
    task.cancel()
    await close_server(server)


def run_from_command_line(
    kind: type[Settings], run: Callable[[Settings], Coroutine[Any, Any, None]]
) -> None:
    """Run a stand-in with settings from a file and flags.

    Parameters
    ----------
    kind : type
        Class of the settings.
    run : callable
        Runs the stand-in until SIGTERM or SIGINT.
    """

    def run_command(
        settings: Annotated[Path | None, typer.Option(help="JSON file with the settings.")] = None,
        endpoint: Annotated[str | None, typer.Option()] = None,
        service: Annotated[str | None, typer.Option()] = None,
        zone: Annotated[str | None, typer.Option()] = None,
        listen: Annotated[str | None, typer.Option()] = None,
        port: Annotated[int | None, typer.Option(help="0 chooses a free port.")] = None,
        host: Annotated[
            list[str] | None, typer.Option(help="Address of a host; repeatable.")
        ] = None,
        incarnation: Annotated[int | None, typer.Option()] = None,
    ) -> None:
        """Run a stand-in endpoint; flags replace values of the settings file."""
        flags = {
            "endpoint": endpoint,
            "service": service,
            "zone": zone,
            "listen": listen,
            "port": port,
            "hosts": host,
            "incarnation": incarnation,
        }
        asyncio.run(run(load_settings(kind, settings, flags)))

    typer.run(run_command)
