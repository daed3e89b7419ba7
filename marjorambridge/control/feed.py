"""Send the manifest, the zones and the endpoint table to subscribed hosts.

Changes are pushed to hosts without a poll, and polls recover updates that were lost. The load
patterns behind this are long idle periods with bursts of changes, and the start of a whole fleet:
nothing is sent twice, changes of the table within a short delay are batched, and a replica with
many subscribers has them poll less often, so that polls never use most of its CPU time.
"""

from marjorambridge.conf import defaults
from marjorambridge.control.digests import (
    combine_digests,
    compute_entry_digest,
    compute_hosts_digest,
)
from marjorambridge.control.messages import FeedPoll, FeedUpdate
from marjorambridge.control.registry import build_entry
from marjorambridge.control.state import PUSH, ControlReplicaState, Subscriber, is_current
from marjorambridge.core.effects import Effect, SendMessage, SetTimer


def answer_poll(state: ControlReplicaState, host: str, poll: FeedPoll, now: float) -> list[Effect]:
    """Answer a poll with the changes that the host does not have."""
    subscriber = state.subscribers.get(host)
    is_new = subscriber is None
    if subscriber is None:
        subscriber = state.subscribers[host] = Subscriber(now, poll.zone)
    subscriber.polled_at = now
    subscriber.revision = poll.revision if poll.incarnation == state.incarnation else -1
    subscriber.version, subscriber.may_be_old = poll.version, poll.may_be_old
    names = _list_hosts(state)
    if poll.hosts_digest == compute_hosts_digest(names):
        subscriber.hosts = tuple(names)
    elif subscriber.revision < 0:
        subscriber.hosts = ()
    subscriber.table_digest = poll.table_digest
    effects: list[Effect] = [_make_update(state, host, subscriber, poll.serial, now)]
    if is_new:
        # The other hosts take the new one into account in their shares of fleet-wide limits.
        effects += schedule_push(state, now)
    return effects


def push_updates(state: ControlReplicaState, now: float) -> list[Effect]:
    """Send every subscriber the changes that it does not have, without delay."""
    current = is_current(state, now)
    return [
        _make_update(state, host, subscriber, 0, now)
        for host, subscriber in state.subscribers.items()
        if subscriber.index < state.control.index
        or subscriber.current != current
        or (subscriber.revision < state.table.revision and _may_send_table(state, subscriber, now))
    ]


def schedule_push(state: ControlReplicaState, now: float) -> list[Effect]:
    """Schedule a push that also includes the changes made until it runs."""
    if state.is_push_scheduled:
        return []
    state.is_push_scheduled = True
    delay = max(
        defaults.FEED_PUSH_DELAY_SECONDS,
        len(state.subscribers) / defaults.FEED_MAX_UPDATES_PER_SECOND,
    )
    return [SetTimer(PUSH, now + delay)]


def run_scheduled_push(state: ControlReplicaState, now: float) -> list[Effect]:
    """Send the updates of a scheduled push."""
    state.is_push_scheduled = False
    return push_updates(state, now)


def _may_send_table(state: ControlReplicaState, subscriber: Subscriber, now: float) -> bool:
    """Return whether a host gets the table and the manifest of this replica.

    After a start or a loss of contact, this replica or another one is current within a short time.
    Hosts search for a current replica meanwhile, and each would otherwise get a whole table from
    every replica that it polls.

    A replica that can't apply the log sends neither, since its state lacks acknowledged commands.
    """
    if state.halted:
        return False
    if is_current(state, now):
        return True
    is_withhold_expired = now - state.unconfirmed_since >= defaults.FEED_WITHHOLD_SECONDS
    return subscriber.may_be_old and is_withhold_expired


def _make_update(
    state: ControlReplicaState, host: str, subscriber: Subscriber, serial: int, now: float
) -> SendMessage:
    table, control = state.table, state.control
    # Manifests of large fleets make up most of the traffic between zones; none is sent needlessly.
    sends_table = _may_send_table(state, subscriber, now)
    sends_document = control.version > subscriber.version and sends_table
    matches = (
        sends_table
        and subscriber.revision < 0
        and subscriber.table_digest != 0
        and subscriber.table_digest == _get_table_digest(state, now)
    )
    if matches:
        subscriber.revision = table.revision
    changed = tuple(
        build_entry(known, now)
        for known in table.endpoints.values()
        if sends_table and known.revision > subscriber.revision
    )
    removed = tuple(
        name
        for name, revision in table.removed.items()
        if sends_table and revision > subscriber.revision >= 0
    )
    hosts = _list_hosts(state)
    names = tuple(hosts)
    # The host names of a large fleet are the largest part of an update, and most are unchanged.
    sent_hosts = names if names != subscriber.hosts else ()
    subscriber.hosts = names
    update = FeedUpdate(
        serial=serial,
        incarnation=state.incarnation if sends_table else 0,
        revision=table.revision if sends_table else 0,
        current=is_current(state, now),
        base=subscriber.revision if sends_table else 0,
        index=control.index,
        version=control.version,
        document=control.document if sends_document else b"",
        drained=tuple(sorted(control.drained)),
        restored=tuple(sorted(control.restored)),
        restored_at=tuple(control.restored[zone] for zone in sorted(control.restored)),
        changed=changed,
        removed=removed,
        members=state.members,
        member_zones=tuple(state.zones.get(host, "") for host in state.members),
        hosts=sent_hosts,
        host_zones=tuple(hosts[name] for name in sent_hosts),
        poll_after_seconds=min(
            len(state.subscribers) / defaults.FEED_MAX_POLLS_PER_SECOND,
            defaults.FEED_MAX_POLL_INTERVAL_SECONDS,
        ),
        matches=matches,
    )
    if sends_table:
        subscriber.revision = table.revision
    subscriber.index = control.index
    if sends_document:
        subscriber.version = control.version
    subscriber.current = update.current
    return SendMessage(host, update)


def _get_table_digest(state: ControlReplicaState, now: float) -> int:
    """Return the digest of the endpoint table."""
    if state.digest_revision != state.table.revision:
        entries = (build_entry(known, now) for known in state.table.endpoints.values())
        state.digest = combine_digests(compute_entry_digest(entry) for entry in entries)
        state.digest_revision = state.table.revision
    return state.digest


def _list_hosts(state: ControlReplicaState) -> dict[str, str]:
    """Return the zones of all subscribed hosts, sorted by host."""
    hosts = {name: other.zone for name, other in state.remote_subscribers.items()}
    hosts |= {name: other.zone for name, other in state.subscribers.items()}
    return dict(sorted(hosts.items()))


def drop_expired_subscribers(state: ControlReplicaState, now: float) -> bool:
    """Remove subscribers whose polls have stopped and return whether there were any."""
    limit = now - defaults.SUBSCRIBER_EXPIRY_SECONDS
    expired = [host for host, item in state.subscribers.items() if item.polled_at < limit]
    for host in expired:
        del state.subscribers[host]
    expired_remote = [
        host for host, item in state.remote_subscribers.items() if item.reported_at < limit
    ]
    for host in expired_remote:
        del state.remote_subscribers[host]
    return bool(expired or expired_remote)
