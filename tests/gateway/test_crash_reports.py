"""Test the exchange of crashes of engines between gateways."""

import anyio

from marjorambridge.conf import defaults
from marjorambridge.forwarding.causes import hash_prompt, list_causes
from marjorambridge.forwarding.crashes import find_blocked_cause, record_answer, record_crash
from marjorambridge.gateway.sharing import (
    LoadSharing,
    handle_datagram,
    queue_crashes,
    queue_repeated_crashes,
)
from tests.forwarding.helpers import make_state

PART, OWN, REQUEST = 0xDEAD, 0x1, -0xBEEF
PROMPT = (PART, OWN)
KEY = b"k" * 32


def make_fleet(hosts=6, zones=2):
    names = [f"10.0.0.{number}:7740" for number in range(hosts)]
    by_zone = {name: f"z{number % zones}" for number, name in enumerate(names)}
    fleet = {}
    for name in names:
        state = make_state(engines=1, hosts=(name,))
        state.hosts = by_zone
        state.settings = state.settings.__class__(name, by_zone[name])
        state.generator.seed(name)
        fleet[name] = LoadSharing(state, name, KEY)
    return fleet


def deliver(fleet, now, lost=()):
    """Deliver all datagrams, and those that they cause, and return their sizes."""
    sizes = []
    while any(sharing.outbox for sharing in fleet.values()):
        for name, sharing in fleet.items():
            while sharing.outbox:
                datagram, host = sharing.outbox.popleft()
                sizes.append(len(datagram))
                if host in fleet and name not in lost and host not in lost:
                    handle_datagram(fleet[host], datagram, now)
    return sizes


def crash(sharing, number, now, parts=PROMPT, request=None):
    history = sharing.forwarding.crashes
    request = -1 - number if request is None else request
    causes, prompt = list_causes(request, parts), hash_prompt(request, parts)
    crashes = record_crash(history, causes, prompt, f"e{number}/1", now - 0.1, now)
    queue_crashes(sharing, crashes, [], now)


def list_blocking(fleet, now, causes=PROMPT):
    return [
        name
        for name, sharing in fleet.items()
        if find_blocked_cause(sharing.forwarding.crashes, causes, now)
    ]


def run(scenario):
    async def run_scenario():
        scenario()

    anyio.run(run_scenario)


def test_crashes_at_different_hosts_block_a_part_at_all():
    """Guard against hosts that each need several crashes of their own."""

    def scenario():
        fleet = make_fleet()
        for number, sharing in enumerate(list(fleet.values())[:3]):
            crash(sharing, number, 1.0 + 0.5 * number)
            deliver(fleet, 1.0 + 0.5 * number)
        assert list_blocking(fleet, 2.1) == list(fleet)

    run(scenario)


def test_a_host_that_missed_all_reports_learns_of_a_block():
    """Guard against a host that was started or cut off, and sends the part to engines again."""

    def scenario():
        fleet = make_fleet(hosts=20, zones=4)
        late = list(fleet)[-1]
        for number in range(3):
            crash(fleet["10.0.0.0:7740"], number, 1.0 + 0.5 * number)
            deliver(fleet, 1.0 + 0.5 * number, lost=(late,))
        assert late not in list_blocking(fleet, 8.0)
        # Crashes are no longer repeated, but blocks are; hosts are in contact after three seconds.
        for now in (8.0, 9.0, 10.0):
            for sharing in fleet.values():
                queue_repeated_crashes(sharing, now)
            deliver(fleet, now)
        assert list_blocking(fleet, 10.5) == list(fleet)

    run(scenario)


def test_crashes_under_a_repeated_request_add_up_over_all_hosts():
    """Guard against a request that each host sends to engines a few times."""

    def scenario():
        fleet = make_fleet()
        for number, sharing in enumerate(list(fleet.values())[:3]):
            crash(sharing, number, 1.0 + 0.2 * number, parts=(), request=REQUEST)
            deliver(fleet, 1.01 + 0.2 * number)
        assert list_blocking(fleet, 1.5, (REQUEST,)) == list(fleet)
        assert not list_blocking(fleet, 1.5, (REQUEST - 1,))

    run(scenario)


