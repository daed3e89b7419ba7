"""Test reports of the endpoints of a passed-on request, and fleets in which some hosts send none.

Hosts are replaced one after the other, so that each test with a peer of the version before reports
plays its messages byte by byte.
"""

import anyio
import pytest
from msgspec import Struct, json

from marjorambridge.forwarding.relays import Relay, get_relay_address
from marjorambridge.gateway import exchanges, relay_reports
from marjorambridge.gateway.callers import close_server
from marjorambridge.gateway.exchanges import send_part
from marjorambridge.gateway.messages import Attempt
from marjorambridge.gateway.relay_reports import CONFIRMATION_SECONDS, REPORT_HEADER
from marjorambridge.gateway.relays import _compute_mac
from marjorambridge.manifests.models import Execution

from .helpers import (
    SIGNED,
    answer,
    answer_whole,
    call,
    get_status,
    is_complete,
    make_chunk,
    make_head,
    make_manifest,
    make_request,
    refuse,
    stream_events,
)
from .test_relays import GOOD, IDEMPOTENT, KEY, ONCE, RESUMABLE, list_runs, lose_contact, run_fleet
from .wires import PLATFORM, find_header, read_body

IDEMPOTENT_TEN = make_manifest(Execution.IDEMPOTENT, 10, False)
RESUMABLE_THREE = make_manifest(Execution.STREAM, 3, True)
COMMENT = b": " + REPORT_HEADER
STREAM_HEADERS = b"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"


class OldRelay(Struct):
    """What a host of the version before reports reads and writes."""

    host: str
    seconds: float
    endpoints: int
    last_event: int | None = None
    version: int = 0


# Peers.


class Asker:
    """Pass a request on to a host, and read its answer piece by piece."""

    def __init__(self, stream):
        self.stream, self.data = stream, b""

    async def read_until(self, part: bytes) -> None:
        with anyio.fail_after(3):
            while part not in self.data:
                self.data += await self.stream.receive()

    async def read_all(self) -> bytes:
        """Return the answer, with the interim answers before it."""
        with anyio.fail_after(5):
            while not is_complete(self.final):
                self.data += await self.stream.receive()
        return self.final

    @property
    def final(self) -> bytes:
        """Return the final answer without the interim ones."""
        data = self.data
        while data.startswith(b"HTTP/1.1 102"):
            data = data.partition(b"\r\n\r\n")[2]
        return data


async def ask(host, relay: Struct) -> Asker:
    """Send a request as another host does that passes it on, and return the connection."""
    value = json.encode(relay)
    attempt = Attempt(b"", b"POST", b"/p/x?q=1", [], b"hello", "", None, lambda head: None)
    mac = _compute_mac(KEY, attempt, value)
    extra = b"Marjorambridge-Relay: " + value + b"\r\nMarjorambridge-Relay-Mac: " + mac + b"\r\n"
    address = get_relay_address(host.gateway.forwarding.settings.host)
    stream = await anyio.connect_tcp("127.0.0.1", int(address.rpartition(":")[2]))
    await stream.send(make_request(extra=extra + b"Connection: close\r\n"))
    return Asker(stream)


def take_as_old_host(seen: list, then):
    """Return a script of a host that reads a relay as the version before, and then answers."""

    async def run(endpoint, stream, head):
        seen.append(json.decode(find_header(head, b"marjorambridge-relay"), type=OldRelay))
        await then(endpoint, stream, head)

    return run


def add_peer(host, endpoint):
    """Let a host know a peer at the port of a fake endpoint, and return the name of the peer."""
    name = f"127.0.0.1:{endpoint.port - 1}"
    host.gateway.forwarding.hosts[name] = "z1"
    return name


def die_after(host, others, script, following):
    """Return a script after which the host that relays a request dies; the next one differs."""

    async def run(endpoint, stream, head):
        endpoint.script = following
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(script, endpoint, stream, head)
            await anyio.sleep(0.1)
            for other in others:
                if other.gateway.relayed:
                    close_server(other.relays)
            tasks.cancel_scope.cancel()

    return run


async def wait_silently(endpoint, stream, head):
    await anyio.sleep(30)


# Hosts that both report.


