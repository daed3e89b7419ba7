"""Proxy completions round robin over engines, as the baseline of `benchmarks.serving`.

It has no limits, no ramp, no priority classes and no zones. A request that fails before its answer
begins is sent again to the next engine, whatever the reason.
"""

import asyncio
import sys

MAX_TRIES = 4
READ_BYTES = 65_536


async def read_request(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    length = 0
    for line in head.lower().split(b"\r\n"):
        if line.startswith(b"content-length:"):
            length = int(line.split(b":")[1])
    return await reader.readexactly(length)


async def forward(engine, body, writer):
    """Forward one request; return whether any byte of a successful answer was passed on."""
    ip, _, port = engine.rpartition(":")
    reader, upstream = await asyncio.open_connection(ip, int(port))
    try:
        head = b"POST /v1/completions HTTP/1.1\r\nhost: engine\r\nconnection: close\r\n"
        upstream.write(head + b"content-length: %d\r\n\r\n" % len(body) + body)
        await upstream.drain()
        data = await reader.read(READ_BYTES)
        if not data.startswith(b"HTTP/1.1 200"):
            return False
        while data:
            writer.write(data)
            await writer.drain()
            data = await reader.read(READ_BYTES)
        return True
    finally:
        upstream.close()


async def serve(engines, port):
    position = 0

    async def handle(reader, writer):
        nonlocal position
        try:
            body = await read_request(reader)
            for _ in range(MAX_TRIES):
                position += 1
                try:
                    if await forward(engines[position % len(engines)], body, writer):
                        return
                except OSError:
                    continue
            writer.write(b"HTTP/1.1 503 Failed\r\ncontent-length: 0\r\nconnection: close\r\n\r\n")
            await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            return
        finally:
            writer.close()

    server = await asyncio.start_server(handle, "127.0.0.1", port)
    async with server:
        await server.serve_forever()


if __name__ == "__main__":
    asyncio.run(serve(sys.argv[2:], int(sys.argv[1])))
