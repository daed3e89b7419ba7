"""Simulate two issuers, group 0 and endpoints that may ignore fencing numbers."""

import random
from dataclasses import dataclass, field

from msgspec.structs import replace

from marjorambridge.core.effects import Publish
from marjorambridge.core.events import FreshnessChanged, MessageReceived, TimerFired
from marjorambridge.orders import reducer, state_machine
from marjorambridge.orders.effects import SendOrder
from marjorambridge.orders.events import OrderAnswered, OrderStatus, TargetStateApplied
from marjorambridge.orders.messages import EndpointInventory, EndpointSummary, OrderKind
from marjorambridge.orders.state import IssuerSettings, create_state
from marjorambridge.replication.events import EntryCommitted, LeadershipChanged

HOSTS = ("host-1", "host-2")
SETTINGS = IssuerSettings(
    bytes_per_second=10.0,
    burst_bytes=100.0,
    effect_timeout_seconds=8.0,
    load_effect_timeout_seconds=15.0,
)


@dataclass
class Fleet:
    """Hold the issuers, the log and the endpoints; one step takes 0.25 s."""

    generator: random.Random
    loss: float = 0.0
    now: float = 100.0
    issuers: dict = field(default_factory=dict)
    targets: state_machine.TargetState = field(default_factory=state_machine.TargetState)
    leader: str = ""
    term: int = 0
    frozen: set = field(default_factory=set)
    endpoints: dict = field(default_factory=dict)
    highest_fencing: dict = field(default_factory=dict)
    in_flight: list = field(default_factory=list)
    sent: list = field(default_factory=list)
    executed: list = field(default_factory=list)

    def start(self, checks, count=4):
        for host in HOSTS:
            self.issuers[host] = create_state(SETTINGS, host, 1)
        for number in range(count):
            name = f"e{number}"
            summary = EndpointSummary(name, 1, "s", "10.0.0.9:1", checks_fencing=checks)
            self.endpoints[name] = summary
            self.highest_fencing[name] = 0

    def handle_event(self, host, event):
        for effect in reducer.step(self.issuers[host], event):
            if isinstance(effect, SendOrder):
                self.sent.append((self.now, effect))
                delay = self.generator.choice((0.0, 0.0, 1.0, 4.5))
                self.in_flight.append((self.now + delay, host, effect))
            elif isinstance(effect, Publish) and host == self.leader:
                self.commit(effect.event.payload, effect.event.proposal)

    def commit(self, payload, proposal=""):
        state_machine.apply_order_entry(self.targets, payload)
        for host in HOSTS:
            if self.is_connected(host):
                copy = state_machine.restore_snapshot(state_machine.take_snapshot(self.targets))
                self.handle_event(host, TargetStateApplied(self.now, 1, copy))
                own = proposal if host == self.leader else ""
                self.handle_event(host, EntryCommitted(self.now, 0, 1, self.term, payload, own))

    def set_target(self, **fields):
        command = state_machine.SetTarget(
            f"c{self.targets.version}",
            self.targets.version,
            False,
            "s",
            state_machine.Target(**fields),
        )
        self.commit(state_machine.encode_command(command))

    def elect(self, host):
        self.leader = host
        self.term += 1
        for each in HOSTS:
            if self.is_connected(each):
                leads = each == host
                self.handle_event(each, LeadershipChanged(self.now, 0, host, self.term, leads))

    def is_connected(self, host):
        """Return whether a host runs and is not partitioned; the leader is never partitioned."""
        return host not in self.frozen and ("network" not in self.frozen or host == self.leader)

    def reconnect(self):
        """Resume frozen hosts and end the partition; each host receives an entry of this term."""
        self.frozen.clear()
        for host in HOSTS:
            self.handle_event(host, EntryCommitted(self.now, 0, 1, self.term, b""))

    def step(self):
        self.now += 0.25
        for host in HOSTS:
            if not self.is_connected(host):
                continue
            self.handle_event(
                host, FreshnessChanged(self.now, self.now + SETTINGS.freshness_seconds)
            )
            seen = tuple(replace(each, age=0.1) for each in self.endpoints.values())
            self.handle_event(host, MessageReceived(self.now, "o", 1, EndpointInventory(seen)))
        for host in HOSTS:
            if host not in self.frozen:
                self.handle_event(host, TimerFired(self.now, reducer.TICK))
        due = [
            each for each in self.in_flight if each[0] <= self.now and each[1] not in self.frozen
        ]
        for item in due:
            self.in_flight.remove(item)
            _, host, effect = item
            if self.now > effect.send_by:
                self.answer(host, effect, OrderStatus.NOT_SENT)
            elif self.generator.random() >= self.loss:
                done = self.execute(effect)
                status = OrderStatus.ACCEPTED if done else OrderStatus.REFUSED
                if self.generator.random() >= self.loss:
                    self.answer(host, effect, status)

    def answer(self, host, effect, status):
        order = effect.order
        answer = OrderAnswered(
            self.now, effect.endpoint, effect.incarnation, order.fencing, order.number, status
        )
        self.handle_event(host, answer)

    def execute(self, effect):
        order, summary = effect.order, self.endpoints[effect.endpoint]
        if summary.checks_fencing and order.fencing < self.highest_fencing[effect.endpoint]:
            return False
        self.highest_fencing[effect.endpoint] = max(
            self.highest_fencing[effect.endpoint], order.fencing
        )
        self.executed.append((self.now, effect.endpoint, order))
        if order.kind == OrderKind.LOAD_MODEL:
            summary = replace(summary, models=tuple({*summary.models, order.name}))
        elif order.kind == OrderKind.UNLOAD_MODEL:
            summary = replace(summary, models=tuple({*summary.models} - {order.name}))
        elif order.kind == OrderKind.SET_ROLE:
            summary = replace(summary, role=order.name)
        self.endpoints[effect.endpoint] = summary
        return True

    def run(self, seconds):
        for _ in range(int(seconds * 4)):
            self.step()
