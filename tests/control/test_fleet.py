"""Test the control log and the feed with failed processes, lost disks and network partitions."""

import pytest
from msgspec.structs import replace

from marjorambridge.conf import defaults
from marjorambridge.control import subscriber
from marjorambridge.control.commands import (
    DrainZone,
    ReadBarrier,
    ReplaceManifest,
    RestoreZone,
    RetireEndpoint,
)
from marjorambridge.control.messages import EndpointGossip, FeedUpdate
from marjorambridge.control.registry import choose_report_replica
from marjorambridge.core.effects import WriteLog
from marjorambridge.core.events import MessageReceived
from marjorambridge.core.reducer import step
from marjorambridge.discovery.models import EndpointReport

from .fleet import Fleet


def make_fleet(**settings):
    fleet = Fleet(**settings)
    fleet.run(5.0)
    return fleet


def find_leader(fleet):
    return next(
        name
        for name, host in fleet.hosts.items()
        if host.node and host.disk and fleet.control(name).is_leader
    )


def list_followers(fleet):
    leader = find_leader(fleet)
    return [n for n, h in fleet.hosts.items() if h.node and h.disk and n != leader]


def cut_off_from_replicas(fleet, isolated):
    """Cut a replica off from all others, but not from the hosts."""
    is_connected_by_default = Fleet.is_connected

    def is_connected(self, one, other):
        between_replicas = self.hosts[one].disk and self.hosts[other].disk
        return not (between_replicas and isolated in (one, other)) and is_connected_by_default(
            self, one, other
        )

    fleet.is_connected = is_connected.__get__(fleet)


def test_replicas_outside_the_seeds_become_voters():
    """Guard against a group that consists of the seeds only and tolerates too few failures."""
    fleet = make_fleet()
    assert set(fleet.control(find_leader(fleet)).members) == {"r0", "r1", "r2", "r3", "r4"}


def test_a_manifest_from_any_replica_reaches_every_host_quickly():
    """Guard against a change that is acknowledged before hosts can receive it."""
    fleet = make_fleet()
    for version, name in enumerate(("r0", "r3", "r4"), start=1):
        fleet.submit(name, ReplaceManifest(f"c{version}", version, b"%d" % version))
        fleet.run(0.2)
        assert fleet.is_applied(name, f"c{version}")
        assert [fleet.known_version(gateway) for gateway in ("g0", "g1")] == [version] * 2


def test_an_older_version_is_acknowledged_and_changes_nothing():
    """Guard against a version that decreases, or that is reused for another manifest."""
    fleet = make_fleet()
    fleet.submit("r0", ReplaceManifest("a", 7, b"first"))
    fleet.run(0.2)
    fleet.submit("r1", ReplaceManifest("b", 7, b"second"))
    fleet.submit("r2", ReplaceManifest("c", 3, b"old"))
    fleet.run(0.3)
    assert fleet.is_applied("r1", "b") and fleet.is_applied("r2", "c")
    for name in ("r0", "r1", "r2", "r3", "r4"):
        assert (fleet.control(name).control.version, fleet.control(name).control.document) == (
            7,
            b"first",
        )


def test_concurrent_manifests_of_one_version_leave_one_configuration():
    """Guard against replicas that diverge when two manifests of the same version race."""
    fleet = make_fleet()
    fleet.submit("r3", ReplaceManifest("a", 5, b"one"))
    fleet.submit("r4", ReplaceManifest("b", 5, b"two"))
    fleet.run(0.5)
    documents = {fleet.control(f"r{n}").control.document for n in range(5)}
    assert len(documents) == 1


