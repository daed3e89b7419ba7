"""A replica freezes with an operator's order in its socket and carries it out when it wakes."""

import asyncio
import signal
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from common.harness import (  # noqa: E402
    CONTACT_SECONDS,
    EVACUATE_SECONDS,
    FRONTEND,
    CannotRun,
    Engine,
    Fleet,
    Operator,
    call,
    has_trouble,
    make_configuration,
    make_route,
    run_case,
)

ZONE = "za"
FREEZE_SECONDS = 5.0
OBSERVED_SECONDS = 12.0


async def send_requests(fleet, record):
    """Send requests to all gateways, 25 a second."""
    number = 0
    while True:
        number += 1
        gateway = fleet.gateways[number % len(fleet.gateways)]
        headers = {
            "Host": "shop.example",
            "X-Request-Id": f"r{number:06x}",
            "X-Deadline-Ms": "1500",
        }
        asyncio.create_task(send_one(gateway, headers, record))
        await asyncio.sleep(0.04)


async def send_one(gateway, headers, record):
    answer = await call(gateway.ip, FRONTEND, "GET", "/look/1", headers, seconds=1.5)
    status = answer.status if answer else None
    record.write("client got", status, "for", headers["X-Request-Id"], "from", gateway.name)


async def main(record):
    fleet = Fleet(record, replicas=5, gateways=2)
    engines = [Engine(fleet, 11 + n, "svc", ("za", "zb")[n % 2]) for n in range(4)]
    traffic = None
    try:
        fleet.start()
        await asyncio.sleep(2.0)
        operator = Operator(fleet)
        routes = [make_route("look", "shop.example", "/look/", "idempotent", "svc")]
        answer = await operator.replace(make_configuration(7, routes, ["svc"]))
        if answer is None or answer.status != 200:
            raise CannotRun("the first configuration was not acknowledged")
        for engine in engines:
            await engine.start()
        await fleet.wait_until_ready()
        traffic = asyncio.create_task(send_requests(fleet, record))
        await asyncio.sleep(3.0)
        if not all(engine.runs for engine in engines):
            raise CannotRun("an engine gets no requests before the evacuation")
        leader = fleet.find_leader()
        frozen, *others = [item for item in fleet.replicas if item is not leader]
        others.append(leader)

        async def order(verb, nodes):
            answer = await operator.order("POST", f"/api/Drain.{verb}/{ZONE}", b"", nodes)
            if answer is None or answer.status != 200:
                raise CannotRun(f"{verb} was not acknowledged")
            return time.monotonic()

        # The halls are serviced: the zone is emptied, taken back, and emptied once more.
        await order("Begin", others)
        await asyncio.sleep(EVACUATE_SECONDS + 1.0)
        frozen_at = time.monotonic()
        if has_trouble():
            record.write("the platform freezes", frozen.name)
            frozen.signal(signal.SIGSTOP)
        # The operator happens to pick the frozen machine first and moves on after a second.
        await order("Finish", [frozen, *others])
        await asyncio.sleep(0.5)
        evacuated_at = await order("Begin", others)
        await asyncio.sleep(max(0.0, frozen_at + FREEZE_SECONDS - time.monotonic()))
        woken_at = time.monotonic()
        if has_trouble():
            frozen.signal(signal.SIGCONT)
            record.write("the platform wakes", frozen.name)
        counted_from = max(evacuated_at + EVACUATE_SECONDS, woken_at + CONTACT_SECONDS)
        await asyncio.sleep(counted_from + OBSERVED_SECONDS - time.monotonic())
        late = [
            (at, name)
            for engine in engines
            if engine.zone == ZONE
            for at, name in engine.runs
            if at > counted_from
        ]
        served = sum(at > counted_from for engine in engines for at, _ in engine.runs)
        record.say(
            f"{len(late)} of {served} requests reached engines of the evacuated zone, from "
            f"{counted_from - evacuated_at:.1f} s after the ack of its evacuation on"
        )
        return bool(late)
    finally:
        if traffic is not None:
            traffic.cancel()
        for engine in engines:
            await engine.close()
        fleet.close()


if __name__ == "__main__":
    run_case(main, HERE / "record.txt")
