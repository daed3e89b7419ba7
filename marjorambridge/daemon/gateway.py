"""Run a gateway, the host that accepts callers' requests."""

import time
from collections.abc import Awaitable, Callable
from pathlib import Path

import anyio
from anyio.abc import TaskGroup
from loguru import logger
from msgspec import Struct
from msgspec.structs import replace

from marjorambridge.conf import nodes
from marjorambridge.conf.memory import MemoryShares, divide_memory
from marjorambridge.conf.nodes import NodeSettings
from marjorambridge.control import subscriber
from marjorambridge.control.events import FeedLost, FeedRegained, FleetUpdated
from marjorambridge.core import effects, events
from marjorambridge.core.exceptions import MarjorambridgeError
from marjorambridge.daemon import fleets, signals
from marjorambridge.daemon.runtime import Runtime, post, run_timers
from marjorambridge.forwarding.fleet import apply_endpoints, apply_manifest, apply_zones
from marjorambridge.forwarding.relays import get_relay_address
from marjorambridge.forwarding.settings import ForwardingSettings
from marjorambridge.forwarding.state import create_state
from marjorambridge.gateway import callers
from marjorambridge.gateway.bodies import BodyMemory
from marjorambridge.gateway.cuts import log_cut_requests
from marjorambridge.gateway.exchanges import Exchange, Server
from marjorambridge.gateway.messages import AnswerMemory, Dialect
from marjorambridge.gateway.metrics import start_metrics_server
from marjorambridge.gateway.observations import watch_slowdowns
from marjorambridge.gateway.relays import RELAY_HEADER_BYTES, encode_refusal
from marjorambridge.gateway.requests import handle_relayed_request, handle_request
from marjorambridge.gateway.sharing import (
    LoadSharing,
    close_sharing,
    mark_load_changed,
    queue_crashes,
    start_sharing,
)
from marjorambridge.gateway.state import Gateway
from marjorambridge.gateway.tickets import configure_tickets
from marjorambridge.manifests.models import CallerLimits, Manifest
from marjorambridge.node.gateway import GatewayNodeSettings, compose_gateway
from marjorambridge.scheduling.activation import SchedulingMode
from marjorambridge.telemetry import logs, metrics
from marjorambridge.transport import network

# The load balancer checks readiness once a second and removes a host after two failed checks. If
# half of a zone is removed, it uses all hosts again, so that new connections arrive until the host
# stops listening; a request that arrives later might not end within the grace time.
UNREADY_GRACE_SECONDS = 2.8
# Answers that are not complete this long before the end of the grace time are aborted.
GRACE_MARGIN_SECONDS = 0.4
# Requests that arrived during the grace time get a final answer this long before that.
FINAL_ANSWER_SECONDS = 0.2


class GatewayAdapter(Struct):
    """Functions that translate between the gateway and a platform.

    Attributes
    ----------
    decode_document : callable
        Returns the manifest of a stored document.
    handle_readiness : callable
        Answers a readiness check of the load balancer.
    """

    dialect: Dialect
    decode_document: Callable[[bytes], Manifest]
    handle_readiness: Callable[["GatewayHost", Exchange], Awaitable[None]]


class GatewayHost(Struct):
    """Running components of a gateway process."""

    settings: NodeSettings
    adapter: GatewayAdapter
    runtime: Runtime
    gateway: Gateway
    network: network.Network
    sharing: LoadSharing
    metrics: metrics.Metrics
    scope: anyio.CancelScope
    memory: MemoryShares
    body_memory: BodyMemory
    server: Server | None = None
    relays: Server | None = None
    readiness: Server | None = None
    stopping: bool = False


def run(settings: NodeSettings, path: Path, adapter: GatewayAdapter) -> int:
    """Run a gateway until a signal stops it and return the exit code."""
    anyio.run(_run, settings, path, adapter)
    return 0


async def _run(settings: NodeSettings, path: Path, adapter: GatewayAdapter) -> None:
    started_at = time.monotonic()
    async with anyio.create_task_group() as tasks:
        host = _create_host(settings, adapter, tasks.cancel_scope)
        try:
            await _start(host, path, tasks)
            logger.bind(
                address=nodes.get_peer_address(settings),
                seconds=round(time.monotonic() - started_at, 3),
            ).info("the gateway has started")
            await anyio.sleep_forever()
        finally:
            with anyio.CancelScope(shield=True):
                await close_sharing(host.sharing)
                await network.close(host.network)


