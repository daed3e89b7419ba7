"""Feed hosts with the manifest, the zones and the table of endpoints.

A change reaches hosts without a poll, and a poll of each host repeats what was lost. The load
patterns behind this are a long quiet time with bursts of changes, and the start of a whole fleet:
nothing is sent twice, changes of the table within a moment go out together, and a replica with many
followers has them poll less often, so that polls never take most of its processor.
"""

from marjorambridge.conf import defaults
from marjorambridge.control.digests import (
    combine_digests,
    compute_entry_digest,
    compute_hosts_digest,
)
from marjorambridge.control.messages import FeedPoll, FeedUpdate
from marjorambridge.control.registry import describe
from marjorambridge.control.state import PUSH, ControlReplicaState, Follower, is_current
from marjorambridge.core.effects import Effect, SendMessage, SetTimer


def answer_poll(state: ControlReplicaState, host: str, poll: FeedPoll, now: float) -> list[Effect]:
    """Tell a host what it lacks."""
    follower = state.followers.get(host)
    is_new = follower is None
    if follower is None:
        follower = state.followers[host] = Follower(now, poll.zone)
    follower.polled_at = now
    follower.revision = poll.revision if poll.incarnation == state.incarnation else -1
    follower.version, follower.may_be_old = poll.version, poll.may_be_old
    names = _list_hosts(state)
    if poll.hosts_digest == compute_hosts_digest(names):
        follower.hosts = tuple(names)
    elif follower.revision < 0:
        follower.hosts = ()
    follower.table_digest = poll.table_digest
    effects: list[Effect] = [_make_update(state, host, follower, poll.serial, now)]
    if is_new:
        # The other hosts count the new one in their shares of fleet-wide limits.
        effects += schedule_push(state, now)
    return effects


def push(state: ControlReplicaState, now: float) -> list[Effect]:
    """Tell every host at once what it lacks."""
    current = is_current(state, now)
    return [
        _make_update(state, host, follower, 0, now)
        for host, follower in state.followers.items()
        if follower.index < state.control.index
        or follower.current != current
        or (follower.revision < state.table.revision and _may_tell(state, follower, now))
    ]


def schedule_push(state: ControlReplicaState, now: float) -> list[Effect]:
    """Tell the hosts soon, together with what changes until then."""
    if state.push_is_set:
        return []
    state.push_is_set = True
    delay = max(
        defaults.FEED_PUSH_DELAY_SECONDS,
        len(state.followers) / defaults.FEED_MAX_UPDATES_PER_SECOND,
    )
    return [SetTimer(PUSH, now + delay)]


def run_push(state: ControlReplicaState, now: float) -> list[Effect]:
    """Tell the hosts what was scheduled."""
    state.push_is_set = False
    return push(state, now)


def _may_tell(state: ControlReplicaState, follower: Follower, now: float) -> bool:
    """Return whether a host gets the table and the manifest of this replica.

    A replica that has just started or lost contact is current again within moments, or another one
    is. Hosts look for that one meanwhile, and each would otherwise get a whole table from every
    replica that it asks.
    """
    if is_current(state, now):
        return True
    waited = now - state.unconfirmed_since >= defaults.FEED_WITHHOLD_SECONDS
    return follower.may_be_old and waited


def _make_update(
    state: ControlReplicaState, host: str, follower: Follower, serial: int, now: float
) -> SendMessage:
    table, control = state.table, state.control
    # Manifests of large fleets take most of the bytes between zones; none is sent in vain.
    is_told = _may_tell(state, follower, now)
    has_news = control.version > follower.version and is_told
    matches = (
        is_told
        and follower.revision < 0
        and follower.table_digest != 0
        and follower.table_digest == _get_digest(state, now)
    )
    if matches:
        follower.revision = table.revision
    changed = tuple(
        describe(known, now)
        for known in table.endpoints.values()
        if is_told and known.revision > follower.revision
    )
    removed = tuple(
        name
        for name, revision in table.removed.items()
        if is_told and revision > follower.revision >= 0
    )
    hosts = _list_hosts(state)
    names = tuple(hosts)
    # Most updates repeat what is known; the names of a large fleet are their greatest part.
    told = names if names != follower.hosts else ()
    follower.hosts = names
    update = FeedUpdate(
        serial=serial,
        incarnation=state.incarnation if is_told else 0,
        revision=table.revision if is_told else 0,
        current=is_current(state, now),
        base=follower.revision if is_told else 0,
        index=control.index,
        version=control.version,
        document=control.document if has_news else b"",
        drained=tuple(sorted(control.drained)),
        restored=tuple(sorted(control.restored)),
        restored_at=tuple(control.restored[zone] for zone in sorted(control.restored)),
        changed=changed,
        removed=removed,
        members=state.members,
        member_zones=tuple(state.zones.get(host, "") for host in state.members),
        hosts=told,
        host_zones=tuple(hosts[name] for name in told),
        poll_after_seconds=min(
            len(state.followers) / defaults.FEED_MAX_POLLS_PER_SECOND,
            defaults.FEED_MAX_POLL_INTERVAL_SECONDS,
        ),
        matches=matches,
    )
    if is_told:
        follower.revision = table.revision
    follower.index = control.index
    if has_news:
        follower.version = control.version
    follower.current = update.current
    return SendMessage(host, update)


def _get_digest(state: ControlReplicaState, now: float) -> int:
    """Return the digest of the endpoint table."""
    if state.digest_revision != state.table.revision:
        entries = (describe(known, now) for known in state.table.endpoints.values())
        state.digest = combine_digests(compute_entry_digest(entry) for entry in entries)
        state.digest_revision = state.table.revision
    return state.digest


def _list_hosts(state: ControlReplicaState) -> dict[str, str]:
    """Return all hosts that follow a replica, in order, and their zones."""
    hosts = {name: other.zone for name, other in state.other_hosts.items()}
    hosts |= {name: other.zone for name, other in state.followers.items()}
    return dict(sorted(hosts.items()))


def drop_followers(state: ControlReplicaState, now: float) -> bool:
    """Forget hosts that are gone and return whether there were any."""
    limit = now - defaults.SUBSCRIBER_EXPIRY_SECONDS
    gone = [host for host, item in state.followers.items() if item.polled_at < limit]
    for host in gone:
        del state.followers[host]
    elsewhere = [host for host, item in state.other_hosts.items() if item.told_at < limit]
    for host in elsewhere:
        del state.other_hosts[host]
    return bool(gone or elsewhere)
