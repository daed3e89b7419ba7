"""Run a host that keeps a replica of the control log.

The modules that serve HTTP are imported once the replica takes part in elections: after a loss of
power, hosts get their configuration from the first leader, and a third of a core imports slowly.
"""

import time
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import TYPE_CHECKING

import anyio
import anyio.to_thread
from anyio.abc import TaskGroup
from loguru import logger
from msgspec import Struct, field

from marjorambridge.conf import nodes
from marjorambridge.conf.memory import divide_memory
from marjorambridge.conf.nodes import NodeSettings
from marjorambridge.control.commands import (
    AnyCommand,
    DrainZone,
    ReadBarrier,
    RestoreZone,
    RetireEndpoint,
    encode_command,
)
from marjorambridge.control.events import (
    CommandApplied,
    CommandSubmitted,
    CommandWithdrawn,
    EndpointReported,
)
from marjorambridge.control.registry import choose_report_replica
from marjorambridge.control.state import ControlReplicaState
from marjorambridge.control.state_machine import is_retired
from marjorambridge.core import effects, events
from marjorambridge.daemon import fleets, signals
from marjorambridge.daemon import runtime as driver
from marjorambridge.daemon.runtime import Runtime, post, run_timers
from marjorambridge.discovery.models import EndpointReport
from marjorambridge.manifests.models import CallerLimits
from marjorambridge.node.replica import ReplicaNodeSettings, compose_replica
from marjorambridge.replication.effects import (
    SaveCluster,
    SaveEntries,
    SaveSnapshot,
    SaveVote,
    SyncStorage,
)
from marjorambridge.replication.events import LeadershipChanged, RepairStatus, ReplicaHalted
from marjorambridge.storage import worker
from marjorambridge.storage.exceptions import StorageError
from marjorambridge.storage.stores import open_store
from marjorambridge.telemetry import logs, metrics
from marjorambridge.transport import early, network
from marjorambridge.transport.turn_queue import acquire_turn

if TYPE_CHECKING:
    from marjorambridge.gateway.exchanges import Exchange, Server

# Operators and endpoints try another replica after one second.
COMMAND_TIMEOUT_SECONDS = 0.9
# What is read so soon after a stall of the event loop may have arrived before or during the stall.
STALL_BACKLOG_SECONDS = 1.0
# Delay before the components restart after a disk failure.
STORAGE_RETRY_DELAY_SECONDS = 0.5
# Time for the transfer of leadership at a shutdown, in which calls are still accepted.
SHUTDOWN_DELAY_SECONDS = 1.0
# Calls that are not complete this long before the end of the grace time are aborted.
GRACE_MARGIN_SECONDS = 0.4
# Greatest sizes of a configuration and of all other calls, which have some hundred bytes.
MAX_MANIFEST_BODY_BYTES = 16_777_216
MAX_CALL_BODY_BYTES = 65_536


class ReplicaAdapter(Struct):
    """Functions that translate between the replica and a platform.

    Attributes
    ----------
    handle_call : callable
        Answers a call of an operator or an endpoint.
    get_body_limit : callable
        Takes method and target of a call, and returns the size of its longest body.
    """

    handle_call: "Callable[[ReplicaHost, Exchange], Awaitable[None]]"
    get_body_limit: Callable[[bytes, bytes], int]


class ReplicaProcess(Struct):
    """State of a replica process that persists when its components restart after a disk failure.

    Attributes
    ----------
    create_adapter : callable
        Returns the adapter; it may import what the adapter needs.
    host : ReplicaHost or None
        The components that run or start; None while there are none.
    stopping : bool
        Whether a signal has requested the end of the process.
    scope : anyio.CancelScope
        Cancelled to end the process.
    """

    settings: NodeSettings
    create_adapter: Callable[[], ReplicaAdapter]
    scope: anyio.CancelScope
    host: "ReplicaHost | None" = None
    stopping: bool = False


