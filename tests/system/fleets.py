"""Start small fleets of processes, and send requests whose correct answers can be computed."""

import contextlib
import http.client
import itertools
import json
import signal
import time
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass, field

from marjorambridge.configuration.commands import PutService, PutWorkspace, PutZone
from marjorambridge.configuration.models import Service, ServiceKind, Workspace
from marjorambridge.standins import fleet as local
from marjorambridge.standins.clients import stream_completion
from marjorambridge.standins.prompts import compute_seed, compute_token

WORKSPACE_KEY = "workspace-key-of-the-tests"
MODEL = "model"
PLAIN_SERVICE = "bookings"
ZONES = ("north", "south")
REGION = "region-1"
# Time after which a zone that was set out, or an engine that is leaving, gets no new requests.
EXCLUSION_BOUND_SECONDS = 3.0
NATURAL_OUTPUT_TOKENS = 64
MIN_ANSWER_TOKENS = 40
ENGINE = {
    "starts_cold": False,
    "announce_seconds": 0.3,
    "decode_tokens_per_second": 80.0,
    "natural_output_tokens": NATURAL_OUTPUT_TOKENS,
}
SETTINGS = {"requests": {"unready_grace_seconds": 0.3}}


@contextlib.contextmanager
def run_fleet(folder, engines=0, services=0, settings=None, prepare=None, engine=None, **service):
    """Run a fleet of 3 hosts with engines and plain services distributed over the zones.

    `prepare` may change the settings of the hosts before their start.
    """
    fleet = local.create_fleet(folder, zones=ZONES, region=REGION, **(settings or SETTINGS))
    try:
        if prepare is not None:
            prepare(fleet)
        for name in fleet.hosts:
            local.start_host(fleet, name)
        local.wait_ready(fleet)
        kinds = ((MODEL, ServiceKind.ENGINE), (PLAIN_SERVICE, ServiceKind.PLAIN))
        changes = [PutZone(zone, REGION) for zone in ZONES]
        changes += [PutService(Service(name, kind, ZONES)) for name, kind in kinds]
        digest = local.hash_secret(WORKSPACE_KEY)
        changes.append(PutWorkspace(Workspace("tests", (digest,), (MODEL, PLAIN_SERVICE))))
        local.apply_changes(fleet, changes)
        for number in range(engines):
            zone = ZONES[number % len(ZONES)]
            values = {"service": MODEL, "zone": zone, **ENGINE, **(engine or {})}
            local.add_engine(fleet, f"engine-{number}", **values)
        for number in range(services):
            zone = ZONES[number % len(ZONES)]
            values = {"service": PLAIN_SERVICE, "zone": zone, "announce_seconds": 0.3, **service}
            local.add_service(fleet, f"service-{number}", **values)
        wait_for_endpoints(fleet, MODEL, engines)
        wait_for_endpoints(fleet, PLAIN_SERVICE, services)
        yield fleet
    finally:
        local.close_fleet(fleet)


def restore(fleet):
    """Restart hosts that a test killed, resume suspended ones, and clear all faults."""
    for name in fleet.endpoints:
        # The last test may have started it again just before its end.
        local.wait_until(lambda name=name: read_inventory(fleet, name), f"{name} listens")
        if name.startswith("engine"):
            set_fault(fleet, name, kind="clear")
        else:
            set_fault(fleet, name)
    for name, host in fleet.hosts.items():
        local.send_signal(host.process, signal.SIGCONT)
        if host.process.poll() is not None:
            local.start_host(fleet, name)
    local.wait_ready(fleet)
    for service in (MODEL, PLAIN_SERVICE):
        names = [n for n, e in fleet.endpoints.items() if e.settings["service"] == service]
        wait_for_endpoints(fleet, service, len(names))


def wait_for_endpoints(fleet, service, count):
    """Wait until the owners that grant permits have `count` endpoints of a service."""
    local.wait_until(
        lambda: len(list_endpoints(fleet, service)) >= count,
        f"{count} endpoints of {service} serve",
    )


def list_endpoints(fleet, service):
    """Return the endpoints in shards whose owners grant permits, by name."""
    known = {}
    for host in fleet.hosts.values():
        for shard in (local.read_state(host) or {"shards": []})["shards"]:
            if shard["granting"] and shard["shard"].startswith(f"{service}/"):
                known |= {item["endpoint"]: item for item in shard["endpoints"]}
    return known


def count_queued(fleet):
    """Return the number of requests queued at the owners of all shards."""
    states = [local.read_state(host) for host in fleet.hosts.values()]
    return sum(shard["queued"] for state in states if state for shard in state["shards"])


def find_owner(fleet, shard, names=None):
    """Return the name of the host that grants permits for a shard, among `names` or all hosts."""
    for name in names or fleet.hosts:
        for item in (local.read_state(fleet.hosts[name]) or {"shards": []})["shards"]:
            if item["shard"] == shard and item["granting"]:
                return name
    return None


def find_leader(fleet, group=0):
    """Return the name of the host that reports itself as leader with the highest term."""
    best = (0, None)
    for host in fleet.hosts.values():
        for item in (local.read_state(host) or {}).get("log_groups", []):
            if item["group"] == group and item["role"] == "leader":
                best = max(best, (item["term"], host.name))
    return best[1]


