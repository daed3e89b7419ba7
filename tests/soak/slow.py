"""Read answers slowly, and check that those whose bytes move are not cut."""

import random
import socket
import time
from dataclasses import dataclass, field

import anyio
import h11

from .processes import Process

SLOW_PATH, SLOW_TIMEOUT_SECONDS = "/slow/", 8.0
# An answer takes longer than 4 s, so that a bound on the time of reading shows.
ANSWER_BYTES, BYTES_PER_SECOND, BUFFER_BYTES, PIECE_BYTES = 80_000, 16_000, 4_096, 800
# Answers that end within this time before the time of the request, or of the process, is used up
# may be cut.
MARGIN_SECONDS = 0.5


@dataclass
class SlowAnswer:
    """What a slow caller got; its last bytes came at `received_at`."""

    identifier: str
    sent_at: float
    status: int = 0
    body: bytearray = field(default_factory=bytearray)
    received_at: float = 0.0
    ended_at: float = 0.0
    is_whole: bool = False


def make_slow_answer(identifier: str) -> bytes:
    return f"{identifier}|".encode().ljust(ANSWER_BYTES, b"x")


async def call_slowly(soak, must_answer) -> None:
    """Send requests to one gateway after the other, some on a kept connection, and read slowly."""
    # A separate generator keeps the other faults of a seed as they are.
    generator = random.Random(f"slow-{soak.seed}-{soak.calls}")
    while True:
        gateway = generator.choice([p for p in soak.processes if p.role == "gateway"])
        raw = socket.socket()
        with raw:
            raw.setblocking(False)
            raw.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, BUFFER_BYTES)
            for _ in range(generator.randint(1, 3)):
                soak.calls += 1
                answer = SlowAnswer(f"w{soak.seed}-{soak.calls}", time.monotonic())
                soak.sent[answer.identifier] = gateway.name, answer.sent_at
                with anyio.move_on_after(SLOW_TIMEOUT_SECONDS + 2.0):
                    await _call(raw, gateway.settings["callers"], answer)
                answer.ended_at = time.monotonic()
                check_slow_answer(soak, gateway, answer, must_answer)
                if not answer.is_whole:
                    break
        await anyio.sleep(generator.uniform(0.0, 0.1))


async def _call(raw, address: str, answer: SlowAnswer) -> None:
    """Receive an answer on a socket, which is connected if it isn't."""
    connection = h11.Connection(h11.CLIENT)
    fields = [("Host", "soak.example"), ("X-Request-Id", answer.identifier)]
    fields.append(("X-Deadline-Ms", f"{SLOW_TIMEOUT_SECONDS * 1000:.0f}"))
    data = connection.send(h11.Request(method="GET", target=SLOW_PATH, headers=fields))
    data += connection.send(h11.EndOfMessage())
    try:
        if not raw.getsockname()[1]:
            await connect(raw, address)
        raw.send(data)
        while True:
            event = connection.next_event()
            if isinstance(event, h11.EndOfMessage):
                answer.is_whole = True
                return
            if event is h11.NEED_DATA:
                await anyio.wait_readable(raw)
                data = raw.recv(PIECE_BYTES)
                connection.receive_data(data)
                answer.received_at = time.monotonic()
                await anyio.sleep(len(data) / BYTES_PER_SECOND)
            elif isinstance(event, h11.Response):
                answer.status = event.status_code
            elif isinstance(event, h11.Data):
                answer.body += event.data
            else:
                return
    except (OSError, h11.RemoteProtocolError):
        # The answer is incomplete, which the check judges.
        return


async def connect(raw: socket.socket, address: str) -> None:
    """Connect a socket that doesn't block, whose options are set."""
    ip, _, port = address.rpartition(":")
    try:
        raw.connect((ip, int(port)))
    except BlockingIOError:
        await anyio.wait_writable(raw)
    error = raw.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
    if error:
        raise OSError(error, "connecting failed")


def check_slow_answer(soak, gateway: Process, answer: SlowAnswer, must_answer) -> None:
    """Check that an answer is whole, unless a fault or a bound on its time explains its end."""
    if answer.is_whole:
        soak.outcomes[f"slow {answer.status}"] += 1
        if answer.status == 200 and answer.body != make_slow_answer(answer.identifier):
            soak.record_fault(f"{answer.identifier} got {bytes(answer.body[:80])!r}")
        return
    soak.outcomes["slow, cut" if answer.status else "slow, no answer"] += 1
    if not answer.status:
        return
    text = (
        f"{answer.identifier} of {gateway.name} was cut after {len(answer.body)} bytes and "
        f"{answer.ended_at - answer.sent_at:.2f} s"
    )
    soak.log_event(text)
    if must_deliver(gateway, answer, must_answer):
        soak.record_fault(text)


def must_deliver(gateway: Process, answer: SlowAnswer, must_answer) -> bool:
    """Return whether a gateway has to deliver all of an answer that it has begun.

    No fault came meanwhile, except that the gateway was told to stop, and the times of the request
    and of the stopping process were not used up.
    """
    if answer.ended_at - answer.sent_at >= SLOW_TIMEOUT_SECONDS - MARGIN_SECONDS:
        return False
    faults = [at for at in gateway.fault_times if at != gateway.told_at]
    if not gateway.answered_at or max(faults, default=0.0) >= answer.sent_at:
        return False
    if not gateway.told_at or answer.ended_at < gateway.told_at:
        return True
    grace_seconds = gateway.settings["bounds"]["shutdown_grace_seconds"]
    ends_at = gateway.told_at + grace_seconds - MARGIN_SECONDS
    return must_answer(gateway, answer.sent_at) and answer.ended_at < ends_at
