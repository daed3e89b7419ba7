"""Show what the kernel does for a connection with ``TCP_USER_TIMEOUT`` over a slow link.

Run ``python -m benchmarks.link_trace``; it prints one JSON object and a table. A plain socket sends
answers through the proxy of `benchmarks.links`, and ``TCP_INFO`` is sampled until the connection
fails or everything is acknowledged. The next answer on the connection follows at once.
"""

import argparse
import json
import platform
import select
import socket
import struct
import threading
import time

from benchmarks.links import Link, start_proxy, stop_proxy

SAMPLE_SECONDS = 0.25
# Fields of ``struct tcp_info`` in ``linux/tcp.h``, with their offsets and formats.
FIELDS = {
    "state": (0, "B"),
    "retransmits": (2, "B"),
    "probes": (3, "B"),
    "backoff": (4, "B"),
    "unacked": (24, "I"),
    "last_ack_recv_ms": (56, "I"),
    "bytes_acked": (120, "Q"),
    "notsent_bytes": (144, "I"),
    "snd_wnd": (228, "I"),
}
INFO_BYTES = 232
CASES = {
    "101 KB at 16 KB/s": (Link(16_000), 101_000, 1),
    "six answers of 24 KB at 12 KB/s, late": (
        Link(12_000, late_ratio=1.0, late_seconds=2.5),
        24_000,
        6,
    ),
}


def read_info(raw):
    data = raw.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, INFO_BYTES)
    return {
        name: struct.unpack_from(f"={kind}", data, offset)[0]
        for name, (offset, kind) in FIELDS.items()
        if offset + struct.calcsize(kind) <= len(data)
    }


def read_all(address, answer_bytes, count):
    """Ask for each answer when the one before has arrived."""
    ip, _, port = address.rpartition(":")
    with socket.create_connection((ip, int(port))) as caller:
        try:
            for _ in range(count):
                caller.sendall(b"next")
                remaining = answer_bytes
                while remaining:
                    data = caller.recv(min(remaining, 65_536))
                    if not data:
                        return
                    remaining -= len(data)
        except ConnectionError:
            # The sender's rows tell when and why.
            return


def trace(link, answer_bytes, count, timeout_milliseconds, seed):
    rows = []
    with socket.create_server(("127.0.0.1", 0)) as listener:
        proxy = start_proxy(["{}:{}".format(*listener.getsockname())], link, seed)
        reader = threading.Thread(target=read_all, args=(proxy.addresses[0], answer_bytes, count))
        reader.start()
        sender, _ = listener.accept()
        with sender:
            sender.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            sender.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, timeout_milliseconds)
            begin = time.monotonic()
            for number in range(1, count + 1):
                if not trace_answer(sender, number, answer_bytes, begin, rows):
                    break
        reader.join()
        stop_proxy(proxy)
    return rows


def trace_answer(sender, number, answer_bytes, begin, rows):
    """Send an answer, add a row for each sample, and return whether it was acknowledged."""
    sender.setblocking(True)
    if not sender.recv(4):
        return False
    sender.setblocking(False)
    rest, sent_at = memoryview(b"x" * answer_bytes), time.monotonic()
    while True:
        now, error = time.monotonic(), 0
        try:
            while rest:
                rest = rest[sender.send(rest) :]
        except BlockingIOError:
            pass
        except OSError as failure:
            error = failure.errno
        error = error or sender.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        row = {"answer": number, "s": round(now - begin, 2), "in_answer_s": round(now - sent_at, 2)}
        row |= read_info(sender) | {"error": error}
        rows.append(row)
        if error:
            return False
        if not rest and not row["unacked"] and not row["notsent_bytes"]:
            return True
        # A failure of the connection ends the wait.
        poll = select.poll()
        poll.register(sender, 0)
        poll.poll(SAMPLE_SECONDS * 1000)


def run():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--timeout", type=int, default=4_000, help="of the user, in milliseconds")
    options = parser.parse_args()
    cases = {
        name: trace(link, size, count, options.timeout, options.seed)
        for name, (link, size, count) in CASES.items()
    }
    report = {
        "benchmark": "link_trace",
        "machine": platform.machine(),
        "kernel": platform.release(),
    }
    print(json.dumps({**report, "timeout_ms": options.timeout, "cases": cases}))
    for name, rows in cases.items():
        print(f"\n{name}\n" + " | ".join(rows[0]))
        for row in rows:
            print(" | ".join(str(value) for value in row.values()))


if __name__ == "__main__":
    run()
