"""Bound the retries of this host and space them."""

from random import Random

from marjorambridge.requests.state import RequestSettings, RetryBudget


def _turn_window(budget: RetryBudget, settings: RequestSettings, now: float) -> None:
    window = int(now // settings.retry_budget_window)
    if window == budget.window:
        return
    follows = window == budget.window + 1
    budget.admitted_before = budget.admitted if follows else 0
    budget.retries_before = budget.retries if follows else 0
    budget.admitted = budget.retries = 0
    budget.window = window


def count_admission(budget: RetryBudget, settings: RequestSettings, now: float) -> None:
    """Let an admitted request earn its share of a retry."""
    _turn_window(budget, settings, now)
    budget.admitted += 1


def take_retry(budget: RetryBudget, settings: RequestSettings, now: float) -> bool:
    """Spend one retry, or return False if too many were spent in the last two windows."""
    _turn_window(budget, settings, now)
    earned = settings.retry_budget_ratio * (budget.admitted + budget.admitted_before)
    spent = budget.retries + budget.retries_before
    if spent + 1 > max(settings.retry_budget_minimum, earned):
        return False
    budget.retries += 1
    return True


def compute_backoff(settings: RequestSettings, tries: int, random: Random) -> float:
    """Return a jittered delay in seconds that doubles with each try, up to a maximum."""
    delay = min(settings.backoff_max, settings.backoff_first * 2.0 ** min(tries, 30))
    return delay * random.uniform(0.5, 1.0)
