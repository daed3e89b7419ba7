"""Guard the endpoint table against invalid reports."""

import pytest

from marjorambridge.control.commands import (
    EndpointRecord,
    RegisterEndpoints,
    decode_command,
    encode_command,
)
from marjorambridge.control.messages import EndpointEntry, EndpointGossip, LiveEndpoint
from marjorambridge.platform.documents import encode_body
from marjorambridge.platform.reports import (
    MAX_NUMBER,
    MAX_SLOTS,
    InvalidReportError,
    decode_deregistration,
    decode_report,
)
from marjorambridge.wire.codec import decode_message, encode_message

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
                {"seq": 2**63},
                {"seq": 2**70},
                {"seq": -1},
                {"born": 2**64 - 1},
                {"born": -(2**63) - 1},
                {"slots": 2**63},
                {"cold_left_ms": 1e300},
                {"address": "10.0.0.1:70000"},
                {"address": "10.0.0.1:" + "9" * 5_000},
                {"address": "elsewhere:80"},
                {"zone": "z" * 100_000},
            )
        ),
    ],
)
def test_an_invalid_report_is_refused(body):
    """Guard against an endpoint created from missing, mistyped or unknown fields."""
    with pytest.raises(InvalidReportError):
        decode_report("i-1", body)


@pytest.mark.parametrize(
    "text", ["[" * 200_000 + "]" * 200_000, '{"a":' * 100_000 + "1" + "}" * 100_000]
)
def test_a_deeply_nested_report_is_refused(text):
    """Guard against a report that exhausts the stack of the process."""
    body = encode_body(REPORT)[:-1] + b',"more":' + text.encode() + b"}"
    with pytest.raises(InvalidReportError):
        decode_report("i-1", body)
    with pytest.raises(InvalidReportError):
        decode_deregistration(b'{"more":' + text.encode() + b"}")


@pytest.mark.parametrize("name", ["", "i 1", "i-1\r\nX-Key: 1", "i-\u2603", "i" * 300])
def test_a_name_that_no_header_can_hold_is_refused(name):
    """Guard against an endpoint at which every request of a host ends with an error."""
    with pytest.raises(InvalidReportError):
        decode_report(name, encode_body(REPORT))


def test_accepted_reports_fit_the_messages_between_replicas():
    """Guard against a number that ends each process which stores or sends it."""
    largest = {"seq": MAX_NUMBER, "born": MAX_NUMBER, "slots": MAX_SLOTS}
    report = decode_report("i-1", encode_body(REPORT | largest))
    record = EndpointRecord("i-1", "svc", "z", "10.0.0.1:80", report.slots, report.born, 0.0)
    command = RegisterEndpoints("c", (record,))
    assert decode_command(encode_command(command)) == command
    entry = EndpointEntry(
        "i-1",
        "svc",
        "z",
        "10.0.0.1:80",
        report.slots,
        report.born,
        report.sequence,
        False,
        0.0,
        0.0,
    )
    gossip = EndpointGossip("z", (entry,), (LiveEndpoint("i-1", report.born, 0.0),))
    assert decode_message(*encode_message(gossip)) == gossip


@pytest.mark.parametrize("body", [b'{"born":9223372036854775808}', b'{"born":-5}'])
def test_a_deregistration_with_a_number_out_of_range_is_refused(body):
    """Guard against a command that no replica can apply."""
    with pytest.raises(InvalidReportError):
        decode_deregistration(body)


def test_the_body_of_a_deregistration_may_be_empty():
    """Guard against refusing a deregistration without a body."""
    assert decode_deregistration(b"") == 0
    assert decode_deregistration(b'{"born": 5}') == 5
    with pytest.raises(InvalidReportError):
        decode_deregistration(b"{")
