"""Guard the start of a process against signals that arrive early."""

import errno
import json
import os
import signal
import subprocess
import sys
import time
from pathlib import Path

import pytest

from marjorambridge.platform.main import EXIT_SETTINGS, SETTINGS_VARIABLE
from tests.soak.run import find_base_port

ROOT = Path(__file__).resolve().parents[2]
START_SECONDS = 20.0


@pytest.mark.parametrize("role", ["gateway", "replica"])
def test_a_signal_before_the_settings_are_read_does_not_end_the_process(role, tmp_path):
    """Guard against a SIGHUP for changed settings that ends a starting process (soak, seed 301)."""
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
    """Open a pipe once the process reads it; the process has no signal handlers yet."""
    ends_at = time.monotonic() + START_SECONDS
    while True:
        try:
            return os.open(pipe, os.O_WRONLY | os.O_NONBLOCK)
        except OSError as error:
            if error.errno != errno.ENXIO or time.monotonic() > ends_at:
                raise
        time.sleep(0.01)


# Runs a replica whose disk fails at the second write after each start.
FAILING_REPLICA = """
import errno, sys
from marjorambridge.daemon import replica
from marjorambridge.platform.__main__ import run
from marjorambridge.storage import stores

writes, open_store, flush_writes = [0], replica.open_store, stores.flush_writes

def open_and_reset_count(folder):
    writes[0] = 0
    return open_store(folder)

def write_until_full(store):
    writes[0] += 1
    if writes[0] > 1:
        raise OSError(errno.EIO, "Input/output error")
    flush_writes(store)

replica.open_store, stores.flush_writes = open_and_reset_count, write_until_full
sys.exit(run(["replica"]))
"""
RESTARTS = 4


def test_a_signal_while_a_replica_restarts_does_not_end_the_process(tmp_path):
    """Guard against a SIGHUP that ends a replica after a disk failure (seed 982996002270)."""
    base = find_base_port()
    settings = {
        "host": "r1",
        "ip": "127.0.0.1",
        "zone": "z0",
        "zones": {"z0": "r"},
        "seeds": [f"127.0.0.1:{base + 2}"],
        "peer_ports": [base, base + 1],
        "control": f"127.0.0.1:{base + 2}",
        "bootstrap": True,
        "data_folder": str(tmp_path / "data"),
        "log_level": "WARNING",
    }
    path, log = tmp_path / "node.json", tmp_path / "log"
    path.write_text(json.dumps(settings))
    environment = os.environ | {SETTINGS_VARIABLE: str(path)}
    with log.open("wb") as output:
        process = subprocess.Popen(
            [sys.executable, "-c", FAILING_REPLICA], cwd=ROOT, env=environment, stdout=output
        )
    try:
        wait_for_restarts(process, log, 1)
        wait_for_restarts(process, log, RESTARTS, signal.SIGHUP)
        # The stop signal arrives while no components run.
        process.send_signal(signal.SIGTERM)
        assert process.wait(timeout=START_SECONDS) == 0
    finally:
        process.kill()
        process.wait()


def wait_for_restarts(process, log, count, number=0):
    """Wait until a replica has restarted `count` times; send it a signal repeatedly meanwhile."""
    ends_at = time.monotonic() + START_SECONDS
    while log.read_bytes().count(b"starting anew") < count:
        assert process.poll() is None, f"the process ended with {process.returncode}"
        assert time.monotonic() < ends_at
        if number:
            process.send_signal(number)
        time.sleep(0.002)


@pytest.mark.parametrize("role", ["gateway", "replica"])
def test_a_role_starts_without_creating_dataclasses(role):
    """Guard against a slow start: after a power loss no request is served until replicas run.

    Creating 150 dataclasses took a third of the CPU time of a replica's start.
    """
    program = f"""
import sys
import marjorambridge.platform.main
import marjorambridge.daemon.{role}
import marjorambridge.platform.operations
names = [name for name in sys.modules if name.startswith("marjorambridge.")]
made = [
    f"{{name}}.{{key}}"
    for name in names
    for key, value in vars(sys.modules[name]).items()
    if isinstance(value, type) and value.__module__ == name
    if "__dataclass_fields__" in vars(value)
]
print(made)
"""
    result = subprocess.run(
        [sys.executable, "-c", program], cwd=ROOT, capture_output=True, text=True, check=True
    )
    assert result.stdout.strip() == "[]"


# Runs a role that gets SIGTERM whenever one of the named functions returns.
SIGNALLED = """
import os, signal, sys
from marjorambridge.daemon import {role}
from marjorambridge.gateway import callers
from marjorambridge.platform.__main__ import run
from marjorambridge.transport import network

def send_signal_after(module, name):
    function = getattr(module, name)
    async def run_and_send(*arguments):
        await function(*arguments)
        os.kill(os.getpid(), signal.SIGTERM)
    setattr(module, name, run_and_send)

for module, name in {functions}:
    send_signal_after(module, name)
sys.exit(run(["{role}"]))
"""


