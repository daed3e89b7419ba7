"""Record which prompts engines answered or crashed under, and find those that are blocked."""

import time

from loguru import logger

from marjorambridge.forwarding.crashes import (
    find_blocked_part,
    list_shared_parts,
    record_answer,
    record_crash,
    start_test,
)
from marjorambridge.forwarding.state import Endpoint
from marjorambridge.gateway.crash_reports import log_cleared_part, log_new_blocks
from marjorambridge.gateway.messages import CallerRequest
from marjorambridge.gateway.state import Gateway

# Parts of a prompt in one log line, which bounds its length.
MAX_LOGGED_PARTS = 16


def is_blocked(gateway: Gateway, request: CallerRequest, may_test: bool) -> bool:
    """Return whether the prompt has a part that crashes engines.

    Parameters
    ----------
    may_test : bool
        Whether the request may be sent to an engine nevertheless, to test the part.
    """
    forwarding, now = gateway.forwarding, time.monotonic()
    history, host = forwarding.crashes, forwarding.settings.host
    part = find_blocked_part(history, request.prompt_parts, now)
    if part is None:
        return False
    if not may_test or not start_test(history, part, host, forwarding.hosts, now):
        return True
    logger.bind(request=request.request_id, parts=f"{part:x}").info(
        "a request tests whether a blocked part of prompts still crashes engines"
    )
    return False


def record_prompt_answer(gateway: Gateway, request: CallerRequest, now: float) -> None:
    """Record that an engine has begun to answer the prompt, so that its parts are innocent."""
    answered = record_answer(gateway.forwarding.crashes, request.prompt_parts, now)
    for part in answered:
        log_cleared_part(part)
    if answered:
        gateway.share_crashes([], answered)


def record_prompt_crash(
    gateway: Gateway, request: CallerRequest, endpoint: Endpoint, began_at: float, now: float
) -> None:
    """Record that an engine may have crashed because of the prompt.

    Parameters
    ----------
    began_at : float
        Monotonic time in seconds at which the attempt began.
    """
    history = gateway.forwarding.crashes
    incarnation = f"{endpoint.name}/{endpoint.born}"
    crashes = record_crash(
        history, request.prompt_parts, incarnation, request.request_id, began_at, now
    )
    if crashes:
        gateway.share_crashes(crashes, [])
    log_new_blocks(history)


def format_parts(parts: tuple[int, ...]) -> str:
    """Return the parts of a prompt that other requests may share, for a log line.

    Examples
    --------
    >>> format_parts((0x5C1E07A2, 0x91BD3F06, 0xE4402B7D))
    '5c1e07a2,91bd3f06'
    """
    return ",".join(f"{part:x}" for part in list_shared_parts(parts)[:MAX_LOGGED_PARTS])
