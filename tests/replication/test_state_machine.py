"""Test the safety of the replicated log under random combinations of faults.

Injected bugs show that the same checks detect violations of the protocol.
"""

import pytest
from hypothesis import HealthCheck, Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    precondition,
    rule,
    run_state_machine_as_test,
)

from marjorambridge.core.effects import SendMessage
from marjorambridge.replication import appends, commits, elections, models
from marjorambridge.replication.exceptions import LogConflictError
from marjorambridge.replication.logs import get_last_index
from tests.replication.fleets import Fleet, ViolationError

SHORT_SECONDS = st.sampled_from([0.005, 0.02, 0.1])
LONG_SECONDS = st.sampled_from([0.3, 0.8, 2.0])


class CrashesMachine(RuleBasedStateMachine):
    """Run replicas that crash and lose their unsynced writes."""

    count = 3
    groups = 1

    @initialize(seed=st.integers(0, 2**32))
    def start_fleet(self, seed):
        self.fleet = Fleet(self.count, seed, groups=self.groups)
        self.fleet.run_until(self.fleet.are_all_disks_voters)

    def get_host(self, number):
        return self.fleet.peers[number % self.count]

    @rule(seconds=LONG_SECONDS)
    def wait(self, seconds):
        self.fleet.run(seconds)

    @rule(seconds=SHORT_SECONDS, number=st.integers(0, 4), count=st.integers(1, 12))
    def propose(self, seconds, number, count):
        for group in range(self.groups):
            leader = self.fleet.find_leader(group)
            host = leader.host if leader and number else self.get_host(number)
            for _ in range(count):
                self.fleet.propose(host, group)
        self.fleet.run(seconds)

    @rule(kept_ratio=st.sampled_from([0.0, 0.5]), seconds=LONG_SECONDS)
    def crash_all_but_one(self, kept_ratio, seconds):
        """Crash the leader, and restart the other replicas without their unsynced writes."""
        leader = self.fleet.find_leader()
        if leader:
            self.fleet.crash(leader.host, kept_ratio)
            for host in self.fleet.peers:
                if host != leader.host:
                    self.fleet.crash(host)
                    self.fleet.start(host)
        self.fleet.run(seconds)

    @rule(number=st.integers(0, 4), seconds=SHORT_SECONDS)
    def start(self, number, seconds):
        self.fleet.start(self.get_host(number))
        self.fleet.run(seconds)

    @rule(sync_delay=st.sampled_from([0.003, 0.1, 0.5]))
    def change_disks(self, sync_delay):
        self.fleet.sync_delay = sync_delay

    def teardown(self):
        if hasattr(self, "fleet"):
            self.fleet.end_faults_and_check()


class ReplicasMachine(CrashesMachine):
    """Add wiped and full disks, paused processes, partitions and network faults."""

    @rule(
        number=st.integers(0, 4), kept_ratio=st.sampled_from([0.0, 0.5, 1.0]), seconds=SHORT_SECONDS
    )
    def crash(self, number, kept_ratio, seconds):
        self.fleet.crash(self.get_host(number), kept_ratio)
        self.fleet.run(seconds)

    @rule(kept_ratio=st.sampled_from([0.0, 0.5]), seconds=SHORT_SECONDS)
    def restart_all(self, kept_ratio, seconds):
        for host in self.fleet.peers:
            self.fleet.crash(host, kept_ratio)
            self.fleet.start(host)
        self.fleet.run(seconds)

    @precondition(lambda self: self.fleet.are_all_disks_voters())
    @rule(number=st.integers(0, 4), seconds=LONG_SECONDS)
    def wipe(self, number, seconds):
        self.fleet.wipe(self.get_host(number))
        self.fleet.run(seconds)

    @rule(number=st.integers(0, 4), seconds=LONG_SECONDS)
    def pause(self, number, seconds):
        self.fleet.replicas[self.get_host(number)].paused = True
        self.fleet.run(seconds)

    @rule(number=st.integers(0, 4))
    def resume(self, number):
        self.fleet.resume(self.get_host(number))

    @rule(numbers=st.sets(st.integers(0, 4), max_size=2), seconds=LONG_SECONDS)
    def isolate(self, numbers, seconds):
        self.fleet.isolated = {self.get_host(number) for number in numbers}
        self.fleet.run(seconds)

    @rule(pair=st.tuples(st.integers(0, 4), st.integers(0, 4)), seconds=LONG_SECONDS)
    def toggle_one_way_link(self, pair, seconds):
        self.fleet.links_down ^= {(self.get_host(pair[0]), self.get_host(pair[1]))}
        self.fleet.run(seconds)

    @rule(
        loss=st.sampled_from([0.0, 0.1, 0.4]),
        duplication=st.sampled_from([0.0, 0.3]),
        delay=st.sampled_from([0.002, 0.05, 0.4]),
    )
    def change_network(self, loss, duplication, delay):
        self.fleet.loss, self.fleet.duplication = loss, duplication
        self.fleet.delay = delay

    @rule(number=st.integers(0, 4))
    def fill_disk(self, number):
        if not any(replica.disk.full for replica in self.fleet.replicas.values()):
            self.fleet.replicas[self.get_host(number)].disk.full = True


