"""Define the state of a running host."""

from typing import Any

import anyio
from msgspec import Struct, field

from marjorambridge.conf.settings import HostSettings
from marjorambridge.configuration.state import CommandAnswer
from marjorambridge.daemon.runtime import Runtime
from marjorambridge.http.endpoints import EndpointDriver
from marjorambridge.http.registry import RequestRegistry
from marjorambridge.http.servers import HttpServer
from marjorambridge.storage.worker import StorageWorker
from marjorambridge.telemetry.metrics import Metrics
from marjorambridge.telemetry.traces import Traces
from marjorambridge.transport.network import Network


class Waiter(Struct):
    """A connection that waits for the answer of a command."""

    event: anyio.Event = field(default_factory=anyio.Event)
    answer: CommandAnswer | None = None


class PendingCommands(Struct):
    """Operators' connections that wait for an answer, by command identifier."""

    waiting: dict[str, list[Waiter]] = field(default_factory=dict)


class Host(Struct):
    """Running components of one host.

    Attributes
    ----------
    drained : anyio.Event
        Set when a shutdown has ended all requests.
    cut : int
        Number of requests that the shutdown aborted.
    leaders : dict
        Last leader and term of each log group.
    """

    settings: HostSettings
    incarnation: int
    runtime: Runtime
    registry: RequestRegistry
    network: Network
    metrics: Metrics
    pending_commands: PendingCommands
    endpoints: EndpointDriver | None = None
    storage: StorageWorker | None = None
    traces: Traces | None = None
    servers: list[HttpServer] = field(default_factory=list)
    fresh_until: float = float("-inf")
    configuration: Any = None
    leaders: dict[int, tuple[str, int]] = field(default_factory=dict)
    shutting_down: bool = False
    drained: anyio.Event = field(default_factory=anyio.Event)
    cut: int = 0
