"""Simulate claims clients and replicas; messages and proposals are lost, duplicated and delayed."""

import random
from contextlib import contextmanager
from dataclasses import dataclass, field

from marjorambridge.claims import state_machine
from marjorambridge.claims.commands import Policy
from marjorambridge.claims.events import (
    ClaimCompletionRequested,
    ClaimDecided,
    ClaimReleaseRequested,
    ClaimRequested,
    ClaimSettled,
    WallClockRead,
)
from marjorambridge.claims.messages import ClaimRelease, RecordedAnswer
from marjorambridge.claims.reducer import step
from marjorambridge.claims.state import ClaimSettings, create_state
from marjorambridge.core.effects import CancelTimer, Publish, SendMessage, SetTimer
from marjorambridge.core.events import MessageReceived, Started, TimerFired, ViewApplied
from marjorambridge.core.identity import AttemptId
from marjorambridge.core.timers import TimerTable, cancel_timer, pop_due, set_timer
from marjorambridge.core.view import HostEntry, View
from marjorambridge.replication import events as log_events

HOSTS = ("host-1", "host-2", "host-3")
KEYS = ("a", "b", "c")
EPOCH = 1_700_000_000.0
SKEW = 40 * 86_400.0
ACTIONS = (
    ["deliver"] * 12
    + ["claim"] * 3
    + ["finish", "commit", "apply"] * 6
    + ["time"] * 2
    + ["drop", "duplicate", "elect", "restart", "snapshot", "view", "late_release", "skew"]
)


class ViolationError(AssertionError):
    """A rule about claims was broken."""


