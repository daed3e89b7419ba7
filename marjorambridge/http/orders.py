"""Send orders to endpoints."""

import asyncio
from typing import Any

import httpcore
import msgspec

from marjorambridge.http.bodies import DECODE_ERRORS
from marjorambridge.orders.effects import SendOrder
from marjorambridge.orders.events import OrderAnswered, OrderStatus
from marjorambridge.orders.messages import OrderKind

ORDERS_PATH = "/v1/orders"
MAX_ANSWER_CHARACTERS = 500
# Kind and field of each order in the endpoint protocol.
ORDER_KINDS_AND_FIELDS = {
    OrderKind.LOAD_MODEL: ("load_model", "model"),
    OrderKind.UNLOAD_MODEL: ("unload_model", "model"),
    OrderKind.LOAD_ADAPTER: ("load_adapter", "adapter"),
    OrderKind.UNLOAD_ADAPTER: ("unload_adapter", "adapter"),
    OrderKind.SET_VERSION: ("load_version", "version"),
    OrderKind.SET_ROLE: ("set_role", "role"),
}


class OrderExpiredError(Exception):
    """The lifetime of an order ended before its first byte."""


def build_order_body(effect: SendOrder) -> bytes:
    """Return the body of an order."""
    order = effect.order
    kind, field = ORDER_KINDS_AND_FIELDS[order.kind]
    identifier = f"{order.fencing}:{order.number}"
    return msgspec.json.encode(
        {"order": identifier, "fencing": order.fencing, "kind": kind, field: order.name}
    )


def build_order_answered(
    effect: SendOrder, now: float, status: OrderStatus, text: str
) -> OrderAnswered:
    """Return the `OrderAnswered` event of an order."""
    order = effect.order
    return OrderAnswered(
        now, effect.endpoint, effect.incarnation, order.fencing, order.number, status, text
    )


async def send_order(
    pool: httpcore.AsyncConnectionPool,
    url: httpcore.URL,
    effect: SendOrder,
    clock: Any,
    answer_timeout_seconds: float,
) -> OrderAnswered | None:
    """Send an order before the end of its lifetime and wait for the answer.

    Returns
    -------
    OrderAnswered or None
        None if the endpoint may have received the order, but sent no usable answer.
    """
    loop = asyncio.get_running_loop()
    write_started = False
    time_limit = asyncio.timeout(max(0.0, effect.send_by - clock()))

    async def on_trace_event(name: str, info: dict[str, Any]) -> None:
        nonlocal write_started
        if name == "http11.send_request_headers.started":
            if clock() >= effect.send_by:
                raise OrderExpiredError
            write_started = True
        elif name == "http11.send_request_body.complete":
            time_limit.reschedule(loop.time() + answer_timeout_seconds)

    try:
        # Leaving the block by the timeout closes a connection that the order is being written to.
        async with time_limit:
            response = await pool.request(
                "POST",
                url,
                headers=[("host", effect.address), ("content-type", "application/json")],
                content=build_order_body(effect),
                extensions={"trace": on_trace_event},
            )
    except OrderExpiredError:
        return build_order_answered(effect, clock(), OrderStatus.NOT_SENT, "the lifetime has ended")
    except (
        TimeoutError,
        OSError,
        httpcore.NetworkError,
        httpcore.TimeoutException,
        httpcore.ProtocolError,
    ) as error:
        if write_started:
            return None
        return build_order_answered(effect, clock(), OrderStatus.NOT_SENT, type(error).__name__)
    return _read_answer(effect, clock(), response)


def _read_answer(effect: SendOrder, now: float, response: httpcore.Response) -> OrderAnswered:
    if response.status == 200:
        try:
            answer = msgspec.json.decode(response.content, type=dict[str, Any])
        except DECODE_ERRORS:
            answer = {}
        if answer.get("incarnation") == effect.incarnation:
            return build_order_answered(effect, now, OrderStatus.ACCEPTED, "")
        return build_order_answered(effect, now, OrderStatus.REFUSED, "another process answered")
    text = response.content.decode("utf-8", "replace")[:MAX_ANSWER_CHARACTERS]
    return build_order_answered(
        effect, now, OrderStatus.REFUSED, f"status {response.status}: {text}"
    )
