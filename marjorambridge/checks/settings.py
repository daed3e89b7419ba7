"""Check the rules for settings that their types do not express."""

import ipaddress
import re
from collections.abc import Callable, Iterator

from marjorambridge.conf import defaults
from marjorambridge.conf.settings import HostSettings

NAME = re.compile(r"[a-z0-9]([a-z0-9.-]{0,61}[a-z0-9])?")
LOG_LEVELS = ("TRACE", "DEBUG", "INFO", "SUCCESS", "WARNING", "ERROR", "CRITICAL")

Check = Callable[[HostSettings], Iterator[str]]


def check_settings(settings: HostSettings) -> list[str]:
    """Run every check and return one sentence for each fault."""
    return [fault for check in CHECKS for fault in check(settings)]


def _check_names(settings: HostSettings) -> Iterator[str]:
    for label in ("fleet", "host", "zone", "region"):
        value = getattr(settings, label)
        if not NAME.fullmatch(value):
            yield (
                f"{label} {value!r} is not a name; use 1 to 63 lower-case letters, digits, "
                "dots and hyphens"
            )


def _describe_address_fault(value: str) -> str | None:
    ip, separator, port = value.rpartition(":")
    try:
        ipaddress.ip_address(ip.strip("[]"))
    except ValueError:
        return f"{value!r} is not ip:port; use an IP address, not a host name"
    if not separator or not port.isdigit() or not 0 < int(port) < 65536:
        return f"{value!r} has no port from 1 to 65535"
    return None


def _check_addresses(settings: HostSettings) -> Iterator[str]:
    named = {
        "addresses.peer": settings.addresses.peer,
        "addresses.callers": settings.addresses.callers,
        "addresses.admin": settings.addresses.admin,
    }
    if settings.addresses.advertised_peer:
        named["addresses.advertised_peer"] = settings.addresses.advertised_peer
    for replica in settings.replicas:
        named[f"the address of replica {replica.host}"] = replica.address
    for label, value in named.items():
        fault = _describe_address_fault(value)
        if fault:
            yield f"{label}: {fault}"
    listen_addresses = [
        settings.addresses.peer,
        settings.addresses.callers,
        settings.addresses.admin,
    ]
    if len(set(listen_addresses)) < len(listen_addresses):
        yield "addresses.peer, addresses.callers and addresses.admin must differ"


def _check_replicas(settings: HostSettings) -> Iterator[str]:
    names = [replica.host for replica in settings.replicas]
    if len(names) not in (1, 3, 5):
        yield f"replicas has {len(names)} hosts; name 1, 3 or 5"
    if len(set(names)) < len(names):
        yield "replicas names a host twice; name each once"
    if settings.host in names and not settings.data_folder:
        yield f"{settings.host} is a replica and needs data_folder"
    if settings.host not in names and settings.bootstrap:
        yield "bootstrap is for replicas only; remove it"


def _check_limits(settings: HostSettings) -> Iterator[str]:
    requests = settings.requests
    for label in ("max_timeout_seconds", "max_body_bytes", "drain_deadline_seconds"):
        if getattr(requests, label) <= 0:
            yield f"requests.{label} must be greater than 0"
    if requests.max_body_bytes > defaults.MAX_BODY_BYTES_LIMIT:
        yield f"requests.max_body_bytes must not exceed {defaults.MAX_BODY_BYTES_LIMIT}"
    if not 0 <= requests.retry_budget_ratio <= 1:
        yield "requests.retry_budget_ratio must be from 0 to 1"
    if requests.unready_grace_seconds < 0:
        yield "requests.unready_grace_seconds must not be negative"
    if not 1 <= settings.claims.groups <= 64:
        yield "claims.groups must be from 1 to 64"
    if settings.claims.tombstone_seconds < settings.claims.answer_seconds:
        yield "claims.tombstone_seconds must not be less than claims.answer_seconds"
    if settings.log.level not in LOG_LEVELS:
        yield f"log.level must be one of {', '.join(LOG_LEVELS)}"
    if not 0 <= settings.log.trace_ratio <= 1:
        yield "log.trace_ratio must be from 0 to 1"
    for label in ("operator_token_hashes", "announcement_token_hashes"):
        if not all(re.fullmatch(r"[0-9a-f]{64}", digest) for digest in getattr(settings, label)):
            yield f"{label} must be SHA-256 digests of 64 hexadecimal digits"


CHECKS: tuple[Check, ...] = (_check_names, _check_addresses, _check_replicas, _check_limits)
