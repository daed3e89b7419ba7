"""Guard what gateways tell one another about their load."""

import socket
from dataclasses import replace

import anyio

from marjorambridge.forwarding.health import note_failure
from marjorambridge.forwarding.loads import (
    LOAD_LIFETIME_SECONDS,
    add_read,
    add_request,
    compute_borne_pause,
    compute_remaining_reads,
    count_requests,
    drop_old_loads,
)
from marjorambridge.gateway import sharing as sharing_module
from marjorambridge.gateway.sharing import (
    LoadSharing,
    choose_relays,
    make_packet,
    note_change,
    start_sharing,
    take_packet,
)
from tests.forwarding.world import make_state


def make_pair():
    key = b"k" * 32
    return [
        LoadSharing(make_state(engines=2, hosts=(name, "h9")), name, key) for name in ("h1", "h2")
    ]


def test_a_host_knows_the_load_of_another_one():
    """Guard against hosts that all choose the engine that looks idle to each of them."""
    sender, receiver = make_pair()
    endpoint = sender.forwarding.endpoints["e0"]
    add_request(endpoint.load, 5000, 0.25)
    add_read(endpoint.load, 2.0, 10.0)
    take_packet(receiver, make_packet(sender, ["e0", "unknown"], 10.5), 100.0)
    seen = receiver.forwarding.endpoints["e0"]
    assert count_requests(seen) == 1 and compute_borne_pause(seen) == 0.25
    assert abs(compute_remaining_reads(seen, 100.5) - 1.0) < 0.01
    # A packet says all there is, so that one that comes twice changes nothing.
    take_packet(receiver, make_packet(sender, ["e0"], 10.5), 100.0)
    assert count_requests(seen) == 1
    drop_old_loads(seen, 100.0 + LOAD_LIFETIME_SECONDS + 0.1)
    assert count_requests(seen) == 0


def test_foreign_and_damaged_packets_are_refused():
    """Guard against loads of another fleet, or of a damaged datagram."""
    sender, receiver = make_pair()
    add_request(sender.forwarding.endpoints["e0"].load, 1, 0.25)
    packet = make_packet(sender, ["e0"], 1.0)
    receiver.key = b"x" * 32
    take_packet(receiver, packet, 1.0)
    receiver.key = sender.key
    for damaged in (b"", packet[:5], packet[:-1], packet[:9] + b"\xff" + packet[10:]):
        take_packet(receiver, damaged, 1.0)
    assert count_requests(receiver.forwarding.endpoints["e0"]) == 0


def test_each_other_zone_gets_a_packet_once_and_passes_it_on():
    """Guard against control traffic between zones that grows with the square of the fleet."""
    sender, receiver = make_pair()
    zones = {f"10.0.{zone}.{n}:1": f"z{zone}" for zone in range(3) for n in range(25)}
    sender.forwarding.hosts = zones | {"h1": "z0"}
    relays = {choose_relays(sender.forwarding)[0] for _ in range(50)}
    assert {zones[relay] for relay in relays} == {"z1"} and len(relays) > 5
    assert len(choose_relays(sender.forwarding)) == 2
    add_request(sender.forwarding.endpoints["e0"].load, 1, 0.25)
    share = take_packet(receiver, make_packet(sender, ["e0"], 1.0, for_zone=True), 1.0)
    assert share.for_zone and share.host == "h1"
    assert not take_packet(receiver, make_packet(sender, ["e0"], 1.0), 1.0).for_zone


def test_loads_travel_in_both_directions_while_others_are_passed_on():
    """Guard against two tasks that write to one socket, which ends the process."""

    async def scenario():
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as probe:
            probe.bind(("127.0.0.1", 0))
            port = probe.getsockname()[1]
        hosts = {f"127.0.0.{n}:{port}": f"z{n % 2}" for n in range(11, 17)}
        sharings = [
            LoadSharing(make_state(engines=9, hosts=(host,)), host, b"k" * 32) for host in hosts
        ]
        async with anyio.create_task_group() as tasks:
            for sharing in sharings:
                sharing.forwarding.hosts = dict(hosts)
                sharing.forwarding.settings = replace(
                    sharing.forwarding.settings, zone=hosts[sharing.own_host]
                )
                await start_sharing(sharing, tasks)
            for _ in range(30):
                for sharing in sharings:
                    for endpoint in sharing.forwarding.endpoints.values():
                        add_request(endpoint.load, 1, 0.25)
                        note_change(sharing, endpoint)
                await anyio.sleep(0.01)
            await anyio.sleep(0.5)
            for sharing in sharings:
                for endpoint in sharing.forwarding.endpoints.values():
                    assert count_requests(endpoint) == 30 * len(sharings)
            tasks.cancel_scope.cancel()

    anyio.run(scenario)