@pytest.mark.parametrize("wipe", [False, True], ids=["killed", "disk lost"])
def test_an_acknowledged_manifest_survives_the_loss_of_its_replica(wipe):
    """Guard against the acknowledgement of a command that only one disk has stored."""
    fleet = make_fleet()
    leader = find_leader(fleet)
    fleet.submit(leader, ReplaceManifest("a", 9, b"nine"))
    while not fleet.is_applied(leader, "a"):
        fleet.run(0.001)
    fleet.kill(leader, wipe)
    fleet.run(3.0)
    survivor = find_leader(fleet)
    assert fleet.control(survivor).control.version == 9
    fleet.start(leader)
    fleet.run(3.0)
    assert fleet.control(leader).control.version == 9
    assert leader in fleet.control(survivor).members


def test_the_whole_fleet_recovers_quickly_from_a_power_loss():
    """Guard against hosts without manifest and endpoints after a restart of the whole fleet.

    The load pattern is all callers returning at once, before any endpoint has reported again.
    """
    fleet = make_fleet()
    for n in range(20):
        fleet.report(f"r{n % 5}", f"e{n}")
    fleet.submit("r0", ReplaceManifest("a", 2, b"two"))
    fleet.submit("r0", RetireEndpoint("b", "e3", 1))
    fleet.run(1.0)
    for name in list(fleet.hosts):
        fleet.kill(name)
    fleet.run(1.0)
    for name in list(fleet.hosts):
        fleet.start(name)
    fleet.run(1.2)
    for gateway in ("g0", "g1"):
        assert fleet.known_version(gateway) == 2
        known = fleet.known_endpoints(gateway)
        assert {name for name, entry in known.items() if not entry.leaving} == {
            f"e{n}" for n in range(20) if n != 3
        }


@pytest.mark.parametrize("seed", range(6))
def test_hosts_without_a_manifest_poll_the_first_current_replica(seed):
    """Guard against hosts that poll too rarely while all callers wait for a first manifest."""
    fleet = make_fleet(gateways=6, seed=seed)
    fleet.submit("r0", ReplaceManifest("a", 2, b"two"))
    fleet.run(1.0)
    for name in list(fleet.hosts):
        fleet.kill(name)
    fleet.run(1.0)
    gateways = [name for name in fleet.hosts if name.startswith("g")]
    for name in gateways:
        fleet.start(name)
    # Replicas take longer to start.
    fleet.run(0.45)
    for name in fleet.hosts:
        if name not in gateways:
            fleet.start(name)
    replicas = [name for name in fleet.hosts if name not in gateways]
    while not any(fleet.control(name).is_leader for name in replicas):
        fleet.run(0.01)
    # Two polls, and a round trip.
    fleet.run(2 * defaults.FEED_INITIAL_POLL_INTERVAL_SECONDS + 0.05)
    assert {fleet.known_version(gateway) for gateway in gateways} == {2}


def test_a_replica_at_a_new_address_replaces_a_lost_one():
    """Guard against a group that keeps a lost member and has no quorum after the next loss."""
    fleet = make_fleet()
    lost = list_followers(fleet)[0]
    fleet.kill(lost)
    fleet.run(1.0)
    fleet.add_replica("r9", "z1", bootstrap=False)
    fleet.run(8.0)
    members = set(fleet.control(find_leader(fleet)).members)
    assert "r9" in members and lost not in members and len(members) == 5


def test_an_isolated_replica_confirms_nothing_and_loses_its_subscribers():
    """Guard against hosts that keep polling a replica which no longer receives changes."""
    fleet = make_fleet(gateways=6)
    isolated = list_followers(fleet)[0]
    cut_off_from_replicas(fleet, isolated)
    fleet.run(2.0)
    fleet.submit(isolated, ReadBarrier("read"))
    fleet.run(1.0)
    assert not fleet.is_applied(isolated, "read")
    assert not fleet.control(isolated).has_contact(fleet.now)
    leader = find_leader(fleet)
    fleet.submit(leader, ReplaceManifest("a", 4, b"four"))
    fleet.submit(leader, RetireEndpoint("b", "e1", 1))
    fleet.run(0.3)
    assert [fleet.known_version(f"g{n}") for n in range(6)] == [4] * 6


