"""Limit the retries of this host and compute their delays."""

from random import Random

from marjorambridge.conf import defaults
from marjorambridge.requests.state import RequestSettings, RetryBudget


def _advance_window(budget: RetryBudget, settings: RequestSettings, now: float) -> None:
    window = int(now // settings.retry_budget_window)
    if window == budget.window:
        return
    follows = window == budget.window + 1
    budget.previous_admitted = budget.admitted if follows else 0
    budget.previous_retries = budget.retries if follows else 0
    budget.admitted = budget.retries = 0
    budget.window = window


def count_admission(budget: RetryBudget, settings: RequestSettings, now: float) -> None:
    """Count an admitted request, which adds a fraction of a retry to the budget."""
    _advance_window(budget, settings, now)
    budget.admitted += 1


def consume_retry(budget: RetryBudget, settings: RequestSettings, now: float) -> bool:
    """Consume one retry, or return False if the last two windows used up the budget."""
    _advance_window(budget, settings, now)
    allowed_retries = settings.retry_budget_ratio * (budget.admitted + budget.previous_admitted)
    used_retries = budget.retries + budget.previous_retries
    if used_retries + 1 > max(settings.retry_budget_minimum, allowed_retries):
        return False
    budget.retries += 1
    return True


def compute_backoff(settings: RequestSettings, backoffs: int, random: Random) -> float:
    """Return a jittered delay in seconds that doubles with each backoff, up to a maximum."""
    steps = min(backoffs, defaults.MAX_BACKOFF_STEPS)
    delay = min(settings.max_backoff, settings.initial_backoff * 2.0**steps)
    return delay * random.uniform(0.5, 1.0)
