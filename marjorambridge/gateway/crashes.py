"""Record which requests engines answered or crashed under, and find those that are blocked."""

import time

from loguru import logger

from marjorambridge.forwarding.causes import (
    hash_prompt,
    identify_request,
    is_whole_request,
    list_causes,
    list_shared_parts,
)
from marjorambridge.forwarding.crashes import (
    estimate_block_seconds,
    find_blocked_cause,
    record_answer,
    record_crash,
    start_test,
)
from marjorambridge.forwarding.state import Endpoint
from marjorambridge.gateway.crash_reports import (
    format_cause,
    log_cleared_cause,
    log_new_blocks,
)
from marjorambridge.gateway.messages import CallerRequest
from marjorambridge.gateway.state import Gateway

# Parts of a prompt in one log line, which bounds its length.
MAX_LOGGED_PARTS = 16


def find_causes(request: CallerRequest, workspace: str) -> tuple[int, ...]:
    """Return what may crash engines in a request, see `marjorambridge.forwarding.causes`.

    Parameters
    ----------
    workspace : str
        Name of the caller's workspace; empty if the route needs no key.
    """
    caller = workspace or request.key
    whole = identify_request(
        request.method, request.target, request.host_name, caller, request.body
    )
    return list_causes(whole, request.prompt_parts)


def is_blocked(
    gateway: Gateway, request: CallerRequest, causes: tuple[int, ...], may_test: bool
) -> bool:
    """Return whether the request crashes engines, or has a part that does.

    Parameters
    ----------
    may_test : bool
        Whether the request may be sent to an engine nevertheless, to test the cause.
    """
    forwarding, now = gateway.forwarding, time.monotonic()
    history, host = forwarding.crashes, forwarding.settings.host
    cause = find_blocked_cause(history, causes, now)
    if cause is None:
        return False
    if not may_test or not start_test(history, cause, host, forwarding.hosts, now):
        return True
    logger.bind(request=request.request_id, cause=format_cause(cause)).info(
        "a request tests whether a blocked cause still crashes engines"
    )
    return False


def find_block(gateway: Gateway, causes: tuple[int, ...]) -> tuple[str, float] | None:
    """Return why a request is blocked and in how many seconds it may come again, or None."""
    history, now = gateway.forwarding.crashes, time.monotonic()
    cause = find_blocked_cause(history, causes, now)
    if cause is None:
        return None
    reason = "blocked_request" if is_whole_request(cause) else "blocked_part"
    return reason, estimate_block_seconds(history, cause, now)


def record_first_answer(gateway: Gateway, causes: tuple[int, ...], now: float) -> None:
    """Record that an engine has begun to answer a request, so that its causes are innocent."""
    answered = record_answer(gateway.forwarding.crashes, causes, now)
    for cause in answered:
        log_cleared_cause(cause)
    if answered:
        gateway.share_crashes([], answered)


def record_possible_crash(
    gateway: Gateway,
    request: CallerRequest,
    causes: tuple[int, ...],
    endpoint: Endpoint,
    began_at: float,
    now: float,
) -> None:
    """Record that an engine may have crashed because of a request.

    Parameters
    ----------
    began_at : float
        Monotonic time in seconds at which the attempt began.
    """
    history = gateway.forwarding.crashes
    prompt = hash_prompt(causes[0], request.prompt_parts)
    incarnation = f"{endpoint.name}/{endpoint.born}"
    crashes = record_crash(history, causes, prompt, incarnation, began_at, now)
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
