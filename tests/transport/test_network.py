"""Test connections between hosts: lost peers, wrong keys and hosts of other fleets."""

import contextlib
from collections.abc import Callable
from contextlib import asynccontextmanager

import anyio
import anyio.lowlevel
import pytest
from hypothesis import given
from hypothesis import strategies as st

from marjorambridge.core.identity import AttemptId
from marjorambridge.limits.messages import PermitCancel
from marjorambridge.standins.fleet import find_free_ports
from marjorambridge.transport import frames, network
from marjorambridge.transport.acknowledgements import (
    ACKNOWLEDGEMENT_INTERVAL_SECONDS,
    ACKNOWLEDGEMENT_TIMEOUT_SECONDS,
)
from marjorambridge.transport.exceptions import FrameError, HandshakeError
from marjorambridge.transport.frames import decode_hello, derive_session, open_frame, seal_frame
from marjorambridge.transport.turn_queue import (
    TURNS_PER_ITERATION,
    TurnQueue,
    acquire_turn,
    grant_turns,
)
from marjorambridge.wire.codec import decode_structure, encode_structure
from marjorambridge.wire.exceptions import WireError
from marjorambridge.wire.gen.frame.ttypes import Frame, Hello

pytestmark = pytest.mark.anyio


@pytest.fixture
def anyio_backend():
    return "asyncio"


def make_message(number: int) -> PermitCancel:
    return PermitCancel(AttemptId("a", 1, number), "s/z/0")


async def wait_for(condition: Callable[[], bool]) -> None:
    with anyio.fail_after(20):
        while not condition():
            await anyio.sleep(0.01)


class Pair:
    """Two hosts that can resolve each other's address."""

    def __init__(self, ports, key_b=b"k" * 32):
        self.addresses = {"a": f"127.0.0.1:{ports[0]}", "b": f"127.0.0.1:{ports[1]}"}
        self.received = {"a": [], "b": []}
        self.hosts = {
            name: network.Network(
                host=name,
                incarnation=1,
                fleet="test",
                fleet_key=key,
                address=self.addresses[name],
                resolve=self.addresses.get,
                post=self.received[name].append,
            )
            for name, key in (("a", b"k" * 32), ("b", key_b))
        }


@asynccontextmanager
async def running_pair(**options):
    pair = Pair(find_free_ports(2), **options)
    async with anyio.create_task_group() as tasks:
        for name, host in pair.hosts.items():
            await network.start(host, tasks, pair.addresses[name])
        yield pair
        for host in pair.hosts.values():
            await network.close(host)


def make_successor(pair: Pair) -> network.Network:
    """Return the next incarnation of host b."""
    return network.Network(
        host="b",
        incarnation=2,
        fleet="test",
        fleet_key=b"k" * 32,
        address=pair.addresses["b"],
        resolve=pair.addresses.get,
        post=pair.received["b"].append,
    )


class Relay:
    """Forward connections to a host until they are silenced; new ones work again.

    What is sent on a silent connection is read and dropped, so that only the hosts can tell.
    """

    def __init__(self, target):
        self.target = target
        self.count = 0
        self.silent = set()
        self.answers_nothing = False

    async def serve(self, address, task_status=anyio.TASK_STATUS_IGNORED):
        ip, _, port = address.rpartition(":")
        listener = await anyio.create_tcp_listener(local_host=ip, local_port=int(port))
        async with listener, anyio.create_task_group() as tasks:
            task_status.started()
            await listener.serve(self.handle, tasks)

    async def handle(self, dialer):
        self.count += 1
        ip, _, port = self.target.rpartition(":")
        acceptor = await anyio.connect_tcp(ip, int(port))
        async with acceptor, dialer, anyio.create_task_group() as tasks:
            tasks.start_soon(self.forward, self.count, acceptor, dialer, True)
            await self.forward(self.count, dialer, acceptor, False)
            tasks.cancel_scope.cancel()

    async def forward(self, number, source, target, is_answer):
        with contextlib.suppress(anyio.EndOfStream, *network.CONNECTION_ERRORS):
            while True:
                data = await source.receive()
                is_lost = number in self.silent or (is_answer and self.answers_nothing)
                if not is_lost:
                    await target.send(data)

    def silence(self):
        self.silent = set(range(self.count + 1))


