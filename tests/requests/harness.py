"""Drive the requests reducer with a timer table in place of a clock, and collect its effects."""

import hashlib
from dataclasses import dataclass, field
from typing import Any

from marjorambridge.claims.events import ClaimDecided, ClaimWanted
from marjorambridge.claims.messages import ClaimStatus
from marjorambridge.configuration.models import (
    AvailabilityZone,
    Configuration,
    Service,
    ServiceKind,
    Workspace,
)
from marjorambridge.core.effects import CancelTimer, Publish, SendMessage, SetTimer
from marjorambridge.core.events import (
    ConfigurationApplied,
    FreshnessChanged,
    MessageReceived,
    TimerFired,
    ViewApplied,
)
from marjorambridge.core.timers import (
    TimerTable,
    cancel_timer,
    compute_next_due,
    pop_due,
    set_timer,
)
from marjorambridge.core.view import HostEntry, View
from marjorambridge.limits.messages import (
    EndpointGrant,
    PermitDenied,
    PermitGranted,
    PermitQueued,
    PermitRequest,
    PriorityClass,
    ShardSummary,
)
from marjorambridge.requests.effects import FinishRequest, StartAttempt
from marjorambridge.requests.events import (
    AttemptChunk,
    AttemptEnded,
    AttemptHeaders,
    AttemptStarted,
    RequestArrived,
)
from marjorambridge.requests.reducer import step
from marjorambridge.requests.state import RequestSettings, RequestsState, create_state

KEY = hashlib.sha256(b"key").hexdigest()


def build_configuration(out=(), **workspace) -> Configuration:
    services = {
        "model": Service("model", ServiceKind.ENGINE, ("z1", "z2", "far")),
        "app": Service("app", ServiceKind.PLAIN, ("z1", "z2")),
    }
    pits = Workspace("pits", (KEY,), ("model", "app"), **workspace)
    regions = {"z1": "near", "z2": "near", "far": "distant"}
    zones = {name: AvailabilityZone(name, region, name in out) for name, region in regions.items()}
    return Configuration(1, services, {"pits": pits}, zones)


def build_view(*hosts: str) -> View:
    entries = [HostEntry(name, 1, f"{name}:1", "z1", "near") for name in hosts or ("h0", "h1")]
    entries.append(HostEntry("f1", 1, "f1:1", "far", "distant"))
    return View(1, {entry.host: entry for entry in entries})


@dataclass(slots=True)
class Harness:
    state: RequestsState
    now: float = 100.0
    timers: TimerTable = field(default_factory=TimerTable)
    effects: list[Any] = field(default_factory=list)
    events: list[Any] = field(default_factory=list)
    watch: Any = None


def build_harness(fresh: float = 1e6, **settings) -> Harness:
    h = Harness(create_state("h0", 1, "near", "z1", RequestSettings(**settings), 7))
    feed(h, ConfigurationApplied(h.now, 1, build_configuration()))
    feed(h, ViewApplied(h.now, 1, build_view()))
    feed(h, FreshnessChanged(h.now, h.now + fresh))
    return h


def feed(h: Harness, event) -> list:
    effects = step(h.state, event)
    h.events.append((event, effects))
    h.effects += effects
    for effect in effects:
        if isinstance(effect, SetTimer):
            set_timer(h.timers, effect.key, effect.at)
        elif isinstance(effect, CancelTimer):
            cancel_timer(h.timers, effect.key)
        if h.watch is not None:
            h.watch(effect)
    return effects


def advance(h: Harness, seconds: float) -> None:
    """Let time pass and fire each timer when it is due."""
    end = h.now + seconds
    while (due := compute_next_due(h.timers)) is not None and due <= end:
        h.now = max(h.now, due)
        for key in pop_due(h.timers, h.now):
            feed(h, TimerFired(h.now, key))
    h.now = end


def arrive(h: Harness, ident: str = "r1", service: str = "model", **fields) -> list:
    values = {"key_hash": KEY, "method": "POST", "path": "/p", "prompt_bytes": 30, "timeout": 10.0}
    values.update(fields)
    return feed(h, RequestArrived(h.now, ident, 1.7e9, service=service, **values))


def find(effects, kind) -> list:
    """Return the effects of a kind; also the messages sent and the events published."""
    found = []
    for effect in effects:
        inner = effect.message if isinstance(effect, SendMessage) else effect
        inner = inner.event if isinstance(inner, Publish) else inner
        if isinstance(inner, kind):
            found.append(inner)
    return found


def last(h: Harness, kind):
    return find(h.effects, kind)[-1]


def last_ask(h: Harness) -> tuple[str, PermitRequest]:
    sent = [
        effect
        for effect in h.effects
        if isinstance(effect, SendMessage) and isinstance(effect.message, PermitRequest)
    ]
    return sent[-1].to, sent[-1].message


def reply(h: Harness, to: str, message) -> list:
    return feed(h, MessageReceived(h.now, to, 1, message))


def grant(
    h: Harness, owner: str, ask: PermitRequest, endpoint: str = "e1", number: int = 0
) -> list:
    entry = EndpointGrant(endpoint, 1, "10.0.0.1:1", 10)
    priority = PriorityClass.INTERACTIVE
    summary = ShardSummary(ask.shard, endpoints=3)
    number = number or ask.ask
    return reply(
        h, owner, PermitGranted(ask.permit, number, ask.shard, 1, priority, (entry,), summary)
    )


def deny(h: Harness, reason, retry_after: float = 0.1) -> list:
    owner, ask = last_ask(h)
    summary = ShardSummary(ask.shard, endpoints=3)
    return reply(h, owner, PermitDenied(ask.permit, ask.shard, reason, retry_after, summary))


def queue(h: Harness, wait: float) -> list:
    owner, ask = last_ask(h)
    summary = ShardSummary(ask.shard, endpoints=3, expected_wait=wait)
    return reply(h, owner, PermitQueued(ask.permit, ask.ask, ask.shard, wait, summary))


def start(h: Harness, endpoint: str = "e1", status: int = 200) -> StartAttempt:
    """Grant the last ask, report the first byte and the headers."""
    grant(h, *last_ask(h), endpoint)
    effect = last(h, StartAttempt)
    feed(h, AttemptStarted(h.now, effect.attempt))
    feed(h, AttemptHeaders(h.now, effect.attempt, status))
    return effect


def chunk(h: Harness, attempt, index: int, text: bytes) -> list:
    """Deliver one token per byte."""
    ends = tuple(range(1, len(text) + 1))
    return feed(h, AttemptChunk(h.now, attempt, index, len(text), text, ends))


def end(h: Harness, attempt, kind, **fields) -> list:
    return feed(h, AttemptEnded(h.now, attempt, kind, **fields))


def claim(h: Harness, status=ClaimStatus.GRANTED, answer=None) -> list:
    return feed(h, ClaimDecided(h.now, last(h, ClaimWanted).claim, status, answer))


def outcome(h: Harness, ident: str = "r1"):
    """Return the only outcome of a request."""
    outcomes = [end.outcome for end in find(h.effects, FinishRequest) if end.request == ident]
    assert len(outcomes) == 1, outcomes
    return outcomes[0]