def test_a_whole_answer_comes_from_a_third_host_when_the_relay_dies_before_it():
    """Guard against an error for what may be repeated, before a byte of the answer has come."""

    async def scenario():
        async with run_fleet(IDEMPOTENT, GOOD, cut=(True, False, False)) as (host, *others):
            await lose_contact(host)
            host.endpoints[0].script = die_after(host, others, wait_silently, GOOD)
            data = await call(host, make_request())
            assert (get_status(data), read_body(data)) == (200, b"good")
            assert len(list_runs(host)) == 2

    anyio.run(scenario)


def test_an_endpoint_that_a_relay_used_within_a_stream_counts():
    """Guard against a fourth endpoint, after a relay that died used two of the three allowed."""

    async def scenario():
        cut = (True, False, False, False)
        scripts = [stream_events(1, 3, "silent"), *[GOOD] * 3]
        async with run_fleet(RESUMABLE_THREE, *scripts, cut=cut) as (host, *others):
            await lose_contact(host)
            following = stream_events(4, 4, "reset")
            second = die_after(host, others, stream_events(4, 4, "silent"), following)
            for endpoint in host.endpoints[1:]:
                endpoint.script = second
            host.endpoints[0].script = switch(scripts[0], following)
            with anyio.move_on_after(5):
                await call(host, make_request())
            assert len(list_runs(host)) == 3

    def switch(script, following):
        async def run(endpoint, stream, head):
            endpoint.script = following
            await script(endpoint, stream, head)

        return run

    anyio.run(scenario)


def test_more_reports_than_interim_answers_that_an_endpoint_may_send():
    """Guard against a relay that is given up because it reports many endpoints."""

    async def scenario():
        async with run_fleet(IDEMPOTENT_TEN, *[refuse] * 10) as (host, _):
            await lose_contact(host)
            data = await call(host, make_request())
            assert get_status(data) == 503
            assert len(list_runs(host)) == 10

    anyio.run(scenario)


@pytest.mark.parametrize("is_confirmed", [True, False], ids=["confirmed", "silent"])
@pytest.mark.parametrize("has_begun", [True, False], ids=["in the stream", "before the answer"])
def test_a_second_endpoint_is_used_only_after_the_confirmation(is_confirmed, has_begun):
    """Guard against an endpoint that the host that would have to count it does not know of."""

    async def scenario():
        whole = stream_events(1, 6, "complete")
        async with run_fleet(RESUMABLE, whole, whole, cut=(False, False)) as (_, other):
            first = stream_events(1, 3, "silent") if has_begun else refuse
            for endpoint in other.endpoints:
                endpoint.script = only_first(other, first, whole)
            asker = await ask(other, Relay("a:1", 3.0, 2, reports=True))
            await asker.read_until(REPORT_HEADER + b": 1\r\n")
            second = COMMENT + b" 2\n\n" if has_begun else REPORT_HEADER + b": 2\r\n"
            await asker.read_until(second)
            await anyio.sleep(CONFIRMATION_SECONDS / 2)
            assert len(list_runs(other)) == 1
            if is_confirmed:
                await asker.stream.send(b"1\n2\n")
                data = (await asker.read_all()).replace(make_chunk(COMMENT + b" 2\n\n"), b"")
                assert PLATFORM.list_items(data) == [1, 2, 3, 4, 5, 6]
                assert len(list_runs(other)) == 2
            else:
                await anyio.sleep(2 * CONFIRMATION_SECONDS)
                assert len(list_runs(other)) == 1
            await asker.stream.aclose()

    def only_first(host, first, following):
        async def run(endpoint, stream, head):
            for other in host.endpoints:
                other.script = following
            await first(endpoint, stream, head)

        return run

    anyio.run(scenario)


def test_a_stream_that_goes_on_during_a_report_is_whole(monkeypatch):
    """Guard against an event and a report that are written at the same time, which cuts both."""
    writing, overlaps = [], []
    started = anyio.Event()

    async def send_slowly(exchange, data):
        started.set()
        writing.append(data)
        try:
            await anyio.sleep(0.1)
        finally:
            writing.remove(data)
        await send_part(exchange, data)

    async def send_event(exchange, data):
        overlaps.extend(writing)
        await send_part(exchange, data)

    async def go_on(endpoint, stream, head):
        await stream.send(make_head(head, b"200 OK", SIGNED + STREAM_HEADERS))
        await stream.send(make_chunk(PLATFORM.make_events(1, 3)))
        await started.wait()
        await stream.send(make_chunk(PLATFORM.make_events(4, 6)) + b"0\r\n\r\n")

    async def scenario():
        monkeypatch.setattr(relay_reports, "send_part", send_slowly)
        monkeypatch.setattr(exchanges, "send_part", send_event)
        async with run_fleet(RESUMABLE, go_on, go_on, cut=(False, False)) as (_, other):
            asker = await ask(other, Relay("a:1", 3.0, 2, reports=True))
            data = await asker.read_all()
            assert started.is_set() and not overlaps
            assert PLATFORM.list_items(data) == [1, 2, 3, 4, 5, 6]
            assert len(list_runs(other)) == 1
            await asker.stream.aclose()

    anyio.run(scenario)


