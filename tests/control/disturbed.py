"""Run a fleet under disturbances and check that changes are in force in time after their ack."""

import heapq
import math
from collections import Counter
from dataclasses import dataclass, field

from marjorambridge.control.commands import DrainZone, ReplaceManifest, RestoreZone
from marjorambridge.control.events import CommandWithdrawn
from marjorambridge.core.events import MessageReceived, TimerFired
from marjorambridge.core.timers import compute_next_due, pop_due
from marjorambridge.daemon.replica import COMMAND_TIMEOUT_SECONDS
from marjorambridge.transport.network import MESSAGE_LIFETIME_SECONDS

from .fleet import DELAY, Fleet
from .links import Item, Link, close_link, pump_link

STEP_SECONDS = 0.01
# Bounds of the deployments: time without a disturbance after which a host counts as in touch, time
# after an ack in which every such host applies a change, and what an unstable core adds to it.
CONTACT_SECONDS = 3.0
APPLY_SECONDS = 2.0
PARTITION_SECONDS = 5.0
# Time after the ack of a drained zone in which every such host sends nothing more to it.
EVACUATE_SECONDS = 5.0
# A replica that lost its disk has this time to catch up.
CATCH_UP_SECONDS = 4.0
# An operator sends a change to another replica after this time.
OPERATOR_TIMEOUT_SECONDS = 1.0


@dataclass
class Change:
    """A change that an operator sends until it is acknowledged."""

    version: int
    zone: str = ""
    drains: bool = False
    replica: str = ""
    command_id: str = ""
    sent_at: float = -10.0
    tries: int = 0
    is_pending: bool = False


@dataclass
class History:
    """What the check needs to know: disturbances, paths and acknowledgements."""

    disturbed_at: dict[str, float] = field(default_factory=dict)
    core_disturbed_at: float = 0.0
    core_lost_at: float = 0.0
    path_lost_at: dict[str, float] = field(default_factory=dict)
    acked_at: dict[int, float] = field(default_factory=dict)
    drained_at: dict[str, float] = field(default_factory=dict)
    log: list = field(default_factory=list)


