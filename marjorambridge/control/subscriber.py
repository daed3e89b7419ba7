"""Reduce the events of a host that follows a replica.

A host polls one replica, in its own zone if there is one, because bytes between zones are dear. A
hash of host and replica chooses among several, so that the hosts of a large fleet spread over all
replicas and not only over those that their settings name. A host turns to another replica when its
own is silent or is not current. One that finds no current replica goes on with what it holds.
"""

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
from marjorambridge.control.messages import FeedPoll, FeedUpdate, find_fault
from marjorambridge.core.effects import Effect, Publish, SendMessage, SetTimer, WriteLog
from marjorambridge.core.events import Event, MessageReceived, Started, TimerFired
from marjorambridge.core.identity import TimerKey

POLL = TimerKey("control", "poll")


class FollowedReplica(Struct):
    """Hold what a host knows about one replica.

    Attributes
    ----------
    avoid_until : float
        Monotonic time in seconds until which other replicas are preferred.
    silences : int
        How often it was avoided for its silence since it answered last.
    """

    incarnation: int = 0
    revision: int = 0
    answered_at: float = 0.0
    avoid_until: float = 0.0
    silences: int = 0


class FollowerState(Struct):
    """Hold the state of a host's side of the feed.

    Attributes
    ----------
    host : str
        Name of this host.
    seeds : tuple of str
        Replicas named by the settings.
    members : tuple of str
        Replicas named by the last update.
    chosen : str
        Replica that is polled.
    chosen_at, answered_at, started_at : float
        Monotonic times in seconds.
    poll_after : float
        Time in seconds that the chosen replica wants between two polls.
    unanswered : int
        Polls since the last answer.
    digests : dict of str to int
        Digest of each endpoint as the replicas told it.
    hosts_digest : int
        Digest of the hosts that were named last.
    index, version : int
        Greatest control index and manifest version that were taken over.
    """

    host: str
    zone: str
    seeds: tuple[str, ...]
    generator: random.Random
    zone_of: dict[str, str] = field(default_factory=dict)
    members: tuple[str, ...] = ()
    replicas: dict[str, FollowedReplica] = field(default_factory=dict)
    chosen: str = ""
    chosen_at: float = 0.0
    answered_at: float = 0.0
    started_at: float = 0.0
    poll_after: float = 0.0
    unanswered: int = 0
    serial: int = 0
    digests: dict[str, int] = field(default_factory=dict)
    hosts_digest: int = 0
    index: int = 0
    version: int = 0
    is_lost: bool = True


def create_state(host: str, zone: str, seeds: tuple[str, ...], seed: int) -> FollowerState:
    """Return the state of a host that has just started."""
    return FollowerState(host, zone, seeds, random.Random(seed))


EVENTS = frozenset({Started})
MESSAGES = frozenset({FeedUpdate})


def step(state: FollowerState, event: Event) -> list[Effect]:
    """Apply an event and return the effects."""
    match event:
        case Started():
            state.started_at = state.answered_at = event.now
            return _poll(state, event.now)
        case TimerFired():
            return _poll(state, event.now)
        case MessageReceived() if fault := find_fault(event.message):
            fields = {"peer": event.sender, "reason": fault}
            return [WriteLog("warning", "dropped a message that contradicts itself", fields)]
        case MessageReceived():
            return _take_update(state, event.sender, event.message, event.now)
    return []


def replace_seeds(state: FollowerState, seeds: tuple[str, ...]) -> None:
    """Take over the replicas that changed settings name."""
    state.seeds = seeds


def _compute_interval(state: FollowerState) -> float:
    """Return the time until the next poll.

    After a loss of the whole fleet hosts start before the replicas do, and callers wait until a
    host has its first manifest; so the first polls follow one another fast. A replica that answers
    pushes what comes, and says how often so many hosts may ask. One that does not answer may be
    overloaded, and polls would keep it so.
    """
    is_first = state.version == 0
    interval = (
        defaults.FEED_INITIAL_POLL_INTERVAL_SECONDS
        if is_first
        else defaults.FEED_POLL_INTERVAL_SECONDS
    )
    backoff = interval * defaults.FEED_BACKOFF_FACTOR**state.unanswered
    limit = defaults.FEED_MAX_BACKOFF_SECONDS
    if is_first:
        limit = defaults.FEED_INITIAL_MAX_BACKOFF_SECONDS
    interval = max(interval, state.poll_after, min(backoff, limit))
    return interval * (1.0 + defaults.FEED_JITTER_RATIO * (state.generator.random() - 0.5))


