"""Measure the cost of the decisions of planned services: a plan, and the order of what waits.

    python -m benchmarks.planning

Each figure is the median of the runs, in milliseconds of one processor.
"""

import statistics
import time

from marjorambridge.conf import defaults
from marjorambridge.forwarding.loads import add_prefill, add_request
from marjorambridge.forwarding.state import Load
from marjorambridge.scheduling.plans import plan_prefill
from marjorambridge.scheduling.waiting import WaitingQueue, WaitingRequest, run_round
from tests.forwarding.helpers import make_profile, make_state

RUNS = 200
PROMPT_TOKENS = 300_000
MILLISECONDS_PER_SECOND = 1_000.0


def measure(run, runs=RUNS):
    """Return the median time of a call in milliseconds."""
    times = []
    for _ in range(runs):
        before = time.perf_counter()
        run()
        times.append(time.perf_counter() - before)
    return statistics.median(times) * MILLISECONDS_PER_SECOND


def make_loaded_state(engines):
    """Return a fleet in which half of the engines have answers and some have prefills."""
    state = make_state(engines, hosts=[f"h{n}" for n in range(25)])
    state.planned = frozenset({"model"})
    for number, engine in enumerate(state.by_service["model"].values()):
        engine.is_planned = True
        if number % 2:
            add_request(engine.load, 5_000, 0.25)
        if number % 5 == 0:
            other = Load()
            add_prefill(other, 0.5, 0.0, is_help=True)
            engine.other_loads["total"] = other
    return state


def measure_plan(engines):
    """Return the milliseconds of a plan for a long prompt."""
    state = make_loaded_state(engines)
    profile = make_profile(PROMPT_TOKENS, objective=8.0, pause=0.8, remaining=15.0)
    profile.is_planned = True
    return measure(lambda: plan_prefill(state, profile, frozenset(), 0.1))


def measure_round(waiting):
    """Return the milliseconds of a round in which no waiting request finds room."""
    queue = WaitingQueue()
    queue.requests = [
        WaitingRequest("model", f"w{n % 24}", n % 9, float(n), lambda: None, print, n % 2 == 0)
        for n in range(waiting)
    ]
    return measure(lambda: run_round(queue, lambda workspace: False, 1.0))


def run():
    """Print the table."""
    for engines in (60, 200):
        print(f"plan of a prompt, {engines} engines: {measure_plan(engines):.2f} ms")
    for waiting in (defaults.MAX_WAITING_REQUESTS, 1_000):
        print(f"order of {waiting} waiting requests: {measure_round(waiting):.2f} ms")


if __name__ == "__main__":
    run()