class ReplicaHost(Struct):
    """Running components of a replica process.

    Attributes
    ----------
    control : ControlReplicaState
        State of the control component, read to answer operators.
    waiters : dict of str to anyio.Event
        Events that are set when a command is applied, by its identifier.
    """

    settings: NodeSettings
    incarnation: int
    runtime: Runtime
    control: ControlReplicaState
    network: network.Network
    storage: worker.StorageWorker
    metrics: metrics.Metrics
    scope: anyio.CancelScope
    waiters: dict[str, anyio.Event] = field(default_factory=dict)
    commands: int = 0
    server: "Server | None" = None


def run(settings: NodeSettings, path: Path, create_adapter: Callable[[], ReplicaAdapter]) -> int:
    """Run a replica until a signal stops it and return the exit code."""
    return anyio.run(_run_until_stopped, settings, path, create_adapter)


async def _run_until_stopped(
    settings: NodeSettings, path: Path, create_adapter: Callable[[], ReplicaAdapter]
) -> int:
    async with anyio.create_task_group() as tasks:
        process = ReplicaProcess(settings, create_adapter, tasks.cancel_scope)
        await tasks.start(
            signals.watch_signals,
            lambda: tasks.start_soon(_shut_down, process),
            lambda: _end(process),
            lambda: signals.read_changed_settings(path),
        )
        while not process.stopping:
            try:
                await run_components(process)
            except StorageError as error:
                early.close_sockets()
                logger.bind(error=str(error)).error("the data folder can't be used; retrying")
            await anyio.sleep(STORAGE_RETRY_DELAY_SECONDS)
    return 0


async def run_components(process: ReplicaProcess) -> None:
    """Run the components until the disk fails or the process is stopped."""
    settings = process.settings
    started_at = time.monotonic()
    store, recovered = await anyio.to_thread.run_sync(open_store, Path(settings.data_folder))
    async with anyio.create_task_group() as tasks:
        host, recovery = _create_host(settings, store, recovered, tasks.cancel_scope)
        try:
            process.host = host
            await _start(host, recovery, process.create_adapter, tasks)
            logger.bind(
                incarnation=host.incarnation,
                address=nodes.get_peer_address(settings),
                seconds=round(time.monotonic() - started_at, 3),
            ).info("the replica has started")
            await anyio.sleep_forever()
        finally:
            process.host = None
            # The lock of the data folder must be released before the components restart.
            with anyio.CancelScope(shield=True):
                await network.close(host.network)
                await worker.close(host.storage)


def _create_host(
    settings: NodeSettings, store: object, recovered: object, scope: anyio.CancelScope
) -> tuple[ReplicaHost, list[effects.Effect]]:
    address = nodes.get_peer_address(settings)
    incarnation = fleets.generate_incarnation()
    node_settings = ReplicaNodeSettings(
        host=address,
        zone=settings.zone,
        founders=nodes.list_seed_peers(settings),
        bootstrap=settings.bootstrap,
        incarnation=incarnation,
        report_interval_seconds=settings.bounds.report_interval_milliseconds / 1_000,
    )
    node, recovery = compose_replica(node_settings, recovered, time.monotonic())
    runtime = Runtime(node)
    control = node.parts["control"].state
    peers = network.Network(
        host=address,
        incarnation=incarnation,
        fleet=fleets.get_fleet_name(settings),
        fleet_key=fleets.derive_fleet_key(settings),
        address=address,
        resolve=lambda host: host,
        post=lambda event: post(runtime, event),
        is_urgent=lambda peer: peer in control.members or peer in node_settings.founders,
    )
    host_metrics = metrics.start()
    storage = worker.StorageWorker(
        store,
        lambda event: post(runtime, event),
        lambda effect: metrics.record(host_metrics, effect),
    )
    host = ReplicaHost(
        settings,
        incarnation,
        runtime,
        control,
        peers,
        storage,
        host_metrics,
        scope,
    )
    return host, recovery


async def _start(
    host: ReplicaHost,
    recovery: list[effects.Effect],
    create_adapter: Callable[[], ReplicaAdapter],
    tasks: TaskGroup,
) -> None:
    _connect_handlers(host)
    await network.start(host.network, tasks, nodes.get_peer_address(host.settings))
    tasks.start_soon(worker.run, host.storage)
    tasks.start_soon(run_timers, host.runtime)
    for effect in recovery:
        driver.apply_recovery(host.runtime, effect)
    post(host.runtime, events.Started(time.monotonic()))
    await _start_servers(host, create_adapter, tasks)