def read_inventory(fleet, name):
    """Return the inventory of an endpoint, or None if it doesn't answer."""
    try:
        address = fleet.endpoints[name].address
        return json.loads(local.send_request(address, "GET", "/control/inventory", timeout=5.0)[2])
    except (OSError, http.client.HTTPException):
        return None


def list_inventories(fleet):
    """Return the inventories of the engines that answer, by name."""
    names = [name for name in fleet.endpoints if name.startswith("engine")]
    found = {name: read_inventory(fleet, name) for name in names}
    return {name: item for name, item in found.items() if item is not None}


def set_fault(fleet, name, **fault):
    """Inject a fault into an endpoint."""
    status, _, content = local.send_request(
        fleet.endpoints[name].address, "POST", "/control/faults", fault
    )
    assert status == 200, content


def hang_running_streams(fleet, names):
    """Hang engines while streams are running on them, so that these can't complete."""

    def hang():
        for name in names:
            set_fault(fleet, name, kind="hang")
        found = [read_inventory(fleet, name)["running"] for name in names]
        if all(any(run["produced"] for run in running) for running in found):
            return True
        for name in names:
            set_fault(fleet, name, kind="clear")
        return False

    local.wait_until(hang, f"streams are running on {names}")


def wait_for_free_memory(fleet):
    """Wait until no engine has memory reserved for an attempt."""
    local.wait_until(
        lambda: not any(item["kv_used_tokens"] for item in list_inventories(fleet).values()),
        "the memory of all engines is free",
    )


def create_prompts(label):
    """Yield distinct prompts whose answers have at least `MIN_ANSWER_TOKENS` tokens."""
    for number in itertools.count():
        prompt = f"{label} {number}: which grade has the lot?"
        if compute_seed(prompt.encode()) % NATURAL_OUTPUT_TOKENS >= MIN_ANSWER_TOKENS:
            yield prompt


def compute_text(prompt):
    """Return the answer of the stand-in engines to a prompt."""
    seed = compute_seed(prompt.encode())
    return "".join(compute_token(seed, index) for index in range(1 + seed % NATURAL_OUTPUT_TOKENS))


@dataclass(slots=True)
class Load:
    """Threads of callers, and their results as pairs of prompt and result."""

    pool: ThreadPoolExecutor
    futures: list = field(default_factory=list)
    stopped: bool = False
    results: list = field(default_factory=list)


def send_stream(fleet, load, host, prompt):
    """Stream an answer in a separate thread."""
    load.futures.append(load.pool.submit(_stream, fleet, load, host, prompt))


def _stream(fleet, load, host, prompt):
    address = fleet.hosts[host].caller_address
    result = stream_completion(address, MODEL, prompt, NATURAL_OUTPUT_TOKENS, WORKSPACE_KEY)
    load.results.append((prompt, result))
    return result


def send_until_stopped(fleet, load, host, label):
    """Send requests to a host, one at a time, until the load is stopped."""

    def run():
        for prompt in create_prompts(label):
            if load.stopped:
                return
            if not _stream(fleet, load, host, prompt).complete:
                time.sleep(0.1)

    load.futures.append(load.pool.submit(run))


@contextlib.contextmanager
def run_load(threads=24):
    """Run callers and wait for all their answers at the end."""
    with ThreadPoolExecutor(threads) as pool:
        load = Load(pool)
        try:
            yield load
        finally:
            load.stopped = True
        for future in load.futures:
            future.result()


def check_results(load):
    """Check that every stream is complete and correct, or has an error and no end marker."""
    for prompt, result in load.results:
        if result.complete:
            assert not result.error
            assert result.text == compute_text(prompt)
        else:
            assert result.error
            assert compute_text(prompt).startswith(result.text)


def count_complete(load):
    """Return the number of complete streams."""
    return sum(result.complete for _, result in load.results)


@dataclass(slots=True)
class Answer:
    """Answer to a booking; the status is 0 if the connection was lost."""

    status: int
    outcome: str
    kind: str
    body: bytes


def book(fleet, host, key, timeout=20.0):
    """Send the booking with an idempotency key."""
    headers = {
        "authorization": f"Bearer {WORKSPACE_KEY}",
        "idempotency-key": key,
        "x-request-timeout": str(timeout),
    }
    address = fleet.hosts[host].caller_address
    try:
        status, _, body = local.send_request(
            address,
            "POST",
            f"/services/{PLAIN_SERVICE}/slots",
            {"slot": key},
            headers,
            timeout + 5.0,
        )
    except (OSError, http.client.HTTPException):
        return Answer(0, "", "", b"")
    error = json.loads(body).get("error", {}) if status >= 400 else {}
    return Answer(status, error.get("outcome", "done"), error.get("type", ""), body)


def count_executions(fleet, key):
    """Return how many times the plain services executed the booking with a key."""
    names = [name for name in fleet.endpoints if name.startswith("service")]
    return sum(read_inventory(fleet, name)["by_key"].get(key, 0) for name in names)