def test_a_host_survives_days_without_an_answer():
    """Guard against a backoff that overflows, which ends the process of the host."""
    fleet = make_fleet(gateways=1)
    state = fleet.hosts["g0"].node.parts["control"].state
    state.unanswered_polls = 10_000
    for replica in state.replicas.values():
        replica.consecutive_timeouts = 10_000
    for name in [name for name in fleet.hosts if name.startswith("r")]:
        fleet.kill(name)
    fleet.run(30.0)
    assert state.unanswered_polls > 10_000


@pytest.mark.parametrize("seed", range(4))
def test_a_host_leaves_an_unresponsive_replica_at_its_answer_timeout(seed):
    """Guard against a switch that waits for the next poll, whose interval grows without answers."""
    fleet = make_fleet(gateways=3, seed=seed)
    fleet.submit("r0", ReplaceManifest("a", 1, b"one"))
    fleet.run(1.0)
    subscribers = [fleet.hosts[f"g{n}"].node.parts["control"].state for n in range(3)]
    polled = {state.host: state.polled_replica for state in subscribers}
    for name in list(fleet.hosts):
        if name.startswith("r"):
            fleet.kill(name)
    # An answer that was sent before, the answer timeout, and the delay of a message.
    fleet.run(defaults.FEED_ANSWER_TIMEOUT_SECONDS + 0.01)
    assert all(state.polled_replica != polled[state.host] for state in subscribers)
    polled = {state.host: state.polled_replica for state in subscribers}
    fleet.run(defaults.FEED_ANSWER_TIMEOUT_SECONDS + 0.01)
    assert all(state.polled_replica != polled[state.host] for state in subscribers)


def test_a_replica_that_knows_no_zones_does_not_make_hosts_forget_them():
    """Guard against hosts that poll other zones, because their replica has just started."""
    fleet = make_fleet(gateways=1)
    fleet.run(5.0)
    state = fleet.hosts["g0"].node.parts["control"].state
    known = dict(state.zone_of)
    assert set(known) == set(state.members) and all(known.values())
    replica = fleet.control(state.polled_replica)
    replica.zones.clear()
    fleet.submit("r0", ReplaceManifest("a", 1, b"one"))
    fleet.run(0.1)
    assert fleet.known_version("g0") == 1 and state.zone_of == known


def test_a_host_whose_zone_lost_its_replicas_tries_another_zone_next():
    """Guard against changes that are late by one answer timeout for each replica of a zone."""
    fleet = make_fleet(replicas=9, gateways=1)
    fleet.submit("r0", ReplaceManifest("a", 1, b"one"))
    # All replicas have joined and told one another their zones.
    fleet.run(5.0)
    lost = [name for name, host in fleet.hosts.items() if host.disk and host.zone == "z1"]
    state = fleet.hosts["g0"].node.parts["control"].state
    assert len(lost) == 3 and state.polled_replica in lost
    for name in lost:
        fleet.kill(name)
    # An answer that was sent before, the answer timeout, and the delay of two messages.
    fleet.run(defaults.FEED_ANSWER_TIMEOUT_SECONDS + 0.01)
    assert state.polled_replica not in lost and state.unanswered_polls == 0


def test_a_host_prefers_a_replica_that_was_unresponsive_to_an_outdated_one():
    """Guard against a host that stays with a replica which is cut off from the others.

    The others were unresponsive before, so that the host would avoid them for longer.
    """
    fleet = make_fleet(gateways=1)
    fleet.submit("r0", ReplaceManifest("a", 1, b"one"))
    fleet.run(1.0)
    state = fleet.hosts["g0"].node.parts["control"].state
    isolated = list_followers(fleet)[0]
    cut_off_from_replicas(fleet, isolated)
    for name in ("r0", "r1", "r2", "r3", "r4"):
        status = state.replicas.setdefault(name, subscriber.ReplicaStatus())
        status.avoid_until = 0.0 if name == isolated else fleet.now + 20.0
    state.polled_replica = isolated
    fleet.run(0.5)
    leader = next(n for n in list_followers(fleet) if n != isolated)
    fleet.submit(leader, ReplaceManifest("b", 2, b"two"))
    # The subscription at the former replica would push the change.
    for name in set(fleet.control(leader).members) - {isolated}:
        fleet.control(name).subscribers.pop("g0", None)
    fleet.run(defaults.LEADER_CONTACT_TIMEOUT_SECONDS + 1.0)
    assert fleet.known_version("g0") == 2