@dataclass
class Simulation:
    """Hosts, log, messages in flight, and the records against which the rules are checked."""

    now: float = 0.0
    states: dict = field(default_factory=dict)
    timers: dict = field(default_factory=dict)
    incarnations: dict = field(default_factory=lambda: dict.fromkeys(HOSTS, 0))
    skews: dict = field(default_factory=lambda: dict.fromkeys(HOSTS, 0.0))
    applied: dict = field(default_factory=dict)
    log: list = field(default_factory=list)
    proposed: list = field(default_factory=list)
    snapshot: tuple | None = None
    leader: str = ""
    term: int = 0
    in_flight: list = field(default_factory=list)
    number: int = 0
    requested: dict = field(default_factory=dict)
    held: dict = field(default_factory=dict)
    holder: dict = field(default_factory=dict)
    executed: dict = field(default_factory=dict)
    recorded: dict = field(default_factory=dict)
    abandoned: set = field(default_factory=set)
    decided: int = 0

    def start(self, host):
        self.incarnations[host] += 1
        if host in self.states:
            # The old process may hold a key or have a claim in progress.
            self.abandoned.update(call.key for call in self.states[host].client.calls.values())
        settings = ClaimSettings(policy=Policy(tombstone_seconds=20 * 86_400.0))
        self.states[host] = create_state(settings, host, self.incarnations[host], HOSTS, True)
        self.timers[host] = TimerTable()
        self.applied[host] = 0
        for claim, (at, _, _) in list(self.requested.items()):
            if at == host:
                del self.requested[claim]
                self.held.pop(claim, None)
        self.process_event(host, Started(self.now))
        self.process_event(host, WallClockRead(self.now, EPOCH + self.now))
        if self.snapshot is not None:
            index, data = self.snapshot
            self.process_event(host, log_events.SnapshotInstalled(self.now, 1, index, 1, data))
            self.applied[host] = index
        leads = host == self.leader
        event = log_events.LeadershipChanged(self.now, 1, self.leader, self.term, False)
        self.process_event(host, event)
        if leads:
            self.elect(host)

    def process_event(self, host, event):
        with replica_clock(EPOCH + self.now + self.skews[host]):
            effects = step(self.states[host], event)
        for effect in effects:
            if isinstance(effect, SendMessage):
                self.in_flight.append((effect.to, host, self.incarnations[host], effect.message))
            elif isinstance(effect, SetTimer):
                set_timer(self.timers[host], effect.key, effect.at)
            elif isinstance(effect, CancelTimer):
                cancel_timer(self.timers[host], effect.key)
            elif isinstance(effect, Publish):
                self.receive(host, effect.event)

    def receive(self, host, event):
        if isinstance(event, log_events.ProposalRequested):
            if host == self.leader:
                self.proposed.append((event.payload, event.proposal))
            else:
                refusal = log_events.ProposalRefused(
                    self.now, 1, event.proposal, "not leader", self.leader
                )
                self.process_event(host, refusal)
        elif isinstance(event, log_events.SnapshotTaken):
            self.snapshot = (event.index, event.data)
        elif isinstance(event, ClaimDecided):
            self.check_decision(event)
        elif isinstance(event, ClaimSettled) and event.committed and event.claim in self.executed:
            self.recorded[self.executed[event.claim]] = event.claim

    def check_decision(self, event):
        self.decided += 1
        host, key, recorded = self.requested[event.claim]
        if event.status == "granted":
            if key in self.holder or key in self.executed.values():
                raise ViolationError(f"{key} was granted to {event.claim} while held or used")
            self.holder[key] = event.claim
            self.held[event.claim] = key
        else:
            del self.requested[event.claim]
        if event.status == "completed":
            expected = [str(claim).encode() for claim, used in self.executed.items() if used == key]
            if [event.answer.body] != expected:
                raise ViolationError(f"{key} was answered with {event.answer.body!r}")
        elif recorded and event.status != "unavailable":
            raise ViolationError(f"{key} is completed, but the resend got {event.status}")

    def apply_next(self, host):
        index = self.applied[host]
        if index < len(self.log):
            self.applied[host] += 1
            payload, proposal = self.log[index]
            self.process_event(
                host, log_events.EntryCommitted(self.now, 1, index + 1, 1, payload, proposal)
            )

    def elect(self, host):
        while self.applied[host] < len(self.log):
            self.apply_next(host)
        self.leader, self.skews[host] = host, 0.0
        self.term += 1
        for each in self.states:
            event = log_events.LeadershipChanged(self.now, 1, host, self.term, each == host)
            self.process_event(each, event)

    def advance(self, seconds):
        self.now += seconds
        for host in HOSTS:
            for key in pop_due(self.timers[host], self.now):
                self.process_event(host, TimerFired(self.now, key))

    def act(self, action, selector):
        host = HOSTS[selector % 3]
        if action in ("deliver", "duplicate", "drop"):
            if self.in_flight:
                index = selector % len(self.in_flight)
                to, sender, incarnation, message = self.in_flight[index]
                if action != "duplicate":
                    self.in_flight[index] = self.in_flight[-1]
                    self.in_flight.pop()
                if action != "drop":
                    self.process_event(to, MessageReceived(self.now, sender, incarnation, message))
        elif action == "claim":
            self.number += 1
            key = KEYS[selector // 3 % 3]
            claim = AttemptId(host, self.incarnations[host], self.number)
            self.requested[claim] = (host, key, key in self.recorded)
            self.process_event(
                host,
                ClaimRequested(self.now, claim, "w", key, "f", self.now + 2 + selector % 5, EPOCH),
            )
        elif action == "finish" and self.held:
            claim = sorted(self.held)[selector % len(self.held)]
            key = self.held.pop(claim)
            del self.requested[claim]
            if selector % 2:
                self.executed[claim] = key
                answer = RecordedAnswer(200, (("a", "b"),), str(claim).encode())
                event = ClaimCompletionRequested(self.now, claim, answer, self.now + 2)
            else:
                del self.holder[key]
                event = ClaimReleaseRequested(self.now, claim, self.now + 2)
            self.process_event(claim.host, event)
        elif action == "commit" and self.proposed:
            self.log.append(self.proposed.pop(0))
        elif action == "apply":
            self.apply_next(host)
        elif action == "elect" and selector % 3 == 0:
            self.log += self.proposed[: selector % (len(self.proposed) + 1)]
            self.proposed.clear()
            self.elect(host)
        elif action == "time":
            self.advance((0.003, 0.1, 0.5, 1.0)[selector % 4])
        elif action == "restart" and selector % 4 == 0:
            self.proposed = [] if host == self.leader else self.proposed
            self.start(host)
        elif action == "snapshot":
            self.process_event(host, log_events.SnapshotRequested(self.now, 1))
        elif action == "view":
            removed = HOSTS[selector // 3 % 3]
            entries = [
                HostEntry(h, self.incarnations[h], "", "", "") for h in HOSTS if h != removed
            ]
            view = View(1, {entry.host: entry for entry in entries})
            self.process_event(host, ViewApplied(self.now, 1, view))
        elif action == "late_release" and self.recorded:
            key = sorted(self.recorded)[selector % len(self.recorded)]
            message = ClaimRelease(self.recorded[key], "w", key)
            self.in_flight.append((self.leader, host, 1, message))
        elif action == "skew" and host != self.leader:
            # The clock of a follower is wrong until it is elected.
            self.skews[host] = SKEW

    def settle(self):
        """Deliver all messages, claim all keys at each leader and compare the replicas."""
        for _ in range(400):
            for _ in range(len(self.in_flight)):
                self.act("deliver", 0)
            while self.proposed:
                self.act("commit", 0)
            for host in HOSTS:
                while self.applied[host] < len(self.log):
                    self.apply_next(host)
            self.advance(0.5)
        for leader in HOSTS:
            self.elect(leader)
            for key in KEYS:
                if key not in self.abandoned:
                    self.check_free_key(key)
        snapshots = set()
        for host, state in self.states.items():
            while self.applied[host] < len(self.log):
                self.apply_next(host)
            snapshots.add(state_machine.take_snapshot(state.replica.groups[1].machine))
        if len(snapshots) > 1:
            raise ViolationError("the replicas differ")

    def check_free_key(self, key):
        """Claim a key, and check that a key that is neither held nor used is granted."""
        before = len(self.held)
        free = key not in self.holder
        self.act("claim", 3 * KEYS.index(key))
        self.run_without_loss()
        if free and len(self.held) == before:
            raise ViolationError(f"{key} is free, but was not granted")

    def run_without_loss(self):
        """Deliver, commit and apply at the leader for one second, without losses."""
        for _ in range(10):
            for _ in range(len(self.in_flight)):
                self.act("deliver", 0)
            while self.proposed:
                self.act("commit", 0)
            self.apply_next(self.leader)
            self.advance(0.1)


REPLICA_CLOCK = [0.0]


@contextmanager
def replica_clock(wall):
    """Set the clock that only the faulty variants read."""
    REPLICA_CLOCK[0] = wall
    yield


def start_simulation():
    simulation = Simulation()
    for host in HOSTS:
        simulation.start(host)
    simulation.elect(HOSTS[0])
    return simulation


def run_seed(seed, actions=250):
    """Run a random session and return it."""
    generator = random.Random(seed)
    simulation = start_simulation()
    for _ in range(actions):
        simulation.act(generator.choice(ACTIONS), generator.randrange(10_000))
    simulation.settle()
    return simulation
