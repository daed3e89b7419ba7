"""Find out by trial connections whether this host reaches any endpoint."""

import time

import anyio
from loguru import logger

from marjorambridge.core.effects import Measure
from marjorambridge.forwarding.contact import (
    is_lost,
    needs_trial,
    plan_trial,
    record_connected,
    record_failed,
    record_trial,
)
from marjorambridge.forwarding.health import clear_failures_since
from marjorambridge.forwarding.state import Endpoint
from marjorambridge.gateway.state import Gateway, start_background


def note_failed(gateway: Gateway, endpoint: Endpoint, now: float) -> None:
    """Note that an endpoint failed, and start trial connections if the links may be the cause."""
    forwarding = gateway.forwarding
    record_failed(forwarding.contact, endpoint.name, now)
    is_due = needs_trial(forwarding.contact, len(forwarding.endpoints), now)
    if is_due and not gateway.is_trying and gateway.tasks is not None:
        gateway.is_trying = True
        start_background(gateway, lambda: _run_trials(gateway))


def note_connected(gateway: Gateway) -> None:
    """Note that a connection to an endpoint was opened, so that the failures of others count."""
    contact = gateway.forwarding.contact
    if contact.failed or is_lost(contact):
        lost_at = contact.lost_at
        _apply_contact(gateway, record_connected(contact), lost_at)


def _apply_contact(gateway: Gateway, confirmed: list[str], lost_at: float) -> None:
    """Report failures that are confirmed, or forget them if this host had reached no endpoint."""
    forwarding, now = gateway.forwarding, time.monotonic()
    if lost_at <= now:
        clear_failures_since(forwarding, lost_at)
        logger.bind(seconds=round(now - lost_at, 3)).info("this host reaches endpoints again")
    for name in confirmed:
        if name in forwarding.endpoints:
            gateway.share_load(forwarding.endpoints[name])


async def _run_trials(gateway: Gateway) -> None:
    """Open trial connections until one succeeds."""
    contact = gateway.forwarding.contact
    try:
        while contact.failed or is_lost(contact):
            now = time.monotonic()
            services = {
                service: list(endpoints)
                for service, endpoints in gateway.forwarding.by_service.items()
            }
            names = plan_trial(contact, services, now)
            reached = await _try_endpoints(gateway, names)
            _apply_trial(gateway, reached)
            if not is_lost(contact):
                return
            await anyio.sleep(max(0.0, contact.next_trial_at - time.monotonic()))
    finally:
        gateway.is_trying = False


def _apply_trial(gateway: Gateway, reached: bool) -> None:
    contact, now = gateway.forwarding.contact, time.monotonic()
    lost_at = contact.lost_at
    confirmed = record_trial(contact, reached, now)
    if not is_lost(contact):
        _apply_contact(gateway, confirmed, lost_at)
    elif lost_at > now:
        gateway.record_metric(Measure("contact_losses_total"))
        logger.bind(failed_endpoints=len(contact.failed)).warning(
            "this host reaches no endpoint; requests are passed on to other hosts"
        )


async def _try_endpoints(gateway: Gateway, names: list[str]) -> bool:
    """Return whether a connection to one of the endpoints can be opened."""
    reached: list[str] = []

    async def connect(name: str) -> None:
        endpoint = gateway.forwarding.endpoints.get(name)
        if endpoint is None:
            return
        try:
            await gateway.open_trial(endpoint.address)
        except (TimeoutError, OSError) as error:
            logger.bind(endpoint=name, error=repr(error)).debug("a trial connection failed")
            return
        reached.append(name)
        tasks.cancel_scope.cancel()

    async with anyio.create_task_group() as tasks:
        for name in names:
            tasks.start_soon(connect, name)
    return bool(reached)
