"""Test the table of endpoints against late, repeated and outdated reports."""

import itertools

from marjorambridge.discovery.models import EndpointReport
from marjorambridge.discovery.table import (
    EndpointTable,
    confirm_endpoint,
    expire_endpoints,
    merge_report,
    retire_endpoint,
)


def make_report(endpoint="e1", born=1, sequence=1, address="10.0.0.1:80", **fields):
    return EndpointReport(endpoint, "svc", "z1", address, 8, born, sequence, **fields)


def test_reports_in_any_order_result_in_the_same_table():
    """Guard against an older report that overwrites a newer one."""
    reports = [
        make_report(sequence=1),
        make_report(sequence=2, leaving=True),
        make_report(born=5, sequence=1, address="10.0.0.2:80"),
        make_report(born=5, sequence=2, address="10.0.0.2:80"),
    ]
    outcomes = set()
    for order in itertools.permutations(range(4)):
        table = EndpointTable(1.0)
        for number in order:
            merge_report(table, EndpointReport(**as_fields(reports[number])), 0.0, 1.0)
        known = table.endpoints["e1"].report
        outcomes.add((known.born, known.sequence, known.address, known.leaving))
    assert outcomes == {(5, 2, "10.0.0.2:80", False)}


def as_fields(report):
    return {name: getattr(report, name) for name in EndpointReport.__slots__}


def test_an_address_belongs_to_the_incarnation_that_started_last():
    """Guard against a delayed report of a crashed endpoint whose address was reassigned."""
    table = EndpointTable(1.0)
    merge_report(table, make_report("new", born=9), 0.0, 1.0)
    assert not merge_report(table, make_report("old", born=3, sequence=99), 0.0, 1.0)
    assert set(table.endpoints) == {"new"}
    merge_report(table, make_report("newest", born=12), 0.0, 1.0)
    assert set(table.endpoints) == {"newest"} and "new" in table.removed


def test_endpoint_stays_leaving_until_it_restarts():
    """Guard against a late report that makes a leaving endpoint available again."""
    table = EndpointTable(1.0)
    merge_report(table, make_report(), 0.0, 1.0)
    assert retire_endpoint(table, "e1", 1)
    merge_report(table, make_report(sequence=7), 0.0, 2.0)
    assert table.endpoints["e1"].report.leaving
    merge_report(table, make_report(born=2), 0.0, 3.0)
    assert not table.endpoints["e1"].report.leaving


def test_equal_reports_are_no_change():
    """Guard against updates to every host for each report, which grow with the fleet."""
    table = EndpointTable(1.0)
    merge_report(table, make_report(), 0.0, 1.0)
    revision = table.revision
    for sequence in range(2, 50):
        assert not merge_report(table, make_report(sequence=sequence), 0.0, float(sequence))
    assert table.revision == revision
    assert merge_report(table, make_report(sequence=60, cold_seconds=3.0), 0.0, 60.0)


def test_silent_endpoint_is_marked_confirmed_and_removed():
    """Guard against using a crashed endpoint, and against avoiding one that reports elsewhere."""
    table = EndpointTable(1.0)
    merge_report(table, make_report(), 0.0, 0.0)
    assert not expire_endpoints(table, 3.9)
    assert expire_endpoints(table, 4.1) and table.endpoints["e1"].silent
    assert not confirm_endpoint(table, "e1", 2, 0.1, 5.0)
    assert confirm_endpoint(table, "e1", 1, 0.1, 5.0) and not table.endpoints["e1"].silent
    assert expire_endpoints(table, 60.0) and not table.endpoints
