"""A client sets no limit for the length of its answer, and gateways crash."""

import asyncio
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from common.harness import (  # noqa: E402
    APPLY_SECONDS,
    ERRORS,
    FRONTEND,
    CannotRun,
    Engine,
    Fleet,
    Operator,
    call,
    has_trouble,
    make_configuration,
    make_route,
    read_body,
    read_head,
    run_case,
)

# The greatest whole number of 64 bits, which many clients send for "no limit".
NO_LIMIT = 2**63 - 1
KEPT_CHANNELS = 8
OBSERVED_SECONDS = 10.0
ENGINE_PROFILE = {
    "slots": 16,
    "kv_capacity": 315000,
    "kv_bytes": 163840,
    "bandwidth_mbps": 400000.0,
    "stride": 51,
    "model_list": [{"name": "m"}],
    "step_ms": 0.85,
    "per_seq_ms": 0.0085,
    "context_per_k": 0.00285,
    "read_per_s": 177000.0,
    "pairs_per_m": 0.184,
    "chunk": 2048,
    "report_lag_ms": 200.0,
    "loads_per_s": 0.0,
    "loads_at_once": 8,
    "delays": [],
    "usual": {"prompt": 11112, "answer": 1622},
    "hop_ms": 0.05,
}


async def respond(engine, headers, body):
    """Take as long as a short answer of a model does."""
    await asyncio.sleep(0.3)


def make_headers(identifier, answer_tokens):
    return {
        "Host": "shop.example",
        "X-Request-Id": identifier,
        "X-Deadline-Ms": "10000",
        "X-Model": "m",
        "X-Token-Usage": f"1460,{answer_tokens}",
        "X-Prefix-Hash": "5c1e07a2:800,91bd3f06:410,e4402b7d:250",
    }


async def keep_channel(gateway, name, record, cut):
    """Send one request after the other on a channel; record those that are cut."""
    number = 0
    while True:
        writer = None
        try:
            reader, writer = await asyncio.open_connection(gateway.ip, FRONTEND)
            while True:
                number += 1
                identifier = f"{name}-{number}"
                lines = [f"{k}: {v}" for k, v in make_headers(identifier, 80).items()]
                head = ["POST /ask/1 HTTP/1.1", *lines, "Content-Length: 5", "", "hello"]
                writer.write("\r\n".join(head).encode())
                status, headers = await read_head(reader)
                await read_body(reader, headers)
                record.write("client got", status.split()[1], "for", identifier)
                if headers.get("connection") == "close":
                    break
        except ERRORS as error:
            if writer is not None:
                cut.append((identifier, gateway.name))
                record.write(
                    "client lost the channel without an answer to", identifier, repr(error)
                )
        finally:
            if writer is not None:
                writer.close()
        await asyncio.sleep(0.2)


async def ask_without_limit(fleet, record):
    """Ask once; an idempotent request is repeated once, at another machine, after a failure."""
    for number, gateway in enumerate(fleet.gateways[:2]):
        headers = make_headers(f"u{number:05x}", NO_LIMIT)
        record.write("client sends X-Token-Usage", headers["X-Token-Usage"], "to", gateway.name)
        answer = await call(gateway.ip, FRONTEND, "POST", "/ask/1", headers, b"hello", seconds=5.0)
        record.write("client got", answer.status if answer else None)
        if answer is not None and answer.status == 200:
            return


async def restart_ended(fleet, record, ends):
    """Restart processes that ended, as the platform does after a short delay."""
    while True:
        for gateway in fleet.gateways:
            if gateway.child.poll() is not None:
                ends.append(gateway.name)
                record.write(gateway.name, "ended by itself with code", gateway.child.poll())
                await asyncio.sleep(0.5)
                gateway.start()
        await asyncio.sleep(0.05)


async def main(record):
    fleet = Fleet(record, replicas=3, gateways=3)
    zones = ("za", "zb", "zc")
    engines = [Engine(fleet, 11 + n, "model", zones[n % 3], respond) for n in range(4)]
    tasks, cut, ends = [], [], []
    try:
        fleet.start()
        await asyncio.sleep(2.0)
        routes = [
            make_route(
                "ask", "shop.example", "/ask/", "idempotent", "model", timeout_ms=10000, sticky=True
            )
        ]
        document = make_configuration(7, routes, ["model"])
        document["services"][0]["engine_profile"] = ENGINE_PROFILE
        answer = await Operator(fleet).replace(document)
        if answer is None or answer.status != 200:
            raise CannotRun("the first configuration was not acknowledged")
        for engine in engines:
            await engine.start()
        await fleet.wait_until_ready()
        await asyncio.sleep(APPLY_SECONDS)
        tasks.append(asyncio.create_task(restart_ended(fleet, record, ends)))
        for gateway in fleet.gateways:
            for number in range(KEPT_CHANNELS):
                name = f"{gateway.name}-{number}"
                tasks.append(asyncio.create_task(keep_channel(gateway, name, record, cut)))
        await asyncio.sleep(3.0)
        if cut:
            raise CannotRun("channels were cut before the trouble")
        if has_trouble():
            await ask_without_limit(fleet, record)
        await asyncio.sleep(OBSERVED_SECONDS)
        passed_on = {name for engine in engines for _, name in engine.runs}
        lost = [name for name, _ in cut if name in passed_on]
        record.say(
            f"{len(ends)} processes ended by themselves: {', '.join(ends)}; {len(lost)} requests "
            "were passed on to sound engines and lost their kept channel without an answer"
        )
        return len(lost) > 3
    finally:
        for task in tasks:
            task.cancel()
        for engine in engines:
            await engine.close()
        fleet.close()


if __name__ == "__main__":
    run_case(main, HERE / "record.txt")