def test_reports_of_more_endpoints_than_allowed_are_not_confirmed():
    """Guard against a count below zero after numbers that no host of the fleet sends."""

    async def scenario():
        seen = []

        async def report(endpoint, stream, head):
            for number in (b"9", b"x", b"-1", b"1"):
                line = REPORT_HEADER + b": " + number
                await stream.send(b"HTTP/1.1 102 Processing\r\n" + line + b"\r\n\r\n")
            seen.append(await stream.receive())
            await answer_good(endpoint, stream, head)

        outcome = b"Marjorambridge-Relay-Outcome: answered;1\r\n"
        answer_good = answer(b"200 OK", SIGNED + outcome + b"Content-Length: 4\r\n", b"good")
        async with run_fleet(IDEMPOTENT, GOOD, report, cut=(True,)) as (host,):
            await lose_contact(host)
            add_peer(host, host.endpoints[1])
            data = await call(host, make_request())
            assert (get_status(data), read_body(data)) == (200, b"good")
            assert seen == [b"1\n"]

    anyio.run(scenario)


# Hosts of the version before reports.


@pytest.mark.parametrize("first", ["refusal", "silent stream"])
def test_a_host_that_reads_no_reports_gets_none(first):
    """Guard against interim answers and waits that a host of the version before can't meet."""

    async def scenario():
        whole = stream_events(1, 6, "complete")
        async with run_fleet(RESUMABLE, whole, whole, cut=(False, False)) as (_, other):
            script = refuse if first == "refusal" else stream_events(1, 3, "silent")

            async def run(endpoint, stream, head):
                for known in other.endpoints:
                    known.script = whole
                await script(endpoint, stream, head)

            for endpoint in other.endpoints:
                endpoint.script = run
            asker = await ask(other, OldRelay("a:1", 3.0, 2))
            data = await asker.read_all()
            assert asker.data.startswith(b"HTTP/1.1 200 ")
            assert REPORT_HEADER not in asker.data.lower()
            assert PLATFORM.list_items(data) == [1, 2, 3, 4, 5, 6]
            assert len(list_runs(other)) == 2
            await asker.stream.aclose()

    anyio.run(scenario)


def test_a_host_that_sends_no_reports_serves_as_before():
    """Guard against a relay that a host of the version before can't read."""

    async def scenario():
        seen = []
        outcome = b"Marjorambridge-Relay-Outcome: answered;1\r\n"
        whole = answer(b"200 OK", SIGNED + outcome + b"Content-Length: 4\r\n", b"good")
        old = take_as_old_host(seen, whole)
        async with run_fleet(ONCE, answer_whole(b"other"), old, cut=(True,)) as (host,):
            await lose_contact(host)
            add_peer(host, host.endpoints[1])
            data = await call(host, make_request())
            assert (get_status(data), read_body(data)) == (200, b"good")
            assert [relay.endpoints for relay in seen] == [1]

    anyio.run(scenario)


def test_all_endpoints_count_when_a_host_dies_that_sends_no_reports():
    """Guard against endpoints beyond the limit, of which a host of the version before says none."""

    async def scenario():
        seen = []
        old = take_as_old_host(seen, stream_events(1, 3, "reset"))
        scripts = stream_events(1, 6, "complete"), old
        async with run_fleet(RESUMABLE, *scripts, cut=(True, False)) as (host, other):
            await lose_contact(host)
            other.endpoints[0].requests.clear()
            name = add_peer(host, host.endpoints[1])
            # The host of the version before is asked first.
            host.gateway.forwarding.hosts[other.gateway.forwarding.settings.host] = "z2"
            assert name in host.gateway.forwarding.hosts
            data = await call(host, make_request())
            assert [relay.endpoints for relay in seen] == [2]
            assert PLATFORM.list_items(data) == [1, 2, 3]
            assert not PLATFORM.is_whole(data)
            assert not other.endpoints[0].requests

    anyio.run(scenario)