def _create_host(
    settings: NodeSettings, adapter: GatewayAdapter, scope: anyio.CancelScope
) -> GatewayHost:
    address = nodes.get_peer_address(settings)
    incarnation = fleets.generate_incarnation()
    seeds = nodes.list_seed_peers(settings)
    node = compose_gateway(GatewayNodeSettings(address, settings.zone, seeds, incarnation))
    runtime = Runtime(node)
    bounds = settings.bounds
    forwarding = create_state(
        ForwardingSettings(
            host=address,
            zone=settings.zone,
            retry_ratio=bounds.retry_ratio,
            retry_window_seconds=bounds.retry_window_seconds,
            retry_allowance=bounds.retry_allowance,
            cold_overrun=bounds.cold_overrun,
            cold_allowance=bounds.cold_allowance,
            min_request_crashes=bounds.min_request_crashes,
            near_zones=nodes.list_near_zones(settings),
            scheduling=SchedulingMode(settings.scheduling),
        ),
        incarnation,
        started_at=time.monotonic(),
    )
    key = fleets.derive_fleet_key(settings)
    sharing = LoadSharing(forwarding, address, key)
    peers = network.Network(
        host=address,
        incarnation=incarnation,
        fleet=fleets.get_fleet_name(settings),
        fleet_key=key,
        address=address,
        resolve=lambda host: host,
        post=lambda event: post(runtime, event),
    )
    host_metrics = metrics.start()
    sharing.record_metric = lambda effect: metrics.record(host_metrics, effect)
    shares = divide_memory(settings.memory_megabytes)
    gateway = Gateway(
        forwarding,
        adapter.dialect,
        memory=AnswerMemory(shares.answers, shares.started_answers),
        record_metric=lambda effect: metrics.record(host_metrics, effect),
        share_load=lambda endpoint: mark_load_changed(sharing, endpoint),
        relay_key=key if nodes.has_relay_port(settings) else b"",
        share_crashes=lambda crashes, answered: queue_crashes(
            sharing, crashes, answered, time.monotonic()
        ),
    )
    return GatewayHost(
        settings,
        adapter,
        runtime,
        gateway,
        peers,
        sharing,
        host_metrics,
        scope,
        shares,
        BodyMemory(shares.bodies),
    )


async def _start(host: GatewayHost, path: Path, tasks: TaskGroup) -> None:
    await tasks.start(
        signals.watch_signals,
        lambda: tasks.start_soon(_shut_down, host),
        lambda: _end(host),
        lambda: _reload(host, path),
    )
    handlers = host.runtime.handlers
    configure_tickets(host.gateway, tasks, host.runtime.node.incarnation)
    handlers[effects.SendMessage] = lambda effect: network.send(
        host.network, effect.to, effect.message
    )
    handlers[effects.WriteLog] = logs.write
    handlers[effects.Measure] = lambda effect: host.gateway.record_metric(effect)
    handlers[effects.Notify] = lambda effect: _handle_notification(host, effect.event)
    await network.start(host.network, tasks, nodes.get_peer_address(host.settings))
    await start_sharing(host.sharing, tasks)
    tasks.start_soon(run_timers, host.runtime)
    tasks.start_soon(watch_slowdowns, host.gateway)
    host.server = Server(
        lambda exchange: handle_request(host.gateway, exchange),
        lambda: _get_limits(host),
        encode_error=host.adapter.dialect.encode_error,
        memory=host.body_memory,
        delivery_bytes=host.memory.deliveries,
        late_bytes=host.memory.started_answers,
    )
    host.relays = Server(
        lambda exchange: handle_relayed_request(host.gateway, exchange),
        lambda: _get_relay_limits(host),
        encode_error=lambda outcome: encode_refusal(host.adapter.dialect, outcome),
        memory=host.body_memory,
        delivery_bytes=host.memory.relay_deliveries,
    )
    host.readiness = Server(
        lambda exchange: host.adapter.handle_readiness(host, exchange),
        CallerLimits,
        memory=host.body_memory,
    )
    servers = [(host.readiness, host.settings.readiness), (host.server, host.settings.callers)]
    if host.gateway.relay_key:
        servers.append((host.relays, get_relay_address(nodes.get_peer_address(host.settings))))
    for server, address in servers:
        ip, _, port = address.rpartition(":")
        await callers.start_server(server, tasks, ip, int(port))
    post(host.runtime, events.Started(time.monotonic()))
    await start_metrics_server(
        host.metrics, host.body_memory, tasks, host.settings.ip, host.settings.metrics_port
    )
    tasks.start_soon(signals.watch_settings, path, lambda: _reload(host, path))