def _poll(state: FollowerState, now: float) -> list[Effect]:
    interval = _compute_interval(state)
    is_first = state.version == 0
    patience = (
        defaults.FEED_INITIAL_ANSWER_TIMEOUT_SECONDS
        if is_first
        else defaults.FEED_ANSWER_TIMEOUT_SECONDS
    )
    patience = max(patience, defaults.FEED_ANSWER_TIMEOUT_POLLS * state.poll_after)
    effects: list[Effect] = [SetTimer(POLL, now + interval)]
    silence = now - state.answered_at
    if not state.is_lost and silence > defaults.FEED_LOSS_TIMEOUT_SECONDS:
        state.is_lost = True
        effects.append(Publish(FeedLost(now, silence)))
    replica = state.replicas.get(state.chosen)
    heard_at = max(replica.answered_at, state.chosen_at) if replica else 0.0
    if replica is None or now - heard_at > patience:
        if replica is not None:
            _avoid_silent(replica, now)
        _choose(state, now)
    if not state.chosen:
        return effects
    replica = state.replicas[state.chosen]
    state.serial += 1
    state.unanswered += 1
    poll = FeedPoll(
        state.serial,
        replica.incarnation,
        replica.revision,
        state.version,
        state.zone,
        may_be_old=not _waits_for_current(state, now),
        table_digest=combine_digests(state.digests.values()),
        hosts_digest=state.hosts_digest,
    )
    effects.append(SendMessage(state.chosen, poll))
    return effects


def _avoid_silent(replica: FollowedReplica, now: float) -> None:
    """Prefer other replicas to a silent one, longer after each time.

    To find out whether it answers again, a host stops listening to one that does.
    """
    seconds = defaults.FEED_AVOID_SECONDS * 2**replica.silences
    replica.avoid_until = now + min(seconds, defaults.FEED_MAX_AVOID_SECONDS)
    replica.silences += 1


def _choose(state: FollowerState, now: float) -> None:
    """Choose among all replicas, see `_rank`."""
    candidates = list(dict.fromkeys([*state.members, *state.seeds]))
    if not candidates:
        return
    state.chosen = min(candidates, key=lambda host: _rank(state, host, now))
    state.chosen_at = now
    state.poll_after = 0.0
    replica = state.replicas.setdefault(state.chosen, FollowedReplica())
    # What it sent before may have been missed while another one was followed.
    replica.incarnation = replica.revision = 0


def _rank(state: FollowerState, host: str, now: float) -> tuple[float, bool, int]:
    """Return the sort key of a replica; of those that are avoided the first one to be tried again.

    Replicas of the own zone come before others, and a hash decides between equal ones.
    """
    replica = state.replicas.get(host)
    avoided_for = max(0.0, replica.avoid_until - now) if replica is not None else 0.0
    order = xxhash.xxh3_64_intdigest(f"{state.host}/{host}".encode())
    return avoided_for, state.zone_of.get(host, "") != state.zone, order


def _take_update(state: FollowerState, sender: str, update: FeedUpdate, now: float) -> list[Effect]:
    replica = state.replicas.setdefault(sender, FollowedReplica())
    replica.answered_at = now
    if update.members:
        state.members = update.members
        state.zone_of.update(zip(update.members, update.member_zones, strict=True))
    if state.version == 0 and update.current and sender != state.chosen:
        # Replicas tell all followers when they become current; the first one will do.
        state.chosen, state.chosen_at = sender, now
    if sender != state.chosen:
        # Other replicas go on to tell what changes; a manifest is as good from any of them.
        return _pass_on(state, update, False, now) if update.current else []
    state.answered_at = now
    state.unanswered = replica.silences = 0
    state.poll_after = update.poll_after_seconds
    is_new_table = update.incarnation != replica.incarnation
    follows = update.base < 0 or update.matches
    if not is_new_table:
        follows |= update.base <= replica.revision
    if follows and (is_new_table or update.revision >= replica.revision):
        replica.incarnation, replica.revision = update.incarnation, update.revision
    if follows:
        _note_digests(state, update)
    effects: list[Effect] = []
    if state.is_lost and update.current:
        state.is_lost = False
        effects.append(Publish(FeedRegained(now, sender)))
    effects += _pass_on(state, update, follows, now)
    if not update.current and now >= replica.avoid_until:
        replica.avoid_until = now + defaults.FEED_AVOID_SECONDS
    if min(_rank(state, host, now) for host in state.members or (sender,)) < _rank(
        state, sender, now
    ):
        _choose(state, now)
        # The silence of a replica counts from the moment when it was chosen.
        effects.append(SetTimer(POLL, now))
    return effects


def _note_digests(state: FollowerState, update: FeedUpdate) -> None:
    if update.base < 0:
        state.digests.clear()
    for entry in update.changed:
        state.digests[entry.endpoint] = compute_entry_digest(entry)
    for name in update.removed:
        state.digests.pop(name, None)
    if update.hosts:
        state.hosts_digest = compute_hosts_digest(update.hosts)


def _waits_for_current(state: FollowerState, now: float) -> bool:
    """Return whether a manifest of a replica that is not current is refused.

    A host that knows nothing must not begin with a manifest that was replaced long ago, unless
    nobody can tell it the present one.
    """
    return state.version == 0 and now - state.started_at < defaults.FEED_REQUIRE_CURRENT_SECONDS


def _pass_on(state: FollowerState, update: FeedUpdate, follows: bool, now: float) -> list[Effect]:
    is_refused = not update.current and _waits_for_current(state, now)
    # A replica that has not noticed the restart of this host tells changes only; the manifest would
    # come without the endpoints that serve it.
    lacks_endpoints = not follows and state.version == 0
    if is_refused or lacks_endpoints or update.version <= state.version:
        update.document = b""
    if update.document:
        state.version = update.version
    can_apply_zones = update.index >= state.index
    state.index = max(state.index, update.index)
    return [Publish(FleetUpdated(now, update, follows, can_apply_zones, update.current))]
