"""Guard the start of a process against signals that come early."""

import errno
import os
import signal
import subprocess
import sys
import time
from pathlib import Path

import pytest

from marjorambridge.platform.main import EXIT_SETTINGS, SETTINGS_VARIABLE

ROOT = Path(__file__).resolve().parents[2]
START_SECONDS = 20.0


@pytest.mark.parametrize("role", ["gateway", "replica"])
def test_a_signal_before_the_settings_are_read_does_not_end_the_process(role, tmp_path):
    """Guard against a process that a change of settings kills while it starts (soak, seed 301)."""
    pipe = tmp_path / "node.json"
    os.mkfifo(pipe)
    environment = os.environ | {SETTINGS_VARIABLE: str(pipe)}
    command = [sys.executable, "-m", "marjorambridge.platform", role]
    with subprocess.Popen(command, cwd=ROOT, env=environment, stdout=subprocess.PIPE) as process:
        writer = open_when_read(pipe)
        process.send_signal(signal.SIGHUP)
        time.sleep(0.1)
        os.write(writer, b"{}")
        os.close(writer)
        output, _ = process.communicate(timeout=START_SECONDS)
    assert process.returncode == EXIT_SETTINGS and b"host" in output


def open_when_read(pipe):
    """Return a descriptor of a pipe once the process reads it; it has no handlers yet."""
    ends_at = time.monotonic() + START_SECONDS
    while True:
        try:
            return os.open(pipe, os.O_WRONLY | os.O_NONBLOCK)
        except OSError as error:
            if error.errno != errno.ENXIO or time.monotonic() > ends_at:
                raise
        time.sleep(0.01)
