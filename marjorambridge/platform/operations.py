"""Handle the platform's calls to a replica: configurations, zones and reports of endpoints."""

import time
from collections.abc import Awaitable, Callable
from functools import partial
from urllib.parse import unquote

from loguru import logger

from marjorambridge.control.commands import ReadBarrier, ReplaceManifest
from marjorambridge.daemon.replica import (
    MAX_CALL_BODY_BYTES,
    MAX_MANIFEST_BODY_BYTES,
    ReplicaHost,
    deregister_endpoint,
    find_report_address,
    make_command_id,
    order_zone,
    report_endpoint,
    submit_command,
)
from marjorambridge.gateway import exchanges
from marjorambridge.gateway.exchanges import Exchange
from marjorambridge.manifests.exceptions import InvalidManifestError
from marjorambridge.manifests.validation import validate_manifest
from marjorambridge.platform.documents import (
    compress_document,
    decode_document,
    encode_body,
    encode_error,
    expand_document,
)
from marjorambridge.platform.reports import InvalidReportError, decode_deregistration, decode_report

JSON_TYPE = (b"Content-Type", b"application/json")
REPLACE_CONFIGURATION = b"/api/Config.Replace"
OK, BAD_REQUEST, NOT_FOUND, UNAVAILABLE = 200, 400, 404, 503


async def handle_call(host: ReplicaHost, exchange: Exchange) -> None:
    """Answer one call."""
    path = exchange.target.partition(b"?")[0].decode("latin-1")
    for method, prefix, handle in CALLS:
        if exchange.method == method and path.startswith(prefix):
            status, body = await handle(host, unquote(path[len(prefix) :]), exchange)
            await exchanges.send_answer(exchange, status, [JSON_TYPE], body)
            return
    body = encode_error("unknown call; check method and path")
    await exchanges.send_answer(exchange, NOT_FOUND, [JSON_TYPE], body)


def get_body_limit(method: bytes, target: bytes) -> int:
    """Return the size in bytes of the longest body of a call."""
    if method == b"POST" and target.startswith(REPLACE_CONFIGURATION):
        return MAX_MANIFEST_BODY_BYTES
    return MAX_CALL_BODY_BYTES


async def _replace_configuration(
    host: ReplicaHost, rest: str, exchange: Exchange
) -> tuple[int, bytes]:
    if rest:
        return NOT_FOUND, encode_error("unknown call; check the path")
    try:
        manifest = decode_document(exchange.body)
        validate_manifest(manifest)
    except InvalidManifestError as error:
        logger.bind(error=str(error)).info("a configuration was refused")
        return BAD_REQUEST, encode_error(str(error))
    document = compress_document(exchange.body)
    command = ReplaceManifest(make_command_id(host), manifest.version, document)
    ended = submit_command(host, command)
    return await _log_and_answer("ReplaceManifest", str(manifest.version), ended)


async def _read_configuration(
    host: ReplicaHost, rest: str, exchange: Exchange
) -> tuple[int, bytes]:
    if not await submit_command(host, ReadBarrier(make_command_id(host))):
        return UNAVAILABLE, encode_error("this replica can't tell whether it is up to date")
    document = host.control.control.document
    if not document:
        return UNAVAILABLE, encode_error("there is no configuration yet")
    return OK, expand_document(document)


async def _order_zone(
    host: ReplicaHost, zone: str, exchange: Exchange, drains: bool
) -> tuple[int, bytes]:
    if zone not in host.settings.zones:
        return NOT_FOUND, encode_error(f"zone {zone!r} is unknown; check its name")
    kind = "DrainZone" if drains else "RestoreZone"
    return await _log_and_answer(kind, zone, order_zone(host, zone, drains, exchange.arrived_at))


async def _handle_report(host: ReplicaHost, endpoint: str, exchange: Exchange) -> tuple[int, bytes]:
    try:
        report = decode_report(endpoint, exchange.body)
    except InvalidReportError as error:
        logger.bind(error=str(error)).info("a report of an endpoint was refused")
        return BAD_REQUEST, encode_error(str(error))
    if not await report_endpoint(host, report):
        return UNAVAILABLE, encode_error("this replica is cut off; report to another one")
    address = find_report_address(host, report)
    # `heartbeat_addr` is the address for the next reports of the endpoint.
    return OK, encode_body({"heartbeat_addr": address} if address else {})


async def _handle_deregistration(
    host: ReplicaHost, endpoint: str, exchange: Exchange
) -> tuple[int, bytes]:
    try:
        born = decode_deregistration(exchange.body)
    except InvalidReportError as error:
        return BAD_REQUEST, encode_error(str(error))
    ended = deregister_endpoint(host, endpoint, born, exchange.arrived_at)
    return await _log_and_answer("RetireEndpoint", endpoint, ended)


async def _log_and_answer(kind: str, subject: str, ended: Awaitable[bool]) -> tuple[int, bytes]:
    """Wait for the end of a command, log it and return the answer."""
    started_at = time.monotonic()
    # This function is cancelled when its caller leaves.
    outcome = "given_up"
    try:
        applied = await ended
        outcome = "applied" if applied else "not_applied"
    finally:
        logger.bind(
            kind=kind,
            outcome=outcome,
            seconds=round(time.monotonic() - started_at, 4),
            subject=subject,
        ).info("a command ended")
    if not applied:
        return UNAVAILABLE, encode_error("the command was not applied in time; send it again")
    return OK, encode_body({})


Call = Callable[[ReplicaHost, str, Exchange], Awaitable[tuple[int, bytes]]]

CALLS: tuple[tuple[bytes, str, Call], ...] = (
    (b"POST", "/api/Instances.Heartbeat/", _handle_report),
    (b"POST", "/api/Instances.Deregister/", _handle_deregistration),
    (b"POST", REPLACE_CONFIGURATION.decode(), _replace_configuration),
    (b"GET", "/api/Config.Read", _read_configuration),
    (b"POST", "/api/Drain.Begin/", partial(_order_zone, drains=True)),
    (b"POST", "/api/Drain.Finish/", partial(_order_zone, drains=False)),
)
