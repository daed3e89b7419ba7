"""Run a small fleet on loopback, send requests and print their outcomes."""

import json
import sys
import tempfile
import threading
import time
from dataclasses import dataclass
from pathlib import Path

from marjorambridge.configuration.commands import PutService, PutWorkspace, PutZone
from marjorambridge.configuration.models import Service, ServiceKind, Workspace
from marjorambridge.standins import fleet as local
from marjorambridge.standins.clients import StreamResult, stream_completion

ZONES = ("bhuj", "anjar", "mandvi")
KEY = "workspace-key-of-the-demo"
LONG_PROMPT_TOKENS = 1_000_000
# The longest prompt fits into the memory of three engines of a zone, but not into that of two.
ENGINE = {
    "kv_capacity_tokens": 450_000,
    "prefill_tokens_per_second": 200_000.0,
    "decode_tokens_per_second": 100.0,
    "starts_cold": False,
}
ENGINES_PER_ZONE = 3


@dataclass(slots=True)
class Row:
    """Hold one line of the table."""

    request: str
    outcome: str
    first_token: float | None
    correct: bool


def configure(fleet: local.Fleet) -> None:
    """Create zones, services and a workspace."""
    changes = [PutZone(zone, "kutch") for zone in ZONES]
    changes.append(
        PutService(Service("geru-model", ServiceKind.ENGINE, ZONES, bytes_per_token=4.0))
    )
    changes.append(PutService(Service("sangh-app", ServiceKind.PLAIN, ("bhuj",))))
    services = ("geru-model", "sangh-app")
    changes.append(PutWorkspace(Workspace("pit", (local.hash_secret(KEY),), services)))
    local.apply_changes(fleet, changes)


def start(fleet: local.Fleet) -> None:
    """Start all processes and wait until they serve."""
    for name in fleet.hosts:
        local.start_host(fleet, name)
    local.wait_ready(fleet)
    configure(fleet)
    for zone in ZONES:
        for number in range(ENGINES_PER_ZONE):
            local.add_engine(fleet, f"{zone}-{number}", service="geru-model", zone=zone, **ENGINE)
    local.add_service(fleet, "app-0", service="sangh-app", zone="bhuj")
    total = len(ZONES) * ENGINES_PER_ZONE
    local.wait_until(
        lambda: local.count_known_endpoints(fleet, "geru-model") >= total, "engines are registered"
    )
    local.wait_until(
        lambda: local.count_known_endpoints(fleet, "sangh-app") >= 1, "the service is registered"
    )


def send_completion(fleet: local.Fleet, name: str, host: str, tokens: int, rows: list[Row]) -> None:
    """Stream one completion and add its row."""
    prompt = f"{name}: which grade has lot 12? "
    prompt += "x" * (4 * tokens - len(prompt))
    result: StreamResult = stream_completion(
        fleet.hosts[host].caller_address, "geru-model", prompt, 16, KEY, timeout=110.0
    )
    outcome = "done" if result.complete else f"failed {result.error}"
    rows.append(Row(name, outcome, result.first_token, result.complete and result.tokens > 0))


def send_booking_twice(fleet: local.Fleet, rows: list[Row]) -> None:
    """Send a booking, and send it again through another host."""
    headers = {"authorization": f"Bearer {KEY}", "idempotency-key": "slot-4-of-friday"}
    answers = []
    for host in ("host-0", "host-1"):
        status, _, body = local.send_request(
            fleet.hosts[host].caller_address,
            "POST",
            "/services/sangh-app/bookings",
            {"slot": 4},
            headers,
        )
        answers.append((status, body))
        name = "booking" if len(answers) == 1 else "the same booking, resent"
        correct = status == 201 and answers[0] == answers[-1]
        rows.append(Row(name, f"{status} {json.loads(body).get('booking', body)}", None, correct))
    address = fleet.endpoints["app-0"].address
    inventory = json.loads(local.send_request(address, "GET", "/control/inventory")[2])
    executions = inventory["executions"]
    rows.append(Row("executions of the booking", str(executions), None, executions == 1))


def send_requests(fleet: local.Fleet) -> list[Row]:
    """Send short questions beside a very long prompt, and a booking that is resent."""
    rows: list[Row] = []
    long_prompt = threading.Thread(
        target=send_completion, args=(fleet, "dispute file", "host-2", LONG_PROMPT_TOKENS, rows)
    )
    long_prompt.start()
    time.sleep(1.0)
    for number in range(6):
        send_completion(fleet, f"question {number}", f"host-{number % 3}", 300, rows)
    send_booking_twice(fleet, rows)
    long_prompt.join()
    return rows


def run() -> int:
    """Run the demo and return 0 if every outcome is as expected."""
    with tempfile.TemporaryDirectory() as folder:
        fleet = local.create_fleet(Path(folder), zones=ZONES, region="kutch")
        try:
            print("starting 3 hosts, 9 engines and a plain service on loopback", flush=True)
            start(fleet)
            rows = send_requests(fleet)
        finally:
            local.close_fleet(fleet)
    print(f"{'request':28}{'first token':>14}  {'right':7}outcome")
    for row in rows:
        first = f"{row.first_token:.3f} s" if row.first_token is not None else "-"
        print(f"{row.request:28}{first:>14}  {'yes' if row.correct else 'NO':7}{row.outcome}")
    return 0 if all(row.correct for row in rows) else 1


if __name__ == "__main__":
    sys.exit(run())
