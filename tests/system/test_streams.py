"""Test that streams stay correct and memory is freed when processes are killed."""

import itertools
import signal

import pytest

from marjorambridge.standins import fleet as local
from tests.system import fleets

ENGINES = 4


@pytest.fixture(scope="module")
def fleet(tmp_path_factory):
    folder = tmp_path_factory.mktemp("streams")
    engine = {"concurrency": 4, "kv_capacity_tokens": 600}
    with fleets.run_fleet(folder, engines=ENGINES, engine=engine) as fleet:
        yield fleet


def start_callers(fleet, load, hosts, label, each=2):
    for host in hosts:
        for number in range(each):
            fleets.send_until_stopped(fleet, load, host, f"{label} {host} {number}")


def wait_for_streams(load, count, what):
    """Wait until `count` more streams are complete."""
    expected = fleets.count_complete(load) + count
    local.wait_until(lambda: fleets.count_complete(load) >= expected, what)


def check_limits(fleet):
    """Check that no engine ever ran more attempts or used more tokens than its limits."""
    for name, inventory in fleets.list_inventories(fleet).items():
        settings = fleet.endpoints[name].settings
        assert inventory["peak_running"] <= settings["concurrency"]
        assert inventory["peak_tokens"] <= settings["kv_capacity_tokens"]
        assert inventory["refusals"] == 0


def test_streams_of_a_killed_engine_are_resumed_or_end_with_an_error(fleet):
    """A resumed stream neither repeats nor skips a token."""
    with fleets.run_load() as load:
        start_callers(fleet, load, fleet.hosts, "engine killed")
        target = "engine-0"
        fleets.hang_running_streams(fleet, [target])
        local.stop_process(fleet.endpoints[target].process, forced=True)
        wait_for_streams(load, 12, "requests are still served")
        resumed = [
            start
            for inventory in fleets.list_inventories(fleet).values()
            for start in inventory["starts"]
            if start["resume_from"] > 0
        ]
        local.start_endpoint(fleet, target)
    fleets.check_results(load)
    assert resumed
    fleets.wait_for_free_memory(fleet)


def test_memory_of_a_killed_host_is_freed(fleet):
    """Hung attempts of a killed host keep their memory unless the owners cancel them."""
    owners = {fleets.find_owner(fleet, f"{fleets.MODEL}/{zone}/0") for zone in fleets.ZONES}
    target = next(name for name in fleet.hosts if name not in owners or len(owners) == 3)
    for name in fleet.endpoints:
        fleets.set_fault(fleet, name, kind="hang")
    with fleets.run_load() as load:
        for prompt in itertools.islice(fleets.create_prompts("host killed"), 4):
            fleets.send_stream(fleet, load, target, prompt)
        local.wait_until(
            lambda: sum(len(item["running"]) for item in fleets.list_inventories(fleet).values())
            == 4,
            "the attempts of the host run",
        )
        local.stop_process(fleet.hosts[target].process, forced=True)
        fleets.wait_for_free_memory(fleet)
    for name in fleet.endpoints:
        fleets.set_fault(fleet, name, kind="clear")
    assert fleets.count_complete(load) == 0
    fleets.check_results(load)


@pytest.mark.parametrize("number", [signal.SIGKILL, signal.SIGSTOP])
def test_engines_stay_within_their_limits_when_the_owner_of_a_shard_is_lost(fleet, number):
    """An early grant of the new owner, or a late one of the suspended owner, would overload."""
    # A host killed by the previous test takes the shard over again; until then no host grants.
    target = local.wait_until(
        lambda: fleets.find_owner(fleet, f"{fleets.MODEL}/north/0"), "the shard has an owner"
    )
    others = [name for name in fleet.hosts if name != target]
    with fleets.run_load() as load:
        start_callers(fleet, load, others, f"owner {number.name}", each=6)
        wait_for_streams(load, 4, "requests are served")
        local.send_signal(fleet.hosts[target].process, number)
        wait_for_streams(load, 4, "requests are served through the other hosts")
        local.wait_until(
            lambda: fleets.find_owner(fleet, f"{fleets.MODEL}/north/0", others),
            "another host owns the shard",
        )
        wait_for_streams(load, 10, "requests are served by the new owner")
        local.send_signal(fleet.hosts[target].process, signal.SIGCONT)
        wait_for_streams(load, 10, "requests are served after the old owner resumed")
    fleets.check_results(load)
    check_limits(fleet)
    fleets.wait_for_free_memory(fleet)
