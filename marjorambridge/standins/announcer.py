"""Announce a stand-in to the hosts in turn, as through a load balancer."""

import asyncio
from collections.abc import Callable

import httpcore
import msgspec

from marjorambridge.limits.messages import Announcement

REQUEST_TIMEOUTS = {"connect": 0.5, "read": 1.0, "write": 1.0, "pool": 1.0}


async def post_json(pool: httpcore.AsyncConnectionPool, url: str, body: object) -> int:
    """Post a JSON body and return the status; 0 if no answer came."""
    try:
        response = await pool.request(
            "POST",
            url,
            headers={"content-type": "application/json"},
            content=msgspec.json.encode(body),
            extensions={"timeout": REQUEST_TIMEOUTS},
        )
    except (httpcore.NetworkError, httpcore.TimeoutException, httpcore.ProtocolError):
        return 0
    return response.status


async def announce_forever(
    hosts: tuple[str, ...], interval_seconds: float, build: Callable[[], Announcement | None]
) -> None:
    """Post an announcement to the next of `hosts` every `interval_seconds`.

    A host that does not answer is skipped at once, as a load balancer's health check would do.
    `build` returns None while the stand-in sends no announcements.
    """
    host_index = 0
    async with httpcore.AsyncConnectionPool(max_connections=8) as pool:
        while True:
            announcement = build()
            if announcement is not None:
                for _ in range(len(hosts)):
                    host_index += 1
                    url = f"http://{hosts[host_index % len(hosts)]}/v1/announce"
                    if await post_json(pool, url, announcement) == 204:
                        break
            await asyncio.sleep(interval_seconds)
