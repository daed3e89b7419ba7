"""Write structured logs as JSON lines.

A line contains a fixed message and the fields of `marjorambridge.telemetry.fields` only, so that no
body, key or token is written.
"""

import logging
import os
import sys
import time
import traceback
from pathlib import Path
from typing import Any

import msgspec
from loguru import logger
from msgspec import Struct

from marjorambridge.conf.settings import LogSettings
from marjorambridge.core.effects import WriteLog
from marjorambridge.telemetry.fields import FIELDS

MAX_TEXT_CHARACTERS = 500
# Below this level, libraries log what they send and receive.
LIBRARY_LOG_LEVEL = logging.INFO


# Average rate of the lines of a process, and the greatest burst after a time with few lines. A busy
# host ends a few dozen requests in a second; the rest of the rate is for lines about errors.
MAX_LINES_PER_SECOND = 100.0
MAX_BURST_LINES = 400.0


class RateLimitedOutput(Struct):
    """State of a rate limit (token bucket) on the lines written to standard output.

    Attributes
    ----------
    available_lines : float
        Lines that may be written now.
    dropped : int
        Lines dropped since the last line that reported dropped lines.
    """

    available_lines: float = MAX_BURST_LINES
    refilled_at: float = 0.0
    dropped: int = 0


class _LibraryHandler(logging.Handler):
    """Write the log records of libraries, such as uvicorn, as JSON lines.

    Only the first line of the message template is written: the values may come from callers.
    """

    def emit(self, record: logging.LogRecord) -> None:
        text = str(record.msg).partition("\n")[0][:MAX_TEXT_CHARACTERS]
        bound = logger.bind(logger=record.name).opt(exception=record.exc_info)
        bound.log(record.levelname, "{}", text)


def start(settings: LogSettings, host: str) -> None:
    """Send all log lines of this process to the file or to standard error."""
    logger.remove()
    target: Any = settings.file or sys.stderr
    logger.configure(extra={"host": host}, patcher=_attach_json)
    # A file is opened by loguru and appended to; "enqueue" is off so that the last lines before a
    # crash are written.
    logger.add(target, level=settings.level, format=_choose_format, backtrace=False)
    logging.basicConfig(handlers=[_LibraryHandler()], level=LIBRARY_LOG_LEVEL, force=True)


def start_rate_limited(level: str, host: str) -> RateLimitedOutput:
    """Send all log lines of this process to standard output, at a limited rate.

    Writes never wait for the reader. Lines above the rate limit, and lines for which the reader is
    too slow, are dropped and counted.
    """
    output = RateLimitedOutput(refilled_at=time.monotonic())
    try:
        os.set_blocking(sys.stdout.fileno(), False)
    except OSError as error:
        # Some pipes can't be made non-blocking; writing to them may then wait for the reader.
        print(f'{{"message": "standard output stays blocking", "error": "{error}"}}', flush=True)
    logger.remove()
    logger.configure(extra={"host": host}, patcher=_attach_json)
    logger.add(
        lambda message: write_rate_limited(output, message),
        level=level,
        format=_choose_format,
        backtrace=False,
        catch=False,
    )
    logging.basicConfig(handlers=[_LibraryHandler()], level=LIBRARY_LOG_LEVEL, force=True)
    return output


def write_rate_limited(output: RateLimitedOutput, line: str) -> None:
    """Write one line; drop it if the rate limit is exceeded or the write would block."""
    now = time.monotonic()
    refill = (now - output.refilled_at) * MAX_LINES_PER_SECOND
    output.available_lines = min(MAX_BURST_LINES, output.available_lines + refill)
    output.refilled_at = now
    if output.available_lines < 1.0:
        output.dropped += 1
        return
    output.available_lines -= 1.0
    if output.dropped:
        line = f'{{"message": "log lines were dropped", "dropped": {output.dropped}}}\n{line}'
    try:
        os.write(sys.stdout.fileno(), line.encode())
        output.dropped = 0
    except BlockingIOError:
        output.dropped += 1


def close() -> None:
    """Flush and close the log."""
    logging.basicConfig(handlers=[logging.NullHandler()], force=True)
    logger.complete()
    logger.remove()


def _choose_format(record: Any) -> str:
    # A plain format string would make loguru append the traceback as further lines.
    return "{extra[serialized]}\n"


def _attach_json(record: Any) -> None:
    line = {
        "time": record["time"].isoformat(),
        "level": record["level"].name,
        "message": record["message"],
        "module": record["name"],
        "host": record["extra"].get("host", ""),
    }
    dropped = []
    for name, value in record["extra"].items():
        if name in ("host", "serialized"):
            continue
        if name in FIELDS and isinstance(value, str | int | float):
            line[name] = value[:MAX_TEXT_CHARACTERS] if isinstance(value, str) else value
        else:
            dropped.append(name)
    if dropped:
        line["dropped"] = dropped
    if record["exception"] is not None:
        line.update(_describe_exception(record["exception"]))
    record["extra"]["serialized"] = msgspec.json.encode(line).decode()


def _describe_exception(raised: Any) -> dict[str, str]:
    """Return class and location of an exception; its text may contain data of a caller."""
    fields = {"exception": raised.type.__name__ if raised.type else "none"}
    frames = traceback.extract_tb(raised.traceback)
    if frames:
        fields["raised_at"] = (
            f"{'/'.join(Path(frames[-1].filename).parts[-2:])}:{frames[-1].lineno}"
        )
    return fields


def write(effect: WriteLog) -> None:
    """Write the log line of an effect."""
    logger.bind(**effect.fields).log(effect.level.upper(), effect.message)
