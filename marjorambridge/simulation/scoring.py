"""Compute the score of a simulation from the outcomes of its requests."""

from collections import Counter, defaultdict

from msgspec import Struct, field

from marjorambridge.simulation.callers import Request

# Length of a window in seconds and number of the worst windows that count; weights of these, of the
# whole time and of the class with the lowest score.
WINDOW_SECONDS = 2.0
WORST_WINDOWS = 2
WORST_WINDOWS_WEIGHT, OVERALL_WEIGHT, WORST_CLASS_WEIGHT = 0.5, 0.35, 0.15
# Worth of a request relative to the mean of its class: a fixed part, and one that grows with size.
FIXED_WORTH_RATIO, SIZE_WORTH_RATIO = 0.3, 0.7


class Score(Struct):
    """Hold the score of a simulation, as ratios to the maximum worth (0 to 1).

    Attributes
    ----------
    worth : float
        Weighted mean of the three values below.
    overall, windows, worst_class : float
        Scores of the whole time, of the worst windows and of the worst class.
    classes : dict of str to dict of str to int
        Requests by class and outcome.
    """

    worth: float
    overall: float
    windows: float
    worst_class: float
    classes: dict[str, dict[str, int]] = field(default_factory=dict)


def find_outcome(request: Request) -> str:
    """Return the outcome of a request.

    Examples
    --------
    >>> from marjorambridge.simulation.scenarios import WorkloadClass
    >>> short = WorkloadClass("short", 1.0, 5_000, 1_500, 0.3, 0.25, 10.0, 1.3, 0.33)
    >>> find_outcome(Request(1, short, "a", 0.0, 1.0, 0.1, 0.2, is_complete=True))
    'on_time'
    >>> find_outcome(Request(1, short, "a", 0.0, 1.0, 0.1, 0.3, is_complete=True))
    'paused'
    >>> find_outcome(Request(1, short, "a", 0.0, 1.0, refusals=2))
    'refused'
    """
    if not request.is_complete:
        return "refused" if request.refusals else "failed"
    if request.first_seconds > request.workload.objective_seconds:
        return "late"
    return "on_time" if request.pause_seconds <= request.workload.pause_seconds else "paused"


def compute_worth(request: Request) -> tuple[float, float]:
    """Return the worth that a request earned, and the most that it could earn."""
    factor = FIXED_WORTH_RATIO + SIZE_WORTH_RATIO * request.size
    workload, outcome = request.workload, find_outcome(request)
    earned = {"on_time": workload.worth, "late": workload.late_worth, "paused": workload.late_worth}
    return earned.get(outcome, 0.0) * factor, workload.worth * factor


def compute_score(requests: list[Request], started_at: float) -> Score:
    """Return the score of all requests."""
    overall, windows, by_class = _Total(), defaultdict(_Total), defaultdict(_Total)
    classes: dict[str, Counter[str]] = defaultdict(Counter)
    for request in requests:
        window = int((request.arrived_at - started_at) / WINDOW_SECONDS)
        earned, maximum = compute_worth(request)
        for total in (overall, windows[window], by_class[request.workload.name]):
            total.earned += earned
            total.maximum += maximum
        classes[request.workload.name][find_outcome(request)] += 1
    worst = sorted(total.share for total in windows.values())[:WORST_WINDOWS]
    windows_score = sum(worst) / max(1, len(worst))
    worst_class = min((total.share for total in by_class.values()), default=0.0)
    worth = (
        WORST_WINDOWS_WEIGHT * windows_score
        + OVERALL_WEIGHT * overall.share
        + WORST_CLASS_WEIGHT * worst_class
    )
    counts = {name: dict(counter) for name, counter in classes.items()}
    return Score(worth, overall.share, windows_score, worst_class, counts)


class _Total(Struct):
    earned: float = 0.0
    maximum: float = 0.0

    @property
    def share(self) -> float:
        return self.earned / self.maximum if self.maximum else 0.0
