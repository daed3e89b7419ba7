"""Simulate replicas, their disks and the network, and compare them with a single copy."""

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
    """Keep synced data in `durable`; `writes` are lost, or kept in part, by a crash."""

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
class Node:
    host: str
    disk: Disk
    state: ReplicaState | None = None
    life: int = 0
    frozen: bool = False
    backlog: list = field(default_factory=list)
    timers: TimerTable = field(default_factory=TimerTable)
    applied: dict[int, int] = field(default_factory=dict)
    digest: dict[int, int] = field(default_factory=dict)


class Fleet:
    """Run replicas in virtual time; every property is checked after every step."""

    def __init__(self, count=3, seed=1, flags=None, spare=0, **settings):
        self.random = random.Random(seed)
        self.now = 0.0
        self.queue: list = []
        self.serial = 0
        self.loss = self.duplication = 0.0
        self.delay = 0.002
        self.sync_delay = 0.003
        self.cut: set[str] = set()
        self.links_down: set[tuple[str, str]] = set()
        self.events: list[tuple[str, object]] = []
        self.reference: dict[tuple[int, int], tuple[int, bytes]] = {}
        self.digests: dict[tuple[int, int], int] = {}
        self.memberships: dict[int, tuple[int, object]] = {}
        self.leaders: dict[tuple[int, int], object] = {}
        self.acknowledged: dict[str, tuple[int, int, bytes]] = {}
        self.proposed: dict[str, bytes] = {}
        self.sent: list = []
        self.settings = {"groups": 1, "snapshot_entries": 20, "snapshot_trailing_entries": 5}
        self.settings |= {"snapshot_chunk_bytes": 64, "append_bytes": 400} | settings
        names = [f"r{number}" for number in range(count + spare)]
        self.peers = tuple(names[:count])
        self.flags = set(names if flags is None else flags)
        self.nodes: dict[str, Node] = {}
        for name in names:
            self.nodes[name] = Node(name, self.make_disk(name))
            self.start(name)

    def make_disk(self, host):
        return Disk(RecoveredReplica(f"{host}-{self.random.getrandbits(32):x}"))

    # Processes.

    def start(self, host):
        node = self.nodes[host]
        if node.state is not None:
            return
        node.life += 1
        node.frozen = False
        node.backlog.clear()
        node.timers = TimerTable()
        node.applied, node.digest = {}, {}
        settings = ReplicationSettings(
            host, self.peers, bootstrap=host in self.flags, **self.settings
        )
        recovered = node.disk.durable
        node.state, effects = recover(settings, recovered, self.random.getrandbits(32), self.now)
        self.handle(node, effects)
        self.handle(node, step(node.state, Started(self.now)))

    def crash(self, host, kept=0.0):
        """Stop a process; the part `kept` of the writes that were not synced survives."""
        node = self.nodes[host]
        if node.state is None:
            return
        node.state = None
        node.life += 1
        for effect in node.disk.writes[: int(kept * len(node.disk.writes))]:
            node.disk.apply(effect)
        node.disk.writes.clear()

    def wipe(self, host):
        self.crash(host)
        self.nodes[host].disk = self.make_disk(host)
        self.start(host)

    def thaw(self, host):
        node = self.nodes[host]
        node.frozen = False
        backlog, node.backlog = node.backlog, []
        for event in backlog:
            self.feed(node, node.life, event)

    def can_wipe(self):
        """Return whether every present disk is a voter, so that one may be lost."""
        if len(self.memberships) < self.settings["groups"]:
            return False
        return all(
            is_voter(membership, self.get_id(node))
            for _, membership in self.memberships.values()
            for node in self.nodes.values()
            if node.host in self.peers
        )

    @staticmethod
    def get_id(node):
        return ReplicaId(node.host, node.disk.durable.disk)

    # Virtual time.

    def push(self, at, node, life, kind, value):
        self.serial += 1
        heapq.heappush(self.queue, (at, self.serial, node.host, life, kind, value))

    def run(self, seconds):
        end = self.now + seconds
        while True:
            due = [
                (at, host)
                for host, node in self.nodes.items()
                if node.state and not node.frozen
                if (at := compute_next_due(node.timers)) is not None
            ]
            timer = min(due, default=(float("inf"), ""))
            queued = self.queue[0][0] if self.queue else float("inf")
            if min(timer[0], queued) > end:
                self.now = end
                return
            if timer[0] <= queued:
                self.now = max(self.now, timer[0])
                node = self.nodes[timer[1]]
                for key in pop_due(node.timers, self.now):
                    self.feed(node, node.life, TimerFired(self.now, key))
                continue
            at, _, host, life, kind, value = heapq.heappop(self.queue)
            self.now = max(self.now, at)
            node = self.nodes[host]
            if kind == "sync":
                self.finish_sync(node, life, value)
            else:
                self.feed(node, node.life, value)

    def run_until(self, condition, limit=20.0):
        end = self.now + limit
        while not condition():
            check(self.now < end, f"condition not met after {limit} s")
            self.run(0.02)

    def finish_sync(self, node, life, ticket):
        if life != node.life or node.state is None:
            return
        if node.disk.full:
            self.feed(node, life, ev.StorageFailed(self.now, ticket, "no space left on device"))
            return
        while node.disk.writes:
            effect = node.disk.writes.pop(0)
            if isinstance(effect, ef.SyncStorage) and effect.ticket == ticket:
                break
            node.disk.apply(effect)
        self.feed(node, life, ev.StorageSynced(self.now, ticket))

    def feed(self, node, life, event):
        if life != node.life or node.state is None:
            return
        if node.frozen:
            node.backlog.append(event)
            return
        event.now = self.now
        self.handle(node, step(node.state, event))

    def handle(self, node, effects):
        for effect in effects:
            if isinstance(effect, SendMessage):
                self.send(node, effect)
            elif isinstance(effect, SetTimer):
                set_timer(node.timers, effect.key, effect.at)
            elif isinstance(effect, ef.StorageEffect):
                node.disk.writes.append(effect)
                if isinstance(effect, ef.SyncStorage):
                    at = self.now + self.sync_delay * self.random.choice([0.1, 1.0, 4.0])
                    self.push(at, node, node.life, "sync", effect.ticket)
            elif isinstance(effect, Publish):
                self.observe(node, effect.event)
        if node.state is not None:
            self.check_leaders(node)

    def send(self, node, effect):
        self.sent.append(effect.message)
        # Replies that cause more than one message each would otherwise stall the run.
        check(len(self.sent) < 300_000, "messages multiply")
        to = self.nodes.get(effect.to)
        is_cut = (node.host in self.cut) != (effect.to in self.cut)
        if to is None or is_cut or (node.host, effect.to) in self.links_down:
            return
        copies = 2 if self.random.random() < self.duplication else 1
        for _ in range(copies):
            if self.random.random() >= self.loss:
                at = self.now + self.delay * self.random.uniform(0.2, 2)
                event = MessageReceived(at, node.host, 1, effect.message)
                self.push(at, to, 0, "message", event)

    # Properties.

    def observe(self, node, event):
        self.events.append((node.host, event))
        if isinstance(event, ev.EntryCommitted):
            self.check_entry(node, event)
        elif isinstance(event, ev.SnapshotInstalled):
            group = event.group
            digest = int(event.data.split(b":")[0])
            check(self.digests.get((group, event.index)) == digest, "snapshot differs")
            check(event.index >= node.applied.get(group, 0), "snapshot goes back")
            node.applied[group], node.digest[group] = event.index, digest
        elif isinstance(event, ev.SnapshotRequested):
            # The padding makes a transfer take several chunks.
            data = f"{node.digest[event.group]}:".encode() + b"x" * 300
            index = node.applied[event.group]
            self.push(
                self.now,
                node,
                0,
                "message",
                ev.SnapshotTaken(self.now, event.group, index, data),
            )

    def check_entry(self, node, event):
        group, index = event.group, event.index
        check(index == node.applied.get(group, 0) + 1, "entry skipped or repeated")
        known = self.reference.setdefault((group, index), (event.term, event.payload))
        check(known == (event.term, event.payload), f"committed entry {index} changed")
        digest = xxhash.xxh3_64_intdigest(b"%d" % node.digest.get(group, 0) + event.payload)
        node.applied[group], node.digest[group] = index, digest
        self.digests[group, index] = digest
        if event.proposal:
            check(self.proposed[event.proposal] == event.payload, "wrong proposal acknowledged")
            self.acknowledged[event.proposal] = (group, index, event.payload)
        state = node.state.groups[group]
        if index >= self.memberships.get(group, (0, None))[0]:
            self.memberships[group] = (index, get_membership_at(state, index))

    def check_leaders(self, node):
        for number, group in node.state.groups.items():
            if group.role is Role.LEADER:
                known = self.leaders.setdefault((number, group.term), node.state.replica)
                check(known == node.state.replica, f"two leaders in term {group.term}")

    def settle(self):
        """End all faults and check that every replica reaches the single copy."""
        self.loss = self.duplication = 0.0
        self.delay, self.sync_delay = 0.002, 0.003
        self.cut.clear()
        self.links_down.clear()
        for host, node in self.nodes.items():
            if node.frozen:
                self.thaw(host)
            if node.state is not None and node.state.halted:
                self.crash(host)
            node.disk.full = False
            self.start(host)
        self.run_until(self.can_wipe, 60.0)
        for group in range(self.settings["groups"]):
            self.commit_one(group)
        for group in range(self.settings["groups"]):
            last = max(index for number, index in self.reference if number == group)
            self.run_until(
                lambda group=group, last=last: all(
                    self.nodes[host].applied.get(group, 0) >= last for host in self.peers
                )
            )
        for group, index, payload in self.acknowledged.values():
            check(self.reference[group, index][1] == payload, "acknowledged proposal lost")
            for host in self.peers:
                log = self.nodes[host].state.groups[group].log
                term = get_term(log, index)
                check(term in (None, self.reference[group, index][0]), "log contradicts")
                check(get_last_index(log) >= index, "log is short")
        for host in self.peers:
            node = self.nodes[host]
            for group, index in node.applied.items():
                check(self.digests[group, index] == node.digest[group], "states differ")

    # Helpers of the directed tests.

    def find_leader(self, group=0):
        leaders = [
            node
            for node in self.nodes.values()
            if node.state and not node.frozen and node.state.groups[group].role is Role.LEADER
        ]
        leaders.sort(key=lambda node: node.state.groups[group].term)
        return leaders[-1] if leaders else None

    def wait_leader(self, group=0, without=()):
        def is_ready():
            node = self.find_leader(group)
            if node is None or node.host in without:
                return False
            state = node.state.groups[group]
            return state.commit_index >= state.term_start_index

        self.run_until(is_ready)
        return self.find_leader(group)

    def propose(self, host, group=0, size=8):
        name = f"p{len(self.proposed)}"
        self.proposed[name] = name.encode() + b"." * size
        node = self.nodes[host]
        if node.state is not None:
            event = ev.ProposalRequested(self.now, group, name, self.proposed[name])
            self.feed(node, node.life, event)
        return name

    def commit_one(self, group):
        """Propose until a proposal is acknowledged, because one to an old leader may vanish."""
        for _ in range(20):
            name = self.propose(self.wait_leader(group).host, group)
            self.run(0.5)
            if name in self.acknowledged:
                return
        check(False, "condition not met: no proposal is acknowledged")

    def drop_messages(self):
        """Lose all messages that are on the way."""
        self.queue = [item for item in self.queue if item[4] != "message"]
        heapq.heapify(self.queue)

    def commit(self, count=1, size=8):
        names = [self.propose(self.wait_leader().host, size=size) for _ in range(count)]
        self.run_until(lambda: all(name in self.acknowledged for name in names))

    def list_voter_hosts(self, group=0):
        return {voter.host for voter in list_voters(self.memberships[group][1])}

    def list_events(self, kind, host=None):
        return [e for h, e in self.events if isinstance(e, kind) and host in (None, h)]
