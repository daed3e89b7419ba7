"""Send messages to other hosts and receive theirs, over authenticated TCP connections.

Each host opens its own connection for the messages that it sends. Delivery is best effort: messages
are dropped when the peer can't be reached for some time, and the reducers tolerate the loss.

A message whose connection ended without an acknowledgement is sent again on the next one. The peer
recognizes by its number that it arrived before. A peer that restarted meanwhile does not, so that a
message may reach two incarnations of a host; the reducers tolerate that, too.
"""

import math
import secrets
import socket
import time
from collections import deque
from collections.abc import Callable
from typing import Any

import anyio
from anyio.abc import (
    ByteStream,
    Listener,
    SocketAttribute,
    SocketListener,
    SocketStream,
    TaskGroup,
    TaskStatus,
)
from anyio.streams.buffered import BufferedByteReceiveStream
from loguru import logger
from msgspec import Struct, field

from marjorambridge.conf import defaults
from marjorambridge.core.events import Event, MessageReceived
from marjorambridge.core.exceptions import MarjorambridgeError
from marjorambridge.core.numbers import clamp
from marjorambridge.transport import early, frames
from marjorambridge.transport.acknowledgements import (
    ACKNOWLEDGEMENT_INTERVAL_SECONDS,
    STREAM_ERRORS,
    ReceivedFrames,
    SentBatch,
    SentFrames,
    compute_timeout,
    count_received,
    end_received,
    is_under_way,
    list_unacknowledged,
    read_acknowledgements,
    record_batch,
    record_delivery,
    send_acknowledgements,
)
from marjorambridge.transport.exceptions import FrameError, HandshakeError
from marjorambridge.transport.progress import read_progress
from marjorambridge.transport.turn_queue import TurnQueue, acquire_turn, grant_turns
from marjorambridge.wire.codec import decode_message, encode_message
from marjorambridge.wire.exceptions import MessageEncodeError, UnknownMessageError, WireError
from marjorambridge.wire.gen.frame.ttypes import Hello

HANDSHAKE_TIMEOUT_SECONDS = 2.0
# Bytes on their way of which none arrives for this long indicate a network partition without
# resets; the connection is closed so that a new one can be opened when the network has recovered.
SEND_TIMEOUT_SECONDS = 2.0
# Time between two looks at what the system of a peer has received, while bytes are on their way.
DELIVERY_INTERVAL_SECONDS = 0.25
MESSAGE_LIFETIME_SECONDS = 2.0
# Unknown kinds of messages that are logged for a connection.
MAX_LOGGED_KINDS = 16
# A connection without a message for this long is closed. It may have become silent without a reset,
# and the next message would be lost. Regular messages are sent at least every 1.3 s.
IDLE_TIMEOUT_SECONDS = 3.0
MAX_QUEUED_MESSAGES = 4_096
# The connections of a process that ended may still be read after the first ones of its successor.
MAX_KNOWN_INCARNATIONS = 4
MAX_BATCH_BYTES = 256 * 1024
# The backoff is reset after a connection that lasted this long.
STABLE_CONNECTION_SECONDS = 1.0
MIN_BACKOFF_SECONDS = 0.05
# After a power failure hosts and replicas start within a second of one another, and callers wait
# for the first connections; a refused connection costs little.
MAX_BACKOFF_SECONDS = 0.25
CONNECTION_ERRORS = (*STREAM_ERRORS, MarjorambridgeError)


class QueuedMessage(Struct):
    """A message that waits to be sent or to be acknowledged.

    Attributes
    ----------
    expires_at : float
        Monotonic time in seconds after which it is not sent, or not sent again.
    number : int
        Number among the messages to this peer; 0 before the message was sent.
    """

    expires_at: float
    message: Any
    number: int = 0


class Peer(Struct):
    """Queue of the messages to one host.

    Attributes
    ----------
    last_number : int
        Number of the last message that was sent.
    """

    queue: deque[QueuedMessage] = field(default_factory=deque)
    last_number: int = 0
    wakeup: anyio.Event = field(default_factory=anyio.Event)


