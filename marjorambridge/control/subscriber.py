"""Process the events of a host that subscribes to the feed of a replica.

A host polls one replica, in its own zone if there is one, because traffic between zones is costly.
A hash of host and replica selects among several, so that the hosts of a large fleet spread over all
replicas and not only over those in their settings. A host switches to another replica when its own
is unresponsive or not current, that is, may lack acknowledged commands. If no replica is current,
the host continues with the state it has.
"""

import math
import random

import xxhash
from msgspec import Struct, field

from marjorambridge.conf import defaults
from marjorambridge.control.digests import (
    combine_digests,
    compute_entry_digest,
    compute_hosts_digest,
)
from marjorambridge.control.events import FeedLost, FeedRegained, FleetUpdated
from marjorambridge.control.messages import FeedPoll, FeedUpdate, find_inconsistency
from marjorambridge.core.effects import Effect, Publish, SendMessage, SetTimer, WriteLog
from marjorambridge.core.events import Event, MessageReceived, Started, TimerFired
from marjorambridge.core.identity import TimerKey
from marjorambridge.core.numbers import clamp

POLL = TimerKey("control", "poll")


class ReplicaStatus(Struct):
    """The state of the feed from one replica.

    Attributes
    ----------
    avoid_until : float
        Monotonic time in seconds until which other replicas are preferred, because this one was
        unresponsive.
    outdated_until : float
        Monotonic time in seconds until which this replica counts as not current.
    consecutive_timeouts : int
        Timeouts since the replica's last answer.
    timed_out_at : float
        Monotonic time in seconds of the last timeout.
    """

    incarnation: int = 0
    revision: int = 0
    answered_at: float = 0.0
    avoid_until: float = 0.0
    outdated_until: float = 0.0
    consecutive_timeouts: int = 0
    timed_out_at: float = -math.inf


class SubscriberState(Struct):
    """Hold the state of a host's side of the feed.

    Attributes
    ----------
    host : str
        Name of this host.
    seeds : tuple of str
        Replicas in the settings.
    members : tuple of str
        Replicas in the last update.
    polled_replica : str
        Replica that is polled; empty if there is none.
    polled_since, answered_at, started_at : float
        Monotonic times in seconds.
    min_poll_interval : float
        Shortest time in seconds between two polls, as set by the polled replica.
    unanswered_polls : int
        Polls since the last answer.
    endpoint_digests : dict of str to int
        Digest of each endpoint in the updates.
    hosts_digest : int
        Digest of the last list of hosts in an update.
    index, version : int
        Highest control index received and highest manifest version accepted.
    """

    host: str
    zone: str
    seeds: tuple[str, ...]
    generator: random.Random
    zone_of: dict[str, str] = field(default_factory=dict)
    members: tuple[str, ...] = ()
    replicas: dict[str, ReplicaStatus] = field(default_factory=dict)
    polled_replica: str = ""
    polled_since: float = 0.0
    answered_at: float = 0.0
    started_at: float = 0.0
    min_poll_interval: float = 0.0
    unanswered_polls: int = 0
    serial: int = 0
    endpoint_digests: dict[str, int] = field(default_factory=dict)
    hosts_digest: int = 0
    index: int = 0
    version: int = 0
    is_lost: bool = True


def create_state(host: str, zone: str, seeds: tuple[str, ...], seed: int) -> SubscriberState:
    """Return the state of a host that has just started."""
    return SubscriberState(host, zone, seeds, random.Random(seed))


EVENTS = frozenset({Started})
MESSAGES = frozenset({FeedUpdate})


def step(state: SubscriberState, event: Event) -> list[Effect]:
    """Apply an event and return the effects."""
    match event:
        case Started():
            state.started_at = state.answered_at = event.now
            return _send_poll(state, event.now)
        case TimerFired():
            return _send_poll(state, event.now)
        case MessageReceived() if inconsistency := find_inconsistency(event.message):
            fields = {"peer": event.sender, "reason": inconsistency}
            return [WriteLog("warning", "dropped an inconsistent message", fields)]
        case MessageReceived():
            return _handle_update(state, event.sender, event.message, event.now)
    return []


def replace_seeds(state: SubscriberState, seeds: tuple[str, ...]) -> None:
    """Replace the seed replicas after a change of the settings."""
    state.seeds = seeds


