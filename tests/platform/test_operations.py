"""Test calls to a replica whose senders have left, or that were read late."""

import time
from contextlib import asynccontextmanager

import anyio
import msgspec
import pytest

from marjorambridge.conf.nodes import NodeSettings
from marjorambridge.daemon.replica import (
    STALL_BACKLOG_SECONDS,
    ReplicaAdapter,
    ReplicaProcess,
    run_components,
)
from marjorambridge.platform.operations import get_body_limit, handle_call
from tests.soak.run import find_base_port

START_SECONDS = 20.0
# Longer than an order takes that nobody disturbs.
SETTLE_SECONDS = 0.5
IP = "127.0.1.1"


@asynccontextmanager
async def run_replica(folder):
    """Run the only replica of a fleet; yields its components."""
    base = find_base_port()
    settings = NodeSettings(
        host="replica-0",
        ip=IP,
        zone="z0",
        zones={"z0": "r", "z1": "r"},
        seeds=[f"{IP}:{base + 2}"],
        peer_ports=(base, base + 1),
        control=f"{IP}:{base + 2}",
        bootstrap=True,
        data_folder=str(folder),
    )
    async with anyio.create_task_group() as tasks:
        process = ReplicaProcess(
            settings, lambda: ReplicaAdapter(handle_call, get_body_limit), tasks.cancel_scope
        )
        tasks.start_soon(run_components, process)
        with anyio.fail_after(START_SECONDS):
            while process.host is None or not process.host.control.confirmed:
                await anyio.sleep(0.05)
        yield process.host
        tasks.cancel_scope.cancel()


async def send(host, path, body=b""):
    """Send a call and return the open connection."""
    ip, _, port = host.settings.control.rpartition(":")
    stream = await anyio.connect_tcp(ip, int(port))
    head = f"POST {path} HTTP/1.1\r\nHost: x\r\nContent-Length: {len(body)}\r\n\r\n"
    await stream.send(head.encode() + body)
    return stream


async def call(host, path, body=b""):
    """Send a call and return the status of its answer."""
    async with await send(host, path, body) as stream:
        return int((await stream.receive())[9:12])


async def send_and_leave(host, path):
    """Send a call and close the connection, before the replica reads any of it."""
    stream = await send(host, path)
    await stream.aclose()
    await anyio.sleep(SETTLE_SECONDS)


def test_a_long_report_is_refused_before_it_is_read(tmp_path):
    """Guard against reports as long as configurations, which together end a replica."""

    async def scenario():
        async with run_replica(tmp_path) as host:
            ip, _, port = host.settings.control.rpartition(":")
            for path, status in (("Instances.Heartbeat/i-1", 413), ("Config.Replace", 0)):
                async with await anyio.connect_tcp(ip, int(port)) as stream:
                    head = (
                        f"POST /api/{path} HTTP/1.1\r\nHost: x\r\nContent-Length: 15000000\r\n\r\n"
                    )
                    await stream.send(head.encode() + b"x" * 60_000)
                    data = b""
                    with anyio.move_on_after(0.5):
                        data = await stream.receive()
                    assert int(data[9:12] or 0) == status
            await anyio.sleep(0.1)
            assert host.server.memory.used == 0

    anyio.run(scenario)


def make_report(born):
    return msgspec.json.encode(
        {
            "backend": "svc",
            "address": "10.0.0.1:80",
            "zone": "z0",
            "slots": 8,
            "state": "ready",
            "cold_left_ms": 0,
            "seq": 1,
            "born": born,
        }
    )


def test_an_order_whose_sender_has_left_is_not_carried_out(tmp_path):
    """Guard against an order that was read late and undoes a newer, acknowledged one."""

    async def scenario():
        async with run_replica(tmp_path) as host:
            control = host.control
            assert await call(host, "/api/Drain.Begin/z0") == 200
            await send_and_leave(host, "/api/Drain.Finish/z0")
            assert list(control.control.drained) == ["z0"]
            await send_and_leave(host, "/api/Drain.Begin/z1")
            assert list(control.control.drained) == ["z0"]
            assert await call(host, "/api/Drain.Finish/z0") == 200
            assert not control.control.drained

    anyio.run(scenario)


def test_an_order_that_was_read_after_a_stall_is_not_carried_out(tmp_path):
    """Guard against an order that arrived while the process was frozen, of a caller cut off."""

    async def scenario():
        async with run_replica(tmp_path) as host:
            host.runtime.resumed_at = time.monotonic()
            assert await call(host, "/api/Drain.Begin/z0") == 503
            assert not host.control.control.drained
            await anyio.sleep(STALL_BACKLOG_SECONDS)
            assert await call(host, "/api/Drain.Begin/z0") == 200

    anyio.run(scenario)


def test_a_frozen_process_notices_that_it_was_stalled(tmp_path, monkeypatch):
    """Guard against orders that are carried out after a suspension of the whole machine."""
    suspended = 0.0
    read_clock = time.clock_gettime
    monkeypatch.setattr(time, "clock_gettime", lambda clock: read_clock(clock) + suspended)

    async def scenario():
        nonlocal suspended
        async with run_replica(tmp_path) as host:
            before = host.runtime.resumed_at
            suspended = 5.0
            await anyio.sleep(SETTLE_SECONDS)
            assert host.runtime.resumed_at > before
            assert await call(host, "/api/Drain.Begin/z0") == 503

    anyio.run(scenario)


@pytest.mark.parametrize("leaves", [True, False])
def test_a_late_deregistration_does_not_retire_a_newer_incarnation(leaves, tmp_path):
    """Guard against a lost endpoint, because its former incarnation's last call was read late."""

    async def scenario():
        async with run_replica(tmp_path) as host:
            assert await call(host, "/api/Instances.Heartbeat/e1", make_report(1_000)) == 200
            if leaves:
                await send_and_leave(host, "/api/Instances.Deregister/e1")
            else:
                assert await call(host, "/api/Instances.Deregister/e1") == 200
            assert list(host.control.control.retired) == ([] if leaves else ["e1"])

    anyio.run(scenario)