class Network(Struct):
    """The connections of this host.

    Attributes
    ----------
    resolve : callable
        Returns the ``ip:port`` of a host, or None if it is unknown.
    post : callable
        Receives one event for each message.
    is_urgent : callable
        Returns whether the messages of a host take precedence over all others.
    turn_queue : TurnQueue
        Queue of the low-priority messages that wait to be processed.
    handshake_addresses : dict of str to str
        Addresses from authenticated handshakes, for hosts that are not in the view yet.
    received_numbers : dict of str to dict of int to int
        Number of the last message from each host, by incarnation.
    sent_bytes, received_bytes : int
        Totals for the metrics.
    """

    host: str
    incarnation: int
    fleet: str
    fleet_key: bytes
    address: str
    resolve: Callable[[str], str | None]
    post: Callable[[Event], None]
    is_urgent: Callable[[str], bool] = lambda host: True
    turn_queue: TurnQueue = field(default_factory=TurnQueue)
    peers: dict[str, Peer] = field(default_factory=dict)
    handshake_addresses: dict[str, str] = field(default_factory=dict)
    received_numbers: dict[str, dict[int, int]] = field(default_factory=dict)
    tasks: TaskGroup | None = None
    closed: anyio.Event = field(default_factory=anyio.Event)
    sent_bytes: int = 0
    received_bytes: int = 0


async def start(network: Network, tasks: TaskGroup, listen: str) -> None:
    """Listen on ``ip:port`` and accept messages to send."""
    await tasks.start(_run, network, listen)


async def close(network: Network) -> None:
    """Stop listening and drop all connections; the address is free when the call returns."""
    if network.tasks is not None:
        network.tasks.cancel_scope.cancel()
        await network.closed.wait()


def send(network: Network, host: str, message: Any, lifetime: float = math.inf) -> None:
    """Queue a message; the oldest one is dropped when the queue is full.

    Parameters
    ----------
    lifetime : float
        Time in seconds for which the message may wait, if less than `MESSAGE_LIFETIME_SECONDS`.
    """
    peer = network.peers.get(host)
    if peer is None:
        peer = network.peers[host] = Peer()
        network.tasks.start_soon(_run_sender, network, host, peer)
    if len(peer.queue) >= MAX_QUEUED_MESSAGES:
        peer.queue.popleft()
    expires_at = time.monotonic() + min(lifetime, MESSAGE_LIFETIME_SECONDS)
    peer.queue.append(QueuedMessage(expires_at, message))
    peer.wakeup.set()


async def _run(network: Network, listen: str, *, task_status: TaskStatus) -> None:
    listener = await _open_listener(listen)
    try:
        async with listener, anyio.create_task_group() as tasks:
            network.tasks = tasks
            tasks.start_soon(grant_turns, network.turn_queue)
            task_status.started()
            await listener.serve(lambda stream: _run_receiver(network, stream), tasks)
    finally:
        network.closed.set()


async def _open_listener(listen: str) -> Listener[SocketStream]:
    opened = early.take_socket(listen)
    if opened is not None:
        return await SocketListener.from_socket(opened)
    ip, _, port = listen.rpartition(":")
    return await anyio.create_tcp_listener(local_host=ip, local_port=int(port))


def _set_options(stream: ByteStream) -> None:
    raw = stream.extra(SocketAttribute.raw_socket)
    raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)


def _bound_retransmissions(stream: ByteStream) -> None:
    """Let the kernel drop what stays unacknowledged, also if a slow peer still reads."""
    timeout_milliseconds = int(SEND_TIMEOUT_SECONDS * 1000)
    raw = stream.extra(SocketAttribute.raw_socket)
    try:
        raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, timeout_milliseconds)
    except OSError as error:
        logger.bind(error=repr(error)).debug("connection to a peer was lost")


