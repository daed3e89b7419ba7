"""Simulate replicas, their disks and the network, and compare them with a reference log."""

import heapq
import random
from dataclasses import dataclass, field

import xxhash

from marjorambridge.core.effects import Publish, SendMessage, SetTimer
from marjorambridge.core.events import MessageReceived, Started, TimerFired
from marjorambridge.core.timers import TimerTable, compute_next_due, pop_due, set_timer
from marjorambridge.replication import effects as ef
from marjorambridge.replication import events as ev
from marjorambridge.replication.logs import get_last_index, get_term
from marjorambridge.replication.models import RecoveredGroup, RecoveredReplica, ReplicaId
from marjorambridge.replication.quorums import get_membership_at, is_voter, list_voters
from marjorambridge.replication.recovery import recover
from marjorambridge.replication.reducer import step
from marjorambridge.replication.state import ReplicaState, ReplicationSettings, Role


class ViolationError(AssertionError):
    """A property of the replicated log does not hold."""


def check(condition: bool, text: str) -> None:
    if not condition:
        raise ViolationError(text)


@dataclass
class Disk:
    """Keep synced data in `durable`; `writes` are lost, or kept in part, in a crash."""

    durable: RecoveredReplica
    writes: list[ef.StorageEffect] = field(default_factory=list)
    full: bool = False

    def apply(self, effect: ef.StorageEffect) -> None:
        if isinstance(effect, ef.SaveCluster):
            self.durable.cluster, self.durable.founders = effect.cluster, effect.founders
        if not isinstance(effect, ef.SaveVote | ef.SaveEntries | ef.SaveSnapshot):
            return
        group = self.durable.groups.setdefault(effect.group, RecoveredGroup())
        if isinstance(effect, ef.SaveVote):
            group.term, group.voted_for = effect.term, effect.voted_for
        elif isinstance(effect, ef.SaveEntries):
            first = effect.entries[0].index
            group.entries = [e for e in group.entries if e.index < first] + list(effect.entries)
        else:
            group.snapshot = effect.snapshot
            if effect.first_index == 0:
                group.entries = []
            group.entries = [e for e in group.entries if e.index > effect.snapshot.index]


@dataclass
class SimulatedReplica:
    host: str
    disk: Disk
    state: ReplicaState | None = None
    incarnation: int = 0
    paused: bool = False
    delayed_events: list = field(default_factory=list)
    timers: TimerTable = field(default_factory=TimerTable)
    applied: dict[int, int] = field(default_factory=dict)
    digest: dict[int, int] = field(default_factory=dict)


