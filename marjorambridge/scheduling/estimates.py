"""Learn what requests cost and how fast endpoints are, from what the hosts observe.

The load pattern is requests that look alike and cost very different amounts of work, at servers of
which some are slower than their profile says. All estimates are bounded, decay to their prior, and
are medians over endpoints, workspaces or hosts, so that no single one changes those of others.
"""

import math
from collections.abc import Callable, Iterable
from statistics import median, median_low
from typing import NamedTuple, Protocol

from msgspec import Struct, field

from marjorambridge.conf import defaults
from marjorambridge.core.numbers import clamp

PERCENT = 100


class Estimate(Struct):
    """A decaying geometric mean of observations.

    Attributes
    ----------
    mean : float
        Mean of the natural logarithms of the observed values.
    weight : float
        Number of observations in it, as of `updated_at`; older ones count less.
    updated_at : float
        Monotonic time in seconds.
    """

    mean: float = 0.0
    weight: float = 0.0
    updated_at: float = 0.0


class RouteKey(NamedTuple):
    """A route of a service; a route with several services has a key for each."""

    service: str
    route: str


class SlowdownReport(Struct, frozen=True):
    """The slowdown of an endpoint that another host, or a total of hosts, reported.

    Attributes
    ----------
    votes : int
        Weight in the median over the hosts.
    received_at : float
        Monotonic time in seconds.
    """

    value: float
    votes: int
    received_at: float


class EndpointCosts(Struct):
    """What a host learned about the speed of one endpoint.

    Attributes
    ----------
    own : Estimate
        Slowdown that this host observed.
    reports : dict of str to SlowdownReport
        Slowdowns that other hosts reported, by host.
    prefill_seen_at : float
        Monotonic time in seconds of the last report of a prefill of another host.
    is_slow : bool
        Whether the slowdown was above the threshold when it was last checked.
    """

    own: Estimate = field(default_factory=Estimate)
    reports: dict[str, SlowdownReport] = field(default_factory=dict)
    prefill_seen_at: float = -math.inf
    is_slow: bool = False


class HasCosts(Protocol):
    """An endpoint with what this host learned about it."""

    costs: EndpointCosts


Votes = dict[str, Estimate]


class ZoneDelay(Struct):
    """The round-trip time to endpoints of a zone.

    Attributes
    ----------
    votes : dict of str to Estimate
        Round-trip times in seconds, by endpoint.
    seconds, computed_at : float
        Median when it was last computed, and the monotonic time in seconds of that.
    """

    votes: Votes = field(default_factory=dict)
    seconds: float = 0.0
    computed_at: float = -math.inf


class CostModel(Struct):
    """What a host learned about routes and zones; all of it is lost when the host ends.

    Attributes
    ----------
    works : dict of RouteKey to dict of str to Estimate
        Work of a plain request in seconds, by endpoint.
    answer_ratios : dict of RouteKey to dict of str to Estimate
        Length of an answer divided by the hint of its caller, by workspace.
    zone_delays : dict of str to ZoneDelay
        Round-trip times, by zone.
    """

    works: dict[RouteKey, Votes] = field(default_factory=dict)
    answer_ratios: dict[RouteKey, Votes] = field(default_factory=dict)
    zone_delays: dict[str, ZoneDelay] = field(default_factory=dict)


# Estimates.


def compute_weight(estimate: Estimate, now: float) -> float:
    """Return the number of observations, of which older ones count less."""
    age = max(0.0, now - estimate.updated_at)
    return float(estimate.weight * 0.5 ** (age / defaults.ESTIMATE_HALF_LIFE_SECONDS))


def observe(estimate: Estimate, value: float, now: float, count: float = 1.0) -> bool:
    """Add a value that counts as `count` observations; return whether it was accepted.

    Only positive finite values are accepted.

    Examples
    --------
    >>> estimate = Estimate()
    >>> [observe(estimate, value, 0.0) for value in (2.0, 8.0, math.nan, math.inf, 0.0)]
    [True, True, False, False, False]
    >>> round(math.exp(estimate.mean), 6), estimate.weight
    (4.0, 2.0)
    """
    if not math.isfinite(value) or value <= 0:
        return False
    weight = min(compute_weight(estimate, now), defaults.MAX_ESTIMATE_WEIGHT - count)
    estimate.mean = (estimate.mean * weight + math.log(value) * count) / (weight + count)
    estimate.weight = weight + count
    estimate.updated_at = max(now, estimate.updated_at)
    return True