class DisturbedFleet(Fleet):
    """Connect the hosts by links, and stop, cut off and restart hosts at any time."""

    def __init__(self, **settings):
        self.links = {}
        self.received_numbers = {}
        self.blocked = Counter()
        self.stopped = {}
        self.clock_lag = Counter()
        self.dark = set()
        self.wiped_at = {}
        self.changes = []
        self.last_version = 0
        self.history = History()
        self.violations = []
        super().__init__(**settings)

    # Disturbances.

    def note(self, text, *names):
        self.history.log.append((round(self.now, 3), text))
        for name in names:
            self.history.disturbed_at[name] = self.now
            if self.hosts[name].disk is not None:
                self.history.core_disturbed_at = self.now

    def lose(self, name, wipe=False, power=False):
        """Kill a process; without power, its machine does not reset connections."""
        self.note(f"lose {name} wipe={wipe} power={power}", name)
        self.kill(name, wipe)
        if wipe:
            self.wiped_at[name] = math.inf
        self.stopped.pop(name, None)
        if power:
            self.dark.add(name)
        for (source, target), link in list(self.links.items()):
            if source == name:
                del self.links[source, target]
            elif target == name and not power:
                close_link(link, self.now)

    def restart(self, name):
        self.note(f"restart {name}", name)
        self.dark.discard(name)
        for (_, target), link in self.links.items():
            # The new process resets the connections of the old one.
            if target == name:
                close_link(link, self.now)
        if name in self.wiped_at:
            self.wiped_at[name] = self.now
        self.start(name)

    def stop(self, name, suspend=False):
        """Stop a machine; a suspended one does not count the time."""
        self.note(f"stop {name} suspend={suspend}", name)
        self.stopped[name] = (self.now, suspend)

    def wake(self, name):
        stopped_at, suspend = self.stopped.pop(name, (self.now, False))
        self.note(f"wake {name}", name)
        if suspend:
            self.clock_lag[name] += self.now - stopped_at

    def cut(self, pairs):
        self.note(f"cut {sorted(pairs)}")
        self.blocked.update(pairs)
        self.note_core_pairs(pairs)

    def heal(self, pairs):
        self.note(f"heal {sorted(pairs)}")
        self.blocked.subtract(pairs)
        self.note_core_pairs(pairs)

    def note_core_pairs(self, pairs):
        if any(self.hosts[one].disk and self.hosts[other].disk for one, other in pairs):
            self.history.core_disturbed_at = self.now

    def silence(self, share):
        """Make open connections pass nothing any longer, without a reset."""
        self.note(f"silence {share}", *self.hosts)
        for link in self.links.values():
            if link.is_open and self.random.random() < share:
                link.silent = True

    def reset(self, share):
        self.note(f"reset {share}", *self.hosts)
        for link in self.links.values():
            if link.is_open and self.random.random() < share:
                close_link(link, self.now)

    # Time and messages.

    def read_clock(self, name):
        stopped_at, suspend = self.stopped.get(name, (self.now, False))
        lag = self.now - stopped_at if suspend else 0.0
        return self.now - self.clock_lag[name] - lag

    def runs(self, name):
        return self.hosts[name].node is not None and name not in self.stopped

    def is_up(self, name):
        return name not in self.stopped and name not in self.dark

    def passes(self, one, other):
        return self.blocked[one, other] <= 0 and self.is_up(one) and self.is_up(other)

    def dispatch(self, name, event):
        event.now = self.read_clock(name)
        super().dispatch(name, event)

    def send(self, name, effect):
        link = self.links.setdefault((name, effect.to), Link(name, effect.to))
        lifetime = getattr(effect, "lifetime", MESSAGE_LIFETIME_SECONDS)
        expires_at = self.now + min(lifetime, MESSAGE_LIFETIME_SECONDS)
        link.queue.append(Item(expires_at, self.hosts[name].generation, effect.message))
        self.pump(link)

    def pump(self, link):
        if link.target not in self.hosts or not self.is_up(link.source):
            return
        arrived = pump_link(
            link,
            self.now,
            self.passes(link.source, link.target),
            self.passes(link.target, link.source),
            self.hosts[link.target].node is not None,
        )
        target_generation = self.hosts[link.target].generation
        for item in arrived:
            incarnations = link.source, item.generation, link.target, target_generation
            if item.number > self.received_numbers.get(incarnations, 0):
                self.received_numbers[incarnations] = item.number
                self.schedule(
                    DELAY, "message", link.source, link.target, item.generation, item.message
                )

    def deliver(self):
        held = []
        for item, host in self.pop_due_items():
            _, _, kind, source, target, generation, content = item
            if target in self.stopped:
                held.append(item)
            elif kind == "sync":
                if host.generation == generation:
                    self.sync(host, content)
            else:
                self.dispatch(target, MessageReceived(self.now, source, generation, content))
        for item in held:
            heapq.heappush(self.queue, item)

    def run(self, seconds):
        end = self.now + seconds
        while self.now < end - 1e-9:
            self.now = min(end, self.now + STEP_SECONDS)
            self.deliver()
            for name, host in self.hosts.items():
                if not self.runs(name):
                    continue
                clock = self.read_clock(name)
                due = compute_next_due(host.timers)
                if due is not None and due <= clock:
                    for key in pop_due(host.timers, clock):
                        self.dispatch(name, TimerFired(clock, key))
            for link in list(self.links.values()):
                if link.queue or link.unacknowledged_since is not None:
                    self.pump(link)
            self.operate()
            self.check()

    # The operator.

    def change(self):
        self.last_version += 1
        self.changes.append(Change(self.last_version))

    def drain(self, zone):
        """Drain a zone, unless its last drain or restoration is still being sent."""
        if all(change.zone != zone for change in self.changes):
            self.changes.append(Change(0, zone, drains=True))

    def restore(self, zone):
        if all(change.zone != zone for change in self.changes):
            self.history.drained_at.pop(zone, None)
            self.changes.append(Change(0, zone))

    def is_change_acked(self, change):
        """Return whether the replica acknowledges a change, as its process decides it."""
        replica = change.replica
        if not (replica and self.runs(replica) and self.is_applied(replica, change.command_id)):
            return False
        drained = self.control(replica).control.drained
        return not change.zone or (change.zone in drained) == change.drains

    def operate(self):
        for change in list(self.changes):
            if self.is_change_acked(change):
                if change.drains:
                    self.history.drained_at[change.zone] = self.now
                elif not change.zone:
                    self.history.acked_at[change.version] = self.now
                order = ("drain " if change.drains else "restore ") + change.zone
                what = order if change.zone else change.version
                self.note(f"acked {what} by {change.replica}")
                self.changes.remove(change)
                continue
            if change.is_pending and self.now - change.sent_at >= COMMAND_TIMEOUT_SECONDS:
                self.withdraw(change)
            if self.now - change.sent_at < OPERATOR_TIMEOUT_SECONDS:
                continue
            candidates = [n for n, host in self.hosts.items() if host.disk and self.runs(n)]
            if not candidates:
                continue
            change.replica = self.random.choice(candidates)
            change.tries += 1
            self.serial += 1
            change.command_id = f"op-{self.serial}"
            change.sent_at, change.is_pending = self.now, True
            self.submit(change.replica, self.make_command(change))

    def withdraw(self, change):
        """Let the replica forget a command, as its process does when the call timed out."""
        change.is_pending = False
        if self.runs(change.replica):
            self.dispatch(change.replica, CommandWithdrawn(self.now, change.command_id))

    def make_command(self, change):
        if change.zone:
            kind = DrainZone if change.drains else RestoreZone
            follows = self.control(change.replica).control.zone_orders.get(change.zone, 0)
            return kind(change.command_id, change.zone, follows)
        return ReplaceManifest(change.command_id, change.version, b"%d" % change.version)

    # The check.

    def list_core(self):
        return [name for name, host in self.hosts.items() if host.disk is not None]

    def list_connected_core(self):
        """Return the replicas that reach more than half of the core in both directions.

        A replica that lost its disk counts as lost until it had the time to catch up.
        """
        core = self.list_core()
        running = [name for name in core if self.runs(name) and not self.is_catching_up(name)]
        return [
            one
            for one in running
            if sum(
                one == other or (self.passes(one, other) and self.passes(other, one))
                for other in running
            )
            * 2
            > len(core)
        ]

    def is_catching_up(self, name):
        return self.now < self.wiped_at.get(name, -math.inf) + CATCH_UP_SECONDS

    def check(self):
        """Record a violation for each host that lacks a change which it must have applied."""
        history, now = self.history, self.now
        core = self.list_core()
        connected = self.list_connected_core()
        if 2 * len(connected) <= len(core):
            history.core_lost_at = now
        for name, host in self.hosts.items():
            if not self.runs(name) or name in self.dark:
                history.disturbed_at[name] = now
            if host.disk is not None:
                continue
            if not all(self.passes(name, one) and self.passes(one, name) for one in connected):
                history.path_lost_at[name] = now
            self.check_host(name, now)

    def check_host(self, name, now):
        history = self.history
        calm_since = max(history.disturbed_at.get(name, 0.0), history.path_lost_at.get(name, 0.0))
        if now - calm_since < CONTACT_SECONDS or not self.runs(name):
            return
        is_stable = now - max(history.core_disturbed_at, history.core_lost_at) >= CONTACT_SECONDS
        limit = APPLY_SECONDS
        if not is_stable:
            limit += PARTITION_SECONDS
            if now - history.core_lost_at < limit:
                return
        required = max((v for v, at in history.acked_at.items() if now - at > limit), default=0)
        known = self.hosts[name].node.parts["control"].state
        if known.version < required:
            lag = now - history.acked_at[required]
            self.violations.append((round(now, 3), name, known.version, required, round(lag, 3)))
        limit += EVACUATE_SECONDS - APPLY_SECONDS
        drained = self.read_drained(name)
        for zone, at in history.drained_at.items():
            if now - at > limit and zone not in drained:
                self.violations.append((round(now, 3), name, drained, zone, round(now - at, 3)))

    def read_drained(self, name):
        """Return the drained zones that a host has applied."""
        updates = [item for item in self.updates(name) if item.can_apply_zones]
        return updates[-1].update.drained if updates else ()
