"""Exchange of crashes of engines between gateways."""

import math

from loguru import logger

from marjorambridge.forwarding.causes import is_whole_request
from marjorambridge.forwarding.crashes import (
    Crash,
    CrashHistory,
    is_answered_since,
    list_blocked_causes,
    list_recent_crashes,
    store_answer,
    store_block,
    store_crash,
    take_new_blocks,
)
from marjorambridge.forwarding.messages import CauseEntry, CrashEntry, CrashReport
from marjorambridge.gateway.datagrams import decode_seconds, encode_seconds

# Entries in one report, so that its datagram fits a packet of 1,500 bytes.
MAX_REPORT_ENTRIES = 30


def build_reports(
    host: str, crashes: list[Crash], answered: list[int], now: float
) -> list[CrashReport]:
    """Return reports of new crashes, and of suspects that were just answered."""
    reports = [
        CrashReport(host, True, crashes=tuple(_encode_crash(crash, now) for crash in entries))
        for entries in _split(crashes)
    ]
    return reports + [
        CrashReport(host, True, answered=tuple(CauseEntry(cause, 0) for cause in entries))
        for entries in _split(answered)
    ]


def build_repeated_reports(host: str, history: CrashHistory, now: float) -> list[CrashReport]:
    """Return reports of recent crashes and of all blocked causes."""
    reports = [
        CrashReport(host, False, crashes=tuple(_encode_crash(crash, now) for crash in entries))
        for entries in _split(list_recent_crashes(history, now))
    ]
    return reports + [
        CrashReport(
            host,
            False,
            blocked=tuple(
                CauseEntry(cause, _encode_age(blocked_at, now)) for cause, blocked_at in entries
            ),
        )
        for entries in _split(list_blocked_causes(history, now))
    ]


def _split(entries: list) -> list[list]:
    return [
        entries[first : first + MAX_REPORT_ENTRIES]
        for first in range(0, len(entries), MAX_REPORT_ENTRIES)
    ]


def _encode_crash(crash: Crash, now: float) -> CrashEntry:
    return CrashEntry(
        crash.cause,
        crash.endpoint,
        crash.request,
        _encode_age(crash.at, now),
        crash.answered_before,
        _encode_age(crash.began_at, crash.at) if math.isfinite(crash.began_at) else -1,
    )


def _decode_crash(entry: CrashEntry, now: float) -> Crash:
    at, began_at = _decode_age(entry.age_milliseconds, now), -math.inf
    if entry.attempt_milliseconds >= 0:
        began_at = _decode_age(entry.attempt_milliseconds, at)
    return Crash(entry.cause, entry.endpoint, entry.request, at, began_at, entry.answered_before)


def _encode_age(at: float, now: float) -> int:
    return encode_seconds(now - at)


def _decode_age(milliseconds: int, now: float) -> float:
    return now - decode_seconds(milliseconds)


def apply_report(
    history: CrashHistory, report: CrashReport, own_host: str, now: float
) -> CrashReport | None:
    """Apply the report of another host, and return the answer to it, if there is one.

    The answer names the causes that the other host suspects and that this host knows to be
    innocent, because a request with them was answered since.
    """
    suspected = []
    for reported in report.crashes:
        crash = _decode_crash(reported, now)
        suspected.append((crash.cause, crash.at))
        store_crash(history, crash, now)
    for entry in report.blocked:
        at = _decode_age(entry.age_milliseconds, now)
        suspected.append((entry.cause, at))
        store_block(history, entry.cause, at, now)
    for entry in report.answered:
        at = _decode_age(entry.age_milliseconds, now)
        if store_answer(history, entry.cause, at):
            log_cleared_cause(entry.cause, report.host)
    log_new_blocks(history)
    innocent = tuple(
        CauseEntry(cause, _encode_age(history.answered_at[cause], now))
        for cause, at in suspected
        if is_answered_since(history, cause, at)
    )
    return CrashReport(own_host, False, answered=innocent) if innocent else None


def log_new_blocks(history: CrashHistory) -> None:
    """Log the causes that were blocked since the last call."""
    for cause, suspect in take_new_blocks(history):
        bound = logger.bind(
            cause=format_cause(cause),
            crashes=len(suspect.crashes),
            requests=len({crash.request for crash in suspect.crashes.values()}),
        )
        if is_whole_request(cause):
            bound.warning("a request that crashes engines is refused")
        else:
            bound.warning("prompts with a part that crashes engines are refused")


def log_cleared_cause(cause: int, peer: str = "") -> None:
    """Log that a suspect was answered, by this host or by the given one."""
    logger.bind(cause=format_cause(cause), peer=peer).info(
        "a suspected request or part of prompts was answered"
    )


def format_cause(cause: int) -> str:
    """Return a cause for a log line.

    Examples
    --------
    >>> format_cause(0xDEAD), format_cause(-0xBEEF)
    ('part dead', 'request beef')
    """
    return f"request {-cause:x}" if is_whole_request(cause) else f"part {cause:x}"
