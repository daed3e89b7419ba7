"""Compare the decision after an attempt with the rules for every combination of outcomes."""

import itertools

import pytest

from marjorambridge.forwarding.attempts import (
    AttemptOutcome,
    NextStep,
    RequestProgress,
    decide_next_step,
    may_try_again,
    record_outcome,
)
from marjorambridge.manifests.models import Execution, Route, RouteTarget

NOT_EXECUTED = {
    AttemptOutcome.NOT_SENT,
    AttemptOutcome.NOT_RUN,
    AttemptOutcome.MISDIRECTED,
    AttemptOutcome.DECLINED,
}


def make_route(execution, attempts, resumable):
    targets = (RouteTarget("s", 1),)
    return Route(
        "r", "h", "/", execution, 1, 1, targets, max_endpoints=attempts, resumable=resumable
    )


CASES = list(
    itertools.product(
        Execution,
        (1, 2, 3),
        (False, True),
        itertools.product(AttemptOutcome, repeat=2),
        (False, True),
    )
)


@pytest.mark.parametrize("answered", [False, True])
def test_every_pair_of_outcomes_follows_the_rules(answered):
    """Guard against a second run of a request that may run once, and a false claim of no run."""
    for execution, attempts, resumable, outcomes, granted in CASES:
        route = make_route(execution, attempts, resumable)
        progress = RequestProgress(answer_started=answered)
        for outcome in outcomes:
            record_outcome(progress, outcome)
        last = outcomes[-1]
        may_have_run = any(outcome not in NOT_EXECUTED for outcome in outcomes)
        repeatable = execution is Execution.IDEMPOTENT or (
            execution is Execution.STREAM and resumable
        )
        again = may_try_again(route, progress, last)
        if again:
            assert repeatable or not may_have_run
            sent = sum(
                e not in (AttemptOutcome.NOT_SENT, AttemptOutcome.MISDIRECTED) for e in outcomes
            )
            assert sent < attempts
            assert last is not AttemptOutcome.COMPLETE and last is not AttemptOutcome.TIMED_OUT
        step = decide_next_step(route, progress, last, again and granted)
        if step is NextStep.REFUSE:
            assert not may_have_run and not answered
        if step is NextStep.DELIVER:
            assert last in (AttemptOutcome.COMPLETE, AttemptOutcome.FAILED)
        if last is AttemptOutcome.COMPLETE:
            assert step is NextStep.DELIVER
