"""Let endpoints say in their answers that they leave or want nothing, and check who obeys."""

import random
import time
from dataclasses import dataclass

import anyio

# Bounds that the pages state: time in seconds after which a wish counts, and arrivals allowed then.
LEAVING_SECONDS, LEAVING_ARRIVALS = 2.0, 0
DECLINED_SECONDS, DECLINED_ARRIVALS = 0.5, 2


@dataclass
class Wish:
    """Hold what an endpoint said in the answer to a request."""

    endpoint: str
    identifier: str
    at: float
    until: float
    is_leave: bool


async def run_wishes(soak) -> None:
    """Have one endpoint after the other leave, to start again later, or decline for a while."""
    # A generator of its own leaves the other faults of a seed as they are.
    generator = random.Random(f"wishes-{soak.seed}")
    while True:
        endpoint = generator.choice(soak.endpoints)
        if generator.random() < 0.5:
            soak.note(f"{endpoint.name} leaves by its answers")
            endpoint.leaving = True
            await anyio.sleep(generator.uniform(3.0, 5.0))
            end_incarnation(soak, endpoint)
        else:
            seconds = generator.uniform(1.0, 3.0)
            soak.note(f"{endpoint.name} declines for {seconds:.1f} s")
            endpoint.declines_until = time.monotonic() + seconds
            await anyio.sleep(seconds + 0.5)


def end_incarnation(soak, endpoint) -> None:
    """Start an endpoint anew under its name; what it said ends with the old incarnation."""
    now = time.monotonic()
    endpoint.leaving, endpoint.declines_until, endpoint.sequence = False, 0.0, 0
    endpoint.born = int(time.time() * 1000)
    for wish in soak.runs.wishes:
        if wish.endpoint == endpoint.name:
            wish.until = min(wish.until, now)


def check_wishes(soak) -> None:
    """Check that no gateway sent more than allowed after it had got an answer with a wish."""
    for wish in soak.runs.wishes:
        gateway, _ = soak.sent.get(wish.identifier, ("", 0.0))
        if not gateway or any(
            wish.at - 1.0 < at < wish.until
            for process in soak.processes
            if process.name == gateway
            for at in process.disturbances
        ):
            continue
        begins = wish.at + (LEAVING_SECONDS if wish.is_leave else DECLINED_SECONDS)
        allowed = LEAVING_ARRIVALS if wish.is_leave else DECLINED_ARRIVALS
        late = [
            identifier
            for endpoint, identifier, at in soak.runs.arrivals
            if endpoint == wish.endpoint
            and soak.sent.get(identifier, ("", 0.0))[0] == gateway
            and begins < (soak.sent[identifier][1] if wish.is_leave else at)
            and at < wish.until
        ]
        if len(late) > allowed:
            soak.fail(f"{gateway} sent {late} to {wish.endpoint} after its wish in {wish}")
