"""Test that a connection is not read before a task receives."""

import socket

import anyio
from anyio.abc import SocketStream

from marjorambridge.transport.reading import limit_reading_ahead, receive_nowait


def test_what_is_not_received_stays_in_the_socket():
    """Guard against a connection of which everything is kept, because data came before a task."""
    sent = []
    limited = anyio.Event()

    async def serve(stream):
        # Data arrives before the first call of `receive`, which then doesn't wait for it.
        await anyio.sleep(0.05)
        limit_reading_ahead(stream)
        await stream.receive(10)
        limited.set()
        await anyio.sleep_forever()

    async def flood(port):
        async with await anyio.connect_tcp("127.0.0.1", port) as stream:
            while True:
                await stream.send(b"x" * 65_536)
                sent.append(65_536)
                await anyio.sleep(0)

    async def scenario():
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
        port = listener.extra(anyio.abc.SocketAttribute.local_port)
        async with listener, anyio.create_task_group() as tasks:
            tasks.start_soon(listener.serve, serve)
            tasks.start_soon(flood, port)
            await limited.wait()
            await anyio.sleep(0.2)
            before = sum(sent)
            await anyio.sleep(0.3)
            assert sum(sent) == before
            tasks.cancel_scope.cancel()

    anyio.run(scenario)


def test_what_arrived_in_the_same_turn_is_received_without_waiting():
    """Guard against a connection that is closed with bytes that the event loop has not seen."""

    async def scenario():
        ours, theirs = socket.socketpair()
        async with await SocketStream.from_socket(ours) as stream:
            limit_reading_ahead(stream)
            assert receive_nowait(stream) == b""
            theirs.sendall(b"request")
            assert receive_nowait(stream) == b"request"
            theirs.sendall(b"next")
            assert await stream.receive() == b"next"
            theirs.close()
            assert receive_nowait(stream) == b""
        assert receive_nowait(stream) == b""

    anyio.run(scenario)
