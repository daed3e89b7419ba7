"""Draw a day of disturbances and changes, and play it on a fleet."""

import random

from .disturbed import DisturbedFleet

START_SECONDS = 4.0


def play_day(seed, seconds=14.0, disturbances=6, calm_seconds=6.0, replicas=5, gateways=4):
    """Play a day and return the fleet, whose `violations` list what the check found."""
    draw = random.Random(seed)
    fleet = DisturbedFleet(replicas=replicas, gateways=gateways, seed=seed)
    fleet.run(START_SECONDS)
    plan = []
    for _ in range(disturbances):
        plan += draw_disturbance(draw, fleet, START_SECONDS + draw.uniform(0.0, seconds))
    gap = draw.choice([0.2, 0.5, 1.0, 2.0])
    at = START_SECONDS
    while at < START_SECONDS + seconds + calm_seconds:
        plan.append((at, fleet.change))
        at += gap * draw.uniform(0.5, 1.5)
    zone = draw.choice(["z1", "z2", "z3"])
    at = START_SECONDS + draw.uniform(0.0, 3.0)
    while at < START_SECONDS + seconds:
        plan += [(at, lambda: fleet.drain(zone)), (at + 7.0, lambda: fleet.restore(zone))]
        at += 7.0 + draw.choice([0.1, 0.5, 1.5])
    for at, action in sorted(plan, key=lambda item: item[0]):
        if at > fleet.now:
            fleet.run(at - fleet.now)
        action()
    fleet.run(START_SECONDS + seconds + calm_seconds - fleet.now)
    return fleet


def draw_disturbance(draw, fleet, at):
    """Return the steps of a random disturbance that begins at a time."""
    core = fleet.list_core()
    hosts = list(fleet.hosts)
    end = at + draw.uniform(0.3, 6.0)
    kinds = {
        "lose": lambda: lose(fleet, draw.choice(hosts), at, end, draw.random() < 0.5),
        "wipe": lambda: wipe(fleet, draw.choice(core), at, end),
        "zone": lambda: lose_zone(fleet, draw.choice(["z1", "z2", "z3"]), at, end),
        "stop": lambda: stop(fleet, draw.choice(hosts), at, end, draw.random() < 0.5),
        "cut": lambda: cut_core(fleet, draw, at, end),
        "cut host": lambda: cut_host(fleet, draw, at, end),
        "cut zone": lambda: cut_zone(fleet, draw.choice(["z1", "z2", "z3"]), at, end),
        "silence": lambda: [(at, lambda: fleet.silence(draw.choice([0.3, 1.0])))],
        "reset": lambda: [(at, lambda: fleet.reset(draw.choice([0.3, 1.0])))],
        "herd": lambda: herd(fleet, at, end, draw.random() < 0.5),
    }
    return kinds[draw.choice(sorted(kinds))]()


def lose(fleet, name, at, end, power):
    state = {}

    def begin():
        if fleet.runs(name) and (fleet.hosts[name].disk is None or is_core_whole(fleet)):
            state["lost"] = True
            fleet.lose(name, power=power)

    return [(at, begin), (end, lambda: state and restart(fleet, name))]


def restart(fleet, name):
    if fleet.hosts[name].node is None:
        fleet.restart(name)


def is_core_whole(fleet):
    return all(fleet.runs(n) and not fleet.is_catching_up(n) for n in fleet.list_core())


def wipe(fleet, name, at, end):
    """Lose a disk, if all others are voters that have caught up."""

    def begin():
        leaders = [n for n in fleet.list_core() if fleet.runs(n) and fleet.control(n).is_leader]
        if not is_core_whole(fleet) or not leaders:
            return
        if set(fleet.control(leaders[0]).members) == set(fleet.list_core()):
            fleet.lose(name, wipe=True, power=True)

    return [(at, begin), (end, lambda: restart(fleet, name))]


def lose_zone(fleet, zone, at, end):
    lost = []

    def begin():
        if not is_core_whole(fleet):
            return
        lost.extend(n for n, host in fleet.hosts.items() if host.zone == zone and fleet.runs(n))
        for name in lost:
            fleet.lose(name, power=True)

    return [(at, begin), (end, lambda: [restart(fleet, name) for name in lost])]


def stop(fleet, name, at, end, suspend):
    state = {}

    def begin():
        if fleet.runs(name) and (fleet.hosts[name].disk is None or is_core_whole(fleet)):
            state["stopped"] = True
            fleet.stop(name, suspend)

    return [(at, begin), (end, lambda: name in fleet.stopped and state and fleet.wake(name))]


def herd(fleet, at, end, power):
    lost = []

    def begin():
        lost.extend(n for n in fleet.list_core() if fleet.runs(n))
        for name in lost:
            fleet.lose(name, power=power)

    return [(at, begin), (min(end, at + 1.0), lambda: [restart(fleet, name) for name in lost])]


def pair_up(ones, others, one_way=False):
    pairs = {(one, other) for one in ones for other in others if one != other}
    return pairs if one_way else pairs | {(other, one) for one, other in pairs}


def cut(fleet, pairs, at, end):
    return [(at, lambda: fleet.cut(pairs)), (end, lambda: fleet.heal(pairs))]


def cut_core(fleet, draw, at, end):
    core = fleet.list_core()
    minority = draw.sample(core, draw.choice([1, 1, len(core) // 2]))
    others = [name for name in core if name not in minority]
    if draw.random() < 0.3:
        zones = {fleet.hosts[name].zone for name in minority}
        others = [n for n, h in fleet.hosts.items() if n not in minority and h.zone not in zones]
    pairs = pair_up(minority, others, draw.random() < 0.3)
    if draw.random() < 0.3:
        pairs = {(other, one) for one, other in pairs}
    return cut(fleet, pairs, at, end)


def cut_host(fleet, draw, at, end):
    gateways = [name for name, host in fleet.hosts.items() if host.disk is None]
    return cut(fleet, pair_up([draw.choice(gateways)], fleet.list_core()), at, end)


def cut_zone(fleet, zone, at, end):
    inside = [name for name, host in fleet.hosts.items() if host.zone == zone]
    others = [name for name in fleet.hosts if name not in inside]
    return cut(fleet, pair_up(inside, others), at, end)