class FiveReplicasMachine(ReplicasMachine):
    count = 5


class TwoGroupsMachine(ReplicasMachine):
    groups = 2


FULL_SETTINGS = settings(max_examples=120, stateful_step_count=30)
BUG_SEARCH_SETTINGS = settings(
    max_examples=300,
    stateful_step_count=40,
    phases=[Phase.generate],
    report_multiple_bugs=False,
    suppress_health_check=list(HealthCheck),
)


@pytest.mark.parametrize(
    "machine", [CrashesMachine, ReplicasMachine, FiveReplicasMachine, TwoGroupsMachine]
)
def test_no_committed_entry_is_lost_or_changed(machine):
    run_state_machine_as_test(machine, settings=FULL_SETTINGS)


def send_without_sync(replica, group, effects, ticket, message):
    effects.append(SendMessage(message.target.host, message))


def inject_unsynced_vote(monkeypatch):
    monkeypatch.setattr(elections, "send_after_sync", send_without_sync)


def inject_unsynced_acknowledgement(monkeypatch):
    monkeypatch.setattr(appends, "send_after_sync", send_without_sync)


def inject_counting_of_older_terms(monkeypatch):
    monkeypatch.setattr(commits, "is_of_current_term", lambda group, index: True)


def inject_wiped_voter(monkeypatch):
    """Identify replicas by host, so that votes of a new disk count for the old one."""
    monkeypatch.setattr(models, "is_same_replica", lambda one, other: one.host == other.host)


@pytest.mark.parametrize("inject", [inject_unsynced_vote, inject_unsynced_acknowledgement])
def test_random_schedules_detect_an_injected_bug(monkeypatch, inject):
    inject(monkeypatch)
    with pytest.raises((ViolationError, LogConflictError)) as caught:
        run_state_machine_as_test(CrashesMachine, settings=BUG_SEARCH_SETTINGS)
    assert "condition not met" not in str(caught.value)


def run_older_term_schedule():
    """Replicate an entry of an older term to a majority, and then elect a leader that lacks it."""
    fleet = Fleet(5, snapshot_interval_entries=1000)
    fleet.commit(1)
    fleet.run(0.5)
    first = fleet.wait_for_leader()
    second, third, fourth, fifth = (host for host in fleet.peers if host != first.host)
    # The first leader alone holds entries, each of which fills an append.
    fleet.isolated = {first.host}
    for _ in range(6):
        fleet.propose(first.host, size=390)
    fleet.run(0.1)
    fleet.crash(first.host)
    index = get_last_index(fleet.replicas[second].state.groups[0].log) + 1
    # The second leader alone holds an entry of its term at the same index.
    for host in (third, fourth, fifth):
        fleet.replicas[host].state.groups[0].election_at = fleet.now + 60.0
    while fleet.find_leader() is None:
        fleet.run(0.0005)
    assert fleet.find_leader().host == second
    fleet.isolated = {second}
    fleet.drop_messages()
    fleet.run(0.05)
    for host in (second, fifth):
        fleet.crash(host)
    fleet.isolated.clear()
    # The first leader leads again, and its entry reaches the third and the fourth replica.
    fleet.start(first.host)
    while not all(
        len(fleet.replicas[host].disk.durable.groups[0].entries) >= index
        for host in (third, fourth)
    ):
        fleet.run(0.0005)
    match = first.state.groups[0].progress
    while sorted(item.match_index for item in match.values())[-2] < index:
        fleet.run(0.0002)
    fleet.drop_messages()
    for host in (first.host, third):
        fleet.crash(host)
    for host in (second, fifth):
        fleet.start(host)
    fleet.replicas[fourth].state.groups[0].election_at = fleet.now + 60.0
    fleet.commit(1)
    assert fleet.find_leader().host == second
    fleet.end_faults_and_check()


def run_wiped_voter_schedule():
    """Wipe one of the two replicas that hold an entry, and start the one that does not."""
    fleet = Fleet(3)
    fleet.commit(1)
    first = fleet.wait_for_leader().host
    second, third = (host for host in fleet.peers if host != first)
    fleet.crash(third)
    fleet.commit(5)
    fleet.crash(first)
    fleet.start(third)
    fleet.wipe(second)
    fleet.run(5.0)
    fleet.start(first)
    fleet.end_faults_and_check()


SCHEDULES = [
    (run_older_term_schedule, inject_counting_of_older_terms),
    (run_wiped_voter_schedule, inject_wiped_voter),
]


@pytest.mark.parametrize("schedule", [schedule for schedule, _ in SCHEDULES])
def test_directed_schedule_passes_without_an_injected_bug(schedule):
    schedule()


@pytest.mark.parametrize(("schedule", "inject"), SCHEDULES)
def test_directed_schedule_detects_an_injected_bug(monkeypatch, schedule, inject):
    inject(monkeypatch)
    with pytest.raises((ViolationError, LogConflictError)) as caught:
        schedule()
    assert "condition not met" not in str(caught.value)
