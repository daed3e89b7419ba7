"""Test the reservation of memory for one request on several engines."""

import json

import anyio
import pytest

from marjorambridge.conf import defaults
from marjorambridge.forwarding.reservations import MemoryShare
from marjorambridge.gateway.tickets import (
    TicketSet,
    list_helpers,
    release,
    renew_tickets,
    reserve,
)
from marjorambridge.manifests.models import Execution

from .helpers import answer, make_manifest, run_gateway

MANIFEST = make_manifest(Execution.STREAM, 2, True)
GRANT = answer(b"200 OK", b"Content-Length: 0\r\n", b"")
REFUSE = answer(b"409 Conflict", b"Content-Length: 0\r\n", b"")


async def never_answer(endpoint, stream, head):
    await anyio.sleep(30)


def list_orders(harness):
    return [
        [json.loads(request.partition(b"\r\n\r\n")[2]) for request in endpoint.requests]
        for endpoint in harness.endpoints
    ]


def make_shares(harness, tokens=1000):
    return [MemoryShare(e, tokens) for e in harness.gateway.forwarding.endpoints.values()]


def count_kv_tokens(harness):
    return sum(e.load.kv_tokens for e in harness.gateway.forwarding.endpoints.values())


def test_tickets_are_granted_listed_and_released():
    """Guard against memory that stays reserved after the request, and against reused tickets."""

    async def scenario():
        async with run_gateway(MANIFEST, GRANT, GRANT) as harness:
            harness.gateway.ticket_prefix = "p"
            tickets = TicketSet(harness.gateway, "id-1")
            assert await reserve(tickets, make_shares(harness))
            addresses = [f"127.0.0.1:{endpoint.port}" for endpoint in harness.endpoints]
            helpers = list_helpers(tickets, [*addresses, "10.0.0.9:80"])
            names = {order["id"] for orders in list_orders(harness) for order in orders}
            assert len(names) == 2 and helpers[-1] == "10.0.0.9:80"
            assert {helper.rpartition("/")[2] for helper in helpers[:2]} == names
            assert count_kv_tokens(harness) == 2000
            await release(tickets)
            assert count_kv_tokens(harness) == 0
            for orders in list_orders(harness):
                assert [order["op"] for order in orders] == ["reserve", "release"]
                assert len({order["id"] for order in orders}) == 1

    anyio.run(scenario)


@pytest.mark.parametrize("second", [REFUSE, never_answer], ids=["refused", "unanswered"])
def test_tickets_are_granted_all_or_none(second, monkeypatch):
    """Guard against a prompt that keeps part of its memory while it waits for the rest."""
    monkeypatch.setattr(defaults, "TICKET_RELEASE_INTERVAL_SECONDS", 0.05)
    monkeypatch.setattr(defaults, "LATE_ORDER_WINDOW_SECONDS", 0.2)
    monkeypatch.setattr(defaults, "ORDER_TIMEOUT_SECONDS", 0.1)

    async def scenario():
        async with run_gateway(MANIFEST, GRANT, second) as harness:
            tickets = TicketSet(harness.gateway, "id-1")
            assert not await reserve(tickets, make_shares(harness))
            assert not tickets.held and count_kv_tokens(harness) == 0
            orders = list_orders(harness)
            assert [order["op"] for order in orders[0]][:2] == ["reserve", "release"]
            if second is never_answer:
                # The order may still be executed, so the release is repeated.
                await anyio.sleep(1.2)
                again = [order["op"] for order in list_orders(harness)[1]]
                assert again[0] == "reserve" and again.count("release") >= 3

    anyio.run(scenario)


def test_an_order_that_is_cancelled_is_released_repeatedly(monkeypatch):
    """Guard against memory that is reserved late, for a request that has ended meanwhile."""
    monkeypatch.setattr(defaults, "TICKET_RELEASE_INTERVAL_SECONDS", 0.05)
    monkeypatch.setattr(defaults, "LATE_ORDER_WINDOW_SECONDS", 0.2)

    async def answer_releases(endpoint, stream, head):
        if b'"reserve"' in endpoint.requests[-1]:
            await anyio.sleep(30)
        await GRANT(endpoint, stream, head)

    async def scenario():
        async with run_gateway(MANIFEST, answer_releases) as harness:
            tickets = TicketSet(harness.gateway, "id-1")
            with anyio.move_on_after(0.1):
                await reserve(tickets, make_shares(harness))
            await release(tickets)
            await anyio.sleep(0.5)
            (orders,) = [[order["op"] for order in orders] for orders in list_orders(harness)]
            assert orders[0] == "reserve" and orders.count("release") >= 3
            assert count_kv_tokens(harness) == 0

    anyio.run(scenario)


def test_leases_are_renewed_while_the_request_runs(monkeypatch):
    """Guard against a request that is aborted because its lease expired."""
    monkeypatch.setattr(defaults, "TICKET_RENEWAL_SECONDS", 0.05)

    async def scenario():
        async with run_gateway(MANIFEST, GRANT) as harness:
            tickets = TicketSet(harness.gateway, "id-1")
            assert await reserve(tickets, make_shares(harness))
            with anyio.move_on_after(0.3):
                await renew_tickets(tickets)
            await release(tickets)
            (orders,) = list_orders(harness)
            assert [order["op"] for order in orders].count("reserve") >= 3
            assert len({order["id"] for order in orders}) == 1
            assert all(order.get("hold_ms", 0) < 4000 for order in orders)
            assert orders[-1]["op"] == "release"

    anyio.run(scenario)


def test_a_renewal_that_is_lost_is_repeated_before_the_lease_ends(monkeypatch):
    """Guard against a request that is aborted because one order was lost."""
    monkeypatch.setattr(defaults, "TICKET_LEASE_SECONDS", 0.8)
    monkeypatch.setattr(defaults, "TICKET_RENEWAL_SECONDS", 0.4)
    monkeypatch.setattr(defaults, "TICKET_RETRY_SECONDS", 0.06)
    monkeypatch.setattr(defaults, "ORDER_TIMEOUT_SECONDS", 0.1)
    granted, lost = [], []

    async def lose_second_order(endpoint, stream, head):
        if len(endpoint.requests) == 2:
            lost.append(anyio.current_time())
            await anyio.sleep(30)
        granted.append(anyio.current_time())
        await GRANT(endpoint, stream, head)

    async def scenario():
        async with run_gateway(MANIFEST, lose_second_order) as harness:
            tickets = TicketSet(harness.gateway, "id-1")
            assert await reserve(tickets, make_shares(harness))
            with anyio.move_on_after(1.5):
                await renew_tickets(tickets)
            pauses = [after - before for before, after in zip(granted, granted[1:], strict=False)]
            assert lost and len(granted) > 2
            assert max(pauses) < defaults.TICKET_LEASE_SECONDS

    anyio.run(scenario)