def _make_hello(network: Network) -> bytes:
    return frames.encode_hello(
        Hello(
            version=frames.PROTOCOL_VERSION,
            fleet=network.fleet,
            host=network.host,
            incarnation=network.incarnation,
            address=network.address,
            nonce=secrets.token_bytes(frames.NONCE_BYTES),
            acknowledges=True,
            recognizes_repeats=True,
        )
    )


async def _read_frame(reader: BufferedByteReceiveStream) -> bytes:
    header = await reader.receive_exactly(frames.LENGTH.size)
    (length,) = frames.LENGTH.unpack(header)
    if length > defaults.MAX_FRAME_BYTES:
        raise FrameError(
            f"a frame of {length} bytes exceeds {defaults.MAX_FRAME_BYTES}; the peer is faulty"
        )
    return await reader.receive_exactly(length)


async def _run_receiver(network: Network, stream: ByteStream) -> None:
    async with stream:
        try:
            await _receive_messages(network, stream)
        except (HandshakeError, FrameError, WireError) as error:
            logger.bind(error=str(error)).warning("refused a connection from a peer")
        except CONNECTION_ERRORS:
            return


async def _receive_messages(network: Network, stream: ByteStream) -> None:
    _set_options(stream)
    # The acknowledgements, which are all that is sent here, never fill the window of a peer, so
    # that the kernel ends only connections to one that has vanished.
    _bound_retransmissions(stream)
    reader = BufferedByteReceiveStream(stream)
    with anyio.fail_after(HANDSHAKE_TIMEOUT_SECONDS):
        dialer = await _read_frame(reader)
        hello = frames.decode_hello(dialer, network.fleet)
        acceptor = _make_hello(network)
        await stream.send(frames.add_length(acceptor))
    session = frames.derive_session(network.fleet_key, dialer, acceptor)
    received = ReceivedFrames()
    if hello.acknowledges:
        network.tasks.start_soon(send_acknowledgements, stream, received)
    try:
        await _receive_frames(network, hello, session, reader, received)
    finally:
        end_received(received)


async def _receive_frames(
    network: Network,
    hello: Hello,
    session: frames.Session,
    reader: BufferedByteReceiveStream,
    received: ReceivedFrames,
) -> None:
    logged: set[str] = set()
    while True:
        data = await _read_frame(reader)
        count_received(received)
        if not network.is_urgent(hello.host):
            await acquire_turn(network.turn_queue)
        frame = frames.open_frame(session, data)
        network.received_bytes += len(data) + frames.LENGTH.size
        network.handshake_addresses[hello.host] = hello.address
        if _is_repeated(network, hello, frame.number):
            continue
        try:
            message = decode_message(frame.kind, frame.body)
        except UnknownMessageError as error:
            # The frame is authentic, and the connection serves the messages that are known.
            text = str(error)
            if text not in logged and len(logged) < MAX_LOGGED_KINDS:
                logged.add(text)
                logger.bind(peer=hello.host, error=text).warning("dropped unknown messages")
            continue
        network.post(MessageReceived(time.monotonic(), hello.host, hello.incarnation, message))


def _is_repeated(network: Network, hello: Hello, number: int | None) -> bool:
    """Return whether a message arrived before, and store its number otherwise.

    Messages are sent in the order of their numbers, so that one with a lower number than the last
    arrived before, or was given up by its sender.
    """
    if number is None:
        return False
    numbers = network.received_numbers.setdefault(hello.host, {})
    if number <= numbers.get(hello.incarnation, 0):
        return True
    numbers[hello.incarnation] = number
    if len(numbers) > MAX_KNOWN_INCARNATIONS:
        del numbers[next(iter(numbers))]
    return False