class SlowSocket:
    """Take one datagram at a time, as a socket does whose buffer is full."""

    def __init__(self, packets):
        self.packets = packets
        self.busy = False
        self.sent = 0

    async def sendto(self, packet, ip, port):
        assert not self.busy, "two tasks write at the same time"
        self.busy = True
        await anyio.sleep(0.001)
        self.busy = False
        self.sent += 1

    async def receive(self):
        await anyio.sleep(0.0007)
        if not self.packets:
            await anyio.sleep_forever()
        return self.packets.pop(), ("127.0.0.1", 1)


def test_only_one_task_writes_to_the_socket(monkeypatch):
    """Guard against passing a datagram on while another one is being sent (scale-1)."""

    async def scenario():
        sender, receiver = make_pair()
        add_request(sender.forwarding.endpoints["e0"].load, 1, 0.25)
        packets = [make_packet(sender, ["e0"], 1.0, for_zone=True) for _ in range(50)]
        slow = SlowSocket(packets)

        async def create_socket(**options):
            return slow

        monkeypatch.setattr(anyio, "create_udp_socket", create_socket)
        receiver.own_host = "127.0.0.9:1"
        receiver.forwarding.hosts = {f"127.0.0.{n}:1": "z0" for n in range(3, 9)}
        async with anyio.create_task_group() as tasks:
            await start_sharing(receiver, tasks)
            for _ in range(40):
                note_change(receiver, receiver.forwarding.endpoints["e1"])
                await anyio.sleep(0.005)
            await anyio.sleep(0.5)
            tasks.cancel_scope.cancel()
        assert slow.sent >= 300

    anyio.run(scenario)


def test_a_large_fleet_collects_loads_and_every_host_knows_them(monkeypatch):
    """Guard against datagrams to every host for each request of every other one."""

    async def scenario():
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as probe:
            probe.bind(("127.0.0.1", 0))
            port = probe.getsockname()[1]
        hosts = {f"127.0.0.{n}:{port}": f"z{n % 3}" for n in range(20, 44)}
        sharings = [
            LoadSharing(make_state(engines=5, hosts=(host,)), host, b"k" * 32) for host in hosts
        ]
        received = []
        take = sharing_module.take_packet
        monkeypatch.setattr(
            sharing_module, "take_packet", lambda *args: (received.append(1), take(*args))[1]
        )
        async with anyio.create_task_group() as tasks:
            for sharing in sharings:
                sharing.forwarding.hosts = dict(hosts)
                sharing.forwarding.settings = replace(
                    sharing.forwarding.settings, zone=hosts[sharing.own_host]
                )
                await start_sharing(sharing, tasks)
            for _ in range(20):
                for sharing in sharings:
                    endpoint = sharing.forwarding.endpoints["e1"]
                    add_request(endpoint.load, 1, 0.25)
                    note_change(sharing, endpoint)
                await anyio.sleep(0.02)
            await anyio.sleep(0.6)
            for sharing in sharings:
                assert count_requests(sharing.forwarding.endpoints["e1"]) == 20 * len(sharings)
            tasks.cancel_scope.cancel()
        assert len(received) < 20 * len(sharings) * len(sharings) / 3

    anyio.run(scenario)


def test_failures_are_told_also_through_a_collector():
    """Guard against hosts of a large fleet that each learn alone that an endpoint fails."""
    sender, receiver = make_pair()
    note_failure(sender.forwarding.endpoints["e0"], 10.0)
    share = take_packet(receiver, make_packet(sender, ["e0"], 10.2, for_zone=True), 100.0)
    report = receiver.forwarding.endpoints["e0"].reports["h1"]
    assert report.failures == 1
    assert abs(report.avoid_until - 100.8) < 0.01
    third = make_pair()[0]
    third.own_host = "h3"
    receiver.forwarding.hosts = dict.fromkeys((f"h{n}" for n in range(40)), "z0")
    sharing_module.pass_on(receiver, share)
    sharing_module.queue_collected(receiver)
    packet = next(packet for packet, host in receiver.outbox if host == "h3")
    take_packet(third, packet, 100.0)
    assert third.forwarding.endpoints["e0"].reports["h1"].failures == 1
