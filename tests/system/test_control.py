"""Test that no configuration change is lost, applied twice or reverted."""

import json
import shutil
import signal
import time

from marjorambridge.configuration.commands import OperatorCommand, PutZone, SetZoneIn, SetZoneOut
from marjorambridge.configuration.json_commands import make_command_object
from marjorambridge.standins import fleet as local
from tests.system import fleets

CHANGES = 300
# Longer than the election timeout, and than the time for which a host stays fresh.
SUSPENDED_SECONDS = 3.0


def make_command(name, operator, base, zone):
    return make_command_object(
        OperatorCommand(name, operator, base, time.time(), PutZone(zone, fleets.REGION))
    )


def send_command(host, command):
    return local.send_operator_request(host, "POST", "/commands", command)


def read_version(host):
    return local.read_state(host)["configuration"]["version"]


def read_versions(fleet):
    return {read_version(host) for host in fleet.hosts.values()}


def submit_until_accepted(host, change):
    """Submit a change, with retries while there is no leader, and return the version."""

    def submit():
        status, answer = local.submit_changes(host, [change])
        return answer["version"] if status == 200 else None

    return local.wait_until(submit, f"{change} is accepted")


def test_no_change_is_lost_when_all_hosts_restart_at_once(fleet):
    hosts = list(fleet.hosts.values())
    base = read_version(hosts[0])
    for number in range(CHANGES):
        command = make_command(f"many-{number}", "asha", base + number, f"zone-{number}")
        status, answer = send_command(hosts[number % 3], command)
        assert (status, answer["version"]) == (200, base + number + 1)
    for host in hosts:
        local.send_signal(host.process, signal.SIGKILL)
    for name, host in fleet.hosts.items():
        local.stop_process(host.process)
        local.start_host(fleet, name)
    local.wait_ready(fleet)
    assert read_versions(fleet) == {base + CHANGES}
    for host in hosts:
        zones = local.read_state(host)["configuration"]["zones"]
        assert {f"zone-{number}" for number in range(CHANGES)} <= set(zones)


def test_only_one_of_two_changes_with_the_same_base_is_accepted(fleet):
    """The conflict names the accepted change, and resent commands get the same answers.

    This also holds after the leader was killed.
    """
    hosts = list(fleet.hosts.values())
    base = read_version(hosts[0])
    commands = [
        make_command(f"race-{name}", name, base, f"zone-{name}") for name in ("bina", "chetan")
    ]
    with fleets.run_load() as load:
        futures = [
            load.pool.submit(send_command, host, command)
            for host, command in zip(hosts, commands, strict=False)
        ]
        answers = [future.result() for future in futures]
    assert sorted(status for status, _ in answers) == [200, 409]
    accepted = next(number for number, (status, _) in enumerate(answers) if status == 200)
    conflict = answers[1 - accepted][1]
    accepted_operator = commands[accepted]["operator"]
    assert [change["operator"] for change in conflict["changes"]] == [accepted_operator]
    leader = fleets.find_leader(fleet)
    other = next(host for host in hosts if host.name != leader)
    local.stop_process(fleet.hosts[leader].process, forced=True)
    for command, answer in zip(commands, answers, strict=True):
        first = local.wait_until(
            lambda command=command: _skip_unavailable(send_command(other, command)),
            "the command is answered",
        )
        assert first == answer
    assert read_version(other) == base + 1
    local.start_host(fleet, leader)
    local.wait_ready(fleet)
    local.wait_version(fleet, base + 1)


def _skip_unavailable(reply):
    return reply if reply[0] != 503 else None


def test_a_suspended_leader_serves_no_older_version(fleet):
    leader = fleets.find_leader(fleet)
    suspended = fleet.hosts[leader]
    other = next(host for host in fleet.hosts.values() if host.name != leader)
    local.send_signal(suspended.process, signal.SIGSTOP)
    suspended_at = time.monotonic()
    version = submit_until_accepted(other, SetZoneOut("south"))
    local.wait_until(
        lambda: time.monotonic() > suspended_at + SUSPENDED_SECONDS,
        "the suspended leader is replaced",
    )
    local.send_signal(suspended.process, signal.SIGCONT)

    def read():
        state = local.read_state(suspended)
        assert not state["fresh"] or state["configuration"]["version"] >= version
        return state["fresh"]

    local.wait_until(read, "the old leader is fresh")
    # It must not accept a command in its old term either.
    status, answer = send_command(suspended, make_command("late", "asha", version - 1, "zone-late"))
    assert status == 409, answer
    submit_until_accepted(other, SetZoneIn("south"))


def test_nothing_is_missing_when_a_second_replica_is_lost_after_a_repair(fleet):
    """A repair that is reported before it is complete leaves entries on one disk only."""
    first = fleets.book(fleet, "host-0", "before the repair")
    assert first.status == 201
    leader = fleets.find_leader(fleet)
    wiped, killed = [name for name in fleet.hosts if name != leader]
    host = fleet.hosts[wiped]
    local.stop_process(host.process, forced=True)
    version = submit_until_accepted(fleet.hosts[leader], PutZone("zone-wiped", fleets.REGION))
    shutil.rmtree(host.settings["data_folder"])
    host.settings["bootstrap"] = False
    line_counts = {name: len(read_log(fleet, name)) for name in fleet.hosts}
    local.start_host(fleet, wiped)
    local.wait_until(
        lambda: list_repaired(fleet, wiped, line_counts) == {0, 1}, "all log groups are repaired"
    )
    local.stop_process(fleet.hosts[killed].process, forced=True)
    remaining = [fleet.hosts[name] for name in fleet.hosts if name != killed]
    local.wait_ready(fleet, [item.name for item in remaining])
    local.wait_until(
        lambda: all(read_version(item) >= version for item in remaining), "the change is kept"
    )
    assert submit_until_accepted(remaining[0], PutZone("zone-after", fleets.REGION)) == version + 1
    answer = local.wait_until(
        lambda: _skip_in_progress(fleets.book(fleet, wiped, "before the repair")),
        "the claim is found",
    )
    assert answer == first
    assert fleets.count_executions(fleet, "before the repair") == 1


def _skip_in_progress(answer):
    return answer if answer.status not in (0, 409, 503) else None


def read_log(fleet, name):
    """Return the lines of a host's log."""
    return (fleet.folder / f"{name}.log").read_text(encoding="utf-8").splitlines()


def list_repaired(fleet, replica, line_counts):
    """Return the log groups whose repair on a replica was reported since the marked lines."""
    groups = set()
    for name, line_count in line_counts.items():
        for line in read_log(fleet, name)[line_count:]:
            entry = json.loads(line)
            if entry.get("stage") == "repaired" and entry.get("replica") == replica:
                groups.add(entry["group"])
    return groups
