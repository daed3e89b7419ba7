"""Guard the traces, metrics and logs of a fleet of three hosts."""

import json

from marjorambridge.configuration.commands import PutService, PutWorkspace, PutZone
from marjorambridge.configuration.models import Service, ServiceKind, Workspace
from marjorambridge.standins import fleet as fleets
from marjorambridge.telemetry.fields import COMMON_FIELDS, FIELDS, WRITER_FIELDS
from marjorambridge.telemetry.metrics import PREFIX
from marjorambridge.telemetry.series import SERIES

ZONE = "zone-a"
KEY = "canary-workspace-key"
PROMPT = "canary-prompt"
BOOKING = "canary-booking"
BODY = "canary-body"
SECRETS = (KEY, PROMPT, BOOKING, BODY, fleets.OPERATOR_TOKEN, fleets.FLEET_KEY)
CALLER_SPAN = "0x000000000000000b"


def start_fleet(folder):
    fleet = fleets.create_fleet(folder)
    for name, host in fleet.hosts.items():
        host.settings["log"] |= {"level": "DEBUG", "trace_file": str(folder / f"{name}.spans")}
        fleets.start_host(fleet, name)
    fleets.wait_ready(fleet)
    services = ("model", "app")
    kinds = (ServiceKind.ENGINE, ServiceKind.PLAIN)
    changes = [PutZone(ZONE, "region-1")]
    changes += [
        PutService(Service(name, kind, (ZONE,))) for name, kind in zip(services, kinds, strict=True)
    ]
    changes.append(PutWorkspace(Workspace("pits", (fleets.hash_secret(KEY),), services)))
    fleets.apply_changes(fleet, changes)
    fleets.add_engine(fleet, "engine-0", service="model", zone=ZONE, starts_cold=False)
    fleets.add_service(fleet, "app-0", service="app", zone=ZONE)
    for name in services:
        fleets.wait_until(lambda name=name: fleets.count_known_endpoints(fleet, name), name)
    return fleet


def send(host, path, body, number, **headers):
    """Send a request with this trace number; retry until the shard owner grants permits."""
    trace = f"00-{number:032x}-000000000000000b-01"
    headers = {"authorization": f"Bearer {KEY}", "traceparent": trace, **headers}

    def is_done():
        return fleets.send_request(host.caller_address, "POST", path, body, headers)[0] in (
            200,
            201,
        )

    fleets.wait_until(is_done, f"{path} is answered")


def read_spans(folder):
    spans = []
    for path in folder.glob("*.spans"):
        spans += [json.loads(line) for line in path.read_text("utf-8").splitlines()]
    return spans


def check_trace(spans, number, names):
    """Check the names of a trace's spans; each has the caller's or another of them as parent."""
    own = [span for span in spans if span["context"]["trace_id"] == f"0x{number:032x}"]
    identifiers = {span["context"]["span_id"] for span in own}
    assert len(identifiers) == len(own)
    assert {span["name"] for span in own} == names
    for span in own:
        root = span["name"] == "request"
        assert span["parent_id"] == CALLER_SPAN if root else span["parent_id"] in identifiers
        assert span["start_time"] <= span["end_time"]


def test_hosts_write_complete_traces_valid_metrics_and_no_secret(tmp_path):
    fleet = start_fleet(tmp_path)
    try:
        hosts = list(fleet.hosts.values())
        question = {"model": "model", "prompt": PROMPT, "max_tokens": 4}
        for number, host in enumerate(hosts, 1):
            send(host, "/v1/completions", question, number)
        booking = {"idempotency-key": BOOKING}
        send(hosts[0], "/services/app/bookings", {"truck": BODY}, 9, **booking)
        fleets.send_request(
            hosts[0].caller_address, "POST", "/v1/completions", b"{" + BODY.encode()
        )
        pages = [
            fleets.send_request(host.admin_address, "GET", "/metrics")[2].decode() for host in hosts
        ]
    finally:
        for host in fleet.hosts.values():
            fleets.stop_process(host.process, forced=True)
        fleets.close_fleet(fleet)

    spans = read_spans(tmp_path)
    for number in range(1, 4):
        check_trace(spans, number, {"request", "permit", "attempt"})
    check_trace(spans, 9, {"request", "claim", "decision", "permit", "attempt", "record"})

    for page in pages:
        for name, series in SERIES.items():
            assert f"# TYPE {PREFIX}{name} {series.kind}\n" in page
    text = "".join(pages)
    done = f'{PREFIX}requests_finished_total{{outcome="done",reason="none"}}'
    assert all(done in page for page in pages)
    for label in ('service="model",state="warm"', 'service="app",state="cold"'):
        assert f"{PREFIX}endpoints{{{label}}}" in text
    assert f'{PREFIX}shard_queued_requests{{shard="model/{ZONE}/0"}} 0' in text
    assert f'{PREFIX}first_token_seconds_count{{prompt="1k"}}' in text
    assert f'{PREFIX}claims_answered_total{{operation="claim",status="granted"}}' in text
    assert f"{PREFIX}log_sync_seconds_count" in text

    for name in fleet.hosts:
        lines = [json.loads(line) for line in (tmp_path / f"{name}.log").read_text().splitlines()]
        assert any(line.get("logger") == "uvicorn.error" for line in lines)
        assert all(
            set(line) <= {*COMMON_FIELDS, *FIELDS, *WRITER_FIELDS} - {"dropped"} for line in lines
        )
        written = [tmp_path / f"{name}{suffix}" for suffix in (".log", ".out", ".spans")]
        texts = [path.read_text("utf-8") for path in written] + pages
        assert not [secret for secret in SECRETS for item in texts if secret in item]
