"""Measure the control part of a local fleet: 8 hosts on loopback, 3 of them replicas with sync on.

Run ``python -m benchmarks.control``; it prints one JSON object and a table. Bytes are those of
frames between hosts, without the headers of TCP and IP.
"""

import contextlib
import http.client
import json
import os
import random
import shutil
import signal
import statistics
import sys
import tempfile
import threading
import time
import uuid
from pathlib import Path

from marjorambridge.configuration.commands import (
    OperatorCommand,
    PutWorkspace,
    PutZone,
    SetZoneOut,
)
from marjorambridge.configuration.json_commands import make_command_object
from marjorambridge.configuration.models import Workspace
from marjorambridge.standins import fleet as local

HOSTS, REPLICAS = 8, 3
SERIAL_SECONDS, CONCURRENT_SECONDS, OPERATORS = 5.0, 5.0, 16
PROPAGATION_CHANGES, LEADER_KILLS, CHANGES_BEFORE_RESTART, RESTARTS = 100, 10, 10_000, 5
OVERHEAD_SECONDS = 15.0
STATE_POLL_SECONDS = 0.02
TARGETS = {
    "in_force_p99_s": 3.0,
    "no_leader_s": 2.0,
    "restart_s": 2.0,
    "control_bytes_per_s": 3_000,
    "control_core_percent": 3.9,
    "memory_mb": 128,
}
CLOCK_TICKS = os.sysconf("SC_CLK_TCK")


def post_command(connection, change, base_version, keep_connection=False):
    """Send one command and return status, answer and seconds.

    Opens a new connection, as an operator's tool does, unless `keep_connection` is set.
    """
    if not keep_connection:
        connection.close()
    identifier = uuid.uuid4().hex
    command = OperatorCommand(identifier, "benchmark", base_version, time.time(), change)
    body = json.dumps(make_command_object(command))
    headers = {"authorization": f"Bearer {local.OPERATOR_TOKEN}"}
    begin = time.monotonic()
    connection.request("POST", "/commands", body, headers)
    response = connection.getresponse()
    answer = json.loads(response.read())
    return response.status, answer, time.monotonic() - begin


def connect(host):
    ip, _, port = host.admin_address.rpartition(":")
    return http.client.HTTPConnection(ip, int(port), timeout=30.0)


def make_change(number):
    return PutWorkspace(Workspace(f"workspace-{number % 10}", requests_per_second=1.0 + number))


def wait_and_read_version(host):
    """Wait until every host had time to apply the configuration, and return its version."""
    time.sleep(1.0)
    return read_version(host)


def read_version(host):
    state = local.read_state(host)
    return state["configuration"]["version"] if state else -1


def summarize_times(values):
    """Return count, median, 95th and 99th percentile and maximum, in seconds."""
    cuts = statistics.quantiles(values, n=100, method="inclusive")
    return {
        "n": len(values),
        "p50": round(statistics.median(values), 4),
        "p95": round(cuts[94], 4),
        "p99": round(cuts[98], 4),
        "max": round(max(values), 4),
    }


def list_running_hosts(fleet):
    return [h for h in fleet.hosts.values() if h.process and h.process.poll() is None]


def find_leader(fleet, group=0):
    """Return the name and the term of the replica that reports that it leads a log group."""
    for host in list_running_hosts(fleet)[:REPLICAS]:
        state = local.read_state(host)
        for item in (state or {}).get("log_groups", []):
            if item["group"] == group and item["role"] == "leader":
                return host.name, item["term"]
    return None


def measure_serial(fleet, seconds, keep_connection=False):
    """Submit changes one after the other, each based on the version before it."""
    host = next(iter(fleet.hosts.values()))
    connection, version = connect(host), wait_and_read_version(host)
    times, begin = [], time.monotonic()
    while time.monotonic() - begin < seconds:
        status, answer, took = post_command(
            connection, make_change(len(times)), version, keep_connection
        )
        if status != 200:
            raise local.FleetError(f"a change was refused: {answer}; look at the hosts' logs")
        version = answer["version"]
        times.append(took)
    return {
        "per_second": round(len(times) / (time.monotonic() - begin), 1),
        **summarize_times(times),
    }