def read_estimate(estimate: Estimate, prior: float, now: float) -> float:
    """Return the estimate; the fewer and older the observations, the nearer it is to the prior.

    Examples
    --------
    >>> estimate = Estimate()
    >>> read_estimate(estimate, 3.0, 0.0) == 3.0 and observe(estimate, 12.0, 0.0)
    True
    >>> round(read_estimate(estimate, 3.0, 0.0), 6), round(read_estimate(estimate, 3.0, 200.0), 3)
    (6.0, 3.0)
    """
    weight = compute_weight(estimate, now)
    if weight <= 0:
        return prior
    prior_weight = defaults.ESTIMATE_PRIOR_WEIGHT
    mean = (estimate.mean * weight + math.log(prior) * prior_weight) / (weight + prior_weight)
    return math.exp(mean)


def _get_votes(table: dict[RouteKey, Votes], route: RouteKey) -> Votes:
    """Return the votes of a route; if there are too many routes, the oldest one is dropped."""
    if route not in table and len(table) >= defaults.MAX_LEARNED_ROUTES:
        del table[next(iter(table))]
    return table.setdefault(route, {})


def _add_vote(votes: Votes, voter: str, value: float, now: float) -> None:
    if voter not in votes:
        if len(votes) >= defaults.MAX_ESTIMATE_VOTES:
            del votes[min(votes, key=lambda name: votes[name].updated_at)]
        votes[voter] = Estimate()
    observe(votes[voter], value, now)


def _list_logarithms(votes: Iterable[Estimate], now: float) -> list[float]:
    """Return the logarithms of the estimates that have enough observations."""
    least = defaults.MIN_VOTE_OBSERVATIONS
    return [vote.mean for vote in votes if compute_weight(vote, now) >= least]


def _compute_median(votes: Votes, prior: float, now: float) -> float:
    """Return the median of all votes, of which the prior is one."""
    return math.exp(median([math.log(prior), *_list_logarithms(votes.values(), now)]))


# Slowdown of endpoints.


def record_slowdown(costs: EndpointCosts, ratio: float, now: float) -> None:
    """Record the measured time of an endpoint divided by the expected time.

    A lower value than the present one counts more. The load pattern is a stream whose passes are
    lengthened by short prefills of other hosts, while the engine is as fast as its profile.
    """
    if not math.isfinite(ratio):
        return
    bounded = clamp(ratio, defaults.MIN_SLOWDOWN, defaults.MAX_SLOWDOWN)
    is_faster = math.log(bounded) < costs.own.mean
    observe(costs.own, bounded, now, defaults.FASTER_OBSERVATION_WEIGHT if is_faster else 1.0)


def get_own_slowdown(costs: EndpointCosts, now: float) -> float | None:
    """Return the slowdown that this host observed; None without enough observations."""
    if compute_weight(costs.own, now) < defaults.MIN_OBSERVATIONS:
        return None
    return read_estimate(costs.own, 1.0, now)


def apply_reported_slowdown(
    costs: EndpointCosts, host: str, percent: float | None, votes: int, now: float
) -> None:
    """Store the slowdown that a host reports; a missing or invalid value says nothing."""
    if percent is None or not math.isfinite(percent) or percent <= 0:
        return
    for name, report in list(costs.reports.items()):
        if not _is_recent(report, now):
            del costs.reports[name]
    value = clamp(percent / PERCENT, defaults.MIN_SLOWDOWN, defaults.MAX_SLOWDOWN)
    costs.reports[host] = SlowdownReport(value, votes, now)


def _is_recent(report: SlowdownReport, now: float) -> bool:
    return now - report.received_at <= defaults.SLOWDOWN_REPORT_SECONDS


def combine_slowdown(
    costs: EndpointCosts, now: float, own_votes: int, skips: Callable[[str], bool]
) -> float:
    """Return the median of the prior, of this host's value and of recent reports.

    Of two middle values the lower one counts, so that one host that reports a slow endpoint is not
    enough for a host without observations.

    Parameters
    ----------
    own_votes : int
        Votes of this host's own value.
    skips : callable
        Returns whether the report of a name is left out.
    """
    votes = [1.0]
    own = get_own_slowdown(costs, now)
    if own is not None:
        votes += [own] * own_votes
    for host, report in costs.reports.items():
        if _is_recent(report, now) and not skips(host):
            votes += [report.value] * report.votes
    return median_low(votes)


def get_slowdown(endpoint: HasCosts, now: float) -> float:
    """Return by what factor the work of an endpoint takes longer than expected.

    It is 1 below the threshold, so that noise does not scatter requests that are packed on few
    engines.

    Examples
    --------
    >>> class Engine(Struct):
    ...     costs: EndpointCosts = field(default_factory=EndpointCosts)
    >>> engine = Engine()
    >>> for _ in range(30):
    ...     record_slowdown(engine.costs, 4.0, 0.0)
    >>> 3.5 < get_slowdown(engine, 0.0) < 4.0, get_slowdown(engine, 60.0)
    (True, 1.0)
    """
    costs = endpoint.costs
    if not costs.own.weight and not costs.reports:
        return 1.0
    slowdown = combine_slowdown(costs, now, defaults.OWN_SLOWDOWN_VOTES, lambda host: False)
    return slowdown if slowdown >= defaults.SLOWDOWN_THRESHOLD else 1.0


