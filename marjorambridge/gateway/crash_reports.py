"""Exchange of crashes of engines between gateways."""

from loguru import logger

from marjorambridge.forwarding.crashes import (
    CrashHistory,
    PartCrash,
    is_answered_since,
    list_blocked_parts,
    list_recent_crashes,
    store_answer,
    store_block,
    store_crash,
    take_new_blocks,
)
from marjorambridge.forwarding.messages import CrashEntry, CrashReport, PartEntry

MILLISECONDS_PER_SECOND = 1_000
# Entries in one report, so that its datagram fits a packet of 1,500 bytes.
MAX_REPORT_ENTRIES = 35


def build_reports(
    host: str, crashes: list[PartCrash], answered: list[int], now: float
) -> list[CrashReport]:
    """Return reports of new crashes, and of suspects that were just answered."""
    reports = [
        CrashReport(host, True, crashes=tuple(_encode_crash(crash, now) for crash in part))
        for part in _split(crashes)
    ]
    return reports + [
        CrashReport(host, True, answered=tuple(PartEntry(part, 0) for part in entries))
        for entries in _split(answered)
    ]


def build_repeated_reports(host: str, history: CrashHistory, now: float) -> list[CrashReport]:
    """Return reports of recent crashes and of all blocked parts."""
    reports = [
        CrashReport(host, False, crashes=tuple(_encode_crash(crash, now) for crash in part))
        for part in _split(list_recent_crashes(history, now))
    ]
    return reports + [
        CrashReport(
            host,
            False,
            blocked=tuple(
                PartEntry(part, _encode_age(blocked_at, now)) for part, blocked_at in entries
            ),
        )
        for entries in _split(list_blocked_parts(history, now))
    ]


def _split(entries: list) -> list[list]:
    return [
        entries[first : first + MAX_REPORT_ENTRIES]
        for first in range(0, len(entries), MAX_REPORT_ENTRIES)
    ]


def _encode_crash(crash: PartCrash, now: float) -> CrashEntry:
    return CrashEntry(
        crash.part,
        crash.endpoint,
        crash.request,
        _encode_age(crash.at, now),
        crash.answered_before,
    )


def _encode_age(at: float, now: float) -> int:
    return round((now - at) * MILLISECONDS_PER_SECOND)


def _decode_age(milliseconds: int, now: float) -> float:
    return now - milliseconds / MILLISECONDS_PER_SECOND


def apply_report(
    history: CrashHistory, report: CrashReport, own_host: str, now: float
) -> CrashReport | None:
    """Apply the report of another host, and return the answer to it, if there is one.

    The answer names the parts that the other host suspects and that this host knows to be innocent,
    because a request with them was answered since.
    """
    suspected = []
    for entry in report.crashes:
        at = _decode_age(entry.age_milliseconds, now)
        suspected.append((entry.part, at))
        crash = PartCrash(entry.part, entry.endpoint, entry.request, at, entry.answered_before)
        store_crash(history, crash, now)
    for entry in report.blocked:
        at = _decode_age(entry.age_milliseconds, now)
        suspected.append((entry.part, at))
        store_block(history, entry.part, at, now)
    for entry in report.answered:
        at = _decode_age(entry.age_milliseconds, now)
        if store_answer(history, entry.part, at):
            log_cleared_part(entry.part, report.host)
    log_new_blocks(history)
    innocent = tuple(
        PartEntry(part, _encode_age(history.answered_at[part], now))
        for part, at in suspected
        if is_answered_since(history, part, at)
    )
    return CrashReport(own_host, False, answered=innocent) if innocent else None


def log_new_blocks(history: CrashHistory) -> None:
    """Log the parts that were blocked since the last call."""
    for part, suspect in take_new_blocks(history):
        logger.bind(
            parts=f"{part:x}",
            crashes=len(suspect.crashes),
            requests=len({crash.request for crash in suspect.crashes.values()}),
        ).warning("prompts with a part that crashes engines are refused")


def log_cleared_part(part: int, peer: str = "") -> None:
    """Log that a suspect part was answered, by this host or by the given one."""
    logger.bind(parts=f"{part:x}", peer=peer).info("a suspected part of prompts was answered")
