"""Model of the replicas of log group 0 as plain lists, connected with the host under test.

A log is a list of `(term, payload, voters)`; `voters` is None for other entries than changes of
membership. A voter is a (name, disk) pair. Replicas exchange no messages: `replicate` copies the
leader's list.
"""

from dataclasses import dataclass, field

from marjorambridge.configuration.codec import encode_entry
from marjorambridge.configuration.commands import HostJoined
from marjorambridge.core.effects import Publish, SendMessage
from marjorambridge.core.events import (
    ConfigurationApplied,
    FreshnessChanged,
    MessageReceived,
    Started,
    TimerFired,
    ViewApplied,
)
from marjorambridge.core.view import HostEntry
from marjorambridge.membership.messages import FreshnessQuery
from marjorambridge.membership.reducer import POLL_TIMER, step
from marjorambridge.membership.state import MembershipSettings, create_state
from marjorambridge.replication.events import EntryCommitted, LogPositionChanged

HOST = "host"
MAX_KEPT_MESSAGES = 40


@dataclass
class Replica:
    name: str
    disk: int
    log: list
    state: object
    term: int = 0
    commit: int = 0
    delivered: int = 0
    leading: bool = False
    match: dict = field(default_factory=dict)
    cut: bool = False


@dataclass
class Cluster:
    replicas: dict
    now: float = 100.0
    term: int = 0
    committed: list = field(default_factory=list)
    serial: int = 0
    host: object = None
    incarnation: int = 0
    in_flight: list = field(default_factory=list)
    committed_at: dict = field(default_factory=dict)
    published: list = field(default_factory=list)
    sent: list = field(default_factory=list)


def make_settings(host, replicas, incarnation=1, **changes):
    return MembershipSettings(
        host, incarnation, f"{host}:7000", "bhuj", "kutch", tuple(replicas), **changes
    )


def create_cluster(names, spare=(), **settings):
    voters = tuple((name, 0) for name in names)
    cluster = Cluster({})
    for name in (*names, *spare):
        state = create_state(make_settings(name, names, replica=True, **settings))
        log = [(0, b"", voters)] if name in names else []
        cluster.replicas[name] = Replica(name, 0, log, state, commit=len(log))
        sync(cluster, cluster.replicas[name])
    cluster.committed = [(0, b"", voters)]
    restart_host(cluster)
    return cluster


def restart_host(cluster):
    cluster.incarnation += 1
    names = [name for name, _ in cluster.committed[0][2]]
    cluster.host = create_state(make_settings(HOST, names, cluster.incarnation))
    cluster.committed_at = {}
    cluster.published = []
    run_host(cluster, Started(cluster.now))


def get_voters(log):
    return next((voters for _, _, voters in reversed(log) if voters is not None), ())


def sync(cluster, replica):
    """Deliver newly committed entries and the log position to the reducer of a replica."""
    for index in range(replica.delivered + 1, replica.commit + 1):
        term, payload, _ = replica.log[index - 1]
        step(replica.state, EntryCommitted(cluster.now, 0, index, term, payload))
    replica.delivered = max(replica.delivered, replica.commit)
    voters = get_voters(replica.log)
    position = LogPositionChanged(
        cluster.now,
        0,
        len(replica.log),
        replica.commit,
        (replica.name, replica.disk) in voters,
        tuple(name for name, _ in voters),
    )
    step(replica.state, position)


def elect(cluster, name):
    candidate = cluster.replicas[name]
    voters = get_voters(candidate.log)
    if candidate.cut or (name, candidate.disk) not in voters:
        return False
    rank = (candidate.log[-1][0], len(candidate.log))
    supporters = [
        other
        for other in cluster.replicas.values()
        if (other.name, other.disk) in voters
        and not other.cut
        and (other.log[-1][0], len(other.log)) <= rank
    ]
    if 2 * len(supporters) <= len(voters):
        return False
    cluster.term += 1
    for other in supporters:
        other.term = cluster.term
        other.leading = False
    candidate.leading = True
    candidate.match = {}
    append(cluster, name, b"")
    return True


def append(cluster, name, payload=None, voters=None):
    """Append an entry to a leader's list; the default payload is a new incarnation of host x."""
    leader = cluster.replicas[name]
    if not leader.leading:
        return False
    if payload is None:
        cluster.serial += 1
        payload = encode_entry(HostJoined(HostEntry("x", cluster.serial, "a:1", "z", "r")))
    leader.log.append((leader.term, payload, voters))
    acknowledge(cluster, leader, leader)
    return True


def change_voters(cluster, name, member):
    """Add or remove one voter, if the leader's term and its last change are committed."""
    leader = cluster.replicas[name]
    if not leader.leading or leader.commit < 1 or leader.log[leader.commit - 1][0] != leader.term:
        return False
    if any(voters is not None for _, _, voters in leader.log[leader.commit :]):
        return False
    voters = get_voters(leader.log)
    disk = cluster.replicas[member].disk
    current = [item for item in voters if item[0] == member]
    if current == [(member, disk)] and member == name:
        return False
    changed = tuple(item for item in voters if item[0] != member)
    if not current:
        changed = (*voters, (member, disk))
    return bool(changed) and append(cluster, name, b"", changed)


