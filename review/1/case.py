"""An engine runs bookings and fails some of them with a 503 that does not say "not run"."""

import asyncio
import random
import sys
import time
from collections import Counter
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from common.harness import (  # noqa: E402
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

# One engine of seven is a share of 0.14.
ENGINES = 7
FAILED_SHARE = 0.4
TROUBLE_SECONDS = 6.0
# A promise that the request has not run.
PROMISES = {408, 421, 429, 503}


class Trouble:
    ends_at = 0.0


def make_respond(trouble, bookings):
    generator = random.Random(7)

    async def respond(engine, headers, body):
        await asyncio.sleep(0.015)
        bookings[body.decode()] += 1
        if time.monotonic() < trouble.ends_at and generator.random() < FAILED_SHARE:
            return 503, {"Content-Type": "text/plain"}, b"the booking is made; the receipt failed"
        return None

    return respond


async def book(fleet, record, number, results):
    """Book once, and once more if the answer promises that the booking has not run."""
    booking = f"booking-{number}"
    for attempt in range(2):
        gateway = fleet.gateways[(number + attempt) % len(fleet.gateways)]
        identifier = f"b{number:05x}{attempt}"
        headers = {
            "Host": "shop.example",
            "X-Request-Id": identifier,
            "X-Deadline-Ms": "1500",
        }
        answer = await call(
            gateway.ip, FRONTEND, "POST", "/book/1", headers, booking.encode(), seconds=1.5
        )
        status = answer.status if answer else None
        results[identifier] = status
        record.write("client got", status, "for", identifier, booking, "from", gateway.name)
        if status not in PROMISES:
            return
        await asyncio.sleep(float(answer.headers.get("retry-after", 0.05)))


async def main(record):
    fleet = Fleet(record, replicas=3, gateways=2)
    trouble, bookings, results = Trouble(), Counter(), {}
    grey = make_respond(trouble, bookings)
    sound = make_respond(Trouble(), bookings)
    engines = [
        Engine(fleet, 11 + n, "app", ("za", "zb", "zc")[n % 3], grey if n == 0 else sound, slots=6)
        for n in range(ENGINES)
    ]
    try:
        fleet.start()
        await asyncio.sleep(2.0)
        routes = [make_route("book", "shop.example", "/book/", "mutating", "app")]
        answer = await Operator(fleet).replace(make_configuration(7, routes, ["app"]))
        if answer is None or answer.status != 200:
            raise CannotRun("the first configuration was not acknowledged")
        for engine in engines:
            await engine.start()
        await fleet.wait_until_ready()
        await asyncio.sleep(2.0)
        clients = []
        for number in range(600):
            if number == 100 and has_trouble():
                trouble.ends_at = time.monotonic() + TROUBLE_SECONDS
                record.write("engine", engines[0].name, "fails part of its requests from now on")
            clients.append(asyncio.create_task(book(fleet, record, number, results)))
            await asyncio.sleep(0.025)
        await asyncio.gather(*clients)
        runs = {name for engine in engines for _, name in engine.runs}
        refused = sorted(
            name for name, status in results.items() if status in PROMISES and name in runs
        )
        doubled = sorted(name for name, count in bookings.items() if count > 1)
        served = sum(status == 200 for status in results.values())
        record.say(
            f"{len(results)} requests, {served} served; {len(refused)} were answered as not run "
            f"though they had run; {len(doubled)} bookings were made twice"
        )
        record.write("answered as not run, but run:", *refused)
        record.write("booked twice:", *doubled)
        if served < 100:
            raise CannotRun("too few requests were served")
        return bool(refused)
    finally:
        for engine in engines:
            await engine.close()
        fleet.close()


if __name__ == "__main__":
    run_case(main, HERE / "record.txt")