def _compute_interval(state: SubscriberState) -> float:
    """Return the time until the next poll.

    After an outage of the whole fleet, hosts start before the replicas do, and callers wait until a
    host has its first manifest, so the interval is short until then. A replica that answers pushes
    changes and sets the interval between polls by its number of subscribers. A replica that does
    not answer may be overloaded, and frequent polls would prolong the overload.
    """
    is_first = state.version == 0
    interval = (
        defaults.FEED_INITIAL_POLL_INTERVAL_SECONDS
        if is_first
        else defaults.FEED_POLL_INTERVAL_SECONDS
    )
    steps = min(state.unanswered_polls, defaults.MAX_BACKOFF_STEPS)
    backoff = interval * defaults.FEED_BACKOFF_FACTOR**steps
    limit = defaults.FEED_MAX_BACKOFF_SECONDS
    if is_first:
        limit = defaults.FEED_INITIAL_MAX_BACKOFF_SECONDS
    interval = max(interval, state.min_poll_interval, min(backoff, limit))
    return interval * (1.0 + defaults.FEED_JITTER_RATIO * (state.generator.random() - 0.5))


def _send_poll(state: SubscriberState, now: float) -> list[Effect]:
    interval = _compute_interval(state)
    is_first = state.version == 0
    answer_timeout = (
        defaults.FEED_INITIAL_ANSWER_TIMEOUT_SECONDS
        if is_first
        else defaults.FEED_ANSWER_TIMEOUT_SECONDS
    )
    answer_timeout = max(
        answer_timeout, defaults.FEED_ANSWER_TIMEOUT_POLLS * state.min_poll_interval
    )
    effects: list[Effect] = []
    unanswered_seconds = now - state.answered_at
    if not state.is_lost and unanswered_seconds > defaults.FEED_LOSS_TIMEOUT_SECONDS:
        state.is_lost = True
        effects.append(Publish(FeedLost(now, unanswered_seconds)))
    replica = state.replicas.get(state.polled_replica)
    waiting_since = max(replica.answered_at, state.polled_since) if replica else 0.0
    answer_due_at = waiting_since + answer_timeout
    if replica is None or now >= answer_due_at:
        if replica is not None:
            _avoid_unresponsive(replica, now)
        effects += _choose_replica(state, "unresponsive" if replica else "none polled", now)
        answer_due_at = now + answer_timeout
    effects.append(SetTimer(POLL, _schedule_poll(state, now + interval, answer_due_at, interval)))
    if not state.polled_replica:
        return effects
    replica = state.replicas[state.polled_replica]
    state.serial += 1
    state.unanswered_polls += 1
    poll = FeedPoll(
        state.serial,
        replica.incarnation,
        replica.revision,
        state.version,
        state.zone,
        may_be_old=not _requires_current(state, now),
        table_digest=combine_digests(state.endpoint_digests.values()),
        hosts_digest=state.hosts_digest,
    )
    effects.append(SendMessage(state.polled_replica, poll))
    return effects


def _schedule_poll(
    state: SubscriberState, poll_at: float, answer_due_at: float, interval: float
) -> float:
    """Return the time of the next poll, at the end of the answer timeout at the latest.

    The interval grows without answers, but must not delay the switch to another replica. A replica
    that has not answered is not polled again just before the switch.
    """
    is_late = state.unanswered_polls > 0 and poll_at > answer_due_at - interval / 2
    return answer_due_at if is_late else min(poll_at, answer_due_at)


def _avoid_unresponsive(replica: ReplicaStatus, now: float) -> None:
    """Prefer other replicas to an unresponsive one, for longer after each timeout.

    The time grows because each retry makes the host switch away from a replica that answers.
    """
    steps = min(replica.consecutive_timeouts, defaults.MAX_BACKOFF_STEPS)
    seconds = defaults.FEED_AVOID_SECONDS * 2**steps
    replica.avoid_until = now + min(seconds, defaults.FEED_MAX_AVOID_SECONDS)
    replica.consecutive_timeouts += 1
    replica.timed_out_at = now


def _choose_replica(state: SubscriberState, reason: str, now: float) -> list[Effect]:
    """Select the replica to poll, see `_make_sort_key`, and log why the last one is left."""
    candidates = list(dict.fromkeys([*state.members, *state.seeds]))
    if not candidates:
        return []
    previous = state.polled_replica
    state.polled_replica = min(candidates, key=lambda host: _make_sort_key(state, host, now))
    state.polled_since = now
    state.min_poll_interval = 0.0
    replica = state.replicas.setdefault(state.polled_replica, ReplicaStatus())
    # Its updates may have been missed while another replica was polled.
    replica.incarnation = replica.revision = 0
    fields = {
        "replica": state.polled_replica,
        "previous": previous,
        "reason": reason,
        "version": state.version,
    }
    return [WriteLog("info", "the polled replica changed", fields)]


