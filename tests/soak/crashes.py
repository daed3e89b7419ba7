"""Send requests that crash endpoints, and check that they stop reaching them.

Some are different prompts with one part in common, the others are one request that is repeated.
"""

import random
import time
from dataclasses import dataclass

import anyio

from .hints import end_incarnation

SHARED_PART, CRASHING_PART = "5c", "dead"
DEADLY_BODY, DEADLY_PATHS = b"deadly", ("/stream/d", "/any/d", "/once/d")
# The users' bound: requests that may reach endpoints later than the time of contact after the fifth
# crash by a part, or the third one by a repeated request, from hosts without a fault in this time.
CONTACT_SECONDS, TOLERATED_REQUESTS = 3.0, 3
COUNTED_CRASHES = {"part": 5, "request": 3}


@dataclass
class Crash:
    """A request that crashed an endpoint, because of its part or as a whole."""

    endpoint: str
    identifier: str
    at: float
    cause: str = "part"


def describe_prompt(number: int, *parts: str) -> dict[str, str]:
    """Return the headers of a prompt, whose last part no other one has."""
    entries = [f"{part}:400" for part in (*parts, f"{0x10000 + number:x}")]
    return {"X-Prefix-Hash": ",".join(entries)}


def has_crashing_part(headers: dict[bytes, str]) -> bool:
    return f"{CRASHING_PART}:" in headers.get(b"x-prefix-hash", "")


async def send_crashing_prompts(soak, send_request) -> None:
    """Send different prompts with the crashing part to all gateways."""
    # A separate generator keeps the other faults of a seed as they are.
    generator = random.Random(f"crashes-{soak.seed}")

    def make_request(number: int):
        parts = describe_prompt(number, SHARED_PART, CRASHING_PART)
        return "/stream/a", b"%d" % number, parts

    await _send_repeatedly(soak, send_request, generator, "c", make_request)


async def repeat_deadly_request(soak, send_request) -> None:
    """Send one request again and again to all gateways, each time with another identifier."""
    generator = random.Random(f"deadly-{soak.seed}")
    path = generator.choice(DEADLY_PATHS)
    await _send_repeatedly(soak, send_request, generator, "d", lambda _: (path, DEADLY_BODY, {}))


async def _send_repeatedly(soak, send_request, generator, prefix: str, make_request) -> None:
    """Send the requests with path, body and headers that a function returns for a number."""
    await anyio.sleep(generator.uniform(0.5, 2.0))
    number = 0
    async with anyio.create_task_group() as tasks:
        while True:
            number += 1
            gateway = generator.choice([p for p in soak.processes if p.role == "gateway"])
            identifier = f"{prefix}{soak.seed}-{number}"
            soak.sent[identifier] = gateway.name, time.monotonic()
            path, body, headers = make_request(number)
            headers["X-Request-Id"] = identifier
            tasks.start_soon(_send, send_request, soak, gateway, path, body, headers)
            await anyio.sleep(generator.uniform(0.2, 0.5))


async def _send(
    send_request, soak, gateway, path: str, body: bytes, headers: dict[str, str]
) -> None:
    address = gateway.settings["callers"]
    answer = await send_request(soak, address, "POST", path, body, **headers)
    if answer is not None and answer[0] == 200:
        soak.record_fault(f"{headers['X-Request-Id']} was answered, though its endpoints crashed")


def crash(endpoint_log, endpoint, identifier: str, cause: str = "part") -> None:
    """End all connections of an endpoint, which starts again at once under its name."""
    endpoint_log.crashes.append(Crash(endpoint.name, identifier, time.monotonic(), cause))
    end_incarnation(endpoint_log, endpoint)
    for scope in list(endpoint.connections):
        scope.cancel()


def check_crashes(soak) -> None:
    """Check that few of the requests reach endpoints once hosts know of the crashes."""
    for cause, counted in COUNTED_CRASHES.items():
        crashes = [item for item in soak.endpoint_log.crashes if item.cause == cause]
        _check_crashes(soak, sorted(crashes, key=lambda item: item.at), counted)


def _check_crashes(soak, crashes: list[Crash], counted: int) -> None:
    if len(crashes) < counted:
        return
    limit = crashes[counted - 1].at + CONTACT_SECONDS
    faults = {process.name: process.fault_times for process in soak.processes}
    late = []
    for item in crashes:
        gateway, _ = soak.sent[item.identifier]
        in_contact = not any(0 <= item.at - at <= CONTACT_SECONDS for at in faults[gateway])
        if item.at > limit and in_contact:
            late.append(item.identifier)
    if len(late) > TOLERATED_REQUESTS:
        soak.record_fault(f"{len(late)} requests that crash endpoints reached some: {late}")
