"""Handle signals and changes of the settings file."""

import signal
from collections.abc import Callable
from pathlib import Path

import anyio
from loguru import logger

from marjorambridge.conf.exceptions import SettingsError
from marjorambridge.conf.nodes import NodeSettings, load_node_settings

# The settings file may change without a signal.
SETTINGS_CHECK_INTERVAL_SECONDS = 2.0


async def watch_signals(stop: Callable[[], None], reload: Callable[[], None]) -> None:
    """Call `stop` for each SIGTERM and SIGINT, and `reload` for each SIGHUP.

    Must run as long as the process: an unhandled SIGHUP would end it.
    """
    numbers = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
    try:
        with anyio.open_signal_receiver(*numbers) as signals:
            async for number in signals:
                logger.bind(kind=signal.Signals(number).name).info("received a signal")
                if number == signal.SIGHUP:
                    reload()
                else:
                    stop()
    finally:
        signal.signal(signal.SIGHUP, signal.SIG_IGN)


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