def test_hosts_that_were_cut_off_learn_of_single_crashes():
    """Guard against hosts that each know of one crash only, because the reports of it were lost."""

    def scenario():
        fleet = make_fleet()
        names = list(fleet)
        for number, name in enumerate(names[:3]):
            crash(fleet[name], number, 1.0 + 0.2 * number, parts=(), request=REQUEST)
            deliver(fleet, 1.01 + 0.2 * number, lost=names)
        assert not list_blocking(fleet, 1.5, (REQUEST,))
        # Hosts are in contact after three seconds.
        for now in (2.0, 3.0, 4.0):
            for sharing in fleet.values():
                queue_repeated_crashes(sharing, now)
            deliver(fleet, now)
        assert list_blocking(fleet, 4.5, (REQUEST,)) == names

    run(scenario)


def test_a_host_that_restarts_learns_of_a_blocked_request():
    """Guard against a host that forgot a block and sends the request to engines again."""

    def scenario():
        fleet = make_fleet()
        for number in range(3):
            crash(fleet["10.0.0.0:7740"], number, 1.0 + number, parts=(), request=REQUEST)
            deliver(fleet, 1.0 + number)
        fleet["10.0.0.5:7740"] = make_fleet()["10.0.0.5:7740"]
        for now in (100.0, 101.0, 102.0):
            for sharing in fleet.values():
                queue_repeated_crashes(sharing, now)
            deliver(fleet, now)
        assert list_blocking(fleet, 102.5, (REQUEST,)) == list(fleet)

    run(scenario)


def test_a_host_that_was_cut_off_is_corrected_by_the_others():
    """Guard against a host that refuses sound prompts because its own connections broke."""

    def scenario():
        fleet = make_fleet()
        cut = list(fleet)[0]
        for number in range(defaults.MIN_CRASHES_ANSWERED_PART):
            crash(fleet[cut], number, 1.0 + number)
            for name, sharing in fleet.items():
                if name != cut:
                    record_answer(sharing.forwarding.crashes, PROMPT, 1.05 + number)
            deliver(fleet, 1.1 + number, lost=(cut,))
        assert list_blocking(fleet, 9.0) == [cut]
        queue_repeated_crashes(fleet[cut], 10.0)
        deliver(fleet, 10.0)
        assert not list_blocking(fleet, 10.1)

    run(scenario)


def test_an_answer_lifts_the_block_at_all_hosts():
    """Guard against hosts that refuse a part after a test has shown that engines answer it."""

    def scenario():
        fleet = make_fleet()
        for number, sharing in enumerate(list(fleet.values())[:3]):
            crash(sharing, number, 1.0 + 0.5 * number)
            deliver(fleet, 1.0 + 0.5 * number)
        sharing = fleet["10.0.0.5:7740"]
        answered = record_answer(sharing.forwarding.crashes, PROMPT, 25.0)
        queue_crashes(sharing, [], answered, 25.0)
        deliver(fleet, 25.0)
        assert not list_blocking(fleet, 25.1)
        # A late repetition of the block does not come back.
        for sharing in fleet.values():
            queue_repeated_crashes(sharing, 26.0)
        deliver(fleet, 26.0)
        assert not list_blocking(fleet, 26.1)

    run(scenario)


def test_reports_of_many_crashes_fit_packets():
    """Guard against datagrams that are fragmented when a whole zone fails."""

    def scenario():
        fleet = make_fleet(hosts=2, zones=1)
        parts = tuple(2**62 + number for number in range(300))
        crash(fleet["10.0.0.0:7740"], 1, 1.0, (*parts, OWN))
        assert max(deliver(fleet, 1.0)) <= 1_450

    run(scenario)
