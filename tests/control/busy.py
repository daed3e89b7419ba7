"""Run a fleet whose hosts take time for each message, as hosts with a part of a core do."""

import heapq
import itertools
from collections import deque

from marjorambridge.core.effects import Notify, Publish, SendMessage, SetTimer
from marjorambridge.core.events import MessageReceived, TimerFired
from marjorambridge.core.reducer import step
from marjorambridge.core.timers import pop_due, set_timer
from marjorambridge.replication.effects import StorageEffect, SyncStorage

from .fleet import DELAY, SYNC_DELAY, Fleet

# Processor time in seconds of a full core for one message received, one sent, and one report of an
# endpoint, which comes over HTTP.
RECEIVE_SECONDS = 0.0003
SEND_SECONDS = 0.0002
REPORT_SECONDS = 0.003
# Time in seconds after which an endpoint gives a report up, and between two reports.
REPORT_TIMEOUT_SECONDS = 1.0
REPORT_INTERVAL_SECONDS = 1.2
# Steps of virtual time in which work is done.
STEP_SECONDS = 0.002


class BusyFleet(Fleet):
    """Deliver messages to each replica one after the other, those of other replicas first."""

    def __init__(self, share, **settings):
        self.share = share
        self.free_at = {}
        self.waiting = {}
        self.idle = {}
        self.reports = 0
        self.failed_reports = 0
        super().__init__(**settings)

    def start(self, name, bootstrap=False):
        self.waiting.pop(name, None)
        self.idle.pop(name, None)
        self.free_at.pop(name, None)
        super().start(name, bootstrap)

    def is_replica(self, name):
        return self.hosts[name].disk is not None

    def post(self, name, event):
        """Carry out the effects when the processor has done the work."""
        if not self.is_replica(name):
            super().post(name, event)
            return
        host = self.hosts[name]
        effects = step(host.node, event)
        sends = sum(isinstance(effect, SendMessage) for effect in effects)
        received = isinstance(event, MessageReceived)
        cost = (RECEIVE_SECONDS * received + SEND_SECONDS * sends) / self.share
        self.spend(name, cost)
        for effect in effects:
            if isinstance(effect, SetTimer):
                set_timer(host.timers, effect.key, effect.at)
            elif isinstance(effect, SendMessage):
                late = self.free_at[name] - self.now
                self.push(late + DELAY, "message", name, effect.to, host.life, effect.message)
            elif isinstance(effect, Notify):
                host.notices.append(effect.event)
            elif isinstance(effect, Publish):
                raise AssertionError("published events stay in the node")
            elif isinstance(effect, StorageEffect):
                host.disk.writes.append(effect)
                if isinstance(effect, SyncStorage):
                    self.push(SYNC_DELAY, "sync", name, name, host.life, effect)

    def spend(self, name, seconds):
        self.free_at[name] = max(self.free_at.get(name, 0.0), self.now) + seconds
        if seconds and self.idle.get(name, True):
            self.idle[name] = False
            self.push(self.free_at[name] - self.now, "free", name, name, 0, None)

    def deliver(self):
        while self.queue and self.queue[0][0] <= self.now:
            item = heapq.heappop(self.queue)
            _, _, kind, source, target, life, content = item
            host = self.hosts.get(target)
            if host is None or host.node is None:
                continue
            if kind == "free":
                self.take_next(target)
            elif kind == "endpoint":
                self.report_again(content)
            elif kind == "sync":
                if host.life == life:
                    self.sync(host, content)
            elif not self.is_replica(target):
                self.post(target, MessageReceived(self.now, source, life, content))
            else:
                self.enqueue(target, kind, source, life, content)

    def enqueue(self, target, kind, source, life, content):
        urgent, patient = self.waiting.setdefault(target, (deque(), deque()))
        is_urgent = kind == "message" and self.is_replica(source)
        (urgent if is_urgent else patient).append((kind, source, life, content))
        if self.idle.get(target, True):
            self.take_next(target)

    def take_next(self, name):
        """Do the next piece of work, unless the processor is still busy."""
        if self.free_at.get(name, 0.0) > self.now + 1e-9:
            self.idle[name] = False
            self.push(self.free_at[name] - self.now, "free", name, name, 0, None)
            return
        self.idle[name] = True
        urgent, patient = self.waiting.get(name, ((), ()))
        queue = urgent or patient
        if not queue:
            return
        kind, source, life, content = queue.popleft()
        if kind == "message":
            self.post(name, MessageReceived(self.now, source, life, content))
        else:
            self.take_report(name, content)
        if self.idle.get(name, True):
            self.spend(name, 1e-6)

    def run(self, seconds):
        """Fire the timers of a busy replica only when it is free, after what has arrived."""
        end = self.now + seconds
        while self.now < end:
            self.now = min(end, self.now + STEP_SECONDS)
            self.deliver()
            for name, host in self.hosts.items():
                if host.node is None or self.free_at.get(name, 0.0) > self.now:
                    continue
                if self.waiting.get(name, ((), ()))[0]:
                    continue
                for key in pop_due(host.timers, self.now):
                    self.post(name, TimerFired(self.now, key))

    # Endpoints.

    def start_endpoints(self, count, replicas):
        """Have endpoints report, and turn to another replica when one does not answer in time."""
        names = itertools.cycle(replicas)
        for number in range(count):
            endpoint = {"name": f"e{number}", "sequence": 0, "replica": next(names), "sent": 0.0}
            endpoint |= {"acked": True, "replicas": replicas}
            delay = self.random.uniform(0.0, 0.3)
            self.push(delay, "endpoint", replicas[0], replicas[0], 0, endpoint)

    def report_again(self, endpoint):
        if not endpoint["acked"]:
            self.failed_reports += 1
            endpoint["replica"] = self.random.choice(endpoint["replicas"])
        endpoint["acked"] = False
        endpoint["sequence"] += 1
        endpoint["sent"] = self.now
        self.reports += 1
        content = (endpoint, endpoint["sequence"])
        self.push(DELAY, "report", endpoint["replica"], endpoint["replica"], 0, content)
        self.push(REPORT_TIMEOUT_SECONDS, "endpoint", "r0", "r0", 0, endpoint)

    def take_report(self, name, content):
        endpoint, sequence = content
        self.spend(name, REPORT_SECONDS / self.share)
        number = int(endpoint["name"][1:])
        address = f"10.0.{number // 250}.{number % 250}:80"
        self.report(name, endpoint["name"], sequence=sequence, address=address)
        in_time = self.free_at[name] - endpoint["sent"] < REPORT_TIMEOUT_SECONDS
        if sequence == endpoint["sequence"] and in_time:
            endpoint["acked"] = True
