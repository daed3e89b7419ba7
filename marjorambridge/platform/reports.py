"""Decode the reports and deregistrations of endpoints."""

import msgspec

from marjorambridge.conf.nodes import is_address
from marjorambridge.core.exceptions import MarjorambridgeError
from marjorambridge.discovery.models import EndpointReport

LEAVING_BY_STATE = {"ready": False, "draining": True}


class InvalidReportError(MarjorambridgeError):
    """A report or a deregistration of an endpoint is invalid."""


class ReportDocument(msgspec.Struct):
    """A report; `backend` is the service and `seq` the number of the report."""

    backend: str
    address: str
    zone: str
    state: str
    seq: int
    slots: int = 1
    cold_left_ms: float = 0.0
    born: int = 0


class DeregistrationDocument(msgspec.Struct):
    """The optional body of a deregistration."""

    born: int = 0


def decode_report(endpoint: str, data: bytes) -> EndpointReport:
    """Return the report in the body of a call.

    Raises
    ------
    InvalidReportError
        If a field is missing or has another type, or if the state is unknown.
    """
    try:
        document = msgspec.json.decode(data, type=ReportDocument)
    except (msgspec.DecodeError, RecursionError) as error:
        raise InvalidReportError(f"unreadable report: {error}") from error
    if document.state not in LEAVING_BY_STATE:
        raise InvalidReportError(f"state {document.state!r} is unknown")
    if not endpoint or not is_address(document.address):
        raise InvalidReportError(f"address {document.address!r} is not ip:port")
    return EndpointReport(
        endpoint=endpoint,
        service=document.backend,
        zone=document.zone,
        address=document.address,
        slots=max(1, document.slots),
        born=document.born,
        sequence=document.seq,
        leaving=LEAVING_BY_STATE[document.state],
        cold_seconds=max(0.0, document.cold_left_ms / 1_000),
    )


def decode_deregistration(data: bytes) -> int:
    """Return the start of the deregistered incarnation in Unix milliseconds; 0 if it is missing.

    Raises
    ------
    InvalidReportError
        If the body is invalid.
    """
    if not data.strip():
        return 0
    try:
        return msgspec.json.decode(data, type=DeregistrationDocument).born
    except (msgspec.DecodeError, RecursionError) as error:
        raise InvalidReportError(f"unreadable departure: {error}") from error
