"""Run a fleet whose replicas spend CPU time on each message, as on a fraction of a core."""

import itertools
from collections import deque

from marjorambridge.core.effects import Notify, Publish, SendMessage, SetTimer
from marjorambridge.core.events import MessageReceived, TimerFired
from marjorambridge.core.reducer import step
from marjorambridge.core.timers import pop_due, set_timer
from marjorambridge.replication.effects import StorageEffect, SyncStorage

from .fleet import DELAY, SYNC_DELAY, Fleet

# CPU time in seconds of a full core for one message received, one sent, and one report of an
# endpoint, which arrives over HTTP.
RECEIVE_SECONDS = 0.0003
SEND_SECONDS = 0.0002
REPORT_SECONDS = 0.003
# Timeout of an endpoint's report, and time between two reports, in seconds.
REPORT_TIMEOUT_SECONDS = 1.0
REPORT_INTERVAL_SECONDS = 1.2
# Step of the virtual time in seconds.
STEP_SECONDS = 0.002


class BusyFleet(Fleet):
    """Process the messages of each replica one at a time, those of other replicas first."""

    def __init__(self, cpu_share, **settings):
        self.cpu_share = cpu_share
        self.busy_until = {}
        self.queued_work = {}
        self.idle = {}
        self.reports = 0
        self.failed_reports = 0
        super().__init__(**settings)

    def start(self, name, bootstrap=False):
        self.queued_work.pop(name, None)
        self.idle.pop(name, None)
        self.busy_until.pop(name, None)
        super().start(name, bootstrap)

    def is_replica(self, name):
        return self.hosts[name].disk is not None

    def dispatch(self, name, event):
        """Carry out the effects of an event after the CPU time that it takes."""
        if not self.is_replica(name):
            super().dispatch(name, event)
            return
        host = self.hosts[name]
        effects = step(host.node, event)
        sends = sum(isinstance(effect, SendMessage) for effect in effects)
        received = isinstance(event, MessageReceived)
        cost = (RECEIVE_SECONDS * received + SEND_SECONDS * sends) / self.cpu_share
        self.use_cpu(name, cost)
        for effect in effects:
            if isinstance(effect, SetTimer):
                set_timer(host.timers, effect.key, effect.at)
            elif isinstance(effect, SendMessage):
                cpu_delay = self.busy_until[name] - self.now
                self.schedule(
                    cpu_delay + DELAY, "message", name, effect.to, host.generation, effect.message
                )
            elif isinstance(effect, Notify):
                host.notices.append(effect.event)
            elif isinstance(effect, Publish):
                raise AssertionError("published events stay in the node")
            elif isinstance(effect, StorageEffect):
                host.disk.writes.append(effect)
                if isinstance(effect, SyncStorage):
                    self.schedule(SYNC_DELAY, "sync", name, name, host.generation, effect)

    def use_cpu(self, name, seconds):
        self.busy_until[name] = max(self.busy_until.get(name, 0.0), self.now) + seconds
        if seconds and self.idle.get(name, True):
            self.idle[name] = False
            self.schedule(self.busy_until[name] - self.now, "free", name, name, 0, None)

    def deliver(self):
        for item, host in self.pop_due_items():
            _, _, kind, source, target, generation, content = item
            if kind == "free":
                self.process_next(target)
            elif kind == "endpoint":
                self.send_report(content)
            elif kind == "sync":
                if host.generation == generation:
                    self.sync(host, content)
            elif not self.is_replica(target):
                self.dispatch(target, MessageReceived(self.now, source, generation, content))
            else:
                self.enqueue(target, kind, source, generation, content)

    def enqueue(self, target, kind, source, generation, content):
        urgent, normal = self.queued_work.setdefault(target, (deque(), deque()))
        is_urgent = kind == "message" and self.is_replica(source)
        (urgent if is_urgent else normal).append((kind, source, generation, content))
        if self.idle.get(target, True):
            self.process_next(target)

    def process_next(self, name):
        """Process the next queued item, unless the CPU is still busy."""
        if self.busy_until.get(name, 0.0) > self.now + 1e-9:
            self.idle[name] = False
            self.schedule(self.busy_until[name] - self.now, "free", name, name, 0, None)
            return
        self.idle[name] = True
        urgent, normal = self.queued_work.get(name, ((), ()))
        queue = urgent or normal
        if not queue:
            return
        kind, source, generation, content = queue.popleft()
        if kind == "message":
            self.dispatch(name, MessageReceived(self.now, source, generation, content))
        else:
            self.process_report(name, content)
        if self.idle.get(name, True):
            self.use_cpu(name, 1e-6)

    def run(self, seconds):
        """Fire the timers of a replica only when it is idle, after the messages of replicas."""
        end = self.now + seconds
        while self.now < end:
            self.now = min(end, self.now + STEP_SECONDS)
            self.deliver()
            for name, host in self.hosts.items():
                if host.node is None or self.busy_until.get(name, 0.0) > self.now:
                    continue
                if self.queued_work.get(name, ((), ()))[0]:
                    continue
                for key in pop_due(host.timers, self.now):
                    self.dispatch(name, TimerFired(self.now, key))

    # Endpoints.

    def start_endpoints(self, count, replicas):
        """Start endpoints that report, and that switch to another replica after a timeout."""
        names = itertools.cycle(replicas)
        for number in range(count):
            endpoint = {"name": f"e{number}", "sequence": 0, "replica": next(names), "sent": 0.0}
            endpoint |= {"acked": True, "replicas": replicas}
            delay = self.random.uniform(0.0, 0.3)
            self.schedule(delay, "endpoint", replicas[0], replicas[0], 0, endpoint)

    def send_report(self, endpoint):
        if not endpoint["acked"]:
            self.failed_reports += 1
            endpoint["replica"] = self.random.choice(endpoint["replicas"])
        endpoint["acked"] = False
        endpoint["sequence"] += 1
        endpoint["sent"] = self.now
        self.reports += 1
        content = (endpoint, endpoint["sequence"])
        self.schedule(DELAY, "report", endpoint["replica"], endpoint["replica"], 0, content)
        self.schedule(REPORT_TIMEOUT_SECONDS, "endpoint", "r0", "r0", 0, endpoint)

    def process_report(self, name, content):
        endpoint, sequence = content
        self.use_cpu(name, REPORT_SECONDS / self.cpu_share)
        number = int(endpoint["name"][1:])
        address = f"10.0.{number // 250}.{number % 250}:80"
        self.report(name, endpoint["name"], sequence=sequence, address=address)
        in_time = self.busy_until[name] - endpoint["sent"] < REPORT_TIMEOUT_SECONDS
        if sequence == endpoint["sequence"] and in_time:
            endpoint["acked"] = True
