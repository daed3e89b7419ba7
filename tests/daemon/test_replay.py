"""Guard against decisions that depend on anything but the recorded events."""

import os
import subprocess
import sys

from marjorambridge.configuration.commands import PutService, PutWorkspace, PutZone
from marjorambridge.configuration.models import Service, ServiceKind, Workspace
from marjorambridge.standins import fleet as local
from marjorambridge.standins.clients import stream_completion

KEY = "key"
REPLAY = """
import sys
from pathlib import Path
from marjorambridge.daemon.recording import replay_recording
print(*replay_recording(Path(sys.argv[1])))
"""


def run_session(fleet):
    local.start_host(fleet, "host-0")
    local.wait_ready(fleet)
    workspace = Workspace("pit", (local.hash_secret(KEY),), ("model", "app"))
    changes = [
        PutZone("zone-a", "region-1"),
        PutService(Service("model", ServiceKind.ENGINE, ("zone-a",))),
        PutService(Service("app", ServiceKind.PLAIN, ("zone-a",))),
        PutWorkspace(workspace),
    ]
    local.apply_changes(fleet, changes)
    for number in range(2):
        local.add_engine(fleet, f"engine-{number}", service="model", zone="zone-a")
    local.add_service(fleet, "app-0", service="app", zone="zone-a")
    for service, count in (("model", 2), ("app", 1)):
        local.wait_until(
            lambda service=service, count=count: local.count_known_endpoints(fleet, service)
            >= count,
            f"the endpoints of {service} are known",
        )
    address = fleet.hosts["host-0"].caller_address
    for number in range(4):
        prompt = f"question {number} " + "x" * 3000 * number
        assert stream_completion(address, "model", prompt, 8, KEY).complete
    headers = {"authorization": f"Bearer {KEY}", "idempotency-key": "order-1"}
    for _ in range(2):
        status, _, _ = local.send_request(
            address, "POST", "/services/app/orders", {"n": 1}, headers
        )
        assert status == 201


def test_a_recorded_session_replays_with_the_same_effects(tmp_path):
    recording = tmp_path / "events.bin"
    fleet = local.create_fleet(tmp_path, hosts=1, replicas=1, record_file=str(recording), seed=7)
    try:
        run_session(fleet)
    finally:
        local.close_fleet(fleet)
    # The order of sets differs with the hash seed; no decision may depend on it.
    for seed in ("1", "2"):
        result = subprocess.run(
            [sys.executable, "-c", REPLAY, str(recording)],
            env={**os.environ, "PYTHONHASHSEED": seed},
            capture_output=True,
            text=True,
        )
        assert result.returncode == 0, result.stderr
        steps, first_difference = result.stdout.split()
        assert first_difference == "None"
        assert int(steps) > 100
