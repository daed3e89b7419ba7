"""Measure how many chunks of token streams one host process forwards, and what each costs.

Run ``python -m benchmarks.streams``; it prints one JSON object and a table. Every chunk has one
token. The host's processor time is measured while all streams run.
"""

import asyncio
import json
import os
import tempfile
import time
from pathlib import Path

from benchmarks.serving import KEY, run_load
from marjorambridge.configuration.commands import PutService, PutWorkspace, PutZone
from marjorambridge.configuration.models import Service, ServiceKind, Workspace
from marjorambridge.standins import fleet as local

ENGINES, CONCURRENCY = 32, 16
STREAMS = (20, 60, 120, 240, 480)
TOKENS_PER_SECOND = 20.0
SETTLE_SECONDS, MEASURE_SECONDS = 3.0, 6.0
ENGINE = {
    "kv_capacity_tokens": 10_000_000,
    "prefill_tokens_per_second": 1e6,
    "decode_tokens_per_second": TOKENS_PER_SECOND,
    "natural_output_tokens": 1_000_000_000,
    "concurrency": CONCURRENCY,
    "step_seconds": 1.0 / TOKENS_PER_SECOND,
    "starts_cold": False,
}
SERVICE = "sprachdienst"


def read_cpu(pid):
    fields = Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def read_memory(pid):
    return int(Path(f"/proc/{pid}/statm").read_text().split()[1]) * os.sysconf("SC_PAGE_SIZE")


async def count_chunks(address, number, counts, tokens):
    ip, _, port = address.rpartition(":")
    body = {"model": SERVICE, "prompt": f"{number} stream", "max_tokens": tokens, "stream": True}
    data = json.dumps(body).encode()
    reader, writer = await asyncio.open_connection(ip, int(port))
    writer.write(
        b"POST /v1/completions HTTP/1.1\r\nhost: fleet\r\nconnection: close\r\n"
        b"authorization: Bearer %s\r\ncontent-length: %d\r\n\r\n" % (KEY.encode(), len(data)) + data
    )
    try:
        while part := await reader.read(65_536):
            counts[number] += part.count(b'"text":"')
    except OSError:
        return
    finally:
        writer.close()


async def measure_streams(host, streams):
    pid, counts = host.process.pid, [0] * streams
    tokens = int((SETTLE_SECONDS + MEASURE_SECONDS + 3.0) * TOKENS_PER_SECOND)
    tasks = [
        asyncio.create_task(count_chunks(host.caller_address, n, counts, tokens))
        for n in range(streams)
    ]
    await asyncio.sleep(SETTLE_SECONDS)
    cpu, own_cpu, begin, before = (
        read_cpu(pid),
        read_cpu(os.getpid()),
        time.monotonic(),
        sum(counts),
    )
    await asyncio.sleep(MEASURE_SECONDS)
    seconds, chunks = time.monotonic() - begin, sum(counts) - before
    used = read_cpu(pid) - cpu
    row = {
        "offered_per_s": streams * TOKENS_PER_SECOND,
        "chunks_per_s": round(chunks / seconds),
        "host_core_percent": round(100 * used / seconds, 1),
        "host_us_per_chunk": round(1e6 * used / max(1, chunks), 1),
        "client_core_percent": round(100 * (read_cpu(os.getpid()) - own_cpu) / seconds, 1),
        "host_memory_mb": round(read_memory(pid) / 1e6, 1),
    }
    await asyncio.gather(*tasks)
    return row


async def measure_all(host):
    await run_load([host.caller_address], SERVICE, "warm", [(n * 0.01, 100) for n in range(900)])
    return {streams: await measure_streams(host, streams) for streams in STREAMS}


def run():
    load = os.getloadavg()[0]
    with tempfile.TemporaryDirectory() as folder:
        fleet = local.create_fleet(Path(folder), hosts=1, replicas=1)
        host = fleet.hosts["host-0"]
        try:
            local.start_host(fleet, host.name)
            local.wait_ready(fleet)
            service = Service(SERVICE, ServiceKind.ENGINE, ("zone-a",), bytes_per_token=4.0)
            workspace = Workspace("bench", (local.hash_secret(KEY),), (SERVICE,))
            changes = [PutZone("zone-a", "region-1"), PutService(service), PutWorkspace(workspace)]
            local.apply_changes(fleet, changes)
            for number in range(ENGINES):
                local.add_engine(
                    fleet, f"engine-{number}", service=SERVICE, zone="zone-a", **ENGINE
                )
            local.wait_until(
                lambda: local.count_known_endpoints(fleet, SERVICE) >= ENGINES,
                "engines are registered",
            )
            rows = asyncio.run(measure_all(host))
        finally:
            local.close_fleet(fleet)
    loads = [round(load, 1), round(os.getloadavg()[0], 1)]
    report = {"benchmark": "streams", "cores": os.cpu_count(), "streams": rows}
    print(json.dumps({**report, "load_average_before_and_after": loads}))
    for streams, row in rows.items():
        print(f"{streams:>5} streams  " + "  ".join(f"{k} {v}" for k, v in row.items()))


if __name__ == "__main__":
    run()
