"""Start and close one host: its reducer, its timers and all drivers."""

import time
from pathlib import Path

import anyio
import anyio.to_thread
from anyio.abc import TaskGroup
from loguru import logger

from marjorambridge.claims.events import WallClockRead
from marjorambridge.conf import defaults
from marjorambridge.conf.settings import HostSettings
from marjorambridge.configuration.models import find_service
from marjorambridge.core import effects, events
from marjorambridge.daemon import runtime as driver
from marjorambridge.daemon.identity import (
    create_incarnation,
    derive_node_settings,
    is_replica,
    read_fleet_key,
)
from marjorambridge.daemon.operators import build_callbacks, deliver_answer
from marjorambridge.daemon.recording import RecordingHeader, open_recording
from marjorambridge.daemon.runtime import Runtime, post, run_timers
from marjorambridge.daemon.state import Host, PendingCommands
from marjorambridge.http import admin, callers
from marjorambridge.http.endpoints import (
    close_driver,
    create_driver,
    execute_effect,
    start_driver,
)
from marjorambridge.http.registry import RequestRegistry, deliver_effect
from marjorambridge.http.servers import (
    HttpServer,
    abort_connections,
    close_server,
    start_server,
)
from marjorambridge.http.settings import CallerSettings
from marjorambridge.limits.effects import CancelHostOnEndpoint, CancelOnEndpoint
from marjorambridge.membership.events import CommandAnswered
from marjorambridge.node.composition import compose_node
from marjorambridge.orders.effects import SendOrder
from marjorambridge.replication.effects import (
    SaveCluster,
    SaveEntries,
    SaveSnapshot,
    SaveVote,
    SyncStorage,
)
from marjorambridge.replication.events import LeadershipChanged, RepairStatus, ReplicaHalted
from marjorambridge.requests.effects import (
    CancelAttempt,
    FinishRequest,
    ForwardChunk,
    ForwardHeaders,
    StartAttempt,
)
from marjorambridge.requests.events import Drained, LoopDelayMeasured
from marjorambridge.routing.prefixes import compute_prefix
from marjorambridge.storage import worker
from marjorambridge.storage.stores import open_store
from marjorambridge.telemetry import logs, metrics
from marjorambridge.telemetry import traces as spans
from marjorambridge.transport import network

WALL_CLOCK_INTERVAL_SECONDS = 1.0
# Least time to write the last answers after the reducer has reported that it is drained.
FLUSH_TIMEOUT_SECONDS = 2.0
FLUSH_CHECK_INTERVAL_SECONDS = 0.1
DEFAULT_BYTES_PER_TOKEN = 3.0


async def start(settings: HostSettings, tasks: TaskGroup) -> Host:
    """Start all components and return once the host listens on its addresses.

    Raises
    ------
    SettingsError
        If the fleet key can't be used.
    StorageError
        If the data folder can't be used.
    OSError
        If an address can't be bound.
    """
    incarnation = create_incarnation()
    node_settings = derive_node_settings(settings, incarnation)
    fleet_key = read_fleet_key(Path(settings.fleet_key_file))
    store, recovered = None, None
    if is_replica(settings):
        store, recovered = await anyio.to_thread.run_sync(open_store, Path(settings.data_folder))
    now = time.monotonic()
    node, recovery = compose_node(node_settings, recovered, now)
    runtime = Runtime(node)
    host = _create_host(settings, incarnation, runtime, fleet_key)
    if settings.record_file:
        recording_header = RecordingHeader(node_settings, recovered, now)
        runtime.record = open_recording(Path(settings.record_file), recording_header)
    if store is not None:
        host.storage = worker.StorageWorker(
            store,
            lambda event: post(runtime, event),
            lambda effect: metrics.record(host.metrics, effect),
        )
    if settings.log.trace_file:
        host.traces = spans.start(Path(settings.log.trace_file), settings.host)
    host.endpoints = create_driver(host.registry, lambda event: post(runtime, event))
    _connect_handlers(host)
    await network.start(host.network, tasks, settings.addresses.peer)
    await start_driver(host.endpoints)
    if host.storage is not None:
        tasks.start_soon(worker.run, host.storage)
    tasks.start_soon(run_timers, runtime)
    tasks.start_soon(_read_wall_clock, runtime)
    tasks.start_soon(_measure_loop_delay, runtime)
    await _start_servers(host)
    post(runtime, WallClockRead(now, time.time()))
    for effect in recovery:
        driver.apply_recovery(runtime, effect)
    post(runtime, events.Started(time.monotonic()))
    logger.bind(incarnation=incarnation, has_replica=store is not None).info("the host has started")
    return host


def _create_host(
    settings: HostSettings, incarnation: int, runtime: Runtime, fleet_key: bytes
) -> Host:
    addresses = {replica.host: replica.address for replica in settings.replicas}

    def resolve(name: str) -> str | None:
        view = runtime.node.parts["membership"].state.host.control.view
        entry = view.hosts.get(name)
        return entry.address if entry is not None else addresses.get(name)

    peers = network.Network(
        host=settings.host,
        incarnation=incarnation,
        fleet=settings.fleet,
        fleet_key=fleet_key,
        address=settings.addresses.advertised_peer or settings.addresses.peer,
        resolve=resolve,
        post=lambda event: post(runtime, event),
    )
    return Host(
        settings=settings,
        incarnation=incarnation,
        runtime=runtime,
        registry=RequestRegistry(),
        network=peers,
        metrics=metrics.start(),
        pending_commands=PendingCommands(),
    )