@pytest.mark.parametrize("role", ["gateway", "replica"])
@pytest.mark.parametrize(
    "functions",
    ["[(network, 'start')]", "[(callers, 'start_server')]", "[(network, name) for name in NAMES]"],
    ids=["before it listens", "when it listens", "at its start and end"],
)
def test_a_stop_signal_during_the_start_or_the_end_does_not_kill_a_process(
    role, functions, tmp_path
):
    """Guard against requests cut by a signal that arrives before or after its handler runs."""
    functions = functions.replace("NAMES", "('start', 'close')")
    base = find_base_port()
    settings = {
        "host": "h1",
        "ip": "127.0.0.1",
        "zone": "z0",
        "zones": {"z0": "r"},
        "seeds": [f"127.0.0.1:{base + 2}"],
        "peer_ports": [base, base + 1],
        "bootstrap": True,
    }
    if role == "replica":
        settings |= {"control": f"127.0.0.1:{base + 2}", "data_folder": str(tmp_path / "data")}
    else:
        settings |= {"callers": f"127.0.0.1:{base + 3}", "readiness": f"127.0.0.1:{base + 4}"}
    path = tmp_path / "node.json"
    path.write_text(json.dumps(settings))
    process = subprocess.run(
        [sys.executable, "-c", SIGNALLED.format(role=role, functions=functions)],
        cwd=ROOT,
        env=os.environ | {SETTINGS_VARIABLE: str(path)},
        stdout=subprocess.PIPE,
        timeout=START_SECONDS,
    )
    assert process.returncode == 0
    messages = [json.loads(line)["message"] for line in process.stdout.splitlines()]
    assert f"the {role} has stopped" in messages and messages[-1] == "the process ends"


# Modules that a role imports after its socket for other hosts listens, and those that it imports
# after it serves this socket.
AFTER_LISTENING = ("loguru", "asyncio", "anyio", "thrift", "marjorambridge.daemon")
AFTER_SERVING = {
    "gateway": ("aioprometheus", "marjorambridge.storage", "marjorambridge.replication"),
    "replica": ("aioprometheus", "h11", "marjorambridge.forwarding", "marjorambridge.gateway"),
}

# Starts a role as the platform does. Prints what is imported when its socket listens, and what is
# imported when it serves this socket, to which a client has connected meanwhile.
LISTING = """
import os, runpy, socket, sys
from marjorambridge.transport import early

open_socket = early.open_socket

def open_and_list(address):
    open_socket(address)
    print(*sys.modules, flush=True)
    ip, _, port = address.rpartition(":")
    client = socket.create_connection((ip, int(port)))

    from marjorambridge.transport import network

    start = network.start

    async def start_and_exit(*arguments):
        await start(*arguments)
        print(*sys.modules, flush=True)
        assert client.getpeername() == (ip, int(port)) and not early.OPEN_SOCKETS
        os._exit(0)

    network.start = start_and_exit

early.open_socket = open_and_list
sys.argv = ["marjorambridge.platform", "{role}"]
runpy.run_module("marjorambridge.platform", run_name="__main__")
"""


@pytest.mark.parametrize("role", ["gateway", "replica"])
def test_a_role_listens_before_it_imports_what_serves_later(role, tmp_path):
    """Guard against imports that delay the first leader, and so the configuration of all hosts."""
    base = find_base_port()
    settings = {
        "host": "h1",
        "ip": "127.0.0.1",
        "zone": "z0",
        "zones": {"z0": "r"},
        "seeds": [f"127.0.0.1:{base}"],
        "peer_ports": [base, base],
        "control": f"127.0.0.1:{base + 1}",
        "callers": f"127.0.0.1:{base + 2}",
        "readiness": f"127.0.0.1:{base + 3}",
        "data_folder": str(tmp_path / "data"),
    }
    path = tmp_path / "node.json"
    path.write_text(json.dumps(settings))
    result = subprocess.run(
        [sys.executable, "-c", LISTING.format(role=role)],
        cwd=ROOT,
        env=os.environ | {SETTINGS_VARIABLE: str(path)},
        capture_output=True,
        text=True,
        timeout=START_SECONDS,
    )
    assert result.returncode == 0, result.stderr
    listening, serving = (line.split() for line in result.stdout.splitlines()[:2])
    assert "marjorambridge.conf.nodes" in listening
    assert not [name for name in listening if name.startswith(AFTER_LISTENING)]
    assert "marjorambridge.transport.network" in serving
    assert not [name for name in serving if name.startswith(AFTER_SERVING[role])]