async def _run_sender(network: Network, host: str, peer: Peer) -> None:
    backoff = MIN_BACKOFF_SECONDS
    while True:
        await peer.wakeup.wait()
        address = network.resolve(host) or network.handshake_addresses.get(host)
        started = time.monotonic()
        try:
            if address is not None:
                await _send_messages(network, host, address, peer)
        except TimeoutError:
            logger.bind(peer=host).info("connection to a peer timed out")
        except (HandshakeError, FrameError) as error:
            logger.bind(peer=host, error=str(error)).warning("handshake with a peer failed")
        except CONNECTION_ERRORS as error:
            logger.bind(peer=host, error=repr(error)).debug("connection to a peer was lost")
        if time.monotonic() - started > STABLE_CONNECTION_SECONDS:
            backoff = MIN_BACKOFF_SECONDS
        _drop_old_messages(peer)
        await anyio.sleep(backoff)
        backoff = min(backoff * 2, MAX_BACKOFF_SECONDS)


def _drop_old_messages(peer: Peer) -> None:
    now = time.monotonic()
    while peer.queue and peer.queue[0].expires_at < now:
        peer.queue.popleft()
    if not peer.queue:
        peer.wakeup = anyio.Event()


async def _send_messages(network: Network, host: str, address: str, peer: Peer) -> None:
    ip, _, port = address.rpartition(":")
    with anyio.fail_after(HANDSHAKE_TIMEOUT_SECONDS):
        stream = await anyio.connect_tcp(ip, int(port))
    async with stream:
        _set_options(stream)
        dialer = _make_hello(network)
        reader = BufferedByteReceiveStream(stream)
        with anyio.fail_after(HANDSHAKE_TIMEOUT_SECONDS):
            await stream.send(frames.add_length(dialer))
            acceptor = await _read_frame(reader)
        hello = frames.decode_hello(acceptor, network.fleet)
        if hello.host != host:
            raise HandshakeError(f"{address} is {hello.host!r}, not {host!r}; check the settings")
        session = frames.derive_session(network.fleet_key, dialer, acceptor)
        sent = SentFrames(
            is_acknowledged=bool(hello.acknowledges),
            # The peer has answered the handshake, so that its bytes are acknowledged.
            handshake_bytes=_count_handshake_bytes(stream.extra(SocketAttribute.raw_socket)),
        )
        is_numbered = bool(hello.recognizes_repeats)
        try:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(read_acknowledgements, reader, sent, tasks.cancel_scope)
                tasks.start_soon(_watch_delivery, stream, sent, host, tasks.cancel_scope)
                await _send_batches(network, host, stream, session, peer, sent, is_numbered)
                tasks.cancel_scope.cancel()
        finally:
            # The kernel keeps bytes of a connection that was given up until they are acknowledged.
            _bound_retransmissions(stream)
            if is_numbered:
                _queue_again(peer, sent, host)


def _count_handshake_bytes(raw: socket.socket) -> int | None:
    """Return the bytes that a peer has acknowledged, or None if the kernel can't tell."""
    progress = read_progress(raw)
    return (progress.acknowledged_bytes or None) if progress is not None else None


async def _watch_delivery(
    stream: ByteStream, sent: SentFrames, host: str, scope: anyio.CancelScope
) -> None:
    """Record what the system of the peer has received; cancel `scope` if nothing arrives."""
    raw = stream.extra(SocketAttribute.raw_socket)
    late_since = math.nan
    while True:
        await sent.has_bytes.wait()
        remaining = sent.delivered_at + SEND_TIMEOUT_SECONDS - time.monotonic()
        pause_seconds = clamp(
            remaining, ACKNOWLEDGEMENT_INTERVAL_SECONDS, DELIVERY_INTERVAL_SECONDS
        )
        await anyio.sleep(pause_seconds)
        try:
            _record_delivery(raw, sent)
        except OSError as error:
            logger.bind(peer=host, error=repr(error)).debug("connection to a peer was lost")
            scope.cancel()
            return
        if not is_under_way(sent):
            sent.has_bytes = anyio.Event()
        elif time.monotonic() >= sent.delivered_at + SEND_TIMEOUT_SECONDS:
            if sent.delivered_at == late_since:
                logger.bind(peer=host).info("connection to a peer timed out")
                scope.cancel()
                return
            # This process may have been too busy to send, so that nothing could arrive.
            late_since = sent.delivered_at


