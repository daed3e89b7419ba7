"""Guard connections and processes against messages that only a later build can read."""

import anyio
import pytest
from loguru import logger

from marjorambridge.gateway import datagrams
from marjorambridge.transport import network
from marjorambridge.transport.exceptions import HandshakeError
from marjorambridge.transport.frames import PROTOCOL_VERSION, decode_hello, encode_hello
from marjorambridge.wire import codec
from marjorambridge.wire.codec import decode_message
from marjorambridge.wire.exceptions import UnknownMessageError
from tests.compatibility import samples
from tests.compatibility.test_unknown_fields import compute_datagram_mac
from tests.transport.test_network import make_message, running_pair, wait_for

pytestmark = pytest.mark.anyio


@pytest.fixture
def anyio_backend():
    return "asyncio"


@pytest.fixture
def lines():
    """Return what is logged during a test."""
    records = []
    handler = logger.add(lambda text: records.append(text.record), level="INFO")
    yield records
    logger.remove(handler)


@pytest.fixture
def kinds(monkeypatch):
    """Return changed kinds by message, which hosts send instead of the true ones."""
    changed = {}

    def encode(message):
        kind, body = codec.encode_message(message)
        return changed.get(message.permit.number, kind), body

    monkeypatch.setattr(network, "encode_message", encode)
    return changed


def list_numbers(pair, host="b"):
    return [event.message.permit.number for event in pair.received[host]]


@pytest.mark.parametrize("kind", ["later.Message", "limits.Later", "", "x" * 1_000, None])
def test_an_unknown_kind_has_an_error_of_its_own(kind):
    """It would not be told apart from a damaged message."""
    with pytest.raises(UnknownMessageError, match="the peer may run a newer version"):
        decode_message(kind, b"\x00")


async def test_an_unknown_kind_is_logged_and_the_messages_after_it_arrive(lines, kinds):
    """One message of a later build would cut its host off, or end the process."""
    kinds.update({3: "limits.Later", 6: "later.Message"})
    async with running_pair() as pair:
        for number in range(1, 9):
            network.send(pair.hosts["a"], "b", make_message(number))
        await wait_for(lambda: 8 in list_numbers(pair))
        network.send(pair.hosts["b"], "a", make_message(9))
        await wait_for(lambda: list_numbers(pair, "a") == [9])
    assert list_numbers(pair) == [1, 2, 4, 5, 7, 8]
    errors = [record["extra"].get("error", "") for record in lines]
    for kind in ("limits.Later", "later.Message"):
        assert any(f"unknown message kind '{kind}'" in error for error in errors)


async def test_an_unknown_kind_does_not_end_its_connection(lines, kinds):
    """A later build that sends one regularly would interrupt all other messages each time."""
    kinds.update(dict.fromkeys((3, 6), "limits.Later"))
    connections = []
    connect = anyio.connect_tcp

    async def count_connection(*arguments, **options):
        connections.append(arguments)
        return await connect(*arguments, **options)

    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(network.anyio, "connect_tcp", count_connection)
        async with running_pair() as pair:
            for number in range(1, 9):
                network.send(pair.hosts["a"], "b", make_message(number))
            await wait_for(lambda: 8 in list_numbers(pair))
    assert len(connections) == 1


def test_an_unknown_datagram_is_discarded_with_a_line(lines):
    """The task that reads datagrams would end."""
    payload = bytes([len(datagrams.KINDS)]) + b"later"
    datagram = compute_datagram_mac(payload) + payload
    assert datagrams.decode_datagram(samples.FLEET_KEY, datagram) is None
    assert [record["level"].name for record in lines] == ["WARNING"]


def test_another_protocol_version_is_refused_with_a_remedy():
    """Hosts would exchange frames that they can't read."""
    hello = samples.make_hello("a", 1)
    hello.version = PROTOCOL_VERSION + 1
    with pytest.raises(HandshakeError, match="upgrade the older host"):
        decode_hello(encode_hello(hello), "fleet")
