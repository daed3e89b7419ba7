"""Test that timers fire once, on time, and not after they were replaced or cancelled."""

from marjorambridge.core.identity import TimerKey
from marjorambridge.core.timers import (
    TimerTable,
    cancel_timer,
    compute_next_due,
    pop_due,
    set_timer,
)


def test_a_replaced_timer_fires_once_at_its_new_time():
    table = TimerTable()
    key = TimerKey("limits", "expiry", "a")
    set_timer(table, key, 1.0)
    set_timer(table, key, 3.0)
    assert pop_due(table, 2.0) == []
    assert compute_next_due(table) == 3.0
    assert pop_due(table, 3.0) == [key]
    assert pop_due(table, 9.0) == []


def test_a_cancelled_timer_does_not_fire():
    table = TimerTable()
    key = TimerKey("limits", "expiry", "a")
    set_timer(table, key, 1.0)
    cancel_timer(table, key)
    assert pop_due(table, 9.0) == []


def test_a_timer_set_again_to_the_same_time_fires_once():
    table = TimerTable()
    key = TimerKey("limits", "expiry", "a")
    set_timer(table, key, 1.0)
    cancel_timer(table, key)
    set_timer(table, key, 1.0)
    assert pop_due(table, 1.0) == [key]
    assert pop_due(table, 1.0) == []