@asynccontextmanager
async def running_relay(pair):
    """Route the messages to host b through a relay."""
    relay = Relay(pair.addresses["b"])
    (port,) = find_free_ports(1)
    async with anyio.create_task_group() as tasks:
        await tasks.start(relay.serve, f"127.0.0.1:{port}")
        pair.hosts["a"].resolve = {"b": f"127.0.0.1:{port}"}.get
        yield relay
        tasks.cancel_scope.cancel()


async def test_a_connection_that_fell_silent_while_idle_loses_no_message(monkeypatch):
    """Guard against a message that is lost because its connection was not used for a while."""
    monkeypatch.setattr(network, "IDLE_TIMEOUT_SECONDS", 0.2)
    async with running_pair() as pair, running_relay(pair) as relay:
        network.send(pair.hosts["a"], "b", make_message(1))
        await wait_for(lambda: len(pair.received["b"]) == 1)
        # The acknowledgement of the first message is under way.
        await anyio.sleep(0.1)
        relay.silence()
        await anyio.sleep(0.4)
        network.send(pair.hosts["a"], "b", make_message(2))
        with anyio.fail_after(network.SEND_TIMEOUT_SECONDS):
            await wait_for(lambda: len(pair.received["b"]) == 2)


async def test_a_connection_that_falls_silent_in_use_is_replaced():
    """Guard against messages that are lost for good where TCP sees no fault."""
    async with running_pair() as pair, running_relay(pair) as relay:
        with anyio.fail_after(20):
            for number in range(200):
                network.send(pair.hosts["a"], "b", make_message(number))
                if number == 5:
                    relay.silence()
                last = max([m.message.permit.number for m in pair.received["b"]], default=0)
                if last > 10:
                    break
                await anyio.sleep(0.05)
    assert last > 10 and relay.count == 2


async def send_first(pair):
    """Send message 0 and wait until it is acknowledged."""
    network.send(pair.hosts["a"], "b", make_message(0))
    await wait_for(lambda: pair.received["b"])
    await anyio.sleep(2 * ACKNOWLEDGEMENT_INTERVAL_SECONDS)


async def send_without_acknowledgement(pair, relay):
    """Send message 1, whose acknowledgement is lost."""
    relay.answers_nothing = True
    network.send(pair.hosts["a"], "b", make_message(1))
    # The handshake of the next connection needs an answer.
    await anyio.sleep(ACKNOWLEDGEMENT_TIMEOUT_SECONDS)
    relay.answers_nothing = False


async def test_messages_on_a_connection_that_fell_silent_are_sent_again():
    """Guard against a poll of a replica that is lost with its connection and never repeated."""
    async with running_pair() as pair, running_relay(pair) as relay:
        await send_first(pair)
        relay.silence()
        for number in range(1, 4):
            network.send(pair.hosts["a"], "b", make_message(number))
        with anyio.fail_after(network.MESSAGE_LIFETIME_SECONDS):
            await wait_for(lambda: len(pair.received["b"]) == 4)
    assert [event.message for event in pair.received["b"]] == [make_message(n) for n in range(4)]


async def test_messages_to_a_peer_that_lost_power_reach_its_successor():
    """Guard against the loss of the first message after a peer restarted without a reset."""
    async with running_pair() as pair, running_relay(pair) as relay:
        await send_first(pair)
        relay.silence()
        network.send(pair.hosts["a"], "b", make_message(1))
        await network.close(pair.hosts["b"])
        async with anyio.create_task_group() as tasks:
            successor = make_successor(pair)
            await network.start(successor, tasks, pair.addresses["b"])
            with anyio.fail_after(network.MESSAGE_LIFETIME_SECONDS):
                await wait_for(lambda: len(pair.received["b"]) == 2)
            await network.close(successor)


async def test_a_message_whose_acknowledgement_is_lost_is_delivered_once():
    """Guard against messages that are handled twice because they were sent again."""
    async with running_pair() as pair, running_relay(pair) as relay:
        await send_first(pair)
        await send_without_acknowledgement(pair, relay)
        await wait_for(lambda: relay.count == 2)
        network.send(pair.hosts["a"], "b", make_message(2))
        await wait_for(lambda: len(pair.received["b"]) >= 3)
    assert [event.message for event in pair.received["b"]] == [make_message(n) for n in range(3)]


