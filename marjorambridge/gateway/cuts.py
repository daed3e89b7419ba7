"""Log the requests that the end of the process cuts, and the answers that it leaves."""

from collections.abc import Iterable

import h11
from loguru import logger

from marjorambridge.gateway.delivery import Delivery, count_undelivered_bytes
from marjorambridge.gateway.exchanges import Exchange, Server
from marjorambridge.gateway.streams import count_unacknowledged_bytes, count_unsent_bytes

# Requests that are logged one by one; the others are counted.
MAX_CUT_LINES = 50


def log_cut_requests(servers: Iterable[Server], now: float) -> int:
    """Log the requests in progress, which end with the process, and return their number."""
    servers = list(servers)
    exchanges = [exchange for server in servers for exchange in server.exchanges]
    exchanges.sort(key=lambda exchange: exchange.arrived_at)
    for exchange in exchanges[:MAX_CUT_LINES]:
        log_cut_request(exchange, now)
    if len(exchanges) > MAX_CUT_LINES:
        logger.bind(cut=len(exchanges) - MAX_CUT_LINES).warning(
            "further requests are cut, because the process ends"
        )
    cut = {exchange.delivery for exchange in exchanges}
    _log_undelivered(
        [delivery for server in servers for delivery in server.deliveries if delivery not in cut],
        now,
    )
    return len(exchanges)


def _log_undelivered(deliveries: list[Delivery], now: float) -> None:
    """Log the complete answers that only the kernel can deliver after the end of the process."""
    sizes = {delivery: count_undelivered_bytes(delivery.stream) for delivery in deliveries}
    undelivered = [delivery for delivery, size in sizes.items() if size]
    for delivery in undelivered[:MAX_CUT_LINES]:
        logger.bind(
            request=delivery.request_id,
            seconds=round(now - delivery.arrived_at, 3),
            unacknowledged_bytes=sizes[delivery],
        ).warning("an answer is not delivered when the process ends")
    if len(undelivered) > MAX_CUT_LINES:
        logger.bind(requests=len(undelivered) - MAX_CUT_LINES).warning(
            "further answers are not delivered when the process ends"
        )


def log_cut_request(exchange: Exchange, now: float) -> None:
    """Log what a request that is cut was doing, and what its caller did not get."""
    logger.bind(
        request=exchange.request_id,
        state=name_state(exchange),
        seconds=round(now - exchange.arrived_at, 3),
        silent_seconds=round(now - (exchange.written_at or exchange.arrived_at), 3),
        unsent_bytes=count_unsent_bytes(exchange.stream),
        unacknowledged_bytes=count_unacknowledged_bytes(exchange.stream),
    ).warning("a request is cut, because the process ends")


def name_state(exchange: Exchange) -> str:
    """Return what a request is doing."""
    if exchange.is_complete:
        return "written"
    if exchange.has_head:
        return "streaming"
    if exchange.connection.their_state is h11.IDLE:
        return "reading the head"
    if exchange.connection.their_state is h11.SEND_BODY:
        return "reading the body"
    return "waiting for an answer"