def measure_concurrent(fleet, seconds):
    """Submit commands without a base version from several operators at all hosts."""
    times, refused, end = [], [], time.monotonic() + seconds

    def operate(host):
        connection = connect(host)
        while time.monotonic() < end:
            status, answer, took = post_command(connection, SetZoneOut("zone-x"), None)
            (times if status == 200 else refused).append(took)

    hosts = list(fleet.hosts.values())
    threads = [
        threading.Thread(target=operate, args=(hosts[n % len(hosts)],)) for n in range(OPERATORS)
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return {
        "operators": OPERATORS,
        "refused": len(refused),
        "per_second": round(len(times) / seconds, 1),
        **summarize_times(times),
    }


def wait_in_force(hosts, version, accepted):
    """Return the seconds from acceptance until the last of the hosts has the version."""
    latest = []

    def watch(host):
        while read_version(host) < version:
            if host.process.poll() is not None or time.monotonic() - accepted > 30.0:
                return
            time.sleep(STATE_POLL_SECONDS)
        latest.append(time.monotonic() - accepted)

    threads = [threading.Thread(target=watch, args=(host,)) for host in hosts]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return max(latest), len(latest)


def measure_propagation(fleet, rng):
    """Return the times from acceptance to in force on all hosts."""
    host = next(iter(fleet.hosts.values()))
    connection, version, times = connect(host), wait_and_read_version(host), []
    for number in range(PROPAGATION_CHANGES):
        time.sleep(rng.uniform(0.0, 0.3))
        _, answer, _ = post_command(connection, make_change(number), version)
        accepted, version = time.monotonic(), answer["version"]
        times.append(wait_in_force(fleet.hosts.values(), version, accepted)[0])
    return summarize_times(times)


def measure_leader_kills(fleet, rng):
    """Kill the leader just after a change; return the times without a leader and until in force."""
    leaderless_times, propagation, host_counts = [], [], []
    host = fleet.hosts[f"host-{HOSTS - 1}"]
    for number in range(LEADER_KILLS):
        name, term = local.wait_until(lambda: find_leader(fleet), "there is a leader")
        status, answer = local.submit_changes(host, [make_change(number)])
        if status != 200:
            raise local.FleetError(f"a change was refused: {answer}; look at the hosts' logs")
        accepted = time.monotonic()
        time.sleep(rng.uniform(0.0, 0.05))
        killed_at = time.monotonic()
        local.send_signal(fleet.hosts[name].process, signal.SIGKILL)
        fleet.hosts[name].process.wait()
        found = []

        def watch(found=found, term=term, killed_at=killed_at):
            while not found:
                leader = find_leader(fleet)
                if leader and leader[1] > term:
                    found.append(time.monotonic() - killed_at)
                time.sleep(0.005)

        watcher = threading.Thread(target=watch)
        watcher.start()
        took, count = wait_in_force(list_running_hosts(fleet), answer["version"], accepted)
        watcher.join()
        propagation.append(took)
        host_counts.append(count)
        leaderless_times.append(found[0])
        local.start_host(fleet, name)
        local.wait_ready(fleet, [name])
        time.sleep(1.0)
    return {
        "without_leader": summarize_times(leaderless_times),
        "in_force_on_running_hosts": summarize_times(propagation),
        "hosts_reached": min(host_counts),
    }


def measure_folder_bytes(path):
    size = 0
    for item in path.rglob("*"):
        # A segment may be removed while the folder is read.
        with contextlib.suppress(FileNotFoundError):
            size += item.stat().st_size if item.is_file() else 0
    return size


def measure_restart(fleet):
    """Make many changes, then restart replicas and all hosts; return seconds and folder sizes."""
    host = next(iter(fleet.hosts.values()))
    connection, version, sizes = connect(host), wait_and_read_version(host), []
    for number in range(CHANGES_BEFORE_RESTART):
        _, answer, _ = post_command(connection, make_change(number), version)
        version = answer["version"]
        if number % 1_000 == 999:
            sizes.append(
                max(measure_folder_bytes(fleet.folder / f"data-{n}") for n in range(REPLICAS))
            )
    connection.close()
    times = []
    for number in range(RESTARTS):
        name = f"host-{number % REPLICAS}"
        local.stop_process(fleet.hosts[name].process, forced=True)
        begin = time.monotonic()
        local.start_host(fleet, name)
        local.wait_ready(fleet, [name])
        times.append(time.monotonic() - begin)
        time.sleep(1.0)
    for item in fleet.hosts.values():
        local.stop_process(item.process, forced=True)
    begin = time.monotonic()
    for name in fleet.hosts:
        local.start_host(fleet, name)
    local.wait_ready(fleet)
    fleet_seconds = time.monotonic() - begin
    version_after = min(read_version(item) for item in fleet.hosts.values())
    return {
        "changes": CHANGES_BEFORE_RESTART,
        "folder_bytes_after_each_1000": sizes,
        "replica_restart_to_ready_s": [round(item, 2) for item in times],
        "whole_fleet_restart_to_ready_s": round(fleet_seconds, 2),
        "version_before_and_after": [version, version_after],
    }


def read_usage(host):
    """Return frame bytes of both directions, processor seconds and resident bytes of a host."""
    state = local.read_state(host)
    fields = Path(f"/proc/{host.process.pid}/stat").read_text().rsplit(")", 1)[1].split()
    cpu = (int(fields[11]) + int(fields[12])) / CLOCK_TICKS
    pages = int(Path(f"/proc/{host.process.pid}/statm").read_text().split()[1])
    total = state["sent_bytes"] + state["received_bytes"]
    return total, cpu, pages * os.sysconf("SC_PAGE_SIZE")


def measure_overhead(fleet, changing):
    """Return bytes, processor time and memory of hosts with and without a replica."""
    hosts = list(fleet.hosts.values())
    version = read_version(hosts[-1])
    before = [read_usage(host) for host in hosts]
    begin = time.monotonic()
    for number in range(int(OVERHEAD_SECONDS)):
        if changing:
            status, answer = local.submit_changes(hosts[-1], [make_change(number)], version)
            version = answer["version"] if status == 200 else read_version(hosts[-1])
        time.sleep(max(0.0, begin + number + 1 - time.monotonic()))
    seconds = time.monotonic() - begin
    after = [read_usage(host) for host in hosts]
    rows = {}
    for role, part in (("replica", slice(0, REPLICAS)), ("host", slice(REPLICAS, HOSTS))):
        pairs = list(zip(before[part], after[part], strict=True))
        rows[role] = {
            "bytes_per_s": round(statistics.mean(b[0] - a[0] for a, b in pairs) / seconds),
            "core_percent": round(
                statistics.mean(b[1] - a[1] for a, b in pairs) / seconds * 100, 2
            ),
            "memory_mb": round(max(b[2] for _, b in pairs) / 1e6, 1),
        }
    return rows


def run():
    rng = random.Random(5)
    load = os.getloadavg()[0]
    folder = tempfile.mkdtemp()
    fleet = local.create_fleet(Path(folder), hosts=HOSTS, replicas=REPLICAS)
    report = {"benchmark": "control", "cores": os.cpu_count(), "targets": TARGETS}
    try:
        for name in fleet.hosts:
            local.start_host(fleet, name)
        local.wait_ready(fleet)
        local.apply_changes(fleet, [PutZone("zone-a", "region-1"), PutZone("zone-x", "region-1")])
        time.sleep(3.0)
        for name, measure in (
            ("at_rest", lambda: measure_overhead(fleet, False)),
            ("one_change_per_s", lambda: measure_overhead(fleet, True)),
            ("serial_commands", lambda: measure_serial(fleet, SERIAL_SECONDS)),
            ("serial_on_one_connection", lambda: measure_serial(fleet, SERIAL_SECONDS, True)),
            ("concurrent_commands", lambda: measure_concurrent(fleet, CONCURRENT_SECONDS)),
            ("restart", lambda: measure_restart(fleet)),
            ("after_changes_at_rest", lambda: measure_overhead(fleet, False)),
            ("in_force_on_all_hosts", lambda: measure_propagation(fleet, rng)),
            ("leader_killed", lambda: measure_leader_kills(fleet, rng)),
        ):
            report[name] = measure()
            print(name, report[name], file=sys.stderr, flush=True)
    finally:
        local.close_fleet(fleet)
        shutil.rmtree(folder, ignore_errors=True)
        report["load_average_before_and_after"] = [round(load, 1), round(os.getloadavg()[0], 1)]
        print(json.dumps(report))
    for name, value in report.items():
        print(f"{name:28} {value}")


if __name__ == "__main__":
    run()