async def test_messages_are_not_sent_again_to_a_peer_that_does_not_recognize_them(monkeypatch):
    """Guard against repeated messages to a host of an older version."""
    make_hello = network._make_hello

    def make_old_hello(host):
        hello = decode_structure(make_hello(host), Hello)
        hello.recognizes_repeats = None
        return frames.encode_hello(hello)

    async with running_pair() as pair, running_relay(pair) as relay:
        monkeypatch.setattr(network, "_make_hello", make_old_hello)
        await send_first(pair)
        await send_without_acknowledgement(pair, relay)
        await anyio.sleep(0.5)
        network.send(pair.hosts["a"], "b", make_message(2))
        await wait_for(lambda: len(pair.received["b"]) >= 3)
    assert [event.message for event in pair.received["b"]] == [make_message(n) for n in range(3)]
    assert pair.hosts["b"].received_numbers == {}


def test_late_frames_of_an_old_connection_are_recognized():
    """Guard against a message that is read from its old connection after it was sent again."""
    receiver = Pair([1, 2]).hosts["b"]

    def arrives(number, incarnation=1):
        hello = Hello(host="a", incarnation=incarnation)
        return not network._is_repeated(receiver, hello, number)

    assert [arrives(1), arrives(2), arrives(4), arrives(2), arrives(3), arrives(5)] == [
        True, True, True, False, False, True,
    ]  # fmt: skip
    # Numbers of another incarnation start anew, and those of the last one stay known.
    assert [arrives(1, 2), arrives(5), arrives(1, 2), arrives(2, 2)] == [True, False, False, True]
    for incarnation in range(3, 50):
        assert arrives(1, incarnation)
    assert len(receiver.received_numbers["a"]) == network.MAX_KNOWN_INCARNATIONS


async def test_a_connection_in_use_without_faults_is_kept():
    """Guard against acknowledgements that come too late for a sound connection."""
    async with running_pair() as pair, running_relay(pair) as relay:
        for number in range(30):
            network.send(pair.hosts["a"], "b", make_message(number))
            await anyio.sleep(0.05)
        await anyio.sleep(1.2)
        network.send(pair.hosts["a"], "b", make_message(30))
        await wait_for(lambda: len(pair.received["b"]) == 31)
    assert relay.count == 1


async def test_a_peer_without_acknowledgements_is_not_taken_for_silent(monkeypatch):
    """Guard against connections between two versions that are closed again and again."""
    make_hello = network._make_hello

    def make_old_hello(host):
        hello = decode_structure(make_hello(host), Hello)
        hello.acknowledges = None
        return frames.encode_hello(hello)

    async def send_nothing(stream, received):
        pass

    monkeypatch.setattr(network, "send_acknowledgements", send_nothing)
    async with running_pair() as pair, running_relay(pair) as relay:
        monkeypatch.setattr(
            network, "_make_hello", lambda h: make_old_hello(h) if h.host == "b" else make_hello(h)
        )
        for number in range(30):
            network.send(pair.hosts["a"], "b", make_message(number))
            await anyio.sleep(0.05)
        await wait_for(lambda: len(pair.received["b"]) == 30)
    assert relay.count == 1


async def test_messages_arrive_in_order_with_their_sender():
    async with running_pair() as pair:
        for number in range(100):
            network.send(pair.hosts["a"], "b", make_message(number))
        await wait_for(lambda: len(pair.received["b"]) == 100)
    assert [event.message for event in pair.received["b"]] == [make_message(n) for n in range(100)]
    assert {(event.sender, event.incarnation) for event in pair.received["b"]} == {("a", 1)}


async def test_a_message_that_cannot_be_encoded_is_dropped():
    """Guard against a process that ends for one message with a number that is too large."""
    async with running_pair() as pair:
        for number in (1, 2**63, 2):
            network.send(pair.hosts["a"], "b", make_message(number))
        await wait_for(lambda: len(pair.received["b"]) == 2)
    assert [event.message for event in pair.received["b"]] == [make_message(1), make_message(2)]


async def test_a_peer_with_another_key_is_refused():
    async with running_pair(key_b=b"x" * 32) as pair:
        network.send(pair.hosts["a"], "b", make_message(1))
        await wait_for(lambda: pair.hosts["a"].sent_bytes > 0)
        await anyio.sleep(0.1)
    assert pair.received["b"] == []


