"""Reserve, renew and release memory of engines for one request."""

import math
import time

import anyio
from anyio.abc import TaskGroup
from loguru import logger
from msgspec import Struct, field

from marjorambridge.conf import defaults
from marjorambridge.core.effects import Measure
from marjorambridge.forwarding.attempts import AttemptOutcome
from marjorambridge.forwarding.reservations import MemoryShare
from marjorambridge.gateway.hints import apply_answer_hints
from marjorambridge.gateway.messages import AttemptResult, HelperDialect
from marjorambridge.gateway.orders import send_order
from marjorambridge.gateway.state import Gateway, start_background

ACCEPTED = 200


class TicketSet(Struct):
    """Store the tickets of one request; a ticket identifies a reservation on one engine.

    Attributes
    ----------
    held : dict of str to MemoryShare
        Share of each requested ticket.
    refused : set of str
        Tickets that were not granted.
    has_unanswered_order : bool
        Whether an order was cancelled or not answered, so that it may still be executed.
    """

    gateway: Gateway
    request_id: str
    held: dict[str, MemoryShare] = field(default_factory=dict)
    refused: set[str] = field(default_factory=set)
    has_unanswered_order: bool = False


async def reserve(tickets: TicketSet, shares: list[MemoryShare]) -> bool:
    """Reserve all shares or none, and return whether they are reserved."""
    try:
        async with anyio.create_task_group() as tasks:
            for share in shares:
                tasks.start_soon(_reserve_share, tickets, share)
    except anyio.get_cancelled_exc_class():
        start_release(tickets)
        raise
    if not tickets.refused:
        return True
    await release(tickets)
    return False


async def _reserve_share(tickets: TicketSet, share: MemoryShare) -> None:
    gateway = tickets.gateway
    gateway.ticket_count += 1
    ticket = f"{gateway.ticket_prefix}-{gateway.ticket_count}"
    # The ticket counts as held before the order is answered, so that it is released in any case.
    tickets.held[ticket] = share
    share.endpoint.load.kv_tokens += share.tokens
    if not await _order_reservation(tickets, ticket, share):
        tickets.refused.add(ticket)


async def _order_reservation(tickets: TicketSet, ticket: str, share: MemoryShare) -> bool:
    order = _get_helper_dialect(tickets).encode_reservation(
        ticket, share.tokens, defaults.TICKET_LEASE_SECONDS
    )
    try:
        result = await _send_order(tickets.gateway, tickets.request_id, share, order)
    except anyio.get_cancelled_exc_class():
        tickets.has_unanswered_order = True
        raise
    if result.head is None:
        tickets.has_unanswered_order |= result.outcome is not AttemptOutcome.NOT_SENT
    accepted = result.head is not None and result.head.status == ACCEPTED
    logger.bind(
        request=tickets.request_id,
        endpoint=share.endpoint.name,
        ticket=ticket,
        kv_tokens=share.tokens,
        status=result.head.status if result.head else 0,
        outcome="reserved" if accepted else "refused",
        detail=result.detail,
    ).info("an order for memory ended")
    return accepted


def _get_helper_dialect(tickets: TicketSet) -> HelperDialect:
    helpers = tickets.gateway.dialect.helpers
    assert helpers is not None, "only dialects with helpers split prompts"
    return helpers


async def _send_order(
    gateway: Gateway, request_id: str, share: MemoryShare, order: tuple[bytes, bytes]
) -> AttemptResult:
    gateway.record_metric(Measure("memory_orders_total"))
    return await send_order(
        gateway,
        share.endpoint,
        order,
        lambda head: apply_answer_hints(gateway, share.endpoint, request_id, head),
    )


async def renew_tickets(tickets: TicketSet) -> None:
    """Renew the leases until cancelled; engines abort a request whose lease expires."""
    async with anyio.create_task_group() as tasks:
        for ticket, share in tickets.held.items():
            tasks.start_soon(_renew_ticket, tickets, ticket, share)


async def _renew_ticket(tickets: TicketSet, ticket: str, share: MemoryShare) -> None:
    """Renew a lease; after an order that was lost or refused, try again until the lease ends."""
    while True:
        ends_at = time.monotonic() + defaults.TICKET_LEASE_SECONDS
        await anyio.sleep(defaults.TICKET_RENEWAL_SECONDS)
        while not await _order_reservation(tickets, ticket, share) and time.monotonic() < ends_at:
            await anyio.sleep(defaults.TICKET_RETRY_SECONDS)


async def release(tickets: TicketSet) -> None:
    """Release all tickets; after an unanswered order, repeat the release in the background."""
    held, tickets.held = tickets.held, {}
    refused, tickets.refused = tickets.refused, set()
    for share in held.values():
        share.endpoint.load.kv_tokens = max(0, share.endpoint.load.kv_tokens - share.tokens)
    with anyio.CancelScope(shield=True):
        async with anyio.create_task_group() as tasks:
            for ticket, share in held.items():
                if ticket not in refused or tickets.has_unanswered_order:
                    tasks.start_soon(_release_ticket, tickets, ticket, share)
    if tickets.has_unanswered_order and held:
        start_background(tickets.gateway, lambda: _repeat_release(tickets, held))


def start_release(tickets: TicketSet) -> None:
    """Release all tickets in the background, so that an answer need not wait for it."""
    if tickets.held:
        start_background(tickets.gateway, lambda: release(tickets))


async def _release_ticket(tickets: TicketSet, ticket: str, share: MemoryShare) -> None:
    order = _get_helper_dialect(tickets).encode_release(ticket)
    result = await _send_order(tickets.gateway, tickets.request_id, share, order)
    if result.head is None:
        tickets.has_unanswered_order = True


async def _repeat_release(tickets: TicketSet, held: dict[str, MemoryShare]) -> None:
    for _ in range(
        math.ceil(defaults.LATE_ORDER_WINDOW_SECONDS / defaults.TICKET_RELEASE_INTERVAL_SECONDS)
    ):
        await anyio.sleep(defaults.TICKET_RELEASE_INTERVAL_SECONDS)
        for ticket, share in held.items():
            await _release_ticket(tickets, ticket, share)


def list_helpers(tickets: TicketSet, addresses: list[str]) -> tuple[str, ...]:
    """Return the helpers of a request with their tickets, in the encoding of the platform."""
    by_address = {share.endpoint.address: ticket for ticket, share in tickets.held.items()}
    if not by_address and not addresses:
        return ()
    encode = _get_helper_dialect(tickets).encode_helper
    ticketed = [encode(address, ticket) for address, ticket in by_address.items()]
    plain = [encode(address, "") for address in addresses if address not in by_address]
    return (*ticketed, *plain)


def configure_tickets(gateway: Gateway, tasks: TaskGroup, incarnation: int) -> None:
    """Set up a gateway to reserve memory; its tickets are unique to this process."""
    gateway.tasks = tasks
    gateway.ticket_prefix = f"{incarnation:x}"
    gateway.attempt_prefix = f"{gateway.forwarding.settings.host}:{incarnation}"
