"""Test that a fleet goes on after the disks of its replicas were full in turn."""

import contextlib
import http.client
import resource
import signal
import time

import pytest

from marjorambridge.configuration.commands import PutZone
from marjorambridge.standins import fleet as local
from tests.system import fleets

FULL_SECONDS = 2.5
# Time in which a change is accepted while a minority of the replicas can't store it.
ACCEPT_SECONDS = 10.0


@pytest.fixture(scope="module")
def fleet(tmp_path_factory):
    """Run a fleet of its own, whose processes write under a limit of the size of files."""
    with fleets.run_fleet(tmp_path_factory.mktemp("full-disks"), services=1) as fleet:
        yield fleet


def set_room(host, size):
    """Let a process write files up to a size; beyond it a write fails as on a full disk."""
    resource.prlimit(host.process.pid, resource.RLIMIT_FSIZE, (size, resource.RLIM_INFINITY))


def change(hosts, name):
    """Submit a change to the hosts in turn until one of them accepts it."""
    ends_at = time.monotonic() + ACCEPT_SECONDS
    while time.monotonic() < ends_at:
        for host in hosts:
            with contextlib.suppress(OSError, http.client.HTTPException):
                if local.submit_changes(host, [PutZone(name, fleets.REGION)])[0] == 200:
                    return
        time.sleep(0.05)
    raise AssertionError(f"no host accepted zone {name}")


def test_changes_and_bookings_go_on_after_all_disks_were_full_in_turn(fleet):
    """Guard against a replica that stores nothing more until its process is restarted."""
    hosts = list(fleet.hosts.values())
    for number, host in enumerate(hosts):
        set_room(host, 1)
        ends_at = time.monotonic() + FULL_SECONDS
        while time.monotonic() < ends_at:
            change(hosts, f"full-{number}")
        set_room(host, resource.RLIM_INFINITY)
        time.sleep(1.0)
    for number, host in enumerate(hosts):
        # The other two are needed for a majority.
        local.send_signal(host.process, signal.SIGKILL)
        others = [other for other in hosts if other is not host]
        change(others, f"after-{number}")
        key = f"{int(time.time())}-full-{number}"
        local.wait_until(
            lambda name=others[0].name, key=key: fleets.book(fleet, name, key).status == 201,
            "a booking is executed",
        )
        assert fleets.count_executions(fleet, key) == 1
        fleets.restore(fleet)
    zones = local.read_state(hosts[0])["configuration"]["zones"]
    assert {f"{kind}-{number}" for kind in ("full", "after") for number in range(3)} <= set(zones)
