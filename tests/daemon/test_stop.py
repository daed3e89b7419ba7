"""Test with real processes what callers and the log see when a process is told to stop."""

import json
import random
import signal
import time
from contextlib import asynccontextmanager

import anyio

from tests.soak.endpoints import Endpoint, serve_endpoint
from tests.soak.processes import make_processes
from tests.soak.run import (
    Soak,
    find_base_port,
    make_configuration,
    send_reports,
    send_request,
    wait_for_start,
)

START_SECONDS = 20.0
# Time in which a process ends after its grace time.
END_SECONDS = 2.0
SHORT_GRACE_SECONDS = 4.0


@asynccontextmanager
async def run_fleet(folder, grace_seconds=8.0):
    """Run a replica, a gateway and an endpoint, and wait until requests are served."""
    base = find_base_port()
    replica, gateway = processes = make_processes(folder, base, 1, 1)
    gateway.settings["bounds"]["shutdown_grace_seconds"] = grace_seconds
    generator = random.Random(1)
    soak = Soak(1, folder, base, generator, processes)
    born = int(time.time() * 1000)
    endpoint = Endpoint("i-0", "z0", "127.0.2.1", base + 10, soak.endpoint_log, generator, born)
    soak.endpoints.append(endpoint)
    async with anyio.create_task_group() as tasks:
        try:
            tasks.start_soon(serve_endpoint, endpoint)
            for process in processes:
                process.start()
            tasks.start_soon(send_reports, soak)
            await replace_configuration(soak, replica)
            await wait_for_start(soak)
            yield soak
        finally:
            tasks.cancel_scope.cancel()
            for process in processes:
                process.kill()


async def replace_configuration(soak, replica):
    """Send a configuration until the replica acknowledges it."""
    with anyio.fail_after(START_SECONDS):
        while True:
            control = replica.settings["control"]
            body = make_configuration(1)
            answer = await send_request(soak, control, "POST", "/api/Config.Replace", body)
            if answer is not None and answer[0] == 200:
                return
            await anyio.sleep(0.1)


def read_lines(process, message):
    """Return the lines of a process with a message."""
    lines = process.logs[-1].read_text().splitlines()
    return [line for line in map(json.loads, lines) if line["message"] == message]


def test_the_log_names_each_request_that_the_end_of_a_gateway_cuts(tmp_path):
    """Guard against a stop after which only the number of cut requests is known."""

    async def scenario():
        async with run_fleet(tmp_path, SHORT_GRACE_SECONDS) as soak:
            gateway = soak.processes[1]
            gateway.send_signal(signal.SIGTERM)
            await anyio.sleep(1.0)
            ip, _, port = gateway.settings["callers"].rpartition(":")
            async with await anyio.connect_tcp(ip, int(port)) as stream:
                head = b"POST /any/a HTTP/1.1\r\nHost: soak.example\r\nContent-Length: 9\r\n\r\n"
                await stream.send(head + b"1234")
                await anyio.to_thread.run_sync(
                    gateway.child.wait, SHORT_GRACE_SECONDS + END_SECONDS
                )
            [cut] = read_lines(gateway, "a request is cut, because the process ends")
            assert cut["state"] == "reading the body" and cut["level"] == "WARNING"
            assert 0.0 < cut["silent_seconds"] <= cut["seconds"] < SHORT_GRACE_SECONDS
            assert cut["unsent_bytes"] == 0
            [stopped] = read_lines(gateway, "the gateway has stopped")
            assert stopped["cut"] == 1

    anyio.run(scenario)
