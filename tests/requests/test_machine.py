"""Check requests against a naive account of the world, whatever is late, crossed, doubled or lost.

The account knows what each endpoint really ran and what each caller really got. It is shown to
notice a blind retry, a missing cursor and a "not run" before the claim is released.
"""

import pytest
from hypothesis import Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, precondition, rule, run_state_machine_as_test

from marjorambridge.claims import events as ce
from marjorambridge.claims.messages import ClaimStatus
from marjorambridge.core import outcomes as oc
from marjorambridge.core.effects import SendMessage
from marjorambridge.core.events import (
    ConfigurationApplied,
    FreshnessChanged,
    ShutdownRequested,
    ViewApplied,
)
from marjorambridge.limits import messages as lm
from marjorambridge.requests import asking, attempts, deadlines, endings
from marjorambridge.requests import effects as fx
from marjorambridge.requests import events as ev

from . import harness as hs

TEXT = "ગેરુ grade 7, lot 12".encode()
TOKENS = [TEXT[:1], TEXT[1:3], *(TEXT[i : i + 1] for i in range(3, len(TEXT)))]
ENDS = [ev.AttemptEnd.CUT, ev.AttemptEnd.SERVER_ERROR, ev.AttemptEnd.TIMED_OUT]


class Call:
    """Say what is true of one caller's request."""

    def __init__(self, service, deadline, key):
        self.service, self.deadline, self.key = service, deadline, key
        self.got, self.tokens, self.outcome = b"", 0, None
        self.claim, self.released = None, False


class Attempt:
    """Say what is true of one attempt; `ran` stays true unless the endpoint refused it."""

    def __init__(self, effect, call):
        self.effect, self.call = effect, call
        self.phase, self.ran, self.next = "handed", False, effect.resume_from


