"""Answer the platform's readiness checks of a gateway."""

from marjorambridge.daemon.gateway import GatewayHost, is_ready
from marjorambridge.gateway import exchanges
from marjorambridge.gateway.exchanges import Exchange

READY_PATH = b"/api/readyz"
OK, NOT_FOUND, UNAVAILABLE = 200, 404, 503


async def handle_readiness(host: GatewayHost, exchange: Exchange) -> None:
    """Answer one readiness check."""
    if exchange.target.partition(b"?")[0] != READY_PATH:
        status = NOT_FOUND
    else:
        status = OK if is_ready(host) else UNAVAILABLE
    await exchanges.send_answer(exchange, status, [], b"")
