"""Reduce the events of a host that follows a replica.

A host polls one replica, in its own zone if there is one, because bytes between zones are dear. It
turns to another one when the replica is silent or is not current. A host that finds no current
replica goes on with what it holds.
"""

import random
from dataclasses import dataclass, field

from marjorambridge.conf import defaults
from marjorambridge.control.events import FeedLost, FeedRegained, FleetUpdated
from marjorambridge.control.messages import FeedPoll, FeedUpdate
from marjorambridge.core.effects import Effect, Publish, SendMessage, SetTimer
from marjorambridge.core.events import Event, MessageReceived, Started, TimerFired
from marjorambridge.core.identity import TimerKey

POLL = TimerKey("control", "poll")


@dataclass(slots=True)
class FollowedReplica:
    """Hold what a host knows about one replica.

    Attributes
    ----------
    avoid_until : float
        Monotonic time in seconds until which other replicas are preferred.
    """

    incarnation: int = 0
    revision: int = 0
    answered_at: float = 0.0
    avoid_until: float = 0.0


@dataclass(slots=True)
class FollowerState:
    """Hold the state of a host's side of the feed.

    Attributes
    ----------
    seeds : tuple of str
        Replicas named by the settings.
    members : tuple of str
        Replicas named by the last update.
    chosen : str
        Replica that is polled.
    chosen_at, answered_at, started_at : float
        Monotonic times in seconds.
    index, version : int
        Greatest control index and manifest version that were taken over.
    """

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
    serial: int = 0
    index: int = 0
    version: int = 0
    is_lost: bool = True


def create_state(zone: str, seeds: tuple[str, ...], seed: int) -> FollowerState:
    """Return the state of a host that has just started."""
    return FollowerState(zone, seeds, random.Random(seed))


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
        case MessageReceived():
            return _take_update(state, event.sender, event.message, event.now)
    return []


def learn_seeds(state: FollowerState, seeds: tuple[str, ...]) -> None:
    """Take over the replicas that changed settings name."""
    state.seeds = seeds


def _poll(state: FollowerState, now: float) -> list[Effect]:
    # After a loss of the whole fleet, hosts start before the replicas have a leader; callers wait
    # until a host has its first manifest.
    is_first = state.version == 0
    interval = defaults.FEED_FIRST_POLL_SECONDS if is_first else defaults.FEED_POLL_SECONDS
    patience = defaults.FEED_FIRST_PATIENCE_SECONDS if is_first else defaults.FEED_PATIENCE_SECONDS
    effects: list[Effect] = [SetTimer(POLL, now + interval)]
    silence = now - state.answered_at
    if not state.is_lost and silence > defaults.FEED_LOST_SECONDS:
        state.is_lost = True
        effects.append(Publish(FeedLost(now, silence)))
    replica = state.replicas.get(state.chosen)
    heard_at = max(replica.answered_at, state.chosen_at) if replica else 0.0
    if replica is None or now - heard_at > patience:
        if replica is not None:
            replica.avoid_until = now + defaults.FEED_AVOID_SECONDS
        _choose(state, now)
    if not state.chosen:
        return effects
    replica = state.replicas[state.chosen]
    state.serial += 1
    poll = FeedPoll(
        state.serial,
        replica.incarnation,
        replica.revision,
        state.version,
        state.zone,
        may_be_old=not _waits_for_current(state, now),
    )
    effects.append(SendMessage(state.chosen, poll))
    return effects


def _choose(state: FollowerState, now: float) -> None:
    """Choose among all replicas: not avoided ones first, then those of the own zone."""
    candidates = list(dict.fromkeys([*state.members, *state.seeds]))
    if not candidates:
        return
    state.generator.shuffle(candidates)
    state.chosen = min(candidates, key=lambda host: _rank(state, host, now))
    state.chosen_at = now
    replica = state.replicas.setdefault(state.chosen, FollowedReplica())
    # What it sent before may have been missed while another one was followed.
    replica.incarnation = replica.revision = 0


def _rank(state: FollowerState, host: str, now: float) -> tuple[bool, bool]:
    replica = state.replicas.get(host)
    is_avoided = replica is not None and replica.avoid_until > now
    return is_avoided, state.zone_of.get(host, "") != state.zone


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
        return []
    state.answered_at = now
    is_new_table = update.incarnation != replica.incarnation
    follows = update.base < 0 if is_new_table else update.base <= replica.revision
    if follows and (is_new_table or update.revision >= replica.revision):
        replica.incarnation, replica.revision = update.incarnation, update.revision
    effects: list[Effect] = []
    if state.is_lost and update.current:
        state.is_lost = False
        effects.append(Publish(FeedRegained(now, sender)))
    effects += _pass_on(state, update, follows, now)
    if not update.current:
        replica.avoid_until = now + defaults.FEED_AVOID_SECONDS
    if min(_rank(state, host, now) for host in state.members or (sender,)) < _rank(
        state, sender, now
    ):
        _choose(state, now)
    return effects


def _waits_for_current(state: FollowerState, now: float) -> bool:
    """Return whether a manifest of a replica that is not current is refused.

    A host that knows nothing must not begin with a manifest that was replaced long ago, unless
    nobody can tell it the present one.
    """
    return state.version == 0 and now - state.started_at < defaults.FEED_FIRST_SECONDS


def _pass_on(state: FollowerState, update: FeedUpdate, follows: bool, now: float) -> list[Effect]:
    is_refused = not update.current and _waits_for_current(state, now)
    # A replica that has not noticed the restart of this host tells changes only; the manifest would
    # come without the endpoints that serve it.
    lacks_endpoints = not follows and state.version == 0
    if is_refused or lacks_endpoints or update.version <= state.version:
        update.document = b""
    if update.document:
        state.version = update.version
    has_zones = update.index >= state.index
    state.index = max(state.index, update.index)
    return [Publish(FleetUpdated(now, update, follows, has_zones, update.current))]
