"""Run replicas and their subscribers in virtual time over a network with partitions."""

import heapq
import random
from dataclasses import dataclass, field

from marjorambridge.control.commands import AnyCommand, encode_command
from marjorambridge.control.events import CommandSubmitted, EndpointReported, FleetUpdated
from marjorambridge.core.effects import Notify, Publish, SendMessage, SetTimer
from marjorambridge.core.events import MessageReceived, Started, TimerFired
from marjorambridge.core.reducer import Node, step
from marjorambridge.core.timers import TimerTable, compute_next_due, pop_due, set_timer
from marjorambridge.discovery.models import EndpointReport
from marjorambridge.node.gateway import GatewayNodeSettings, compose_gateway
from marjorambridge.node.replica import ReplicaNodeSettings, compose_replica
from marjorambridge.replication.effects import StorageEffect, SyncStorage
from marjorambridge.replication.events import StorageSynced
from marjorambridge.replication.models import RecoveredReplica
from tests.replication.fleets import Disk

DELAY = 0.002
SYNC_DELAY = 0.005


@dataclass
class Host:
    """A process and its disk, if it has one; the disk survives restarts."""

    name: str
    zone: str
    disk: Disk | None = None
    node: Node | None = None
    timers: TimerTable = field(default_factory=TimerTable)
    generation: int = 0
    notices: list = field(default_factory=list)


class Fleet:
    """Run the real nodes of replicas and gateways."""

    def __init__(self, replicas=5, gateways=2, seeds=3, seed=1):
        self.random = random.Random(seed)
        self.now = 0.0
        self.queue = []
        self.serial = 0
        self.disconnected = set()
        self.hosts = {}
        zones = ("z1", "z2", "z3")
        self.seeds = tuple(f"r{n}" for n in range(seeds))
        for n in range(replicas):
            self.add_replica(f"r{n}", zones[n % 3], bootstrap=True)
        for n in range(gateways):
            self.hosts[f"g{n}"] = Host(f"g{n}", zones[n % 3])
            self.start(f"g{n}")

    def add_replica(self, name, zone, bootstrap):
        disk = Disk(RecoveredReplica(f"{name}-{self.random.getrandbits(32):x}"))
        self.hosts[name] = Host(name, zone, disk)
        self.start(name, bootstrap)

    def start(self, name, bootstrap=False):
        host = self.hosts[name]
        host.generation += 1
        host.timers = TimerTable()
        host.notices = []
        incarnation = self.random.getrandbits(40) + 1
        if host.disk is None:
            host.node = compose_gateway(
                GatewayNodeSettings(name, host.zone, self.seeds, incarnation)
            )
            effects = []
        else:
            settings = ReplicaNodeSettings(name, host.zone, self.seeds, bootstrap, incarnation, 1.2)
            host.node, effects = compose_replica(settings, host.disk.durable, self.now)
        for effect in effects:
            if isinstance(effect, Publish):
                self.dispatch(name, effect.event)
        self.dispatch(name, Started(self.now))

    def kill(self, name, wipe=False):
        host = self.hosts[name]
        host.node = None
        if wipe:
            host.disk = Disk(RecoveredReplica(f"{name}-{self.random.getrandbits(32):x}"))
        elif host.disk is not None:
            host.disk.writes.clear()

    def dispatch(self, name, event):
        host = self.hosts[name]
        for effect in step(host.node, event):
            if isinstance(effect, SetTimer):
                set_timer(host.timers, effect.key, effect.at)
            elif isinstance(effect, SendMessage):
                self.send(name, effect)
            elif isinstance(effect, Notify):
                host.notices.append(effect.event)
            elif isinstance(effect, StorageEffect):
                host.disk.writes.append(effect)
                if isinstance(effect, SyncStorage):
                    self.schedule(SYNC_DELAY, "sync", name, name, host.generation, effect)

    def send(self, name, effect):
        generation = self.hosts[name].generation
        self.schedule(DELAY, "message", name, effect.to, generation, effect.message)

    def schedule(self, delay, kind, source, target, generation, content):
        self.serial += 1
        item = (self.now + delay, self.serial, kind, source, target, generation, content)
        heapq.heappush(self.queue, item)

    def is_connected(self, one, other):
        return one not in self.disconnected and other not in self.disconnected

    def run(self, seconds):
        end = self.now + seconds
        while True:
            due = [self.queue[0][0]] if self.queue else []
            for host in self.hosts.values():
                at = compute_next_due(host.timers) if host.node else None
                due += [at] if at is not None else []
            if not due or min(due) > end:
                self.now = end
                return
            self.now = max(self.now, min(due))
            self.deliver()
            for name, host in self.hosts.items():
                for key in pop_due(host.timers, self.now) if host.node else ():
                    self.dispatch(name, TimerFired(self.now, key))

    def pop_due_items(self):
        """Remove and yield the items that are due, with their hosts; those of others are lost."""
        while self.queue and self.queue[0][0] <= self.now:
            item = heapq.heappop(self.queue)
            host = self.hosts.get(item[4])
            if host is not None and host.node is not None:
                yield item, host

    def deliver(self):
        for item, host in self.pop_due_items():
            _, _, kind, source, target, generation, content = item
            if kind == "sync":
                if host.generation == generation:
                    self.sync(host, content)
            elif self.hosts[source].node is not None and self.is_connected(source, target):
                event = MessageReceived(self.now, source, generation, content)
                self.dispatch(target, event)

    def sync(self, host, effect):
        while host.disk.writes:
            write = host.disk.writes.pop(0)
            host.disk.apply(write)
            if write is effect:
                break
        self.dispatch(host.name, StorageSynced(self.now, effect.ticket))

    # Operators and endpoints.

    def control(self, name):
        return self.hosts[name].node.parts["control"].state

    def submit(self, name, command: AnyCommand):
        payload = encode_command(command)
        self.dispatch(name, CommandSubmitted(self.now, command.command_id, payload))

    def is_applied(self, name, command_id):
        return any(
            getattr(notice, "command_id", "") == command_id for notice in self.hosts[name].notices
        )

    def report(self, name, endpoint, sequence=1, **fields):
        values = {"service": "svc", "zone": "z1", "address": f"10.0.0.{endpoint[1:]}:80"}
        values |= {"slots": 8, "born": 1, "sequence": sequence} | fields
        self.dispatch(name, EndpointReported(self.now, EndpointReport(endpoint, **values)))

    def updates(self, gateway):
        return [n for n in self.hosts[gateway].notices if isinstance(n, FleetUpdated)]

    def known_endpoints(self, gateway):
        known = {}
        for notice in self.updates(gateway):
            if notice.can_apply_endpoints:
                for entry in notice.update.changed:
                    known[entry.endpoint] = entry
                for name in notice.update.removed:
                    known.pop(name, None)
        return known

    def known_version(self, gateway):
        versions = [n.update.version for n in self.updates(gateway) if n.update.document]
        return versions[-1] if versions else 0
