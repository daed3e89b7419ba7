"""Guard orders against late sending and against answers of another process."""

import asyncio
import json

import httpcore

from marjorambridge.http.orders import send_order
from marjorambridge.orders.effects import SendOrder
from marjorambridge.orders.events import OrderStatus
from marjorambridge.orders.messages import Order, OrderKind
from tests.http.helpers import serve_bytes

ORDER = Order(7, 3, OrderKind.SET_VERSION, "v2")


def answer(status, body):
    data = json.dumps(body).encode()
    return b"HTTP/1.1 %d X\r\ncontent-length: %d\r\n\r\n%s" % (status, len(data), data)


async def send(address, clock=lambda: 0.0, send_by=5.0, answer_timeout_seconds=5.0):
    host, _, port = address.rpartition(":")
    url = httpcore.URL(scheme=b"http", host=host.encode(), port=int(port), target=b"/v1/orders")
    effect = SendOrder("e1", 4, address, ORDER, send_by)
    async with httpcore.AsyncConnectionPool() as pool:
        return await send_order(pool, url, effect, clock, answer_timeout_seconds)


def run(reply, **options):
    async def exchange():
        async with serve_bytes(reply, close=bool(reply)) as (address, received):
            return await send(address, **options), received

    return asyncio.run(exchange())


def test_an_accepted_order_is_identified_with_its_incarnation():
    event, (request,) = run(answer(200, {"incarnation": 4}))
    assert event.status is OrderStatus.ACCEPTED
    assert (event.endpoint, event.incarnation, event.fencing, event.number) == ("e1", 4, 7, 3)
    body = json.loads(request.partition(b"\r\n\r\n")[2])
    assert body == {"order": "7:3", "fencing": 7, "kind": "load_version", "version": "v2"}


def test_refusals_and_other_processes_do_not_count_as_accepted():
    for reply in (answer(409, {"error": {}}), answer(200, {"incarnation": 5}), answer(200, {})):
        assert run(reply)[0].status is OrderStatus.REFUSED
    # An invalid status counts like one of the class 5xx, and not as accepted.
    assert run(answer(600, {"incarnation": 4}))[0].status is OrderStatus.REFUSED
    assert run(answer(99, {"incarnation": 4}))[0] is None


def test_nothing_is_written_after_the_lifetime():
    times = iter([4.9, 5.0, 5.0, 5.0])
    event, received = run(answer(200, {"incarnation": 4}), clock=lambda: next(times))
    assert event.status is OrderStatus.NOT_SENT and not received
    assert asyncio.run(send("127.0.0.1:9")).status is OrderStatus.NOT_SENT


def test_a_written_order_without_an_answer_has_no_event():
    """Guard also against a wait for the answer until the end of the order's lifetime."""
    event, received = run(b"", answer_timeout_seconds=0.01, send_by=1e6)
    assert event is None and len(received) == 1
