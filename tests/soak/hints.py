"""Make endpoints send hints that they are leaving or rejecting requests, and check the gateways."""

import random
import time
from dataclasses import dataclass

import anyio

# Documented bounds: the delay after which a gateway obeys a hint, and the requests that may still
# arrive after it.
LEAVING_SECONDS, LEAVING_ARRIVALS = 2.0, 0
REJECTING_SECONDS, REJECTING_ARRIVALS = 0.5, 2


@dataclass
class Hint:
    """A hint that an endpoint sent in the answer to a request."""

    endpoint: str
    identifier: str
    at: float
    expires_at: float
    is_leaving: bool


async def inject_hints(soak) -> None:
    """Make one endpoint at a time leave and restart, or reject requests for some seconds."""
    # A separate generator with an unchanged text keeps the other faults of a seed as they are.
    generator = random.Random(f"wishes-{soak.seed}")
    while True:
        endpoint = generator.choice(soak.endpoints)
        if generator.random() < 0.5:
            soak.log_event(f"{endpoint.name} hints that it is leaving")
            endpoint.leaving = True
            await anyio.sleep(generator.uniform(3.0, 5.0))
            end_incarnation(soak.endpoint_log, endpoint)
        else:
            seconds = generator.uniform(1.0, 3.0)
            soak.log_event(f"{endpoint.name} rejects requests for {seconds:.1f} s")
            endpoint.rejects_until = time.monotonic() + seconds
            await anyio.sleep(seconds + 0.5)


def end_incarnation(endpoint_log, endpoint) -> None:
    """Restart an endpoint under its name; its hints expire with the old incarnation."""
    now = time.monotonic()
    endpoint.leaving, endpoint.rejects_until, endpoint.sequence = False, 0.0, 0
    endpoint.born = int(time.time() * 1000)
    for hint in endpoint_log.hints:
        if hint.endpoint == endpoint.name:
            hint.expires_at = min(hint.expires_at, now)


def check_hints(soak) -> None:
    """Check that no gateway sent more requests than allowed after it received a hint."""
    for hint in soak.endpoint_log.hints:
        gateway, _ = soak.sent.get(hint.identifier, ("", 0.0))
        if not gateway or any(
            hint.at - 1.0 < at < hint.expires_at
            for process in soak.processes
            if process.name == gateway
            for at in process.fault_times
        ):
            continue
        obeyed_from = hint.at + (LEAVING_SECONDS if hint.is_leaving else REJECTING_SECONDS)
        allowed = LEAVING_ARRIVALS if hint.is_leaving else REJECTING_ARRIVALS
        late = [
            identifier
            for endpoint, identifier, at in soak.endpoint_log.arrivals
            if endpoint == hint.endpoint
            and soak.sent.get(identifier, ("", 0.0))[0] == gateway
            and obeyed_from < (soak.sent[identifier][1] if hint.is_leaving else at)
            and at < hint.expires_at
        ]
        if len(late) > allowed:
            soak.record_fault(f"{gateway} sent {late} to {hint.endpoint} after {hint}")
