"""Write structured logs as JSON lines."""

import sys
from typing import Any

import msgspec
from loguru import logger

from marjorambridge.conf.settings import LogSettings
from marjorambridge.core.effects import WriteLog


def start(settings: LogSettings, host: str) -> None:
    """Send all log lines of this process to the file or to standard error."""
    logger.remove()
    target: Any = settings.file or sys.stderr
    logger.configure(extra={"host": host}, patcher=_attach_json)
    # A file is opened by loguru and appended to; "enqueue" is off so that the last lines before a
    # crash are written.
    logger.add(target, level=settings.level, format=_choose_format, backtrace=False)


def close() -> None:
    """Flush and close the log."""
    logger.complete()
    logger.remove()


def _choose_format(record: Any) -> str:
    # A plain format string would make loguru append the traceback as further lines.
    return "{extra[serialized]}\n"


def _attach_json(record: Any) -> None:
    fields = {key: value for key, value in record["extra"].items() if key != "serialized"}
    line = {
        "time": record["time"].isoformat(),
        "level": record["level"].name,
        "message": record["message"],
        "module": record["name"],
        **fields,
    }
    if record["exception"] is not None:
        line["exception"] = repr(record["exception"].value)
    record["extra"]["serialized"] = msgspec.json.encode(line, enc_hook=str).decode()


def write(effect: WriteLog) -> None:
    """Write the log line of an effect."""
    logger.bind(**effect.fields).log(effect.level.upper(), effect.message)