def _get_limits(host: GatewayHost) -> CallerLimits:
    table = host.gateway.forwarding.table
    return table.manifest.limits if table is not None else CallerLimits()


def _get_relay_limits(host: GatewayHost) -> CallerLimits:
    limits = _get_limits(host)
    return replace(limits, header_bytes=limits.header_bytes + RELAY_HEADER_BYTES)


def is_ready(host: GatewayHost) -> bool:
    """Return whether the host accepts new connections.

    A host that reaches no replica continues with its last state, so that only a host that has not
    received a manifest yet, or that is stopping, is not ready.
    """
    return host.gateway.forwarding.table is not None and not host.stopping


def _handle_notification(host: GatewayHost, event: events.Event) -> None:
    match event:
        case FleetUpdated():
            _apply_update(host, event)
        case FeedLost():
            logger.bind(seconds=round(event.unanswered_seconds, 3)).warning(
                "no replica answers; serving with what is known"
            )
        case FeedRegained():
            logger.bind(replica=event.replica).info("a replica answers")


def _apply_update(host: GatewayHost, event: FleetUpdated) -> None:
    forwarding = host.gateway.forwarding
    update = event.update
    if update.document:
        try:
            manifest = host.adapter.decode_document(update.document)
        except MarjorambridgeError as error:
            logger.bind(error=str(error), version=update.version).error(
                "a manifest can't be read; check that all hosts run the same version"
            )
        else:
            if apply_manifest(forwarding, manifest):
                logger.bind(version=manifest.version, applied=update.index).info(
                    "a manifest is in force"
                )
    if event.can_apply_endpoints:
        if update.changed or update.removed:
            logger.bind(
                changed=len(update.changed), removed=len(update.removed), applied=update.index
            ).info("the endpoints changed")
        apply_endpoints(forwarding, update, event.now)
    if event.can_apply_zones:
        if forwarding.drained != frozenset(update.drained):
            logger.bind(zones=",".join(update.drained), applied=update.index).info(
                "the drained zones changed"
            )
        apply_zones(forwarding, update, event.now)
    host.gateway.updated.set()
    host.gateway.updated = anyio.Event()
    if update.hosts:
        own = nodes.get_peer_address(host.settings)
        zones_by_host = dict(zip(update.hosts, update.host_zones, strict=True))
        forwarding.hosts = zones_by_host | {own: host.settings.zone}


def _reload(host: GatewayHost, path: Path) -> None:
    settings = signals.read_changed_settings(path)
    if settings is not None:
        state = host.runtime.node.parts["control"].state
        subscriber.replace_seeds(state, nodes.list_seed_peers(settings))


async def _shut_down(host: GatewayHost) -> None:
    """Report not ready, complete the requests in progress and end the process."""
    if host.server is None:
        _end(host)
        return
    started_at = time.monotonic()
    host.stopping = True
    servers = _list_servers(host)
    for server in servers:
        server.closing = True
    ends_at = started_at + host.settings.bounds.shutdown_grace_seconds - GRACE_MARGIN_SECONDS
    host.gateway.accepts_until = started_at + UNREADY_GRACE_SECONDS
    host.gateway.ends_at = ends_at - FINAL_ANSWER_SECONDS
    await anyio.sleep(UNREADY_GRACE_SECONDS)
    async with anyio.create_task_group() as draining:
        for server in servers:
            draining.start_soon(callers.drain_server, server, ends_at)
    _end(host)


def _list_servers(host: GatewayHost) -> list[Server]:
    """Return the servers of requests that have been started."""
    return [server for server in (host.server, host.relays) if server is not None]


def _end(host: GatewayHost) -> None:
    """End the process, which cuts the requests in progress."""
    cut = log_cut_requests(_list_servers(host), time.monotonic())
    logger.bind(cut=cut).info("the gateway has stopped")
    host.scope.cancel()