async def _start_servers(
    host: ReplicaHost, create_adapter: Callable[[], ReplicaAdapter], tasks: TaskGroup
) -> None:
    """Listen for calls and for reads of the metrics."""
    # Other hosts are answered while a thread imports; the statements below find what it imported.
    adapter = await anyio.to_thread.run_sync(create_adapter)
    from marjorambridge.gateway import callers, exchanges
    from marjorambridge.gateway.bodies import BodyMemory
    from marjorambridge.gateway.metrics import start_metrics_server

    memory = BodyMemory(divide_memory(host.settings.memory_megabytes).bodies)
    host.server = exchanges.Server(
        lambda exchange: adapter.handle_call(host, exchange),
        CallerLimits,
        wait_for_turn=lambda: acquire_turn(host.network.turn_queue),
        memory=memory,
        get_body_limit=adapter.get_body_limit,
    )
    ip, _, port = host.settings.control.rpartition(":")
    await callers.start_server(host.server, tasks, ip, int(port))
    await start_metrics_server(
        host.metrics, memory, tasks, host.settings.ip, host.settings.metrics_port
    )


def _connect_handlers(host: ReplicaHost) -> None:
    handlers = host.runtime.handlers
    handlers[effects.SendMessage] = lambda effect: network.send(
        host.network, effect.to, effect.message
    )
    handlers[effects.SendExpiringMessage] = lambda effect: network.send(
        host.network, effect.to, effect.message, effect.lifetime
    )
    handlers[effects.WriteLog] = logs.write
    handlers[effects.Measure] = lambda effect: metrics.record(host.metrics, effect)
    handlers[effects.Notify] = lambda effect: _handle_notification(host, effect.event)
    for kind in (SaveCluster, SaveVote, SaveEntries, SaveSnapshot, SyncStorage):
        handlers[kind] = lambda effect: worker.enqueue_effect(host.storage, effect)


def _handle_notification(host: ReplicaHost, event: events.Event) -> None:
    match event:
        case CommandApplied():
            waiter = host.waiters.get(event.command_id)
            if waiter is not None:
                waiter.set()
        case LeadershipChanged():
            logger.bind(leader=event.leader, term=event.term).info("the leader changed")
        case RepairStatus():
            logger.bind(replica=event.host, stage=event.stage.value).info(
                "the repair of a replica reached a new stage"
            )
        case ReplicaHalted():
            logger.bind(reason=event.reason).error("the disk failed; starting anew")
            host.scope.cancel()


def make_command_id(host: ReplicaHost) -> str:
    """Return an identifier that no other command has."""
    host.commands += 1
    return f"{host.incarnation:x}-{host.commands}"


async def submit_command(host: ReplicaHost, command: AnyCommand) -> bool:
    """Submit a command to the replicated log and return whether it was applied in time.

    A command that was not applied in time may still be applied later.
    """
    waiter = host.waiters[command.command_id] = anyio.Event()
    payload = encode_command(command)
    post(host.runtime, CommandSubmitted(time.monotonic(), command.command_id, payload))
    try:
        with anyio.move_on_after(COMMAND_TIMEOUT_SECONDS):
            await waiter.wait()
    finally:
        del host.waiters[command.command_id]
        if not waiter.is_set():
            post(host.runtime, CommandWithdrawn(time.monotonic(), command.command_id))
    return waiter.is_set()


async def confirm_recent(host: ReplicaHost, arrived_at: float) -> bool:
    """Return whether a call that can be outdated by later ones may still be carried out.

    A call may wait long before it is read: in the socket of a host that was frozen, or on a link
    that was cut. Its sender has left by then, and may have had newer calls acknowledged elsewhere.
    The barrier brings this replica up to date; while it waits, a connection that the sender has
    closed ends the call.

    Parameters
    ----------
    arrived_at : float
        Monotonic time in seconds at which the first byte of the call was read.
    """
    if not await submit_command(host, ReadBarrier(make_command_id(host))):
        return False
    waited = time.monotonic() - arrived_at
    if arrived_at - host.runtime.resumed_at < STALL_BACKLOG_SECONDS:
        reason = "the process was stalled before"
    elif waited >= COMMAND_TIMEOUT_SECONDS:
        reason = "it waited for too long"
    else:
        return True
    logger.bind(reason=reason, seconds=round(waited, 4)).info("a call may be outdated")
    return False


