"""Drive the requests reducer with a timer table in place of a clock, and collect its effects."""

import hashlib
from dataclasses import dataclass, field
from typing import Any

from marjorambridge.claims import events as ce
from marjorambridge.claims.messages import ClaimStatus
from marjorambridge.configuration import models
from marjorambridge.core import effects as core
from marjorambridge.core import timers as tm
from marjorambridge.core.events import (
    ConfigurationApplied,
    FreshnessChanged,
    MessageReceived,
    TimerFired,
    ViewApplied,
)
from marjorambridge.core.view import HostEntry, View
from marjorambridge.limits import messages as lm
from marjorambridge.requests import effects as fx
from marjorambridge.requests import events as ev
from marjorambridge.requests.reducer import step
from marjorambridge.requests.state import RequestSettings, RequestsState, create_state

KEY = hashlib.sha256(b"key").hexdigest()


def build_configuration(out=(), **workspace) -> models.Configuration:
    engine, plain = models.ServiceKind.ENGINE, models.ServiceKind.PLAIN
    model = models.Service("model", engine, ("z1", "z2", "far"))
    app = models.Service("app", plain, ("z1", "z2"))
    pits = models.Workspace("pits", (KEY,), ("model", "app"), **workspace)
    regions = {"z1": "near", "z2": "near", "far": "distant"}
    zones = {n: models.AvailabilityZone(n, region, n in out) for n, region in regions.items()}
    return models.Configuration(1, {"model": model, "app": app}, {"pits": pits}, zones)


def build_view(*hosts: str) -> View:
    entries = [HostEntry(name, 1, f"{name}:1", "z1", "near") for name in hosts or ("h0", "h1")]
    entries.append(HostEntry("f1", 1, "f1:1", "far", "distant"))
    return View(1, {entry.host: entry for entry in entries})


@dataclass(slots=True)
class Harness:
    state: RequestsState
    now: float = 100.0
    timers: tm.TimerTable = field(default_factory=tm.TimerTable)
    effects: list[Any] = field(default_factory=list)
    record: list[Any] = field(default_factory=list)
    on_effect: Any = None


def build_harness(fresh: float = 1e6, **settings) -> Harness:
    h = Harness(create_state("h0", 1, "near", "z1", RequestSettings(**settings), 7))
    configure(h, build_configuration())
    feed(h, ViewApplied(h.now, 1, build_view()))
    feed(h, FreshnessChanged(h.now, h.now + fresh))
    return h


def feed(h: Harness, event) -> list:
    effects = step(h.state, event)
    h.record.append((event, effects))
    h.effects += effects
    for effect in effects:
        if isinstance(effect, core.SetTimer):
            tm.set_timer(h.timers, effect.key, effect.at)
        elif isinstance(effect, core.CancelTimer):
            tm.cancel_timer(h.timers, effect.key)
        if h.on_effect is not None:
            h.on_effect(effect)
    return effects


def configure(h: Harness, configuration) -> list:
    return feed(h, ConfigurationApplied(h.now, 1, configuration))


def advance(h: Harness, seconds: float) -> None:
    """Advance the time and fire each timer when it is due."""
    end_at = h.now + seconds
    while (due := tm.compute_next_due(h.timers)) is not None and due <= end_at:
        h.now = max(h.now, due)
        for key in tm.pop_due(h.timers, h.now):
            feed(h, TimerFired(h.now, key))
    h.now = end_at


def arrive(h: Harness, ident: str = "r1", service: str = "model", **fields) -> list:
    values = {"key_hash": KEY, "method": "POST", "path": "/p", "prompt_bytes": 30, "timeout": 10.0}
    return feed(h, ev.RequestArrived(h.now, ident, 1.7e9, service=service, **(values | fields)))


def find(effects, kind) -> list:
    """Return the effects of a kind; also the messages sent and the events published."""
    inner = (getattr(effect, "message", effect) for effect in effects)
    inner = (getattr(effect, "event", effect) for effect in inner)
    return [effect for effect in inner if isinstance(effect, kind)]


def last(h: Harness, kind):
    return find(h.effects, kind)[-1]


def last_ask(h: Harness) -> tuple[str, lm.PermitRequest]:
    ask = last(h, lm.PermitRequest)
    return next(e.to for e in h.effects if getattr(e, "message", None) is ask), ask


def grant(
    h: Harness,
    owner: str,
    ask: lm.PermitRequest,
    endpoint="e1",
    number=0,
    priority=lm.PriorityClass.INTERACTIVE,
) -> list:
    entry = lm.EndpointGrant(endpoint, 1, "10.0.0.1:1", 10)
    summary = lm.ShardSummary(ask.shard, endpoints=3)
    number = number or ask.ask
    message = lm.PermitGranted(ask.permit, number, ask.shard, 1, priority, (entry,), summary)
    return feed(h, MessageReceived(h.now, owner, 1, message))


def deny(h: Harness, reason, retry_after: float = 0.1, asked=None) -> list:
    owner, ask = asked or last_ask(h)
    summary = lm.ShardSummary(ask.shard, endpoints=3)
    message = lm.PermitDenied(ask.permit, ask.shard, reason, retry_after, summary)
    return feed(h, MessageReceived(h.now, owner, 1, message))


def queue(h: Harness, wait: float, asked=None) -> list:
    owner, ask = asked or last_ask(h)
    summary = lm.ShardSummary(ask.shard, endpoints=3, expected_wait=wait)
    message = lm.PermitQueued(ask.permit, ask.ask, ask.shard, wait, summary)
    return feed(h, MessageReceived(h.now, owner, 1, message))


def revoke(h: Harness, owner: str, ask) -> list:
    return feed(h, MessageReceived(h.now, owner, 1, lm.PermitRevoked(ask.permit, ask.shard)))


def start(h: Harness, endpoint: str = "e1", status: int = 200) -> fx.StartAttempt:
    """Grant the last permit request, report the first byte and the headers."""
    grant(h, *last_ask(h), endpoint)
    effect = last(h, fx.StartAttempt)
    feed(h, ev.AttemptStarted(h.now, effect.attempt))
    feed(h, ev.AttemptHeaders(h.now, effect.attempt, status))
    return effect


def chunk(h: Harness, attempt, index: int, text: bytes) -> list:
    """Deliver one token per byte."""
    ends = tuple(range(1, len(text) + 1))
    return feed(h, ev.AttemptChunk(h.now, attempt, index, len(text), text, ends))


def end(h: Harness, attempt, kind=ev.AttemptEnd.COMPLETE, **fields) -> list:
    return feed(h, ev.AttemptEnded(h.now, attempt, kind, **fields))


def arrive_with_key(h: Harness, ident: str = "r1", **fields) -> list:
    return arrive(h, ident, "app", idempotency_key=ident, **fields)


def claim(h: Harness, status=ClaimStatus.GRANTED, answer=None) -> list:
    return feed(h, ce.ClaimDecided(h.now, last(h, ce.ClaimRequested).claim, status, answer))


def settle(h: Harness, committed=True) -> list:
    return feed(h, ce.ClaimSettled(h.now, last(h, ce.ClaimRequested).claim, committed))


def outcome(h: Harness, ident: str = "r1"):
    """Return the only outcome of a request."""
    (finish,) = [f for f in find(h.effects, fx.FinishRequest) if f.request == ident]
    return finish.outcome


def read_text(h: Harness) -> bytes:
    return b"".join(part.data for part in find(h.effects, fx.ForwardChunk))