class Machine(RuleBasedStateMachine):
    def __init__(self):
        super().__init__()
        self.h = hs.build_harness(retry_budget_minimum=50, unready_grace=0.5, drain_deadline=3.0)
        self.h.watch = self.watch
        self.failed = False
        self.calls, self.attempts, self.asks = {}, {}, []
        self.claims, self.keys, self.out, self.fresh_until = {}, {}, (), 1e6

    def watch(self, effect):
        self.failed, failed = True, self.failed
        self.check(effect)
        self.failed = failed

    def check(self, effect):
        """Compare one effect with what is true."""
        now = self.h.now
        event = getattr(effect, "event", None)
        if isinstance(effect, SendMessage) and isinstance(effect.message, lm.PermitRequest):
            assert now < self.fresh_until
            assert effect.message.shard.split("/")[1] not in self.out
            self.asks.append((effect.to, effect.message))
        elif isinstance(event, ce.ClaimWanted):
            call = next(c for c in reversed(self.calls.values()) if c.service == "app")
            call.claim = event.claim
            self.claims[event.claim] = (call, event.key)
        elif isinstance(event, ce.ClaimReleaseWanted):
            call, _ = self.claims[event.claim]
            assert not self.has_run(call), "a claim of a call that may have run was released"
        elif isinstance(effect, fx.StartAttempt):
            call = self.calls[effect.request]
            others = [a for a in self.attempts.values() if a.call is call]
            assert call.outcome is None and now < min(call.deadline, effect.start_by)
            assert now < self.fresh_until and effect.start_by <= now + 0.7
            assert all(a.phase in ("cancelled", "ended") for a in others), "two at once"
            assert effect.resume_from == call.tokens
            if call.service == "app":
                assert not self.has_run(call), "a call was sent twice"
                assert self.keys.get(call.key) is call.claim
            self.attempts[effect.attempt] = Attempt(effect, call)
        elif isinstance(effect, fx.CancelAttempt):
            self.attempts[effect.attempt].phase = "cancelled"
        elif isinstance(effect, fx.ForwardChunk):
            call = self.calls[effect.request]
            assert call.outcome is None
            call.got += effect.data
            call.tokens += effect.count
            assert TEXT.startswith(call.got), "the text is not a prefix of the answer"
        elif isinstance(effect, fx.FinishRequest):
            self.check_finish(effect, now)

    def check_finish(self, effect, now):
        call = self.calls[effect.request]
        assert call.outcome is None, "two final outcomes"
        call.outcome = effect.outcome
        assert now <= call.deadline
        if isinstance(call.outcome, oc.Done):
            assert call.got == TEXT or call.gone, "an incomplete answer was called done"
        elif isinstance(call.outcome, oc.NotRun):
            handed = [a for a in self.attempts.values() if a.call is call]
            assert not any(a.phase != "unsent" and a.counted for a in handed), "not run is false"
            mismatch = call.outcome.reason is oc.Reason.CLAIM_MISMATCH
            assert call.claim is None or call.released or mismatch, "the claim still stands"
        elif isinstance(call.outcome, oc.Failed) and call.service == "app":
            assert not self.has_run(call), "a call that may have run was called repeatable"

    def has_run(self, call):
        return any(a.ran for a in self.attempts.values() if a.call is call)

    def pick(self, items, data):
        return data.draw(st.sampled_from(items[-6:]))

    @rule(
        service=st.sampled_from(["model", "app"]),
        timeout=st.sampled_from([30.0, 3.0, 0.6]),
        key=st.sampled_from(["k1", "k2", "k3", "k4"]),
    )
    def arrive(self, service, timeout, key):
        ident = f"r{len(self.calls)}"
        call = self.calls[ident] = Call(service, self.h.now + timeout, key)
        call.gone = False
        hs.arrive(self.h, ident, service=service, timeout=timeout, idempotency_key=key)

    @precondition(lambda self: self.asks)
    @rule(
        data=st.data(),
        kind=st.sampled_from(["grant", "grant", "grant", "deny", "queue", "revoke"]),
        reason=st.sampled_from(list(lm.DenialReason)),
        seconds=st.sampled_from([0.0, 0.3, 4.0]),
    )
    def answer(self, data, kind, reason, seconds):
        owner, ask = self.pick(self.asks, data)
        summary = lm.ShardSummary(ask.shard, 3, expected_wait=seconds)
        if kind == "grant":
            hs.grant(self.h, owner, ask)
        elif kind == "deny":
            denied = lm.PermitDenied(ask.permit, ask.shard, reason, seconds, summary)
            hs.reply(self.h, owner, denied)
        elif kind == "queue":
            queued = lm.PermitQueued(ask.permit, ask.ask, ask.shard, seconds, summary)
            hs.reply(self.h, owner, queued)
        else:
            hs.reply(self.h, owner, lm.PermitRevoked(ask.permit, ask.shard))

    @precondition(lambda self: self.h.state.requests)
    @rule(data=st.data(), steps=st.integers(1, 9), count=st.integers(1, 9))
    def proceed(self, data, steps, count):
        """Let one request make the progress that it waits for."""
        ident = self.pick(list(self.h.state.requests), data)
        while steps and ident in self.h.state.requests:
            self.proceed_once(self.h.state.requests[ident], count)
            steps -= 1

    def proceed_once(self, request, count):
        if request.phase == "claiming":
            self.decide_claim(request.claim, True)
        elif request.phase == "asking":
            hs.grant(
                self.h, *next(a for a in self.asks[::-1] if a[1].permit == request.permit.ident)
            )
        elif request.phase == "running":
            attempt = self.attempts[request.permit.ident]
            if attempt.phase == "handed":
                self.write_first(attempt, True)
            elif attempt.next < len(TOKENS):
                self.send(attempt, attempt.next, count)
            else:
                self.end(attempt, ev.AttemptEnd.COMPLETE)
        elif request.phase in ("recording", "releasing"):
            self.settle_claim(request.claim, request.phase == "releasing", True)
        elif request.phase == "stale":
            self.poll(1e6)
        else:
            hs.advance(self.h, 0.05)

    @precondition(lambda self: self.attempts)
    @rule(data=st.data(), reachable=st.booleans())
    def write(self, data, reachable):
        self.write_first(self.pick(list(self.attempts.values()), data), reachable)

    def write_first(self, attempt, reachable):
        """Let the driver write the first byte, unless it is too late or nobody listens."""
        if attempt.phase != "handed":
            return
        if self.h.now >= attempt.effect.start_by or not reachable:
            attempt.phase, attempt.counted = "ended", False
            hs.end(self.h, attempt.effect.attempt, ev.AttemptEnd.NOT_SENT)
            return
        attempt.phase, attempt.ran = "running", True
        hs.feed(self.h, ev.AttemptStarted(self.h.now, attempt.effect.attempt))
        hs.feed(self.h, ev.AttemptHeaders(self.h.now, attempt.effect.attempt, 200))

    @precondition(lambda self: self.attempts)
    @rule(data=st.data(), back=st.integers(0, 3), count=st.integers(1, 9), lost=st.booleans())
    def stream(self, data, back, count, lost):
        """Deliver tokens, perhaps some again; what an abandoned attempt sends comes too."""
        attempt = self.pick(list(self.attempts.values()), data)
        if attempt.phase in ("handed", "ended") or not attempt.ran:
            return
        self.send(attempt, max(0, attempt.next - back), count, lost)

    def send(self, attempt, first, count, lost=False):
        tokens = TOKENS[first : first + count]
        attempt.next = max(attempt.next, first + len(tokens))
        if lost and attempt.call.service == "model" or not tokens:
            return
        ident, body = attempt.effect.attempt, b"".join(tokens)
        if attempt.call.service == "app":
            first = len(b"".join(TOKENS[:first]))
            chunk = ev.AttemptChunk(self.h.now, ident, first, len(body), body)
        else:
            ends = tuple(len(b"".join(tokens[: n + 1])) for n in range(len(tokens)))
            chunk = ev.AttemptChunk(self.h.now, ident, first, len(tokens), body, ends)
        hs.feed(self.h, chunk)

    @precondition(lambda self: self.attempts)
    @rule(data=st.data(), whole=st.booleans(), kind=st.sampled_from(ENDS), twice=st.booleans())
    def finish(self, data, whole, kind, twice):
        attempt = self.pick(list(self.attempts.values()), data)
        if attempt.phase not in ("running", "cancelled") or not attempt.ran:
            return
        if whole:
            self.send(attempt, attempt.next, len(TOKENS))
            kind = ev.AttemptEnd.COMPLETE
        for _ in range(1 + twice):
            self.end(attempt, kind)

    def end(self, attempt, kind):
        attempt.phase = "ended" if attempt.phase == "running" else attempt.phase
        usage = {"completion_tokens": len(TOKENS)} if kind is ev.AttemptEnd.COMPLETE else {}
        hs.end(self.h, attempt.effect.attempt, kind, usage=usage)

    @precondition(lambda self: self.attempts)
    @rule(data=st.data())
    def refuse(self, data):
        attempt = self.pick(list(self.attempts.values()), data)
        if attempt.phase == "running" and attempt.next == attempt.effect.resume_from:
            attempt.phase, attempt.ran = "ended", False
            hs.end(self.h, attempt.effect.attempt, ev.AttemptEnd.REFUSED)

    @precondition(lambda self: self.claims)
    @rule(data=st.data(), available=st.sampled_from([True, True, True, False]))
    def decide(self, data, available):
        self.decide_claim(self.pick(list(self.claims), data), available)

    def decide_claim(self, claim, available):
        """Answer as a claims group would that keeps one claim for each key."""
        call, key = self.claims[claim]
        holder = self.keys.get(key)
        status = ClaimStatus.IN_PROGRESS
        if call.released or not available:
            status = ClaimStatus.UNAVAILABLE
        elif holder in (None, claim):
            self.keys[key], status = claim, ClaimStatus.GRANTED
        hs.feed(self.h, ce.ClaimDecided(self.h.now, claim, status))

    @precondition(lambda self: self.claims)
    @rule(data=st.data(), committed=st.booleans())
    def settle(self, data, committed):
        wanted = hs.find(self.h.effects, ce.ClaimReleaseWanted | ce.ClaimCompletionWanted)
        if wanted:
            event = self.pick(wanted, data)
            release = isinstance(event, ce.ClaimReleaseWanted)
            self.settle_claim(event.claim, release, committed)

    def settle_claim(self, claim, release, committed):
        call, key = self.claims[claim]
        if committed and release:
            call.released = True
            if self.keys.get(key) is claim:
                del self.keys[key]
        hs.feed(self.h, ce.ClaimSettled(self.h.now, claim, committed))

    @rule(seconds=st.sampled_from([0.0, 0.05, 0.25, 0.6, 2.0]))
    def wait(self, seconds):
        hs.advance(self.h, seconds)

    def poll(self, seconds):
        self.fresh_until = self.h.now + seconds
        hs.feed(self.h, FreshnessChanged(self.h.now, self.fresh_until))

    @precondition(lambda self: self.calls)
    @rule(data=st.data(), kind=st.sampled_from(["stale", "fresh", "out", "in", "gone", "stop"]))
    def disturb(self, data, kind):
        """Change freshness, zones and owners, or let a caller or this host leave."""
        if kind in ("stale", "fresh"):
            self.poll(-1.0 if kind == "stale" else 1.8)
        elif kind in ("out", "in"):
            self.out = ("z1",) if kind == "out" else ()
            hs.feed(self.h, ConfigurationApplied(self.h.now, 2, hs.build_configuration(self.out)))
            view = hs.build_view("h0", data.draw(st.sampled_from(["h1", "h2"])))
            hs.feed(self.h, ViewApplied(self.h.now, 2, view))
        elif kind == "gone":
            ident = self.pick(list(self.calls), data)
            self.calls[ident].gone = True
            hs.feed(self.h, ev.CallerGone(self.h.now, ident))
        elif len(self.calls) > 6:
            hs.feed(self.h, ShutdownRequested(self.h.now, data.draw(st.booleans())))

    def teardown(self):
        if self.failed:
            return  # Hypothesis tears down after a failed check too, and would report this one.
        hs.advance(self.h, 40.0)
        assert all(call.outcome is not None for call in self.calls.values()), "no final outcome"
        state = self.h.state
        assert not state.requests and not state.permits and not state.claims
        assert all(usage.running == 0 for usage in state.usage.values())
        assert len(hs.find(self.h.effects, ev.Drained)) == (state.shutdown is not None)