def test_a_read_is_answered_only_by_a_replica_with_the_latest_version():
    """Guard against a restarted replica that returns an older configuration."""
    fleet = make_fleet()
    restarted = list_followers(fleet)[0]
    fleet.kill(restarted)
    fleet.submit(find_leader(fleet), ReplaceManifest("a", 3, b"three"))
    fleet.run(0.5)
    fleet.start(restarted)
    fleet.submit(restarted, ReadBarrier("read"))
    for _ in range(200):
        fleet.run(0.01)
        if fleet.is_applied(restarted, "read"):
            break
    assert fleet.is_applied(restarted, "read")
    assert fleet.control(restarted).control.version == 3


def test_every_host_has_a_retired_endpoint_as_leaving_at_the_acknowledgement():
    """Guard against requests to an endpoint whose retirement was acknowledged."""
    fleet = make_fleet(gateways=4)
    fleet.report("r0", "e1")
    fleet.run(0.5)
    fleet.submit("r3", RetireEndpoint("a", "e1", 1))
    while not fleet.is_applied("r3", "a"):
        fleet.run(0.001)
    fleet.run(0.05)
    for n in range(4):
        assert fleet.known_endpoints(f"g{n}")["e1"].leaving
    # A delayed report must not revert the retirement, but a new incarnation must.
    fleet.report("r1", "e1", sequence=50)
    fleet.run(0.3)
    assert fleet.known_endpoints("g0")["e1"].leaving
    fleet.report("r1", "e1", sequence=1, born=2)
    fleet.run(0.3)
    assert not fleet.known_endpoints("g0")["e1"].leaving


def test_zones_are_drained_and_restored_in_the_order_of_the_log():
    """Guard against a zone that a resent command drains again."""
    fleet = make_fleet()
    fleet.submit("r0", DrainZone("a", "z1"))
    fleet.run(0.3)
    assert fleet.updates("g0")[-1].update.drained == ("z1",)
    fleet.submit("r2", RestoreZone("b", "z1"))
    fleet.run(0.3)
    fleet.submit("r1", DrainZone("a", "z1"))
    fleet.run(0.3)
    assert fleet.updates("g0")[-1].update.drained == ()
    assert fleet.updates("g0")[-1].update.restored == ("z1",)


def test_a_host_that_polls_an_outdated_replica_waits_for_a_current_one():
    """Guard against a restarted host that starts with an outdated manifest."""
    fleet = make_fleet(gateways=1)
    fleet.submit("r0", ReplaceManifest("a", 1, b"one"))
    fleet.run(0.3)
    fleet.kill("g0")
    isolated = list_followers(fleet)[0]
    fleet.disconnected.add(isolated)
    fleet.run(2.0)
    fleet.submit(find_leader(fleet), ReplaceManifest("b", 2, b"two"))
    fleet.run(0.5)
    fleet.disconnected.clear()
    fleet.hosts[isolated].timers.due.clear()
    fleet.seeds = (isolated,)
    fleet.start("g0")
    fleet.run(4.0)
    versions = [n.update.version for n in fleet.updates("g0") if n.update.document]
    assert versions == [2]


def test_unresponsive_endpoints_are_marked_and_later_removed_everywhere():
    """Guard against crashed endpoints that stay in the table and the log forever."""
    fleet = make_fleet()
    fleet.report("r0", "e1")
    fleet.run(1.0)
    assert not fleet.known_endpoints("g0")["e1"].silent
    fleet.run(6.0)
    assert fleet.known_endpoints("g0")["e1"].silent
    fleet.run(32.0)
    assert "e1" not in fleet.known_endpoints("g0")
    assert not fleet.control("r2").control.registered


