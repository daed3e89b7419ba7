"""Handle signals and changes of the settings file."""

import signal
from collections.abc import Callable
from pathlib import Path

import anyio
from anyio import TASK_STATUS_IGNORED
from anyio.abc import TaskStatus
from loguru import logger

from marjorambridge.conf.exceptions import SettingsError
from marjorambridge.conf.nodes import NodeSettings, load_node_settings

# The settings file may change without a signal.
SETTINGS_CHECK_INTERVAL_SECONDS = 2.0


async def watch_signals(
    stop: Callable[[], object],
    end: Callable[[], object],
    reload: Callable[[], object],
    *,
    task_status: TaskStatus[None] = TASK_STATUS_IGNORED,
) -> None:
    """Call `stop` for the first SIGTERM or SIGINT, and `reload` for each SIGHUP.

    Supervisors may repeat SIGTERM, so that only a later SIGINT, of an operator at a terminal, calls
    `end`, which ends the process at once. Must run as long as the process, from before it serves
    anything: an unhandled signal would end it. Afterwards SIGTERM and SIGHUP are ignored.
    """
    numbers = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
    is_stopping = False
    try:
        with anyio.open_signal_receiver(*numbers) as signals:
            task_status.started()
            async for number in signals:
                logger.bind(kind=signal.Signals(number).name).info("received a signal")
                if number == signal.SIGHUP:
                    reload()
                elif not is_stopping:
                    is_stopping = True
                    stop()
                elif number == signal.SIGINT:
                    logger.warning("ending at once, because of a SIGINT during the stop")
                    end()
                else:
                    logger.info("the stop goes on as before, because a SIGTERM doesn't shorten it")
    finally:
        for number in (signal.SIGTERM, signal.SIGHUP):
            signal.signal(number, signal.SIG_IGN)


async def watch_settings(path: Path, reload: Callable[[], None]) -> None:
    """Call `reload` when the content of the settings file changes."""
    previous = _read_mtime_and_size(path)
    while True:
        await anyio.sleep(SETTINGS_CHECK_INTERVAL_SECONDS)
        current = _read_mtime_and_size(path)
        if current != previous:
            previous = current
            reload()


def _read_mtime_and_size(path: Path) -> tuple[int, int]:
    try:
        status = path.stat()
    except OSError:
        # The file is missing for a moment while it is replaced.
        return 0, 0
    return status.st_mtime_ns, status.st_size


def read_changed_settings(path: Path) -> NodeSettings | None:
    """Return the settings of a changed file; log a warning and return None if they are invalid."""
    try:
        settings = load_node_settings(path)
    except SettingsError as error:
        logger.bind(error=str(error)).warning("kept the old settings; the new ones can't be used")
        return None
    logger.info("read the changed settings")
    return settings