Attempt.counted = True
SETTINGS = settings(max_examples=150, stateful_step_count=60)
FINDING = settings(max_examples=1000, stateful_step_count=60, phases=[Phase.generate])


def test_every_request_ends_once_truly_and_in_time():
    run_state_machine_as_test(Machine, settings=SETTINGS)


def retry_blindly(monkeypatch):
    original = attempts.continue_elsewhere

    def continue_anyway(state, request, *rest):
        request.may_have_run = False
        return original(state, request, *rest)

    monkeypatch.setattr(attempts, "continue_elsewhere", continue_anyway)


def drop_cursor(monkeypatch):
    monkeypatch.setattr(attempts, "trim_chunk", lambda chunk, _: (chunk.count, chunk.data))


def answer_before_release(monkeypatch):
    def give_up(state, request, reason, message, retry_after, now):
        outcome = endings.describe_end(request, reason, message, retry_after)
        return endings.finish_request(state, request, outcome, now)

    monkeypatch.setattr(asking, "give_up", give_up)
    monkeypatch.setattr(deadlines, "give_up", give_up)


@pytest.mark.parametrize(
    ("variant", "notice"),
    [
        (retry_blindly, "sent twice|may have run"),
        (drop_cursor, "not a prefix|incomplete answer"),
        (answer_before_release, "claim still stands"),
    ],
)
def test_the_account_notices_a_naive_variant(variant, notice, monkeypatch):
    variant(monkeypatch)
    with pytest.raises(AssertionError, match=notice):
        run_state_machine_as_test(Machine, settings=FINDING)