def may_report_slowdown(costs: EndpointCosts, now: float) -> bool:
    """Return whether this host's value is worth reporting.

    It is if the endpoint is slow for this host, or if another host says so and this host has
    observations for or against it.
    """
    own = get_own_slowdown(costs, now)
    if own is None:
        return False
    threshold = defaults.SLOWDOWN_THRESHOLD
    return own >= threshold or any(
        report.value >= threshold and _is_recent(report, now) for report in costs.reports.values()
    )


def encode_slowdown(slowdown: float | None) -> int | None:
    """Return the percentage of a slowdown in a message.

    Examples
    --------
    >>> encode_slowdown(None), encode_slowdown(1.0), encode_slowdown(2.5)
    (None, 100, 250)
    """
    return None if slowdown is None else round(slowdown * PERCENT)


# Work of plain requests and length of answers.


def record_work(
    costs: CostModel, route: RouteKey, endpoint: str, seconds: float, now: float
) -> None:
    """Record the time that an endpoint took for a plain request of a route."""
    if not math.isfinite(seconds) or seconds <= 0:
        return
    bounded = clamp(seconds, defaults.MIN_PLAIN_WORK_SECONDS, defaults.MAX_PLAIN_WORK_SECONDS)
    _add_vote(_get_votes(costs.works, route), endpoint, bounded, now)


def estimate_work_seconds(costs: CostModel, route: RouteKey, now: float) -> float:
    """Return the expected work of a plain request in seconds, without the slowdown of an endpoint.

    It is the median over the endpoints, so that one that answers strangely does not change it. The
    median over all routes of the service is the prior, which is one more vote.
    """
    of_service = [
        logarithm
        for key, votes in costs.works.items()
        if key.service == route.service
        for logarithm in _list_logarithms(votes.values(), now)
    ]
    prior = math.exp(median(of_service)) if of_service else defaults.PLAIN_WORK_SECONDS
    return _compute_median(costs.works.get(route, {}), prior, now)


def record_answer(
    costs: CostModel, route: RouteKey, workspace: str, tokens: float, hint: int, now: float
) -> None:
    """Record the length of a complete answer and the caller's hint, both in tokens."""
    if hint <= 0 or not math.isfinite(tokens) or tokens <= 0:
        return
    ratio = clamp(tokens / hint, defaults.MIN_ANSWER_RATIO, defaults.MAX_ANSWER_RATIO)
    _add_vote(_get_votes(costs.answer_ratios, route), workspace, ratio, now)


def estimate_answer_tokens(
    costs: CostModel, route: RouteKey, workspace: str, hint: int, now: float
) -> int:
    """Return the expected length of an answer in tokens; 0 without a hint.

    The ratio to the hint is that of the workspace if it has enough observations, and otherwise the
    median over the workspaces of the route, so that odd hints of one do not change it for others.
    """
    if hint <= 0:
        return 0
    votes = costs.answer_ratios.get(route, {})
    own = votes.get(workspace)
    if own is not None and compute_weight(own, now) >= defaults.MIN_OBSERVATIONS:
        ratio = read_estimate(own, 1.0, now)
    else:
        ratio = _compute_median(votes, 1.0, now)
    return max(1, round(hint * clamp(ratio, defaults.MIN_ANSWER_RATIO, defaults.MAX_ANSWER_RATIO)))


# Round-trip times.


def record_zone_delay(
    costs: CostModel, zone: str, endpoint: str, seconds: float, now: float
) -> None:
    """Record the time in which a connection to an endpoint of a zone was opened."""
    if not math.isfinite(seconds) or seconds < 0:
        return
    bounded = clamp(seconds, defaults.MIN_ZONE_DELAY_SECONDS, defaults.MAX_ZONE_DELAY_SECONDS)
    _add_vote(costs.zone_delays.setdefault(zone, ZoneDelay()).votes, endpoint, bounded, now)


def get_zone_delay(costs: CostModel, zone: str, now: float) -> float:
    """Return the round-trip time to endpoints of a zone in seconds."""
    delay = costs.zone_delays.get(zone)
    if delay is None:
        return defaults.OTHER_ZONE_COST_SECONDS
    if now - delay.computed_at >= defaults.ZONE_DELAY_REFRESH_SECONDS:
        delay.seconds = _compute_median(delay.votes, defaults.OTHER_ZONE_COST_SECONDS, now)
        delay.computed_at = now
    return delay.seconds