def test_a_restarted_host_gets_its_first_manifest_together_with_the_endpoints():
    """Guard against a host that accepts requests and then refuses them for lack of endpoints.

    Until the next poll, the replica sends only changes to the state of the host's earlier process.
    """
    fleet = make_fleet(gateways=1)
    fleet.report("r0", "e1")
    fleet.submit("r0", ReplaceManifest("a", 1, b"one"))
    fleet.run(1.0)
    for version in range(2, 30):
        fleet.kill("g0")
        fleet.run(0.05)
        fleet.submit("r0", ReplaceManifest(f"c{version}", version, b"more"))
        fleet.run(0.001 * version)
        fleet.start("g0")
        fleet.run(0.04)
        first = next((n for n in fleet.updates("g0") if n.update.document), None)
        if first is not None:
            assert first.can_apply_endpoints and first.update.changed


def test_replicas_send_no_manifest_that_a_host_would_refuse(monkeypatch):
    """Guard against a large manifest in each answer while a restarted fleet has no leader."""
    fleet = make_fleet(gateways=6)
    fleet.submit("r0", ReplaceManifest("a", 2, b"two"))
    fleet.run(1.0)
    for name in list(fleet.hosts):
        fleet.kill(name)
    fleet.run(1.0)
    sent = []
    schedule = fleet.schedule
    monkeypatch.setattr(
        fleet, "schedule", lambda *args: (sent.append((fleet.now, args[-1])), schedule(*args))[1]
    )
    for name in fleet.hosts:
        fleet.start(name)
    fleet.run(2.0)
    updates = [content for _, content in sent if isinstance(content, FeedUpdate)]
    assert updates and all(update.current for update in updates if update.document)
    # Each host needs one copy, and may poll a second time while the first one is in transit.
    assert sum(bool(update.document) for update in updates) <= 2 * 6


def test_an_endpoint_reports_to_a_live_replica_of_its_own_zone():
    """Guard against reports that permanently cross zones or are sent to a failed replica."""
    fleet = make_fleet(replicas=6)
    reports = [
        EndpointReport(f"e{n}", "svc", f"z{n % 3 + 1}", f"10.0.0.{n}:80", 8) for n in range(60)
    ]
    chosen = {r.endpoint: choose_report_replica(fleet.control("r0"), r, fleet.now) for r in reports}
    for report in reports:
        assert fleet.hosts[chosen[report.endpoint]].zone == report.zone
    assert set(chosen.values()) == {f"r{n}" for n in range(6)}
    lost = next(name for name in ("r1", "r4") if not fleet.control(name).is_leader)
    fleet.kill(lost)
    fleet.run(3.0)
    chosen = {choose_report_replica(fleet.control("r0"), r, fleet.now) for r in reports}
    assert lost not in chosen and len(chosen) == 5
    # A zone without a replica has no preference.
    report = EndpointReport("e1", "svc", "z9", "10.0.0.1:80", 8)
    assert choose_report_replica(fleet.control("r0"), report, fleet.now) == ""


def test_an_inconsistent_message_is_dropped_without_other_effects():
    """Guard against a malformed message that terminates the whole process."""
    fleet = make_fleet()
    gossip = EndpointGossip("z1", hosts=("h1",), host_zones=())
    step(fleet.hosts["r0"].node, MessageReceived(fleet.now, "r1", 1, gossip))
    update = fleet.updates("g0")[-1].update
    for name in ("hosts", "members", "restored"):
        damaged = replace(update, **{name: (*getattr(update, name), "x")})
        effects = step(fleet.hosts["g0"].node, MessageReceived(fleet.now, "r0", 1, damaged))
        assert [type(effect) for effect in effects] == [WriteLog]
    fleet.submit("r0", ReplaceManifest("a", 1, b"one"))
    fleet.run(0.5)
    assert fleet.known_version("g0") == 1
