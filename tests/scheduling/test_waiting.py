"""Test which waiting request gets room first, and what bounds the waiting."""

import time

from marjorambridge.conf import defaults
from marjorambridge.scheduling.waiting import (
    WaitingQueue,
    WaitingRequest,
    is_due,
    join,
    leave,
    run_round,
    sort_requests,
)


class Room:
    """Room for a number of requests."""

    def __init__(self, places):
        self.places, self.checks = places, 0

    def find(self):
        self.checks += 1
        if self.places <= 0:
            return None
        self.places -= 1
        return "room"


def make_request(room, name="", urgency=5, due=10.0, is_long=False, service="model"):
    request = WaitingRequest(service, name, urgency, due, room.find, lambda room: None, is_long)
    return request


def serve(queue, now=0.0, over=()):
    return [request.workspace for request in run_round(queue, lambda name: name in over, now)]


def fill(queue, *requests):
    for request in requests:
        assert join(queue, request)


def test_urgent_requests_come_first_whenever_they_came():
    """In a burst, digests that came first took the room of chats that are due in 0.25 s."""
    room, queue = Room(2), WaitingQueue()
    fill(
        queue,
        make_request(room, "digest", 4, due=1.0),
        make_request(room, "chat", 0, due=5.0),
        make_request(room, "log", 8, due=0.5),
    )
    assert serve(queue) == ["chat", "digest"]
    assert [request.workspace for request in queue.requests] == ["log"]


def test_requests_that_are_late_already_come_after_those_that_can_be_on_time():
    """A late request that goes first makes the next one late as well."""
    room, queue = Room(1), WaitingQueue()
    fill(queue, make_request(room, "late", due=1.0), make_request(room, "timely", due=4.0))
    assert serve(queue, now=2.0) == ["timely"]


def test_a_heavy_workspace_waits_behind_the_others():
    """One of 24 workspaces with most of the requests took all room that became free."""
    room, queue = Room(3), WaitingQueue()
    heavy = [make_request(room, "heavy", due=float(n)) for n in range(20)]
    small = [make_request(room, f"small{n}", due=100.0 + n) for n in range(3)]
    fill(queue, *heavy, *small)
    assert serve(queue, over=("heavy",)) == ["small0", "small1", "small2"]


def test_one_long_prompt_starts_in_a_round():
    """Two prompts that are placed on the same loads would share their engines."""
    room, queue = Room(9), WaitingQueue()
    fill(queue, *[make_request(room, f"r{n}", due=float(n), is_long=True) for n in range(3)])
    assert serve(queue) == ["r0"]


def test_one_long_prompt_starts_at_a_time_when_attempts_end_together():
    """Each attempt that ended started a round, and all of them chose the same idle engines."""
    room, queue = Room(9), WaitingQueue()
    fill(queue, *[make_request(room, f"r{n}", due=float(n), is_long=True) for n in range(3)])
    assert [serve(queue, now=5.0) for _ in range(3)] == [["r0"], [], []]
    assert serve(queue, now=5.001 + defaults.WAITING_CHECK_SECONDS) == ["r1"]


def test_a_request_that_finds_no_room_does_not_hold_up_other_services():
    """Plain requests waited behind prompts for which no engine was free."""
    full, free, queue = Room(0), Room(1), WaitingQueue()
    fill(queue, make_request(full, "prompt", 0), make_request(free, "plain", 9, service="app"))
    assert serve(queue) == ["plain"]


def test_many_requests_without_room_do_not_hold_up_other_services():
    """With 8 urgent requests of a full service in front, no request of another one was checked."""
    full, free, queue = Room(0), Room(1), WaitingQueue()
    fill(queue, *[make_request(full, f"chat{n}", 0) for n in range(20)])
    fill(queue, *[make_request(full, f"log{n}", 1, is_long=True) for n in range(20)])
    fill(queue, make_request(free, "plain", 9, service="app"))
    assert serve(queue) == ["plain"]
    assert full.checks == 2 * defaults.MAX_CHECKED_REQUESTS


def test_a_repeated_request_does_not_hold_up_others_of_its_service():
    """A request waited whose only free endpoint had declined it, and all behind it waited too."""
    none_left, free, queue = Room(0), Room(1), WaitingQueue()
    fill(queue, make_request(none_left, "repeated", 0), make_request(free, "new", 1))
    assert serve(queue) == ["new"]


def test_waiting_is_bounded():
    """Requests that wait hold memory and connections, so that a host refuses further ones."""
    queue, room = WaitingQueue(), Room(0)
    fill(queue, *[make_request(room) for _ in range(defaults.MAX_WAITING_REQUESTS)])
    extra = make_request(room)
    assert not join(queue, extra)
    leave(queue, extra)
    assert len(queue.requests) == defaults.MAX_WAITING_REQUESTS


def test_the_cost_of_a_round_does_not_grow_with_the_queue():
    """Checking each of 1,000 requests against 200 engines would stop the event loop."""
    queue, room = WaitingQueue(), Room(0)
    queue.requests += [make_request(room, str(n), due=float(n), is_long=True) for n in range(1000)]
    before = time.perf_counter()
    assert serve(queue) == []
    assert time.perf_counter() - before < 0.1
    assert room.checks <= defaults.MAX_CHECKED_REQUESTS
    assert not is_due(queue, defaults.WAITING_CHECK_SECONDS / 2)
    assert [request.workspace for request in sort_requests(queue, lambda name: False, 0.0)][:2] == [
        "0",
        "1",
    ]
