"""Check the count of endpoints of a request that hosts pass on, under random orders of events."""

from collections import deque
from dataclasses import dataclass, field

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from marjorambridge.forwarding import relays
from marjorambridge.forwarding.relays import count_used

MAX_ALLOWED = 5


@dataclass
class RelayingHost:
    """Store what a host that takes a request knows, and the messages under way."""

    allowed: int
    reports: bool
    reported: int = 0
    confirmed: int = 0
    started: int = 0
    is_alive: bool = True
    to_asking: deque[int] = field(default_factory=deque)
    to_relaying: deque[int] = field(default_factory=deque)
    recorded: int = 0
    is_given_up: bool = False


@dataclass
class AskingHost:
    """Store what the host that passes a request on knows, and all hosts that it asked."""

    allowed: int
    used: int = 0
    asked: list[RelayingHost] = field(default_factory=list)

    def ask(self, reports: bool) -> None:
        """Pass the request on with all endpoints that are left."""
        if self.used < self.allowed:
            self.asked.append(RelayingHost(self.allowed - self.used, reports))

    def end(self, host: RelayingHost, used: int) -> None:
        self.used += used
        host.is_given_up = True


def start_next(host: RelayingHost) -> None:
    """Report the next endpoint and use it, as far as that is allowed."""
    number = host.started + 1
    if not host.is_alive or number > host.allowed:
        return
    if host.reports and number > host.reported:
        host.to_asking.append(number)
        host.reported = number
    if not host.reports or not relays.needs_confirmation(number) or host.confirmed >= number:
        host.started = number


def deliver_report(host: RelayingHost) -> None:
    if host.to_asking and not host.is_given_up:
        host.recorded = max(host.recorded, host.to_asking.popleft())
        host.to_relaying.append(host.recorded)


def deliver_confirmation(host: RelayingHost) -> None:
    if host.to_relaying:
        host.confirmed = max(host.confirmed, host.to_relaying.popleft())


def play(allowed: int, kinds: list[bool], steps: list[tuple[str, int]]) -> AskingHost:
    """Play steps, each at one of the hosts that were asked, and check the sum after each."""
    asking, kinds = AskingHost(allowed), list(kinds)
    asking.ask(kinds.pop())
    for name, position in steps:
        host = asking.asked[position % len(asking.asked)]
        if name == "start":
            start_next(host)
        elif name == "report arrives":
            deliver_report(host)
        elif name == "confirmation arrives":
            deliver_confirmation(host)
        elif name == "die":
            host.is_alive = False
        elif not host.is_given_up and (name == "give up" or not host.is_alive):
            # The connection broke, with or without the death of the host, and what is under way to
            # the asking host is lost.
            used = count_used(host.recorded, host.allowed)
            if host.recorded:
                assert (
                    used <= host.started + 1
                ), "known endpoints count as unused, or unused as used"
            asking.end(host, used)
            asking.ask(kinds.pop() if kinds else True)
        elif not host.is_given_up:
            # The last answer names the number, and is read after all reports.
            host.is_alive = False
            asking.end(host, host.started)
            asking.ask(kinds.pop() if kinds else True)
        started = sum(other.started for other in asking.asked)
        assert started <= allowed, f"{started} endpoints of {allowed} were used"
    return asking


STEPS = ["start", "start", "report arrives", "confirmation arrives", "die", "give up", "answer"]
schedules = st.lists(st.tuples(st.sampled_from(STEPS), st.integers(0, 5)), max_size=60)
kinds = st.lists(st.booleans(), min_size=1, max_size=4)


@settings(max_examples=2_000, deadline=None)
@given(st.integers(1, MAX_ALLOWED), kinds, schedules)
def test_hosts_together_use_no_more_endpoints_than_allowed_in_any_order(allowed, kinds, steps):
    """Guard against endpoints beyond the route's limit, whenever a host dies or is given up.

    Hosts that are given up may live on, and hosts that report and those that don't are mixed.
    """
    play(allowed, kinds, steps)


def test_a_report_without_confirmation_would_not_suffice(monkeypatch):
    """Guard against a model that can't find an endpoint that is used before it is known."""
    monkeypatch.setattr(relays, "needs_confirmation", lambda number: False)
    steps = [("start", 0), ("report arrives", 0), ("start", 0), ("give up", 0), ("start", 1)]
    with pytest.raises(AssertionError, match="3 endpoints of 2"):
        play(2, [True], [*steps, ("start", 1)])


def test_a_host_whose_reports_are_known_leaves_the_other_endpoints():
    """Guard against a death after which no endpoint is left, although one is known to be unused."""
    asking = play(2, [True], [("start", 0), ("report arrives", 0), ("die", 0), ("give up", 0)])
    assert asking.used == 1 and asking.asked[-1].allowed == 1
    asking = play(2, [False], [("start", 0), ("die", 0), ("give up", 0)])
    assert asking.used == 2 and len(asking.asked) == 1
