"""Play a scenario: start hosts and engines, let requests arrive, and cause its events."""

import random
import time

import anyio
from anyio.abc import TaskGroup
from msgspec import Struct

from marjorambridge.control.messages import EndpointEntry
from marjorambridge.manifests.models import (
    Execution,
    Manifest,
    Route,
    RouteTarget,
    ServiceDefinition,
)
from marjorambridge.simulation import clock, engines
from marjorambridge.simulation.callers import Load, create_load, run_class
from marjorambridge.simulation.engines import Engine
from marjorambridge.simulation.hosts import Fleet, Host, run_host, stop_host, tell
from marjorambridge.simulation.scenarios import EventKind, Scenario, ScenarioEvent
from marjorambridge.simulation.worth import Account, add_up

SERVICE = "engines"
# Time in seconds for which hosts run before requests arrive, and after the last one arrived.
WARMUP_SECONDS, FINISH_SECONDS = 4.0, 12.0
MAX_ENDPOINTS = 2


class World(Struct, eq=False):
    """Hold what a running scenario consists of."""

    fleet: Fleet
    load: Load
    tasks: TaskGroup
    generator: random.Random
    starts: int = 0


def play(scenario: Scenario, seed: int) -> Account:
    """Play a scenario in simulated time and return what callers got."""
    return clock.run(_play, scenario, seed)


async def _play(scenario: Scenario, seed: int) -> Account:
    fleet = create_fleet(scenario, seed)
    load = create_load(fleet, seed)
    async with anyio.create_task_group() as tasks:
        world = World(fleet, load, tasks, random.Random(seed + 1))
        for host in fleet.hosts.values():
            _start_host(world, host)
        await anyio.sleep(WARMUP_SECONDS)
        began = time.monotonic()
        for workload in scenario.classes:
            tasks.start_soon(run_class, load, workload, tasks, began)
        for event in scenario.events:
            tasks.start_soon(_cause, world, event)
        await anyio.sleep(scenario.seconds + FINISH_SECONDS)
        tasks.cancel_scope.cancel()
    return add_up(load.requests, began)


def create_fleet(scenario: Scenario, seed: int) -> Fleet:
    """Return the hosts and engines of a scenario."""
    routes = tuple(
        Route(
            workload.name,
            "callers",
            f"/{workload.name}/",
            Execution.STREAM,
            workload.timeout_seconds,
            workload.objective_seconds,
            (RouteTarget(SERVICE, 1.0),),
            workload.pause_seconds,
            max_endpoints=MAX_ENDPOINTS,
            public=True,
            resumable=True,
        )
        for workload in scenario.classes
    )
    service = ServiceDefinition(
        SERVICE,
        cold_start_seconds=scenario.cold_seconds,
        cold_requests_per_second=scenario.cold_requests_per_second,
        engine=scenario.profile,
    )
    fleet = Fleet(scenario, Manifest(1, routes, (service,)), seed)
    for number in range(scenario.hosts):
        zone = scenario.zones[number % len(scenario.zones)]
        name = f"10.0.{number // 250}.{number % 250}:9000"
        fleet.hosts[name] = Host(name, zone)
    for number in range(scenario.engines):
        zone = scenario.zones[number % len(scenario.zones)]
        # The name decides the order on which all hosts agree, so that it differs by seed.
        name, address = f"engine-{seed}-{number}", f"10.1.{number // 250}.{number % 250}:8000"
        fleet.engines[address] = Engine(
            name, zone, address, scenario.profile, scenario.queue_places
        )
        fleet.entries[address] = EndpointEntry(
            name, SERVICE, zone, address, scenario.profile.slots, 1, 1, False, 0.0, 0.0
        )
    return fleet


def _start_host(world: World, host: Host) -> None:
    world.starts += 1
    world.tasks.start_soon(run_host, world.fleet, host, world.fleet.seed * 10_000 + world.starts)


# Events.


async def _cause(world: World, event: ScenarioEvent) -> None:
    await anyio.sleep(event.at)
    match event.kind:
        case EventKind.DRAIN:
            await _drain(world, event)
        case EventKind.SLOW:
            chosen = _draw_engines(world, event.count)
            for engine in chosen:
                engine.pace *= event.factor
            await anyio.sleep(event.seconds)
            for engine in chosen:
                engine.pace /= event.factor
        case EventKind.CRASH:
            for engine in _draw_engines(world, event.count):
                world.tasks.start_soon(_crash, world, engine, event.seconds)
        case EventKind.RESTART:
            for host in world.fleet.hosts.values():
                stop_host(host)
            await anyio.sleep(event.seconds)
            for host in world.fleet.hosts.values():
                _start_host(world, host)


def _draw_engines(world: World, count: int) -> list[Engine]:
    found = list(world.fleet.engines.values())
    return world.generator.sample(found, min(count, len(found)))


async def _drain(world: World, event: ScenarioEvent) -> None:
    fleet = world.fleet
    fleet.drained = (event.target,)
    await _tell_all(world, ())
    await anyio.sleep(event.seconds)
    fleet.drained = ()
    fleet.index += 1
    fleet.restored[event.target] = fleet.index
    for engine in fleet.engines.values():
        if engine.zone == event.target:
            _turn_cold(world, engine)
    await _tell_all(world, ())


async def _crash(world: World, engine: Engine, seconds: float) -> None:
    fleet = world.fleet
    engines.stop(engine)
    fleet.entries[engine.address].silent = True
    await _tell_all(world, (fleet.entries[engine.address],))
    await anyio.sleep(seconds)
    engines.start(engine)
    _turn_cold(world, engine)
    entry = fleet.entries[engine.address]
    entry.silent, entry.born = False, entry.born + 1
    entry.cold_seconds = fleet.scenario.cold_seconds
    await _tell_all(world, (entry,))
    entry.cold_seconds = 0.0


def _turn_cold(world: World, engine: Engine) -> None:
    engine.cold_pace = world.fleet.scenario.cold_factor
    clock.call_later(world.fleet.scenario.cold_seconds, _turn_warm, engine)


def _turn_warm(engine: Engine) -> None:
    engine.cold_pace = 1.0


async def _tell_all(world: World, changed: tuple[EndpointEntry, ...]) -> None:
    """Have the hosts learn of a change, each a little later than the one before."""
    await anyio.sleep(world.fleet.scenario.learn_seconds)
    for host in world.fleet.hosts.values():
        tell(world.fleet, host, changed)