class Fleet:
    """Run replicas in virtual time; every property is checked after every step."""

    def __init__(self, count=3, seed=1, bootstrap_hosts=None, spare=0, **settings):
        self.random = random.Random(seed)
        self.now = 0.0
        self.queue: list = []
        self.serial = 0
        self.loss = self.duplication = 0.0
        self.delay = 0.002
        self.sync_delay = 0.003
        self.isolated: set[str] = set()
        self.links_down: set[tuple[str, str]] = set()
        self.events: list[tuple[str, object]] = []
        self.reference: dict[tuple[int, int], tuple[int, bytes]] = {}
        self.digests: dict[tuple[int, int], int] = {}
        self.memberships: dict[int, tuple[int, object]] = {}
        self.leaders: dict[tuple[int, int], object] = {}
        self.acknowledged: dict[str, tuple[int, int, bytes]] = {}
        self.proposed: dict[str, bytes] = {}
        self.sent: list = []
        self.settings = {
            "groups": 1,
            "snapshot_interval_entries": 20,
            "snapshot_trailing_entries": 5,
        }
        self.settings |= {"snapshot_chunk_bytes": 64, "max_append_bytes": 400} | settings
        names = [f"r{number}" for number in range(count + spare)]
        self.peers = tuple(names[:count])
        self.bootstrap_hosts = set(names if bootstrap_hosts is None else bootstrap_hosts)
        self.replicas: dict[str, SimulatedReplica] = {}
        for name in names:
            self.replicas[name] = SimulatedReplica(name, self.make_disk(name))
            self.start(name)

    def make_disk(self, host):
        return Disk(RecoveredReplica(f"{host}-{self.random.getrandbits(32):x}"))

    # Processes.

    def start(self, host):
        replica = self.replicas[host]
        if replica.state is not None:
            return
        replica.incarnation += 1
        replica.paused = False
        replica.delayed_events.clear()
        replica.timers = TimerTable()
        replica.applied, replica.digest = {}, {}
        settings = ReplicationSettings(
            host, self.peers, bootstrap=host in self.bootstrap_hosts, **self.settings
        )
        recovered = replica.disk.durable
        replica.state, effects = recover(settings, recovered, self.random.getrandbits(32), self.now)
        self.execute_effects(replica, effects)
        self.execute_effects(replica, step(replica.state, Started(self.now)))

    def crash(self, host, kept_ratio=0.0):
        """Stop a process; the fraction `kept_ratio` of the unsynced writes remains on the disk."""
        replica = self.replicas[host]
        if replica.state is None:
            return
        replica.state = None
        replica.incarnation += 1
        for effect in replica.disk.writes[: int(kept_ratio * len(replica.disk.writes))]:
            replica.disk.apply(effect)
        replica.disk.writes.clear()

    def wipe(self, host):
        self.crash(host)
        self.replicas[host].disk = self.make_disk(host)
        self.start(host)

    def resume(self, host):
        replica = self.replicas[host]
        replica.paused = False
        delayed_events, replica.delayed_events = replica.delayed_events, []
        for event in delayed_events:
            self.deliver_event(replica, replica.incarnation, event)

    def are_all_disks_voters(self):
        """Return whether every current disk is a voter, so that one may be lost."""
        if len(self.memberships) < self.settings["groups"]:
            return False
        return all(
            is_voter(membership, self.get_id(replica))
            for _, membership in self.memberships.values()
            for replica in self.replicas.values()
            if replica.host in self.peers
        )

    @staticmethod
    def get_id(replica):
        return ReplicaId(replica.host, replica.disk.durable.disk)

    # Virtual time.

    def schedule(self, at, replica, incarnation, kind, value):
        self.serial += 1
        heapq.heappush(self.queue, (at, self.serial, replica.host, incarnation, kind, value))

    def run(self, seconds):
        end = self.now + seconds
        while True:
            due = [
                (at, host)
                for host, replica in self.replicas.items()
                if replica.state and not replica.paused
                if (at := compute_next_due(replica.timers)) is not None
            ]
            timer = min(due, default=(float("inf"), ""))
            queued = self.queue[0][0] if self.queue else float("inf")
            if min(timer[0], queued) > end:
                self.now = end
                return
            if timer[0] <= queued:
                self.now = max(self.now, timer[0])
                replica = self.replicas[timer[1]]
                for key in pop_due(replica.timers, self.now):
                    self.deliver_event(replica, replica.incarnation, TimerFired(self.now, key))
                continue
            at, _, host, incarnation, kind, value = heapq.heappop(self.queue)
            self.now = max(self.now, at)
            replica = self.replicas[host]
            if kind == "sync":
                self.finish_sync(replica, incarnation, value)
            else:
                self.deliver_event(replica, replica.incarnation, value)

    def run_until(self, condition, limit=20.0):
        end = self.now + limit
        while not condition():
            check(self.now < end, f"condition not met after {limit} s")
            self.run(0.02)

    def finish_sync(self, replica, incarnation, ticket):
        if incarnation != replica.incarnation or replica.state is None:
            return
        if replica.disk.full:
            self.deliver_event(
                replica, incarnation, ev.StorageFailed(self.now, ticket, "no space left on device")
            )
            return
        while replica.disk.writes:
            effect = replica.disk.writes.pop(0)
            if isinstance(effect, ef.SyncStorage) and effect.ticket == ticket:
                break
            replica.disk.apply(effect)
        self.deliver_event(replica, incarnation, ev.StorageSynced(self.now, ticket))

    def deliver_event(self, replica, incarnation, event):
        if incarnation != replica.incarnation or replica.state is None:
            return
        if replica.paused:
            replica.delayed_events.append(event)
            return
        event.now = self.now
        self.execute_effects(replica, step(replica.state, event))

    def execute_effects(self, replica, effects):
        for effect in effects:
            if isinstance(effect, SendMessage):
                self.send(replica, effect)
            elif isinstance(effect, SetTimer):
                set_timer(replica.timers, effect.key, effect.at)
            elif isinstance(effect, ef.StorageEffect):
                replica.disk.writes.append(effect)
                if isinstance(effect, ef.SyncStorage):
                    at = self.now + self.sync_delay * self.random.choice([0.1, 1.0, 4.0])
                    self.schedule(at, replica, replica.incarnation, "sync", effect.ticket)
            elif isinstance(effect, Publish):
                self.handle_published_event(replica, effect.event)
        if replica.state is not None:
            self.check_leaders(replica)

    def send(self, replica, effect):
        self.sent.append(effect.message)
        # Otherwise replies that cause more than one message each would stall the run.
        check(len(self.sent) < 300_000, "messages multiply")
        to = self.replicas.get(effect.to)
        is_isolated = (replica.host in self.isolated) != (effect.to in self.isolated)
        if to is None or is_isolated or (replica.host, effect.to) in self.links_down:
            return
        copies = 2 if self.random.random() < self.duplication else 1
        for _ in range(copies):
            if self.random.random() >= self.loss:
                at = self.now + self.delay * self.random.uniform(0.2, 2)
                event = MessageReceived(at, replica.host, 1, effect.message)
                self.schedule(at, to, 0, "message", event)

    # Properties.

    def handle_published_event(self, replica, event):
        self.events.append((replica.host, event))
        if isinstance(event, ev.EntryCommitted):
            self.check_entry(replica, event)
        elif isinstance(event, ev.SnapshotInstalled):
            group = event.group
            digest = int(event.data.split(b":")[0])
            check(self.digests.get((group, event.index)) == digest, "snapshot differs")
            check(event.index >= replica.applied.get(group, 0), "snapshot index decreases")
            replica.applied[group], replica.digest[group] = event.index, digest
        elif isinstance(event, ev.SnapshotRequested):
            # The padding makes a transfer take several chunks.
            data = f"{replica.digest[event.group]}:".encode() + b"x" * 300
            index = replica.applied[event.group]
            self.schedule(
                self.now,
                replica,
                0,
                "message",
                ev.SnapshotTaken(self.now, event.group, index, data),
            )

    def check_entry(self, replica, event):
        group, index = event.group, event.index
        check(index == replica.applied.get(group, 0) + 1, "entry skipped or repeated")
        known = self.reference.setdefault((group, index), (event.term, event.payload))
        check(known == (event.term, event.payload), f"committed entry {index} changed")
        digest = xxhash.xxh3_64_intdigest(b"%d" % replica.digest.get(group, 0) + event.payload)
        replica.applied[group], replica.digest[group] = index, digest
        self.digests[group, index] = digest
        if event.proposal:
            check(self.proposed[event.proposal] == event.payload, "wrong proposal acknowledged")
            self.acknowledged[event.proposal] = (group, index, event.payload)
        state = replica.state.groups[group]
        if index >= self.memberships.get(group, (0, None))[0]:
            self.memberships[group] = (index, get_membership_at(state, index))

    def check_leaders(self, replica):
        for number, group in replica.state.groups.items():
            if group.role is Role.LEADER:
                known = self.leaders.setdefault((number, group.term), replica.state.replica)
                check(known == replica.state.replica, f"two leaders in term {group.term}")

    def end_faults_and_check(self):
        """End all faults and check that every replica's log converges on the reference log."""
        self.loss = self.duplication = 0.0
        self.delay, self.sync_delay = 0.002, 0.003
        self.isolated.clear()
        self.links_down.clear()
        for host, replica in self.replicas.items():
            if replica.paused:
                self.resume(host)
            if replica.state is not None and replica.state.halted:
                self.crash(host)
            replica.disk.full = False
            self.start(host)
        self.run_until(self.are_all_disks_voters, 60.0)
        for group in range(self.settings["groups"]):
            self.commit_one(group)
        for group in range(self.settings["groups"]):
            last = max(index for number, index in self.reference if number == group)
            self.run_until(
                lambda group=group, last=last: all(
                    self.replicas[host].applied.get(group, 0) >= last for host in self.peers
                )
            )
        for group, index, payload in self.acknowledged.values():
            check(self.reference[group, index][1] == payload, "acknowledged proposal lost")
            for host in self.peers:
                log = self.replicas[host].state.groups[group].log
                term = get_term(log, index)
                check(term in (None, self.reference[group, index][0]), "log differs from reference")
                check(get_last_index(log) >= index, "log lacks committed entries")
        for host in self.peers:
            replica = self.replicas[host]
            for group, index in replica.applied.items():
                check(self.digests[group, index] == replica.digest[group], "states differ")

    # Helpers of the directed tests.

    def find_leader(self, group=0):
        leaders = [
            replica
            for replica in self.replicas.values()
            if replica.state
            and not replica.paused
            and replica.state.groups[group].role is Role.LEADER
        ]
        leaders.sort(key=lambda replica: replica.state.groups[group].term)
        return leaders[-1] if leaders else None

    def wait_for_leader(self, group=0, without=()):
        def is_ready():
            replica = self.find_leader(group)
            if replica is None or replica.host in without:
                return False
            state = replica.state.groups[group]
            return state.commit_index >= state.term_start_index

        self.run_until(is_ready)
        return self.find_leader(group)

    def propose(self, host, group=0, size=8):
        name = f"p{len(self.proposed)}"
        self.proposed[name] = name.encode() + b"." * size
        replica = self.replicas[host]
        if replica.state is not None:
            event = ev.ProposalRequested(self.now, group, name, self.proposed[name])
            self.deliver_event(replica, replica.incarnation, event)
        return name

    def commit_one(self, group):
        """Propose until a proposal is acknowledged, because one to an old leader may be lost."""
        for _ in range(20):
            name = self.propose(self.wait_for_leader(group).host, group)
            self.run(0.5)
            if name in self.acknowledged:
                return
        check(False, "condition not met: no proposal is acknowledged")

    def drop_messages(self):
        """Drop all messages in transit."""
        self.queue = [item for item in self.queue if item[4] != "message"]
        heapq.heapify(self.queue)

    def commit(self, count=1, size=8):
        names = [self.propose(self.wait_for_leader().host, size=size) for _ in range(count)]
        self.run_until(lambda: all(name in self.acknowledged for name in names))

    def list_voter_hosts(self, group=0):
        return {voter.host for voter in list_voters(self.memberships[group][1])}

    def list_events(self, kind, host=None):
        return [e for h, e in self.events if isinstance(e, kind) and host in (None, h)]
