"""Guard the endpoint table against invalid reports."""

import pytest

from marjorambridge.platform.documents import encode_body
from marjorambridge.platform.reports import InvalidReportError, decode_deregistration, decode_report

REPORT = {
    "backend": "svc",
    "address": "10.0.0.9:8080",
    "zone": "z1",
    "version": "v1",
    "slots": 8,
    "state": "ready",
    "cold_left_ms": 1500,
    "seq": 4,
    "born": 1700000000000,
}


def test_a_report_is_decoded():
    """Guard against a field of a report that is decoded wrongly."""
    report = decode_report("i-1", encode_body(REPORT))
    assert (report.endpoint, report.service, report.cold_seconds) == ("i-1", "svc", 1.5)
    assert (report.born, report.sequence, report.leaving) == (1700000000000, 4, False)
    assert decode_report("i-1", encode_body(REPORT | {"state": "draining"})).leaving


@pytest.mark.parametrize(
    "body",
    [
        b"",
        b"\xff\xfe",
        b"{",
        b"[]",
        *(
            encode_body({k: v for k, v in REPORT.items() if k != name})
            for name in ("backend", "address", "zone", "state", "seq")
        ),
        *(
            encode_body(REPORT | change)
            for change in (
                {"state": "asleep"},
                {"address": "nowhere"},
                {"address": 5},
                {"seq": "x"},
                {"born": 1.5},
                {"slots": None},
            )
        ),
    ],
)
def test_an_invalid_report_is_refused(body):
    """Guard against an endpoint created from missing, mistyped or unknown fields."""
    with pytest.raises(InvalidReportError):
        decode_report("i-1", body)


def test_the_body_of_a_deregistration_may_be_empty():
    """Guard against refusing a deregistration without a body."""
    assert decode_deregistration(b"") == 0
    assert decode_deregistration(b'{"born": 5}') == 5
    with pytest.raises(InvalidReportError):
        decode_deregistration(b"{")
