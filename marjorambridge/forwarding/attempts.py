"""Outcomes of attempts, and the decision what to do after one."""

from enum import StrEnum

from msgspec import Struct

from marjorambridge.manifests.models import Execution, Route


class AttemptOutcome(StrEnum):
    """The outcome of an attempt at an endpoint.

    COMPLETE
        The whole answer was received.
    NOT_SENT
        No byte reached the endpoint.
    NOT_RUN
        The endpoint answered that it did not run the request.
    MISDIRECTED
        Another endpoint has the address now; it did not run the request.
    DECLINED
        The endpoint can't serve what this request asks for, and did not run it. That says nothing
        about the endpoint.
    FAILED
        The endpoint answered with an error of its own.
    BROKEN
        The connection ended or the answer was invalid; the request may have run.
    STALLED
        Nothing was received before a timeout.
    OVERTAKEN
        An attempt that was started because of a silent one was cancelled, because that one went on.
    TIMED_OUT
        The deadline of the request passed.
    """

    COMPLETE = "complete"
    NOT_SENT = "not_sent"
    NOT_RUN = "not_run"
    MISDIRECTED = "misdirected"
    DECLINED = "declined"
    FAILED = "failed"
    BROKEN = "broken"
    STALLED = "stalled"
    OVERTAKEN = "overtaken"
    TIMED_OUT = "timed_out"


class NextStep(StrEnum):
    """What to do after an attempt."""

    DELIVER = "deliver"
    TRY_AGAIN = "try_again"
    REFUSE = "refuse"
    FAIL = "fail"


NOT_EXECUTED = frozenset(
    {
        AttemptOutcome.NOT_SENT,
        AttemptOutcome.NOT_RUN,
        AttemptOutcome.MISDIRECTED,
        AttemptOutcome.DECLINED,
    }
)


class RequestProgress(Struct):
    """Progress of a request over its attempts.

    Attributes
    ----------
    endpoints_tried : int
        Endpoints that received the request, as far as they count against the route's limit.
    may_have_run : bool
        Whether an endpoint may have run it.
    is_misdirected : bool
        Whether an endpoint answered that the request is for another one.
    answer_started : bool
        Whether a part of an answer was sent to the caller.
    """

    endpoints_tried: int = 0
    may_have_run: bool = False
    is_misdirected: bool = False
    answer_started: bool = False


def is_repeatable(route: Route) -> bool:
    """Return whether a request may run more than once."""
    if route.execution is Execution.STREAM:
        return route.resumable
    return route.execution is Execution.IDEMPOTENT


def judge_misdirected(progress: RequestProgress, is_conditional: bool) -> AttemptOutcome:
    """Return the outcome of an attempt that the endpoint answered as misdirected.

    The answer counts as that of another endpoint at the address only if the request can't be its
    cause: the request sets no condition of its own, and no endpoint answered it so before.
    """
    if is_conditional or progress.is_misdirected:
        return AttemptOutcome.DECLINED
    return AttemptOutcome.MISDIRECTED


def record_outcome(
    progress: RequestProgress, outcome: AttemptOutcome, endpoints_tried: int = 1
) -> None:
    """Update the progress of a request after an attempt, which may be that of another host."""
    if outcome is AttemptOutcome.NOT_SENT:
        return
    if outcome is AttemptOutcome.MISDIRECTED:
        progress.is_misdirected = True
    else:
        progress.endpoints_tried += endpoints_tried
    if outcome not in NOT_EXECUTED:
        progress.may_have_run = True


def may_try_again(route: Route, progress: RequestProgress, outcome: AttemptOutcome) -> bool:
    """Return whether the kind of request and the route allow another attempt.

    A request that may not be repeated is retried only if it has certainly not run.
    """
    if (
        outcome in (AttemptOutcome.COMPLETE, AttemptOutcome.TIMED_OUT)
        or progress.endpoints_tried >= route.max_endpoints
    ):
        return False
    return is_repeatable(route) or not progress.may_have_run


def decide_next_step(
    route: Route, progress: RequestProgress, outcome: AttemptOutcome, retry_granted: bool
) -> NextStep:
    """Return what to do after an attempt.

    Parameters
    ----------
    retry_granted : bool
        Whether another attempt is allowed, before the deadline, and has an endpoint.
    """
    if outcome is AttemptOutcome.COMPLETE:
        return NextStep.DELIVER
    if retry_granted:
        return NextStep.TRY_AGAIN
    if outcome is AttemptOutcome.FAILED and not progress.answer_started:
        return NextStep.DELIVER
    return NextStep.FAIL if progress.may_have_run or progress.answer_started else NextStep.REFUSE
