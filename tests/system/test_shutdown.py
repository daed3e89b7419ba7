"""Test that a graceful shutdown truncates no answer, and a forced one ends each with an error."""

import http.client
import itertools
import json
import signal
import subprocess
import sys
import time

from marjorambridge.standins import fleet as local
from tests.system import fleets

EXIT_REQUESTS_CUT = 3
STREAMS = 4
ENGINE = "engine-0"
# Time in which a process has certainly handled a signal.
HANDLE_SECONDS = 0.3
# Runs a host that gets SIGTERM when it has bound its peer address, before it serves callers, and
# again when it closes.
SIGNALLED = """
import os, signal, sys
from marjorambridge.daemon.main import run
from marjorambridge.transport import network

def send_signal_after(name):
    function = getattr(network, name)
    async def run_and_send(*arguments):
        await function(*arguments)
        os.kill(os.getpid(), signal.SIGTERM)
    setattr(network, name, run_and_send)

for name in ("start", "close"):
    send_signal_after(name)
run()
"""


def start_streams(fleet, load, host, label):
    """Start streams, then hang the engine while they run."""
    fleets.set_fault(fleet, ENGINE, kind="clear")
    for prompt in itertools.islice(fleets.create_prompts(label), STREAMS):
        fleets.send_stream(fleet, load, host, prompt)
    fleets.hang_running_streams(fleet, [ENGINE])


def test_a_repeated_sigterm_cuts_nothing_and_a_sigint_ends_requests_with_an_error(fleet):
    """Guard against a supervisor that repeats SIGTERM and so cuts all requests (issue 50)."""
    service = "service-0"
    with fleets.run_load() as load:
        start_streams(fleet, load, "host-1", "graceful")
        fleets.set_fault(fleet, service, delay_seconds=1.5)
        booking = load.pool.submit(fleets.book, fleet, "host-1", "graceful")
        local.wait_until(
            lambda: fleets.read_inventory(fleet, service)["running"], "the booking runs"
        )
        process = fleet.hosts["host-1"].process
        local.send_signal(process, signal.SIGTERM)
        local.wait_until(lambda: not local.is_ready(fleet.hosts["host-1"]), "the host drains")
        for number in (signal.SIGTERM, signal.SIGHUP, signal.SIGTERM):
            local.send_signal(process, number)
            time.sleep(HANDLE_SECONDS)
            assert process.poll() is None
        fleets.set_fault(fleet, ENGINE, kind="clear")
        assert booking.result().status == 201
    fleets.check_results(load)
    assert fleets.count_complete(load) == STREAMS
    assert process.wait(local.STOP_SECONDS) == 0
    assert fleets.count_executions(fleet, "graceful") == 1

    with fleets.run_load() as load:
        start_streams(fleet, load, "host-2", "forced")
        process = fleet.hosts["host-2"].process
        for number in (signal.SIGTERM, signal.SIGINT):
            local.send_signal(process, number)
            local.wait_until(
                lambda: not local.is_ready(fleet.hosts["host-2"]), "the host handles the signal"
            )
        assert process.wait(local.STOP_SECONDS) == EXIT_REQUESTS_CUT
    fleets.check_results(load)
    cut = [result for _, result in load.results if not result.complete]
    assert cut
    assert all('"shutting_down"' in result.error for result in cut)


def test_a_host_that_shuts_down_tells_callers_to_close_their_connections(fleet):
    """Guard against a request that crosses the end of a kept connection and gets no answer."""
    host = fleet.hosts["host-1"]
    with fleets.run_load() as load:
        fleets.set_fault(fleet, "service-0", delay_seconds=2.0)
        booking = load.pool.submit(fleets.book, fleet, "host-1", "last-answer")
        local.wait_until(
            lambda: fleets.read_inventory(fleet, "service-0")["running"], "the booking runs"
        )
        connection = http.client.HTTPConnection(host.caller_address, timeout=10.0)
        connection.request("GET", "/v1/unknown")
        connection.getresponse().read()
        local.send_signal(host.process, signal.SIGTERM)
        local.wait_until(lambda: not local.is_ready(host), "the host drains")
        connection.request("GET", f"/services/{fleets.PLAIN_SERVICE}/slots")
        answer = connection.getresponse()
        answer.read()
        assert answer.getheader("Connection") == "close"
        assert booking.result().status == 201
        connection.close()
    assert host.process.wait(local.STOP_SECONDS) == 0


def test_a_signal_while_a_host_starts_or_closes_does_not_kill_it(fleet):
    """Guard against a host that listens before it handles signals, and so cuts its requests."""
    host = fleet.hosts["host-2"]
    local.stop_process(host.process)
    path, log = fleet.folder / "signalled.json", fleet.folder / "signalled.log"
    path.write_text(json.dumps(host.settings | {"log": {"file": str(log)}}))
    program = [sys.executable, "-c", SIGNALLED, "--settings", str(path)]
    ended = subprocess.run(program, timeout=local.STOP_SECONDS)
    assert ended.returncode == 0
    messages = [json.loads(line)["message"] for line in log.read_text().splitlines()]
    assert messages.count("received a signal") == 2
    assert "the host has stopped" in messages