def replicate(cluster, name, to, acknowledged=True):
    """Copy the leader's list; without `acknowledged`, the acknowledgement is lost."""
    leader, follower = cluster.replicas[name], cluster.replicas[to]
    if (
        not leader.leading
        or leader.cut
        or follower.cut
        or follower.term > leader.term
        or to == name
    ):
        return False
    follower.term = leader.term
    follower.leading = False
    follower.log = list(leader.log)
    if acknowledged:
        acknowledge(cluster, leader, follower)
    follower.commit = max(follower.commit, leader.commit)
    sync(cluster, follower)
    return True


def acknowledge(cluster, leader, follower):
    """Commit the entries of the leader's term that a majority of voters has stored."""
    leader.match[(follower.name, follower.disk)] = len(follower.log)
    for index in range(leader.commit + 1, len(leader.log) + 1):
        voters = get_voters(leader.log)
        synced = [item for item in voters if leader.match.get(item, 0) >= index]
        if leader.log[index - 1][0] == leader.term and 2 * len(synced) > len(voters):
            leader.commit = index
    if leader.commit > len(cluster.committed):
        assert leader.log[: len(cluster.committed)] == cluster.committed, "the model lost an entry"
        cluster.committed = leader.log[: leader.commit]
    sync(cluster, leader)


def wipe(cluster, name):
    """Replace the disk of a replica, which is not a voter until it is added again."""
    old = cluster.replicas[name]
    state = create_state(old.state.settings)
    cluster.replicas[name] = Replica(name, old.disk + 1, [], state, cut=old.cut)
    sync(cluster, cluster.replicas[name])


def run_host(cluster, event):
    """Process one event of the host, check the published events and send its messages."""
    for effect in step(cluster.host, event):
        if isinstance(effect, SendMessage):
            item = (HOST, cluster.incarnation, effect.to, effect.message)
            cluster.in_flight.append(item)
            cluster.sent.append(item)
            if isinstance(effect.message, FreshnessQuery) and effect.message.number:
                committed = len(cluster.committed)
                sent = (cluster.now, committed)
                cluster.committed_at.setdefault(effect.message.number, sent)
        elif isinstance(effect, Publish):
            check_published(cluster, effect.event)
            cluster.published.append(effect.event)


def check_published(cluster, event):
    control = cluster.host.host.control
    if isinstance(event, (ViewApplied, ConfigurationApplied)):
        earlier = [item.index for item in cluster.published if type(item) is type(event)]
        assert event.index >= max(earlier, default=0), "an older state was applied"
        assert event.index <= len(cluster.committed), "an uncommitted entry was applied"
    if isinstance(event, FreshnessChanged) and event.fresh_until > cluster.now:
        sent = event.fresh_until - cluster.host.settings.freshness_seconds
        committed = max(
            index for at, index in cluster.committed_at.values() if abs(at - sent) < 1e-9
        )
        assert committed <= control.index, "fresh although a newer entry was committed before"


def check_state(cluster):
    """Compare the host's state with the list of committed entries."""
    control = cluster.host.host.control
    prefix = cluster.committed[: control.index]
    assert len(prefix) == control.index
    joined = sum(1 for _, payload, _ in prefix if payload)
    view = control.view.hosts
    assert (view["x"].incarnation if view else 0) <= cluster.serial
    payloads = [payload for _, payload, _ in prefix if payload]
    if joined:
        assert encode_entry(HostJoined(view["x"])) == payloads[-1]
    else:
        assert not view


def poll(cluster, seconds=0.5):
    cluster.now += seconds
    run_host(cluster, TimerFired(cluster.now, POLL_TIMER))


def deliver(cluster, number, keep=False):
    """Deliver one message in flight, chosen by `number`; with `keep`, it can be delivered again."""
    if not cluster.in_flight:
        return
    item = cluster.in_flight[number % len(cluster.in_flight)]
    if not keep:
        cluster.in_flight.remove(item)
    sender, incarnation, to, message = item
    if sender == HOST:
        replica = cluster.replicas.get(to)
        if replica is None:
            return
        event = MessageReceived(cluster.now, HOST, incarnation, message)
        for effect in step(replica.state, event):
            if isinstance(effect, SendMessage):
                cluster.in_flight.append((to, 1, HOST, effect.message))
    else:
        run_host(cluster, MessageReceived(cluster.now, sender, incarnation, message))


def exchange(cluster, *names, keep=False):
    """Deliver all messages between the host and the named replicas, and drop all others.

    With `keep`, the last messages stay in flight, whether they were delivered or not.
    """
    others = []
    while cluster.in_flight:
        sender, _, to, _ = cluster.in_flight[0]
        if sender in names or to in names:
            if keep:
                others.append(cluster.in_flight[0])
            deliver(cluster, 0)
        else:
            others.append(cluster.in_flight.pop(0))
    if keep:
        cluster.in_flight = others[-MAX_KEPT_MESSAGES:]


def is_fresh(cluster):
    return cluster.now < cluster.host.host.fresh_until
