"""Play a scenario: start hosts and engines, generate requests, and run its events."""

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
from marjorambridge.simulation.callers import Traffic, create_traffic, run_workload
from marjorambridge.simulation.engines import Engine
from marjorambridge.simulation.hosts import Fleet, Host, run_host, stop_host, update_host
from marjorambridge.simulation.scenarios import EventKind, Scenario, ScenarioEvent
from marjorambridge.simulation.scoring import Score, compute_score

SERVICE = "engines"
# Time in seconds for which hosts run before requests arrive, and after the last one arrived.
WARMUP_SECONDS, FINISH_SECONDS = 4.0, 12.0
MAX_ENDPOINTS = 2


class Simulation(Struct, eq=False):
    """Hold the state of a running scenario."""

    fleet: Fleet
    traffic: Traffic
    tasks: TaskGroup
    generator: random.Random
    starts: int = 0


def play(scenario: Scenario, seed: int) -> Score:
    """Play a scenario in simulated time and return its score."""
    return clock.run(_play, scenario, seed)


async def _play(scenario: Scenario, seed: int) -> Score:
    fleet = create_fleet(scenario, seed)
    traffic = create_traffic(fleet, seed)
    async with anyio.create_task_group() as tasks:
        simulation = Simulation(fleet, traffic, tasks, random.Random(seed + 1))
        for host in fleet.hosts.values():
            _start_host(simulation, host)
        await anyio.sleep(WARMUP_SECONDS)
        started_at = time.monotonic()
        for workload in scenario.classes:
            tasks.start_soon(run_workload, traffic, workload, tasks, started_at)
        for event in scenario.events:
            tasks.start_soon(_run_event, simulation, event)
        await anyio.sleep(scenario.seconds + FINISH_SECONDS)
        tasks.cancel_scope.cancel()
    return compute_score(traffic.requests, started_at)


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
        # All hosts order engines by their names, so the name has the seed to vary this order.
        name, address = f"engine-{seed}-{number}", f"10.1.{number // 250}.{number % 250}:8000"
        fleet.engines[address] = Engine(
            name, zone, address, scenario.profile, scenario.queue_places
        )
        fleet.entries[address] = EndpointEntry(
            name, SERVICE, zone, address, scenario.profile.slots, 1, 1, False, 0.0, 0.0
        )
    return fleet


def _start_host(simulation: Simulation, host: Host) -> None:
    simulation.starts += 1
    simulation.tasks.start_soon(
        run_host, simulation.fleet, host, simulation.fleet.seed * 10_000 + simulation.starts
    )


# Events.


async def _run_event(simulation: Simulation, event: ScenarioEvent) -> None:
    await anyio.sleep(event.at)
    match event.kind:
        case EventKind.DRAIN:
            await _drain(simulation, event)
        case EventKind.SLOW:
            chosen = _sample_engines(simulation, event.count)
            for engine in chosen:
                engine.slowdown *= event.factor
            await anyio.sleep(event.seconds)
            for engine in chosen:
                engine.slowdown /= event.factor
        case EventKind.CRASH:
            for engine in _sample_engines(simulation, event.count):
                simulation.tasks.start_soon(_crash, simulation, engine, event.seconds)
        case EventKind.RESTART:
            for host in simulation.fleet.hosts.values():
                stop_host(host)
            await anyio.sleep(event.seconds)
            for host in simulation.fleet.hosts.values():
                _start_host(simulation, host)


def _sample_engines(simulation: Simulation, count: int) -> list[Engine]:
    found = list(simulation.fleet.engines.values())
    return simulation.generator.sample(found, min(count, len(found)))


async def _drain(simulation: Simulation, event: ScenarioEvent) -> None:
    fleet = simulation.fleet
    fleet.drained = (event.target,)
    await _update_hosts(simulation, ())
    await anyio.sleep(event.seconds)
    fleet.drained = ()
    fleet.index += 1
    fleet.restored[event.target] = fleet.index
    for engine in fleet.engines.values():
        if engine.zone == event.target:
            _start_cold_period(simulation, engine)
    await _update_hosts(simulation, ())


async def _crash(simulation: Simulation, engine: Engine, seconds: float) -> None:
    fleet = simulation.fleet
    engines.crash(engine)
    fleet.entries[engine.address].silent = True
    await _update_hosts(simulation, (fleet.entries[engine.address],))
    await anyio.sleep(seconds)
    engines.start(engine)
    _start_cold_period(simulation, engine)
    entry = fleet.entries[engine.address]
    entry.silent, entry.born = False, entry.born + 1
    entry.cold_seconds = fleet.scenario.cold_seconds
    await _update_hosts(simulation, (entry,))
    entry.cold_seconds = 0.0


def _start_cold_period(simulation: Simulation, engine: Engine) -> None:
    engine.cold_slowdown = simulation.fleet.scenario.cold_factor
    clock.call_later(simulation.fleet.scenario.cold_seconds, _end_cold_period, engine)


def _end_cold_period(engine: Engine) -> None:
    engine.cold_slowdown = 1.0


async def _update_hosts(simulation: Simulation, changed: tuple[EndpointEntry, ...]) -> None:
    """Send a change to all hosts after `learn_seconds`."""
    await anyio.sleep(simulation.fleet.scenario.learn_seconds)
    for host in simulation.fleet.hosts.values():
        update_host(simulation.fleet, host, changed)
