"""Test the shares of competing workspaces, and the exchange of their uses between hosts."""

import heapq
import random

import pytest

from marjorambridge.conf import defaults
from marjorambridge.gateway.datagrams import decode_datagram
from marjorambridge.gateway.sharing import (
    REPEAT_SECONDS,
    LoadSharing,
    handle_datagram,
    queue_loads,
    queue_totals,
    repeat_loads,
)
from marjorambridge.scheduling.shares import compute_max_min_shares, is_over_share, record_use
from marjorambridge.scheduling.usage import add_waiting, compute_totals, remove_use, remove_waiting
from tests.forwarding.helpers import make_state
from tests.gateway.test_sharing import deliver_all, make_zones

LIFETIME = defaults.USE_LIFETIME_SECONDS
LIGHT = [f"light-{n}" for n in range(23)]


def make_hosts(*names, planned=("model",)):
    fleet = {}
    for name in names:
        state = make_state(engines=1, hosts=(name, *names))
        state.planned = frozenset(planned)
        fleet[name] = LoadSharing(state, name, b"k" * 32)
    return fleet


def exchange(fleet, now, lost=()):
    """Repeat the reports of all hosts; those from `lost` hosts do not arrive."""
    for host, sharing in fleet.items():
        repeat_loads(sharing, now)
        queue_loads(sharing, [], now)
        if host in lost:
            sharing.outbox.clear()
    deliver_all(fleet, now)


def list_seconds(usage, now):
    return [use.seconds for use in compute_totals(usage, now).values()]


def run_queue(arrivals, seconds, uses_shares=True, slots=12, patience=2.0):
    """Serve requests of 0.5 s, given as time and workspace; count those served in time."""
    state, served, running, waiting, now = make_state(), {}, [], [], 0.0
    arrivals = sorted(arrivals)
    while now < seconds:
        while arrivals and arrivals[0][0] <= now:
            waiting.append(arrivals.pop(0))
            add_waiting(state.usage, waiting[-1][1])
        while running and running[0][0] <= now:
            remove_use(state.usage, heapq.heappop(running)[1], 0.5)
        while waiting and len(running) < slots:
            ranks = [(uses_shares and is_over_share(state, item[1], now), item) for item in waiting]
            chosen = min(ranks)[1]
            waiting.remove(chosen)
            remove_waiting(state.usage, chosen[1])
            record_use(state, chosen[1], 0.5, now)
            heapq.heappush(running, (now + 0.5, chosen[1]))
            served[chosen[1]] = served.get(chosen[1], 0) + 1
        for item in [item for item in waiting if now - item[0] > patience]:
            waiting.remove(item)
            remove_waiting(state.usage, item[1])
        now = round(now + 0.05, 6)
    return served


@pytest.mark.parametrize("heavy_rate", [60, 600], ids=["sends far more", "repeats at once"])
def test_a_heavy_workspace_costs_the_others_nothing(heavy_rate):
    """Guard against one workspace among 24 that takes every slot when capacity is short."""
    generator = random.Random(1)
    light = [(generator.uniform(0, 18), name) for name in LIGHT for _ in range(9)]
    heavy = [(n / heavy_rate, "heavy") for n in range(heavy_rate * 20)]
    served = run_queue(light + heavy, 20)
    lost = len(light) - sum(served.get(name, 0) for name in LIGHT)
    assert lost <= 0.02 * len(light)
    # What the others leave is lent: 12 slots serve 480 requests of 0.5 s in 20 s.
    assert served["heavy"] >= 0.9 * (480 - len(light))
    unshared = run_queue(light + heavy, 20, uses_shares=False)
    assert sum(unshared.get(name, 0) for name in LIGHT) < 0.9 * len(light)


def test_shares_are_max_min_fair():
    """Guard against shares that exceed a demand, or that leave what others could use."""
    generator = random.Random(2)
    for _ in range(200):
        demands = {n: generator.choice([0.0, generator.uniform(0, 9)]) for n in range(24)}
        shares = compute_max_min_shares(demands, 50.0)
        assert sum(shares.values()) == pytest.approx(min(50.0, sum(demands.values())))
        level = max(shares.values())
        assert shares == pytest.approx({key: min(demands[key], level) for key in demands})
    assert compute_max_min_shares({}, 1.0) == {}


def test_lent_capacity_is_taken_back_at_once_on_all_hosts():
    """Guard against a workspace that keeps what it was lent on hosts without other requests."""
    fleet = make_hosts("h.1", "h.2")
    state = fleet["h.1"].forwarding
    record_use(state, "heavy", 50.0, 10.0)
    exchange(fleet, 10.0)
    assert not is_over_share(state, "heavy", 10.1)
    add_waiting(state.usage, "heavy")
    assert not is_over_share(state, "heavy", 10.1)
    woken = []
    usage = fleet["h.2"].forwarding.usage
    usage.notify_waiting = lambda: woken.append(True)
    for _ in range(2):
        add_waiting(usage, "light")
    assert woken == [True]
    queue_loads(fleet["h.2"], [], 10.2)
    deliver_all(fleet, 10.2)
    assert is_over_share(state, "heavy", 10.2) and not is_over_share(state, "light", 10.2)
    for _ in range(2):
        remove_waiting(usage, "light")
    exchange(fleet, 10.2 + REPEAT_SECONDS)
    assert not is_over_share(state, "heavy", 10.2 + REPEAT_SECONDS)


