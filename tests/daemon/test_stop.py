"""Test with real processes what callers and the log see when a process is told to stop."""

import contextlib
import json
import random
import signal
import time
from contextlib import asynccontextmanager

import anyio
import httpcore
import pytest

from tests.gateway.test_closing import connect_with_small_buffer
from tests.soak.endpoints import Endpoint, serve_endpoint
from tests.soak.processes import make_processes
from tests.soak.run import (
    Soak,
    check_answer,
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
CALLERS = 12
# A slow operator reads this much of a configuration at 16 KB/s, which takes longer than a replica
# needs for the transfer of leadership.
ADDED_ROUTES, CONFIGURATION_BYTES = 300, 48_000
PIECE_BYTES, PIECE_SECONDS = 1_600, 0.1
NO_ANSWER = (httpcore.NetworkError, httpcore.ProtocolError)
# A gateway accepts requests for 2.8 s after the first signal, a replica for 1 s. Some time before
# that, each request gets its whole answer.
ANSWERED_SECONDS = {"gateway": 2.3, "replica": 0.7}
PATHS = {"gateway": "/stream/a", "replica": "/api/Config.Read"}


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


async def replace_configuration(soak, replica, body=None):
    """Send a configuration until the replica acknowledges it."""
    with anyio.fail_after(START_SECONDS):
        while True:
            control = replica.settings["control"]
            body = body or make_configuration(1)
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


def test_a_replica_stays_until_a_slow_operator_has_the_configuration(tmp_path):
    """Guard against a replica that ends while its last answers are still on their way."""
    request = b"GET /api/Config.Read HTTP/1.1\r\nHost: soak.example\r\n\r\n"

    async def scenario():
        async with run_fleet(tmp_path) as soak:
            replica = soak.processes[0]
            await replace_configuration(soak, replica, make_large_configuration(2))
            _, _, port = replica.settings["control"].rpartition(":")
            stream = await connect_with_small_buffer(int(port), ip="127.0.1.1")
            async with stream:
                await stream.send(request)
                await stream.receive(1)
                replica.send_signal(signal.SIGTERM)
                data = b""
                while len(data) < CONFIGURATION_BYTES:
                    data += await stream.receive(PIECE_BYTES)
                    await anyio.sleep(PIECE_SECONDS)
                assert replica.child.poll() is None
                data += await read_to_end(stream)
            assert data.endswith(b"}")
            with anyio.fail_after(END_SECONDS + 1.0):
                while replica.child.poll() is None:
                    await anyio.sleep(0.02)
            assert not read_lines(replica, "an answer is not delivered when the process ends")

    anyio.run(scenario)


async def read_to_end(stream):
    """Return the bytes until the end of a connection."""
    data = b""
    with contextlib.suppress(anyio.EndOfStream):
        while True:
            data += await stream.receive()
    return data


def make_large_configuration(version):
    """Return a configuration whose text exceeds what the buffers of a slow reader hold."""
    document = json.loads(make_configuration(version))
    route = document["routes"][0]
    document["routes"] += [
        route | {"name": f"x{n}", "path_prefix": f"/x{n}/"} for n in range(ADDED_ROUTES)
    ]
    return json.dumps(document).encode()


async def call_until_gone(soak, process, name, results):
    """Send requests on a kept connection, or on new ones, until the process is gone.

    `results` gets for each request when it was sent and whether the answer was whole, cut after its
    head, or missing.
    """
    address = process.settings["callers" if process.role == "gateway" else "control"]
    method = "POST" if process.role == "gateway" else "GET"
    path = PATHS[process.role]
    async with httpcore.AsyncConnectionPool(max_connections=1) as pool:
        number = 0
        while process.child.poll() is None:
            number += 1
            identifier = f"{name}-{number}"
            headers = {"Host": "soak.example", "X-Request-Id": identifier}
            sent_at, outcome = time.monotonic(), "missing"
            try:
                url = f"http://{address}{path}"
                async with pool.stream(method, url, headers=list(headers.items())) as answer:
                    outcome = "cut"
                    content = await answer.aread()
            except NO_ANSWER:
                await anyio.sleep(0.02)
            else:
                outcome = str(answer.status)
                if process.role == "gateway":
                    parts = answer.status, dict(answer.headers), content
                    check_answer(soak, identifier, "/stream/", b"", parts)
            results.append((sent_at, outcome))


def stop_under_load(folder, role, series):
    """Send signals to a process under load until it has ended.

    Returns the seconds until its end, the requests that got no whole answer although they were sent
    early enough, and when those were sent that it got during the stop.

    Parameters
    ----------
    series : list of (float, signal.Signals)
        Signals, each with the delay in seconds after the one before.
    """
    results = []

    async def scenario():
        async with run_fleet(folder) as soak:
            process = soak.processes[role == "gateway"]
            async with anyio.create_task_group() as tasks:
                for number in range(CALLERS):
                    tasks.start_soon(call_until_gone, soak, process, f"c{number}", results)
                await anyio.sleep(0.5)
                begun_at = time.monotonic()
                for delay, number in series:
                    await anyio.sleep(delay)
                    process.send_signal(number)
                with anyio.fail_after(8.0 + END_SECONDS):
                    while process.child.poll() is None:
                        await anyio.sleep(0.02)
                seconds = time.monotonic() - begun_at
            assert not soak.faults
            return begun_at, seconds, process.child.returncode, read_signals(process)

    begun_at, seconds, code, received = anyio.run(scenario)
    assert code == 0
    assert received == [number.name for _, number in series]
    late_at = begun_at + ANSWERED_SECONDS[role]
    failed = [item for item in results if item[0] < late_at and item[1] != "200"]
    failed += [item for item in results if item[1] == "cut"]
    during = [sent_at for sent_at, _ in results if begun_at <= sent_at < late_at]
    return seconds, failed, during


def read_signals(process):
    """Return the names of the signals that a process has logged."""
    return [line["kind"] for line in read_lines(process, "received a signal")]


SERIES = [
    [(0.0, signal.SIGTERM), (1.0, signal.SIGTERM)],
    [(0.0, signal.SIGTERM), (0.05, signal.SIGHUP), (0.05, signal.SIGTERM)],
    [(0.0, signal.SIGINT), (0.3, signal.SIGTERM), (0.1, signal.SIGTERM)],
]


@pytest.mark.parametrize("series", SERIES, ids=["later", "quick", "SIGINT first"])
def test_a_repeated_signal_cuts_no_request_of_a_gateway(series, tmp_path):
    """Guard against a second SIGTERM, which supervisors send, that ends all requests (issue 50)."""
    seconds, failed, during = stop_under_load(tmp_path, "gateway", series)
    assert failed == []
    assert len(during) >= CALLERS and seconds > ANSWERED_SECONDS["gateway"]


def test_a_repeated_signal_cuts_no_call_of_a_replica(tmp_path):
    """Guard against a second SIGTERM that ends the calls of operators without an answer."""
    series = [(0.0, signal.SIGTERM), (0.1, signal.SIGHUP), (0.1, signal.SIGTERM)]
    seconds, failed, during = stop_under_load(tmp_path, "replica", series)
    assert failed == []
    assert len(during) >= CALLERS and seconds > ANSWERED_SECONDS["replica"]


def test_a_second_sigint_ends_a_gateway_at_once(tmp_path):
    """Guard against an operator at a terminal who can't end a process that waits for requests."""
    series = [(0.0, signal.SIGTERM), (0.5, signal.SIGINT)]
    seconds, failed, _ = stop_under_load(tmp_path, "gateway", series)
    assert seconds < ANSWERED_SECONDS["gateway"] and failed