def _make_sort_key(
    state: SubscriberState, host: str, now: float
) -> tuple[bool, float, bool, bool, int]:
    """Return the sort key of a replica; the lowest one is polled.

    Replicas that are not current come last: one that was unresponsive may have recovered, but the
    answers of an outdated one lack changes. Replicas that are avoided come before them, in the
    order in which the avoidance ends. Of the others, those in a zone where one has just timed out
    come last, because a zone may be lost as a whole, and each timeout delays changes. Replicas in
    the zone of this host come before others, and a hash breaks ties.
    """
    replica = state.replicas.get(host, ReplicaStatus())
    is_outdated = replica.outdated_until > now
    avoided_for = max(0.0, replica.avoid_until - now)
    zone = state.zone_of.get(host, "")
    order = xxhash.xxh3_64_intdigest(f"{state.host}/{host}".encode())
    return (
        is_outdated,
        avoided_for,
        _has_recent_timeout(state, zone, now),
        zone != state.zone,
        order,
    )


def _has_recent_timeout(state: SubscriberState, zone: str, now: float) -> bool:
    limit = now - defaults.FEED_AVOID_SECONDS
    return any(
        replica.timed_out_at > limit and state.zone_of.get(host, "") == zone
        for host, replica in state.replicas.items()
    )


def _handle_update(
    state: SubscriberState, sender: str, update: FeedUpdate, now: float
) -> list[Effect]:
    replica = state.replicas.setdefault(sender, ReplicaStatus())
    replica.answered_at = now
    if update.members:
        state.members = update.members
        zones = zip(update.members, update.member_zones, strict=True)
        state.zone_of.update((member, zone) for member, zone in zones if zone)
    if state.version == 0 and update.current and sender != state.polled_replica:
        # Replicas notify all subscribers when they become current; select the first one.
        state.polled_replica, state.polled_since = sender, now
    if sender != state.polled_replica:
        # Other replicas keep pushing changes; a manifest from any current one is valid.
        return _publish_update(state, update, False, now) if update.current else []
    state.answered_at = now
    state.unanswered_polls = replica.consecutive_timeouts = 0
    state.min_poll_interval = clamp(
        update.poll_after_seconds, 0.0, defaults.FEED_MAX_POLL_INTERVAL_SECONDS
    )
    is_new_table = update.incarnation != replica.incarnation
    can_apply_endpoints = update.base < 0 or update.matches
    if not is_new_table:
        can_apply_endpoints |= update.base <= replica.revision
    if can_apply_endpoints and (is_new_table or update.revision >= replica.revision):
        replica.incarnation, replica.revision = update.incarnation, update.revision
    if can_apply_endpoints:
        _update_digests(state, update)
    effects: list[Effect] = []
    if state.is_lost and update.current:
        state.is_lost = False
        effects.append(Publish(FeedRegained(now, sender)))
    effects += _publish_update(state, update, can_apply_endpoints, now)
    if update.current:
        replica.outdated_until = 0.0
    elif now >= replica.outdated_until:
        replica.outdated_until = now + defaults.FEED_AVOID_SECONDS
    if min(
        _make_sort_key(state, host, now) for host in state.members or (sender,)
    ) < _make_sort_key(state, sender, now):
        reason = "better replica" if update.current else "not current"
        effects += _choose_replica(state, reason, now)
        # The answer timeout of a replica starts when it is selected, so it is polled immediately.
        effects.append(SetTimer(POLL, now))
    return effects


def _update_digests(state: SubscriberState, update: FeedUpdate) -> None:
    if update.base < 0:
        state.endpoint_digests.clear()
    for entry in update.changed:
        state.endpoint_digests[entry.endpoint] = compute_entry_digest(entry)
    for name in update.removed:
        state.endpoint_digests.pop(name, None)
    if update.hosts:
        state.hosts_digest = compute_hosts_digest(update.hosts)


def _requires_current(state: SubscriberState, now: float) -> bool:
    """Return whether a manifest from a replica that is not current is refused.

    A host without a manifest must not start with one that was replaced long ago, unless no replica
    can provide the current one.
    """
    return state.version == 0 and now - state.started_at < defaults.FEED_REQUIRE_CURRENT_SECONDS


def _publish_update(
    state: SubscriberState, update: FeedUpdate, can_apply_endpoints: bool, now: float
) -> list[Effect]:
    is_refused = not update.current and _requires_current(state, now)
    # A replica that has not detected the restart of this host sends changes only; the manifest
    # would arrive without the endpoints that serve it.
    lacks_endpoints = not can_apply_endpoints and state.version == 0
    if is_refused or lacks_endpoints or update.version <= state.version:
        update.document = b""
    if update.document:
        state.version = update.version
    can_apply_zones = update.index >= state.index
    state.index = max(state.index, update.index)
    return [
        Publish(FleetUpdated(now, update, can_apply_endpoints, can_apply_zones, update.current))
    ]
