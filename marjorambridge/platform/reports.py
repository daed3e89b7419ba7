"""Decode the reports and deregistrations of endpoints."""

import re
from typing import Annotated

import msgspec

from marjorambridge.core.addresses import is_address
from marjorambridge.core.decoding import DECODE_ERRORS
from marjorambridge.core.exceptions import MarjorambridgeError
from marjorambridge.discovery.models import EndpointReport

# Messages and the control log hold whole numbers of 64 bits; anything that counts stays far below.
MAX_NUMBER = 2**53
MAX_SLOTS = 1_000_000
# Longer than any engine stays cold.
MAX_COLD_MILLISECONDS = 86_400_000.0
MAX_NAME_LENGTH = 256
# The name of an endpoint is also the value of a header.
ENDPOINT_NAME = re.compile(r"[!-~]{1,256}")

Number = Annotated[int, msgspec.Meta(ge=0, le=MAX_NUMBER)]
Name = Annotated[str, msgspec.Meta(max_length=MAX_NAME_LENGTH)]

LEAVING_BY_STATE = {"ready": False, "draining": True}


class InvalidReportError(MarjorambridgeError):
    """A report or a deregistration of an endpoint is invalid."""


class ReportDocument(msgspec.Struct):
    """A report; `backend` is the service and `seq` the number of the report."""

    backend: Name
    address: Name
    zone: Name
    state: str
    seq: Number
    slots: Annotated[int, msgspec.Meta(le=MAX_SLOTS)] = 1
    cold_left_ms: Annotated[float, msgspec.Meta(le=MAX_COLD_MILLISECONDS)] = 0.0
    born: Number = 0


class DeregistrationDocument(msgspec.Struct):
    """The optional body of a deregistration."""

    born: Number = 0


def decode_report(endpoint: str, data: bytes) -> EndpointReport:
    """Return the report in the body of a call.

    Raises
    ------
    InvalidReportError
        If a field is missing, has another type or is out of range, or if the state is unknown.
    """
    try:
        document = msgspec.json.decode(data, type=ReportDocument)
    except DECODE_ERRORS as error:
        raise InvalidReportError(f"unreadable report: {error}") from error
    if document.state not in LEAVING_BY_STATE:
        raise InvalidReportError(f"state {document.state!r} is unknown")
    if not ENDPOINT_NAME.fullmatch(endpoint):
        raise InvalidReportError(f"endpoint {endpoint[:40]!r} is not a name")
    if not is_address(document.address):
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
    except DECODE_ERRORS as error:
        raise InvalidReportError(f"unreadable departure: {error}") from error
