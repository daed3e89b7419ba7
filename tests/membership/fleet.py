"""Run several hosts in memory with a log that commits the proposals of the leader."""

from dataclasses import dataclass, field

from marjorambridge.core.effects import Publish, SendMessage, SetTimer
from marjorambridge.core.events import MessageReceived, Started, TimerFired
from marjorambridge.membership.events import CommandAnswered
from marjorambridge.membership.messages import CommandReply
from marjorambridge.membership.reducer import step
from marjorambridge.membership.state import create_state
from marjorambridge.replication.events import (
    EntryCommitted,
    LeadershipChanged,
    LogPositionChanged,
    ProposalRequested,
)
from tests.membership.naive import make_settings

REPLICAS = ("r1", "r2", "r3")


@dataclass
class Fleet:
    states: dict
    now: float = 100.0
    log: list = field(default_factory=list)
    leader: str = ""
    term: int = 0
    timers: dict = field(default_factory=dict)
    answers: list = field(default_factory=list)
    down: set = field(default_factory=set)
    proposals: list = field(default_factory=list)
    record: list = field(default_factory=list)
    commits: bool = True
    drop_replies: int = 0


def create_fleet(hosts=("h1", "h2"), lead="r1"):
    fleet = Fleet({})
    for name in (*REPLICAS, *hosts):
        start(fleet, name)
    if lead:
        set_leader(fleet, lead)
    return fleet


def start(fleet, name, incarnation=1):
    settings = make_settings(name, REPLICAS, incarnation, replica=name in REPLICAS)
    fleet.states[name] = create_state(settings)
    fleet.down.discard(name)
    if name in REPLICAS:
        for index in range(1, len(fleet.log) + 1):
            deliver_entry(fleet, name, index)
        report_position(fleet, name)
    process_event(fleet, name, Started(fleet.now))


def set_leader(fleet, name):
    fleet.leader = name
    fleet.term += 1
    commit(fleet, b"")
    for replica in REPLICAS:
        process_event(
            fleet, replica, LeadershipChanged(fleet.now, 0, name, fleet.term, replica == name)
        )


def commit(fleet, payload):
    fleet.log.append(payload)
    for name in REPLICAS:
        deliver_entry(fleet, name, len(fleet.log))
        report_position(fleet, name)


def deliver_entry(fleet, name, index):
    process_event(
        fleet, name, EntryCommitted(fleet.now, 0, index, fleet.term, fleet.log[index - 1])
    )


def report_position(fleet, name):
    last = len(fleet.log)
    process_event(fleet, name, LogPositionChanged(fleet.now, 0, last, last, True, REPLICAS))


def process_event(fleet, name, event):
    """Process one event, and at once all events that it causes on other hosts."""
    if name in fleet.down:
        return
    effects = step(fleet.states[name], event)
    fleet.record.append((name, event, effects))
    for effect in effects:
        match effect:
            case SetTimer(key, at):
                fleet.timers[(name, key)] = at
            case SendMessage(to, CommandReply()) if fleet.drop_replies and to != name:
                fleet.drop_replies -= 1
            case SendMessage(to, message) if to in fleet.states:
                incarnation = fleet.states[name].settings.incarnation
                process_event(fleet, to, MessageReceived(fleet.now, name, incarnation, message))
            case Publish(CommandAnswered() as answered):
                fleet.answers.append((name, answered.command_id, answered.answer))
            case Publish(ProposalRequested() as proposal):
                fleet.proposals.append(proposal.payload)
                if fleet.commits and name == fleet.leader:
                    commit(fleet, proposal.payload)


def run(fleet, seconds):
    """Fire the timers that are due, in order of time and name."""
    end = fleet.now + seconds
    while True:
        due = sorted((at, name, key) for (name, key), at in fleet.timers.items() if at <= end)
        if not due:
            fleet.now = end
            return
        at, name, key = due[0]
        del fleet.timers[(name, key)]
        fleet.now = max(fleet.now, at)
        process_event(fleet, name, TimerFired(fleet.now, key))


def get_view(fleet, name="r1"):
    hosts = fleet.states[name].replica.control.view.hosts
    return {host: (entry.incarnation, entry.state.value) for host, entry in sorted(hosts.items())}