def _connect_handlers(host: Host) -> None:
    handlers = host.runtime.handlers
    handlers[effects.SendMessage] = lambda effect: network.send(
        host.network, effect.to, effect.message
    )
    handlers[effects.WriteLog] = logs.write
    handlers[effects.Measure] = lambda effect: metrics.record(host.metrics, effect)
    handlers[effects.Notify] = lambda effect: _handle_notification(host, effect.event)
    handlers[effects.RecordSpan] = lambda effect: _record_span(host, effect)
    for kind in (StartAttempt, CancelAttempt, CancelOnEndpoint, CancelHostOnEndpoint, SendOrder):
        handlers[kind] = lambda effect: execute_effect(host.endpoints, effect)
    for kind in (ForwardHeaders, ForwardChunk, FinishRequest):
        handlers[kind] = lambda effect: deliver_effect(host.registry, effect)
    for kind in (SaveCluster, SaveVote, SaveEntries, SaveSnapshot, SyncStorage):
        handlers[kind] = lambda effect: worker.enqueue_effect(host.storage, effect)


def _record_span(host: Host, effect: effects.RecordSpan) -> None:
    if host.traces is not None:
        spans.record(host.traces, effect)


def _handle_notification(host: Host, event: events.Event) -> None:
    match event:
        case events.FreshnessChanged():
            host.fresh_until = event.fresh_until
        case events.ConfigurationApplied():
            host.configuration = event.configuration
        case CommandAnswered():
            deliver_answer(host.pending_commands, event)
        case Drained():
            host.cut = event.cut
            host.drained.set()
            logger.bind(ended=event.ended, cut=event.cut).info("the host is drained")
        case LeadershipChanged():
            _count_leader_change(host, event)
            logger.bind(group=event.group, leader=event.leader, term=event.term).info(
                "the leader of a log group changed"
            )
        case RepairStatus():
            logger.bind(group=event.group, replica=event.host, stage=event.stage.value).info(
                "the repair of a replica reached a new stage"
            )
        case ReplicaHalted():
            logger.bind(reason=event.reason).error(
                "the replica stopped; check the disk of data_folder, then restart the process"
            )


def _count_leader_change(host: Host, event: LeadershipChanged) -> None:
    # The event is also published when a known leader has committed an entry of its term.
    leader = (event.leader, event.term)
    if event.leader and host.leaders.get(event.group) != leader:
        host.leaders[event.group] = leader
        labels = {"group": str(event.group)}
        metrics.record(host.metrics, effects.Measure("leader_changes_total", 1.0, labels))


async def _start_servers(host: Host) -> None:
    def find_bytes_per_token(model: str) -> float:
        service = find_service(host.configuration, model) if host.configuration else None
        return service.bytes_per_token if service else DEFAULT_BYTES_PER_TOKEN

    def choose_trace(header: str, identifier: str) -> str:
        if host.traces is None:
            return ""
        return spans.choose_trace(header, identifier, host.settings.log.trace_ratio)

    limits = CallerSettings(
        max_body_bytes=host.settings.requests.max_body_bytes,
        announcement_token_hashes=host.settings.announcement_token_hashes,
    )
    applications = {
        host.settings.addresses.callers: callers.build_application(
            host.registry,
            lambda event: post(host.runtime, event),
            limits,
            compute_prefix,
            find_bytes_per_token,
            choose_trace=choose_trace,
            is_shutting_down=lambda: host.shutting_down,
        ),
        host.settings.addresses.admin: admin.build_application(build_callbacks(host)),
    }
    for address, application in applications.items():
        ip, _, port = address.rpartition(":")
        server = await start_server(
            application,
            ip.strip("[]"),
            int(port),
            delivery_timeout_seconds=host.settings.requests.max_timeout_seconds,
        )
        host.servers.append(server)


async def _measure_loop_delay(runtime: Runtime) -> None:
    while True:
        due = time.monotonic() + defaults.LOOP_DELAY_INTERVAL_SECONDS
        await anyio.sleep(defaults.LOOP_DELAY_INTERVAL_SECONDS)
        now = time.monotonic()
        if now - due > defaults.MAX_LOOP_DELAY_SECONDS:
            post(runtime, LoopDelayMeasured(now, now - due))


async def _read_wall_clock(runtime: Runtime) -> None:
    while True:
        await anyio.sleep(WALL_CLOCK_INTERVAL_SECONDS)
        post(runtime, WallClockRead(time.monotonic(), time.time()))


def request_shutdown(host: Host, forced: bool) -> None:
    """Begin a graceful shutdown, or abort the requests in progress if it is forced."""
    host.shutting_down = True
    logger.bind(forced=forced).info("shutdown was requested")
    post(host.runtime, events.ShutdownRequested(time.monotonic(), forced))


async def close(host: Host) -> None:
    """Wait until callers have received the last answers, and close all drivers."""
    caller_server, *other_servers = host.servers
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(_abort_late_answers, host, caller_server)
        await close_server(caller_server, drain_seconds=None)
        tasks.cancel_scope.cancel()
    for server in other_servers:
        await close_server(server, FLUSH_TIMEOUT_SECONDS)
    if host.endpoints is not None:
        await close_driver(host.endpoints)
    await network.close(host.network)
    if host.storage is not None:
        await worker.close(host.storage)
    if host.traces is not None:
        spans.close(host.traces)


async def _abort_late_answers(host: Host, server: HttpServer) -> None:
    """Reset the connections that are still open when the drain has ended.

    Until then, slow callers may read their answers, or send the rest of their requests.
    """
    shutdown = host.runtime.node.parts["requests"].state.shutdown
    earliest = time.monotonic() + FLUSH_TIMEOUT_SECONDS
    while time.monotonic() < max(earliest, shutdown.drain_ends_at):
        await anyio.sleep(FLUSH_CHECK_INTERVAL_SECONDS)
    connections = abort_connections(server)
    logger.bind(connections=connections).warning(
        "connections of callers were reset, because the time to drain had passed"
    )