def test_lost_late_and_repeated_reports_are_corrected_by_the_next_one():
    """Guard against uses that add up with duplicates, or vanish with one lost report."""
    fleet = make_hosts("h.1", "h.2")
    record_use(fleet["h.2"].forwarding, "heavy", 5.0, 10.0)
    for _ in range(3):
        exchange(fleet, 10.0)
    record_use(fleet["h.2"].forwarding, "heavy", 2.0, 10.5)
    exchange(fleet, 11.0, lost=("h.2",))
    usage = fleet["h.1"].forwarding.usage
    assert list_seconds(usage, 12.0) == [5.0]
    exchange(fleet, 12.0)
    assert list_seconds(usage, 12.0) == [7.0]
    repeat_loads(fleet["h.2"], 12.2)
    queue_loads(fleet["h.2"], [], 12.2)
    late = [fleet["h.2"].outbox.popleft()]
    remove_use(fleet["h.2"].forwarding.usage, "heavy", 2.0)
    exchange(fleet, 13.0)
    for datagram, _ in late:
        handle_datagram(fleet["h.1"], datagram, 13.1)
    exchange(fleet, 14.0)
    assert list_seconds(usage, 14.0) == [5.0]
    remove_use(fleet["h.2"].forwarding.usage, "heavy", 5.0)
    exchange(fleet, 15.0)
    assert list_seconds(usage, 15.0) == []


def test_uses_of_a_dead_host_expire():
    """Guard against a host that dies and whose uses keep a workspace over its share."""
    fleet = make_hosts("h.1", "h.2")
    state = fleet["h.1"].forwarding
    record_use(state, "light", 1.0, 10.0)
    record_use(fleet["h.2"].forwarding, "heavy", 50.0, 10.0)
    add_waiting(state.usage, "light")
    exchange(fleet, 10.0)
    assert is_over_share(state, "heavy", 10.0 + LIFETIME - 0.1)
    assert not is_over_share(state, "heavy", 10.0 + LIFETIME + 0.1)


def run_fleet(fleet, now, seconds, dead=()):
    """Run periodic tasks of the living hosts of a large fleet, and return the time afterwards."""
    for step in range(round(10 * seconds)):
        for sharing in (sharing for host, sharing in fleet.items() if host not in dead):
            if step % round(10 * REPEAT_SECONDS) == 0:
                repeat_loads(sharing, now)
            queue_totals(sharing, now)
        deliver_all(fleet, now, dead)
        now += 0.1
    return now


def test_hosts_of_a_large_fleet_know_the_uses_of_all_zones():
    """Guard against uses that aggregating hosts count twice or not at all, also after a death."""
    fleet = make_zones(zones=3)
    for sharing in fleet.values():
        sharing.forwarding.planned = frozenset({"model"})
        record_use(sharing.forwarding, "heavy", 2.0, 100.0)
    now = run_fleet(fleet, 100.0, 4.0)
    for sharing in fleet.values():
        assert list_seconds(sharing.forwarding.usage, now) == [2.0 * len(fleet)]
    first = next(iter(fleet.values())).forwarding
    add_waiting(next(reversed(fleet.values())).forwarding.usage, "light")
    now = run_fleet(fleet, now, REPEAT_SECONDS)
    assert is_over_share(first, "heavy", now)
    dead = list(fleet)[-8:]
    now = run_fleet(fleet, now, LIFETIME + 0.5, dead)
    assert list_seconds(first.usage, now) == [2.0 * (len(fleet) - len(dead))]


def test_uses_are_sent_for_planned_services_only():
    """Guard against datagrams of other deployments that change, or that no packet holds."""
    fleet = make_hosts("h.1", "h.2", planned=())
    sharing = fleet["h.1"]
    for n in range(100):
        record_use(sharing.forwarding, f"w{n}", 1.0, 10.0)
    repeat_loads(sharing, 10.0)
    queue_loads(sharing, ["e0"], 10.0)
    assert [decode_datagram(b"k" * 32, data).workspaces for data, _ in sharing.outbox] == [None]
    sharing.forwarding.planned = frozenset({"model"})
    sharing.outbox.clear()
    queue_loads(sharing, ["e0"], 10.0)
    messages = [decode_datagram(b"k" * 32, data) for data, _ in sharing.outbox]
    sizes = [len(message.loads) + len(message.workspaces) for message in messages]
    assert sum(sizes) == 101 and max(sizes) <= 40