async def test_messages_flow_again_after_the_peer_restarts():
    async with running_pair() as pair:
        network.send(pair.hosts["a"], "b", make_message(1))
        await wait_for(lambda: len(pair.received["b"]) == 1)
        await network.close(pair.hosts["b"])
        async with anyio.create_task_group() as tasks:
            replacement = make_successor(pair)
            await network.start(replacement, tasks, pair.addresses["b"])
            with anyio.fail_after(20):
                while len(pair.received["b"]) < 2:
                    network.send(pair.hosts["a"], "b", make_message(2))
                    await anyio.sleep(0.02)
            await network.close(replacement)


def test_a_replayed_or_altered_frame_is_refused():
    sender = derive_session(b"k", b"dialer", b"acceptor")
    receiver = derive_session(b"k", b"dialer", b"acceptor")
    first = seal_frame(sender, "limits.PermitCancel", b"body")
    assert open_frame(receiver, first).body == b"body"
    with pytest.raises(FrameError, match="received frame 0 where 1 was expected"):
        open_frame(receiver, first)
    second = bytearray(seal_frame(sender, "limits.PermitCancel", b"body"))
    second[second.index(b"body")] ^= 1
    with pytest.raises(FrameError, match="wrong MAC"):
        open_frame(receiver, bytes(second))
    with pytest.raises(FrameError, match="wrong MAC"):
        renumber = decode_structure(
            seal_frame(receiver, "limits.PermitCancel", b"", number=1), Frame
        )
        renumber.number = 2
        receiver.sequence -= 1
        open_frame(receiver, encode_structure(renumber, Frame))


def test_a_host_of_another_fleet_is_refused():
    pair = Pair([1, 2])
    hello = network._make_hello(pair.hosts["a"])
    with pytest.raises(HandshakeError, match="belongs to fleet"):
        decode_hello(hello, "other")


@given(data=st.binary(max_size=200))
def test_arbitrary_frames_and_handshakes_raise_only_typed_errors(data):
    session = derive_session(b"k", b"dialer", b"acceptor")
    with pytest.raises((FrameError, WireError)):
        open_frame(session, data)
    with pytest.raises((HandshakeError, WireError)):
        decode_hello(data, "test")


async def test_low_priority_messages_do_not_delay_urgent_ones():
    """Guard against log heartbeats that are queued behind the polls of hundreds of hosts."""
    queue = TurnQueue()
    order = []

    async def wait(number):
        await acquire_turn(queue)
        order.append(number)

    async def run_urgent():
        for _ in range(3):
            await anyio.lowlevel.checkpoint()
        order.append("urgent")

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(grant_turns, queue)
        for number in range(200):
            tasks.start_soon(wait, number)
        tasks.start_soon(run_urgent)
        await wait_for(lambda: len(order) == 201)
        tasks.cancel_scope.cancel()
    assert [item for item in order if item != "urgent"] == list(range(200))
    assert order.index("urgent") <= 4 * TURNS_PER_ITERATION


async def test_a_peer_that_starts_late_is_reached_within_half_a_second():
    """Guard against a backoff that delays connections to a replica that has just started."""
    pair = Pair(find_free_ports(2))
    async with anyio.create_task_group() as tasks:
        await network.start(pair.hosts["a"], tasks, pair.addresses["a"])
        with anyio.move_on_after(2.0):
            while True:
                network.send(pair.hosts["a"], "b", make_message(1))
                await anyio.sleep(0.1)
        await network.start(pair.hosts["b"], tasks, pair.addresses["b"])
        started_at = anyio.current_time()
        await wait_for(lambda: pair.received["b"])
        assert anyio.current_time() - started_at < 0.5
        tasks.cancel_scope.cancel()


async def test_a_message_with_a_short_lifetime_is_not_sent_late():
    """Guard against a message that waits for a connection for longer than it is valid."""
    pair = Pair(find_free_ports(2))
    async with anyio.create_task_group() as tasks:
        await network.start(pair.hosts["a"], tasks, pair.addresses["a"])
        network.send(pair.hosts["a"], "b", make_message(1), lifetime=0.1)
        network.send(pair.hosts["a"], "b", make_message(2))
        await anyio.sleep(0.3)
        await network.start(pair.hosts["b"], tasks, pair.addresses["b"])
        await wait_for(lambda: pair.received["b"])
        await network.close(pair.hosts["a"])
        await network.close(pair.hosts["b"])
    assert [event.message for event in pair.received["b"]] == [make_message(2)]