def _record_delivery(raw: socket.socket, sent: SentFrames) -> None:
    """Record what the kernel knows of the bytes that were sent.

    Raises
    ------
    OSError
        If the connection is closed.
    """
    now, progress = time.monotonic(), read_progress(raw)
    if sent.handshake_bytes is not None and progress is not None:
        delivered = progress.acknowledged_bytes - sent.handshake_bytes
        record_delivery(sent, delivered, now - progress.silent_seconds)


def _queue_again(peer: Peer, sent: SentFrames, host: str) -> None:
    """Queue the messages that may not have arrived, before all others."""
    messages = list_unacknowledged(sent)
    if not messages:
        return
    peer.queue.extendleft(reversed(messages))
    peer.wakeup.set()
    logger.bind(peer=host, frames=len(messages)).info("messages to a peer are sent again")


async def _send_batches(
    network: Network,
    host: str,
    stream: ByteStream,
    session: frames.Session,
    peer: Peer,
    sent: SentFrames,
    is_numbered: bool,
) -> None:
    idle_at = time.monotonic() + IDLE_TIMEOUT_SECONDS
    while True:
        if not await _wait_for_messages(peer, sent, idle_at):
            if sent.batches:
                logger.bind(peer=host).info("a connection to a peer is silent")
            return
        data, messages = _encode_batch(session, peer, is_numbered)
        if not messages:
            continue
        batch = SentBatch(session.sequence, time.monotonic(), messages)
        record_batch(sent, batch, len(data))
        try:
            await stream.send(data)
        except CONNECTION_ERRORS as error:
            logger.bind(error=repr(error)).debug("failed to send to a peer")
            return
        network.sent_bytes += len(data)
        batch.sent_at = time.monotonic()
        if sent.handshake_bytes is None:
            record_delivery(sent, sent.sent_bytes, batch.sent_at)
        idle_at = batch.sent_at + IDLE_TIMEOUT_SECONDS


async def _wait_for_messages(peer: Peer, sent: SentFrames, idle_at: float) -> bool:
    """Wait for messages; return whether there are any and the connection may be used."""
    while True:
        now = time.monotonic()
        if is_under_way(sent):
            idle_at = max(idle_at, now + DELIVERY_INTERVAL_SECONDS)
        # Acknowledgements that arrive meanwhile do not end the wait.
        ends_at = [at for at in (idle_at, compute_timeout(sent)) if at is not None and at > now]
        with anyio.move_on_after(min(ends_at, default=now) - now):
            await peer.wakeup.wait()
        silent_at = compute_timeout(sent)
        if silent_at is not None and time.monotonic() >= silent_at:
            # First read the acknowledgements that arrived while this process was busy.
            await anyio.sleep(ACKNOWLEDGEMENT_INTERVAL_SECONDS)
            if compute_timeout(sent) == silent_at:
                return False
        if peer.wakeup.is_set():
            return True
        if time.monotonic() >= idle_at and not sent.batches and not is_under_way(sent):
            return False


def _encode_batch(
    session: frames.Session, peer: Peer, is_numbered: bool
) -> tuple[bytes, list[QueuedMessage]]:
    """Return the frames of the next batch and the messages in them."""
    parts: list[bytes] = []
    messages: list[QueuedMessage] = []
    size = 0
    now = time.monotonic()
    while peer.queue and size < MAX_BATCH_BYTES:
        queued = peer.queue.popleft()
        if queued.expires_at < now or (queued.number and not is_numbered):
            continue
        if not queued.number:
            peer.last_number += 1
            queued.number = peer.last_number
        try:
            kind, body = encode_message(queued.message)
        except MessageEncodeError as error:
            # Messages are not sure to arrive, and the connection serves all the others.
            logger.bind(error=str(error)).error("dropped a message that can't be encoded")
            continue
        number = queued.number if is_numbered else None
        data = frames.add_length(frames.seal_frame(session, kind, body, number=number))
        parts.append(data)
        messages.append(queued)
        size += len(data)
    if not peer.queue:
        peer.wakeup = anyio.Event()
    return b"".join(parts), messages
