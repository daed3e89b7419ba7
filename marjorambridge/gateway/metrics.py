"""Serve the metrics of a process with the HTTP server of the gateway."""

from anyio.abc import TaskGroup

from marjorambridge.gateway import callers, exchanges
from marjorambridge.gateway.bodies import BodyMemory
from marjorambridge.gateway.exchanges import Exchange, Server
from marjorambridge.manifests.models import CallerLimits
from marjorambridge.telemetry.metrics import Metrics, render

METRICS_PATH = b"/metrics"
TEXT_FORMAT = (b"Content-Type", b"text/plain; version=0.0.4; charset=utf-8")
OK, NOT_FOUND = 200, 404


async def start_metrics_server(
    metrics: Metrics, memory: BodyMemory, tasks: TaskGroup, ip: str, port: int
) -> None:
    """Serve the metrics until the task group is cancelled; port 0 disables the server."""
    if port:
        server = Server(lambda exchange: _answer(metrics, exchange), CallerLimits, memory=memory)
        await callers.start_server(server, tasks, ip, port)


async def _answer(metrics: Metrics, exchange: Exchange) -> None:
    if exchange.target.partition(b"?")[0] != METRICS_PATH:
        await exchanges.send_answer(exchange, NOT_FOUND, [], b"")
        return
    await exchanges.send_answer(exchange, OK, [TEXT_FORMAT], render(metrics).encode())
