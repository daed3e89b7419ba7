"""Check requests against a reference model under late, reordered, duplicated and lost messages.

The model records what each endpoint ran and what each caller received. The second test shows that
it detects a retry of a call that may have run, a missing cursor and a "not run" before the claim is
released.
"""

from types import SimpleNamespace

import pytest
from hypothesis import Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, precondition, rule, run_state_machine_as_test

from marjorambridge.claims import events as ce
from marjorambridge.claims.messages import ClaimStatus
from marjorambridge.core import outcomes as oc
from marjorambridge.core.effects import SendMessage
from marjorambridge.core.events import FreshnessChanged, ShutdownRequested, ViewApplied
from marjorambridge.limits import messages as lm
from marjorambridge.requests import acquisition, attempts, deadlines, endings
from marjorambridge.requests import effects as fx
from marjorambridge.requests import events as ev

from . import harness as hs

TEXT = "ગેરુ grade 7, lot 12".encode()
TOKENS = [TEXT[:1], TEXT[1:3], *(TEXT[i : i + 1] for i in range(3, len(TEXT)))]
End = ev.AttemptEnd
ENDS = [End.COMPLETE, End.COMPLETE, End.CUT, End.SERVER_ERROR, End.TIMED_OUT]


class Machine(RuleBasedStateMachine):
    def __init__(self):
        super().__init__()
        self.h = hs.build_harness(retry_budget_minimum=50, unready_grace=0.5, drain_deadline=3.0)
        self.h.on_effect = self.on_effect
        self.calls, self.attempts, self.asks = {}, {}, []
        self.claims, self.keys, self.out, self.fresh_until = {}, {}, (), 1e6
        self.failed = False

    def on_effect(self, effect):
        self.failed, failed = True, self.failed
        self.check(effect)
        self.failed = failed

    def check(self, effect):
        """Compare one effect with the model."""
        now, event = self.h.now, getattr(effect, "event", None)
        if isinstance(effect, SendMessage) and isinstance(effect.message, lm.PermitRequest):
            assert now < self.fresh_until
            assert effect.message.shard.split("/")[1] not in self.out
            self.asks.append((effect.to, effect.message))
        elif isinstance(event, ce.ClaimRequested):
            call = list(self.calls.values())[-1]
            call.claim = event.claim
            self.claims[event.claim] = (call, event.key)
        elif isinstance(event, ce.ClaimReleaseRequested):
            call, _ = self.claims[event.claim]
            assert not self.has_run(call), "a claim of a call that may have run was released"
        elif isinstance(effect, fx.StartAttempt):
            self.check_start(effect, self.calls[effect.request], now)
        elif isinstance(effect, fx.CancelAttempt):
            self.attempts[effect.attempt].phase = "cancelled"
        elif isinstance(effect, fx.ForwardChunk):
            call = self.calls[effect.request]
            assert call.outcome is None
            call.got += effect.data
            call.tokens += effect.count
            assert TEXT.startswith(call.got), "the text is not a prefix of the answer"
        elif isinstance(effect, fx.FinishRequest):
            self.check_finish(effect, self.calls[effect.request], now)

    def check_start(self, effect, call, now):
        others = self.list_attempts(call)
        assert call.outcome is None and now < min(call.deadline, effect.start_by, self.fresh_until)
        assert effect.start_by <= now + 0.7 and effect.resume_from == call.tokens
        assert all(a.phase in ("cancelled", "ended", "unsent") for a in others), "two at once"
        if call.service == "app":
            assert not self.has_run(call), "a call was sent twice"
            assert self.keys.get(call.key) is call.claim
        self.attempts[effect.attempt] = SimpleNamespace(
            effect=effect, call=call, phase="handed", ran=False, next=effect.resume_from
        )

    def check_finish(self, effect, call, now):
        assert call.outcome is None, "two final outcomes"
        call.outcome = effect.outcome
        assert now <= call.deadline
        if isinstance(call.outcome, oc.Done):
            assert call.got == TEXT or call.gone, "an incomplete answer was called done"
        elif isinstance(call.outcome, oc.NotRun):
            assert all(a.phase == "unsent" for a in self.list_attempts(call)), "not run is false"
            assert call.claim is None or call.released, "the claim was not released"
        elif isinstance(call.outcome, oc.Failed) and call.service == "app":
            assert not self.has_run(call), "a call that may have run was called repeatable"

    def list_attempts(self, call):
        return [a for a in self.attempts.values() if a.call is call]

    def has_run(self, call):
        return any(a.ran for a in self.list_attempts(call))

    def pick(self, items, data):
        return data.draw(st.sampled_from(list(items)[-6:]))

    @precondition(lambda self: len(self.h.state.requests) < 4)
    @rule(
        service=st.sampled_from(["model", "app"]),
        timeout=st.sampled_from([30.0, 3.0, 0.6]),
        key=st.sampled_from(["k1", "k2", "k3", "k4"]),
    )
    def arrive(self, service, timeout, key):
        ident = f"r{len(self.calls)}"
        call = SimpleNamespace(service=service, deadline=self.h.now + timeout, key=key)
        call.got, call.tokens, call.outcome, call.gone = b"", 0, None, False
        call.claim, call.released = None, False
        self.calls[ident] = call
        hs.arrive(self.h, ident, service=service, timeout=timeout, idempotency_key=key)

    @precondition(lambda self: self.asks)
    @rule(
        data=st.data(),
        kind=st.sampled_from(["grant", "grant", "deny", "queue", "revoke"]),
        seconds=st.sampled_from([0.0, 0.3, 4.0]),
    )
    def answer(self, data, kind, seconds):
        asked = self.pick(self.asks, data)
        if kind == "deny":
            reason = data.draw(st.sampled_from(lm.DenialReason))
            hs.deny(self.h, reason, seconds, asked)
        elif kind == "queue":
            hs.queue(self.h, seconds, asked)
        else:
            (hs.grant if kind == "grant" else hs.revoke)(self.h, *asked)

    @precondition(lambda self: self.h.state.requests)
    @rule(
        data=st.data(),
        steps=st.integers(1, 9),
        count=st.integers(1, 9),
        fault=st.sampled_from(["none", "lose", "cut"]),
    )
    def proceed(self, data, steps, count, fault):
        """Apply the next events that one request waits for, and then a fault, if any."""
        ident = self.pick(self.h.state.requests, data)
        while steps and ident in self.h.state.requests:
            self.proceed_once(self.h.state.requests[ident], count)
            steps -= 1
        for attempt in [a for a in self.attempts.values() if a.phase == "running"][-1:]:
            if fault == "cut":
                self.end(attempt, End.CUT)
            elif fault == "lose":
                self.send(attempt, attempt.next, count, lost=True)

    def proceed_once(self, request, count):
        if request.phase == "claiming":
            self.decide(request.claim, True)
        elif request.phase == "asking":
            permit = request.permit.ident
            hs.grant(self.h, *[asked for asked in self.asks if asked[1].permit == permit][-1])
        elif request.phase == "running":
            attempt = self.attempts[request.permit.ident]
            if attempt.phase == "handed":
                self.write(attempt, True)
            elif attempt.next < len(TOKENS):
                self.send(attempt, attempt.next, count)
            else:
                self.end(attempt, End.COMPLETE)
        elif request.phase in ("recording", "releasing"):
            self.settle(request.claim, request.phase == "releasing", True)
        elif request.phase == "stale":
            self.poll(1e6)
        else:
            hs.advance(self.h, 0.05)

    @precondition(lambda self: self.attempts)
    @rule(
        data=st.data(),
        kind=st.sampled_from(["write", "unreachable", "send", "lose", "end", "refuse"]),
        back=st.integers(0, 3),
        count=st.integers(1, 9),
    )
    def act(self, data, kind, back, count):
        """Apply the next event of an attempt; a cancelled one may still send chunks."""
        attempt = self.pick(self.attempts.values(), data)
        if kind in ("write", "unreachable"):
            self.write(attempt, kind == "write")
        elif not attempt.ran or attempt.phase == "ended":
            return
        elif kind == "end":
            end = data.draw(st.sampled_from(ENDS))
            if end is End.COMPLETE:
                self.send(attempt, attempt.next, len(TOKENS))
            for _ in range(1 + back // 3):
                self.end(attempt, end)
        elif kind != "refuse":
            self.send(attempt, max(0, attempt.next - back), count, kind == "lose")
        elif attempt.phase == "running" and attempt.next == attempt.effect.resume_from:
            attempt.ran = False
            self.end(attempt, End.REFUSED)

    def write(self, attempt, reachable):
        """Write the first byte, unless it is too late or the endpoint is unreachable."""
        ident = attempt.effect.attempt
        if attempt.phase != "handed":
            return
        if self.h.now >= attempt.effect.start_by or not reachable:
            attempt.phase = "unsent"
            hs.end(self.h, ident, End.NOT_SENT)
            return
        attempt.phase, attempt.ran = "running", True
        hs.feed(self.h, ev.AttemptStarted(self.h.now, ident))
        hs.feed(self.h, ev.AttemptHeaders(self.h.now, ident, 200))

    def send(self, attempt, first, count, lost=False):
        tokens = TOKENS[first : first + count]
        attempt.next = max(attempt.next, first + len(tokens))
        if lost and attempt.call.service == "model" or not tokens:
            return
        ident, body, ends = attempt.effect.attempt, b"".join(tokens), ()
        if attempt.call.service == "app":
            first, count = len(b"".join(TOKENS[:first])), len(body)
        else:
            count = len(tokens)
            ends = tuple(len(b"".join(tokens[: n + 1])) for n in range(count))
        hs.feed(self.h, ev.AttemptChunk(self.h.now, ident, first, count, body, ends))

    def end(self, attempt, kind):
        attempt.phase = "ended" if attempt.phase == "running" else attempt.phase
        usage = {"completion_tokens": len(TOKENS)} if kind is End.COMPLETE else {}
        hs.end(self.h, attempt.effect.attempt, kind, usage=usage)

    @precondition(lambda self: self.claims)
    @rule(data=st.data(), kind=st.sampled_from(["decide", "unavailable", "settle", "fail"]))
    def answer_claim(self, data, kind):
        wanted = hs.find(self.h.effects, ce.ClaimReleaseRequested | ce.ClaimCompletionRequested)
        if kind in ("decide", "unavailable"):
            self.decide(self.pick(self.claims, data), kind == "decide")
        elif wanted:
            event = self.pick(wanted, data)
            self.settle(event.claim, isinstance(event, ce.ClaimReleaseRequested), kind == "settle")

    def decide(self, claim, available):
        """Decide a claim as a claims group does that grants one claim for each key."""
        call, key = self.claims[claim]
        status = ClaimStatus.IN_PROGRESS
        if call.released or not available:
            status = ClaimStatus.UNAVAILABLE
        elif self.keys.setdefault(key, claim) is claim:
            status = ClaimStatus.GRANTED
        hs.feed(self.h, ce.ClaimDecided(self.h.now, claim, status))

    def settle(self, claim, release, committed):
        call, key = self.claims[claim]
        if committed and release:
            call.released = True
            if self.keys.get(key) is claim:
                del self.keys[key]
        hs.feed(self.h, ce.ClaimSettled(self.h.now, claim, committed))

    @rule(seconds=st.sampled_from([0.0, 0.05, 0.25, 0.6, 2.0]))
    def wait(self, seconds):
        hs.advance(self.h, seconds)
        if self.h.now >= self.fresh_until:
            self.poll(1.8)

    def poll(self, seconds):
        self.fresh_until = self.h.now + seconds
        hs.feed(self.h, FreshnessChanged(self.h.now, self.fresh_until))

    @precondition(lambda self: self.calls)
    @rule(data=st.data(), kind=st.sampled_from(["stale", "fresh", "out", "in", "gone", "stop"]))
    def disturb(self, data, kind):
        """Change freshness, zones or owners, disconnect a caller or shut this host down."""
        if kind in ("stale", "fresh"):
            self.poll(-1.0 if kind == "stale" else 1.8)
        elif kind in ("out", "in"):
            self.out = ("z1",) if kind == "out" else ()
            hs.configure(self.h, hs.build_configuration(self.out))
            view = hs.build_view("h0", data.draw(st.sampled_from(["h1", "h2"])))
            hs.feed(self.h, ViewApplied(self.h.now, 2, view))
        elif kind == "gone":
            ident = self.pick(self.calls, data)
            self.calls[ident].gone = True
            hs.feed(self.h, ev.CallerGone(self.h.now, ident))
        elif len(self.calls) > 6:
            hs.feed(self.h, ShutdownRequested(self.h.now, data.draw(st.booleans())))

    def teardown(self):
        if self.failed:
            return  # Hypothesis also tears down after a failed check, and would report this one.
        hs.advance(self.h, 40.0)
        assert all(call.outcome is not None for call in self.calls.values()), "no final outcome"
        state = self.h.state
        assert not state.requests and not state.permits and not state.claims
        assert all(usage.running == 0 for usage in state.usage.values())
        assert len(hs.find(self.h.effects, ev.Drained)) == (state.shutdown is not None)


def test_every_request_ends_once_with_the_correct_outcome_and_in_time():
    run_state_machine_as_test(Machine, settings=settings(max_examples=200, stateful_step_count=60))


def retry_without_check(monkeypatch):
    def continue_anyway(state, request, *rest, original=attempts.retry_request):
        request.may_have_run = False
        return original(state, request, *rest)

    monkeypatch.setattr(attempts, "retry_request", continue_anyway)


def drop_cursor(monkeypatch):
    monkeypatch.setattr(attempts, "trim_chunk", lambda chunk, _: (chunk.count, chunk.data))


def answer_before_release(monkeypatch):
    def abandon_request(state, request, reason, message, retry_after, now):
        outcome = endings.describe_end(request, reason, message, retry_after)
        return endings.finish_request(state, request, outcome, now)

    monkeypatch.setattr(acquisition, "abandon_request", abandon_request)
    monkeypatch.setattr(deadlines, "abandon_request", abandon_request)


VARIANTS = [
    (retry_without_check, "sent twice|may have run"),
    (drop_cursor, "not a prefix|incomplete answer"),
    (answer_before_release, "claim was not released"),
]


@pytest.mark.parametrize(("variant", "message"), VARIANTS)
def test_the_reference_model_detects_a_faulty_variant(variant, message, monkeypatch):
    variant(monkeypatch)
    finding = settings(max_examples=1000, stateful_step_count=60, phases=[Phase.generate])
    with pytest.raises(AssertionError, match=message):
        run_state_machine_as_test(Machine, settings=finding)