async def order_zone(host: ReplicaHost, zone: str, drains: bool, arrived_at: float) -> bool:
    """Drain or restore a zone, and return whether it is drained or restored now.

    Parameters
    ----------
    arrived_at : float
        Monotonic time in seconds at which the first byte of the order was read.
    """
    if not await confirm_recent(host, arrived_at):
        return False
    follows = host.control.control.zone_orders.get(zone, 0)
    kind = DrainZone if drains else RestoreZone
    if not await submit_command(host, kind(make_command_id(host), zone, follows)):
        return False
    # An order that another one has overtaken is acknowledged if both ask for the same.
    return (zone in host.control.control.drained) == drains


async def deregister_endpoint(
    host: ReplicaHost, endpoint: str, born: int, arrived_at: float
) -> bool:
    """Retire an endpoint and return whether the log has it.

    Parameters
    ----------
    born : int
        Start of the leaving incarnation in Unix milliseconds; 0 for the one that is known.
    arrived_at : float
        Monotonic time in seconds at which the first byte of the call was read.
    """
    if not born:
        # Without its start, a late call would retire an incarnation that has started since.
        if not await confirm_recent(host, arrived_at):
            return False
        entry = host.control.table.endpoints.get(endpoint)
        # An incarnation without a report has started before now.
        born = entry.report.born if entry else time.time_ns() // 1_000_000
    return await submit_command(host, RetireEndpoint(make_command_id(host), endpoint, born))


async def report_endpoint(host: ReplicaHost, report: EndpointReport) -> bool:
    """Apply the report of an endpoint and return whether it may be acknowledged.

    A report that an endpoint is leaving is acknowledged only once a majority of the replicas has
    stored it, so that every host receives it soon, whichever replica it polls.
    """
    control = host.control
    now = time.monotonic()
    post(host.runtime, EndpointReported(now, report))
    if not report.leaving:
        return control.has_contact(now)
    if is_retired(control.control, report.endpoint, report.born) and control.has_contact(now):
        return True
    return await submit_command(
        host, RetireEndpoint(make_command_id(host), report.endpoint, report.born)
    )


def find_report_address(host: ReplicaHost, report: EndpointReport) -> str:
    """Return the control address to which an endpoint should report from now on.

    It is empty if the endpoint should keep its replica. The ports are the same on all hosts.
    """
    report_replica = choose_report_replica(host.control, report, time.monotonic())
    if report_replica in ("", host.control.host):
        return ""
    _, _, port = host.settings.control.rpartition(":")
    return f"{report_replica.rpartition(':')[0]}:{port}"


async def _shut_down(process: ReplicaProcess) -> None:
    """Transfer leadership, complete the answers in progress and end the process."""
    host, started_at = process.host, time.monotonic()
    process.stopping = True
    if host is not None and host.server is not None:
        from marjorambridge.gateway import callers

        host.server.closing = True
        post(host.runtime, events.ShutdownRequested(started_at, False))
        await anyio.sleep(SHUTDOWN_DELAY_SECONDS)
        grace_seconds = host.settings.bounds.shutdown_grace_seconds
        ends_at = started_at + grace_seconds - GRACE_MARGIN_SECONDS
        await callers.drain_server(host.server, ends_at)
    _end(process)


def _end(process: ReplicaProcess) -> None:
    """End the process, which cuts the calls in progress."""
    from marjorambridge.gateway.cuts import log_cut_requests

    server = process.host.server if process.host is not None else None
    servers = [server] if server is not None else []
    logger.bind(cut=log_cut_requests(servers, time.monotonic())).info("the replica has stopped")
    process.scope.cancel()
