"""Guard log lines against bodies, keys and tokens, and against undocumented fields."""

import ast
import json
import logging

import pytest
from loguru import logger

from marjorambridge.conf.settings import LogSettings
from marjorambridge.core.effects import WriteLog
from marjorambridge.http import servers
from marjorambridge.telemetry import logs
from marjorambridge.telemetry.fields import COMMON_FIELDS, FIELDS, WRITER_FIELDS

from .sources import list_calls, list_keys

SECRET = "canary-91f3"
LEVELS = ("debug", "info", "warning", "error", "critical", "exception")


@pytest.fixture
def read_lines(tmp_path):
    path = tmp_path / "log"
    logs.start(LogSettings("DEBUG", str(path)), "host-1")
    yield lambda: [json.loads(line) for line in path.read_text("utf-8").splitlines()]
    logs.close()


def test_every_message_is_fixed_and_every_field_is_listed():
    found = 0
    for location, call, function in list_calls("WriteLog", "effects.WriteLog"):
        found += 1
        assert isinstance(call.args[1], ast.Constant), f"{location}: the message must be fixed"
        if len(call.args) > 2:
            assert list_keys(call.args[2], function) <= set(FIELDS), location
    for location, call, _ in list_calls("logger.bind"):
        found += 1
        names = {keyword.arg for keyword in call.keywords}
        assert names <= set(FIELDS) or location.startswith(
            "marjorambridge/telemetry/logs.py"
        ), location
    for location, call, _ in list_logger_calls():
        found += 1
        assert isinstance(call.args[0], ast.Constant), f"{location}: the message must be fixed"
    assert found > 20
    assert not set(FIELDS) & (set(COMMON_FIELDS) | set(WRITER_FIELDS))


def list_logger_calls():
    """Yield the calls of ``logger.info`` and ``logger.bind(...).info``, and of other levels."""
    names = {
        ast.unparse(call) + f".{level}"
        for _, call, _ in list_calls("logger.bind")
        for level in LEVELS
    }
    yield from list_calls(*names, *(f"logger.{level}" for level in LEVELS))


def test_only_listed_fields_with_simple_values_are_written(read_lines):
    fields = {"request": "r1", "trace": "", "body": SECRET, "detail": SECRET.encode(), "cut": 3}
    logs.write(WriteLog("warning", "a fixed message with {braces}", fields))
    (line,) = read_lines()
    assert SECRET not in json.dumps(line)
    assert set(line) == {*COMMON_FIELDS, "request", "trace", "cut", "dropped"}
    assert sorted(line["dropped"]) == ["body", "detail"]
    assert line["message"] == "a fixed message with {braces}"
    assert (line["host"], line["level"], line["cut"]) == ("host-1", "WARNING", 3)


def test_long_texts_are_truncated(read_lines):
    logs.write(WriteLog("info", "m", {"detail": "x" * 10_000}))
    assert len(read_lines()[0]["detail"]) == logs.MAX_TEXT_CHARACTERS


def test_the_text_of_an_exception_is_not_written(read_lines):
    try:
        (SECRET.encode() + b"\xff").decode()
    except UnicodeDecodeError:
        logger.exception("decoding failed")
        logging.getLogger("uvicorn.error").exception("Exception in ASGI application\n")
    own, library = read_lines()
    assert SECRET not in json.dumps([own, library])
    assert own["exception"] == library["exception"] == "UnicodeDecodeError"
    assert own["raised_at"].startswith("telemetry/test_logs.py:")
    assert library["message"] == "Exception in ASGI application"


@pytest.mark.parametrize("name", ["uvicorn", "uvicorn.error", "asyncio", "any.library"])
def test_log_records_of_libraries_are_written_without_their_values(read_lines, name):
    logging.getLogger(name).warning('%s - "%s"\n%s', SECRET, SECRET, SECRET)
    logging.getLogger(name).debug("sent %s", SECRET)
    (line,) = read_lines()
    assert SECRET not in json.dumps(line)
    assert (line["logger"], line["level"], line["message"]) == (name, "WARNING", '%s - "%s"')


def test_there_is_no_access_log(read_lines):
    """Guard against paths and queries of callers in the log."""
    servers.create_config(None, 75.0, 32_768)
    logging.getLogger("uvicorn.access").warning('%s - "GET /%s"', SECRET, SECRET)
    assert read_lines() == []
