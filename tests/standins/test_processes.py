"""Guard against stand-ins that print no address, skip hosts or do not count repeated calls."""

import asyncio
import contextlib
import json
import sys

from marjorambridge.limits.events import EndpointAnnounced
from tests.http.helpers import post_json, request, serve_callers, serve_engine, wait_for


@contextlib.asynccontextmanager
async def start_process(tmp_path, module, **settings):
    path = tmp_path / f"{module}.json"
    path.write_text(json.dumps(settings), encoding="utf-8")
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        f"marjorambridge.standins.{module}",
        "--settings",
        str(path),
        "--endpoint",
        f"{module}-7",
        stdout=asyncio.subprocess.PIPE,
    )
    try:
        yield json.loads(await process.stdout.readline())["address"]
    finally:
        process.terminate()
        assert await process.wait() == 0


def list_names(caller):
    return {event.announcement.endpoint for event in caller.select(EndpointAnnounced)}


def test_processes_announce_to_every_host_and_count_executions(tmp_path):
    async def run():
        async with serve_callers() as one, serve_callers() as two:
            common = {"hosts": [one.address, "127.0.0.1:9", two.address], "announce_seconds": 0.05}
            async with (
                start_process(tmp_path, "engine", **common),
                start_process(tmp_path, "service", **common) as service,
            ):
                names = {"engine-7", "service-7"}
                await wait_for(lambda: list_names(one) == list_names(two) == names)
                key = [(b"idempotency-key", b"k1")]
                for _ in range(2):
                    await request("POST", f"http://{service}/bookings", b"x", key)
                answer = await request("GET", f"http://{service}/control/inventory")
                inventory = json.loads(answer.content)
                assert inventory["by_key"] == {"k1": 2}
                assert list(inventory["by_request"].values()) == [2]
                announced = one.select(EndpointAnnounced)[-1].announcement
                assert announced.address and announced.incarnation > 0

    asyncio.run(run())


def test_orders_with_an_old_fencing_number_are_rejected_only_if_checked():
    async def run():
        for checks, expected in ((True, 409), (False, 200)):
            async with serve_engine(checks_fencing=checks, load_seconds=0.0) as (address, engine):
                url = f"http://{address}/v1/orders"
                load = {"order": "o1", "kind": "load_model", "model": "m2", "fencing": 4}
                assert (await post_json(url, load))[0] == 200
                assert (await post_json(url, load))[0] == 200
                await wait_for(lambda: engine.models == ("m", "m2"))  # noqa: B023
                old = {"order": "o2", "kind": "set_role", "role": "prefill", "fencing": 3}
                assert (await post_json(url, old))[0] == expected

    asyncio.run(run())


def test_a_leaving_engine_rejects_new_attempts_and_finishes_old_ones():
    async def run():
        async with serve_engine() as (address, engine):
            url = f"http://{address}"
            body = {"model": "m", "prompt": "x", "max_tokens": 5, "attempt": "h:1:1"}
            engine.faults.hang = True
            running = asyncio.create_task(post_json(f"{url}/v1/completions", body))
            await wait_for(lambda: engine.runs)
            status, _ = await post_json(f"{url}/control/faults", {"kind": "leave"})
            assert status == 200
            engine.faults.hang = False
            rejected = await post_json(f"{url}/v1/completions", body | {"attempt": "h:1:2"})
            assert rejected[0] == 503 and rejected[1]["error"]["outcome"] == "not_run"
            assert (await running)[0] == 200

    asyncio.run(run())
