"""Test hosts that reach no endpoint and pass requests on to another host."""

import contextlib
import random
import socket
from contextlib import asynccontextmanager

import anyio
import pytest
from msgspec.structs import replace

from marjorambridge.conf import defaults
from marjorambridge.forwarding.contact import is_lost
from marjorambridge.forwarding.fleet import apply_entry, apply_manifest
from marjorambridge.forwarding.relays import get_relay_address
from marjorambridge.forwarding.settings import ForwardingSettings
from marjorambridge.forwarding.state import create_state
from marjorambridge.gateway.callers import close_server, start_server
from marjorambridge.gateway.exchanges import Server
from marjorambridge.gateway.relays import RELAY_HEADER_BYTES, encode_refusal
from marjorambridge.gateway.requests import handle_relayed_request, handle_request
from marjorambridge.gateway.state import Gateway
from marjorambridge.gateway.streams import reset
from marjorambridge.gateway.tickets import configure_tickets
from marjorambridge.manifests.models import Execution
from marjorambridge.platform.dialect import create_dialect

from .helpers import (
    SIGNED,
    FakeEndpoint,
    GatewayHarness,
    answer,
    answer_whole,
    call,
    find_port,
    get_status,
    make_entry,
    make_manifest,
    make_request,
    refuse,
    stream_events,
)
from .wires import PLATFORM, find_header, read_body

ONCE = make_manifest(Execution.AT_MOST_ONCE, 1, False)
IDEMPOTENT = make_manifest(Execution.IDEMPOTENT, 2, False)
RESUMABLE = make_manifest(Execution.STREAM, 2, True)
KEY = b"key of the fleet"
UNREACHABLE = "127.0.0.1:1"
GOOD = answer_whole(b"good")


def find_ports() -> int:
    """Return a free port after which another one is free."""
    while True:
        port = find_port()
        with contextlib.suppress(OSError), socket.socket() as probe:
            probe.bind(("127.0.0.1", port + 1))
            return port


@asynccontextmanager
async def run_fleet(manifest, *scripts, cut=(True, False)):
    """Run a host for each item of `cut`, true if it reaches no endpoint, with shared endpoints."""
    names = {f"127.0.0.1:{find_ports()}": "z1" for _ in cut}
    dialect = create_dialect()
    limits = replace(
        manifest.limits, header_bytes=manifest.limits.header_bytes + RELAY_HEADER_BYTES
    )
    endpoints = [FakeEndpoint(f"e{n}", script) for n, script in enumerate(scripts)]
    hosts = []
    async with anyio.create_task_group() as tasks:
        for endpoint in endpoints:
            listener = await anyio.create_tcp_listener(local_host="127.0.0.1", local_port=0)
            endpoint.port = listener.extra(anyio.abc.SocketAttribute.local_port)
            tasks.start_soon(listener.serve, endpoint.serve)
        for number, (name, is_cut) in enumerate(zip(names, cut, strict=True)):
            state = create_state(ForwardingSettings(name, "z1", retry_allowance=100.0), number)
            state.generator = random.Random(number)
            apply_manifest(state, manifest)
            for rank, endpoint in enumerate(endpoints):
                apply_entry(state, make_entry(endpoint, rank), 0.0)
                if is_cut:
                    state.endpoints[endpoint.name].address = UNREACHABLE
            state.hosts = dict(names)
            gateway = Gateway(state, dialect, record_metric=lambda effect: None, relay_key=KEY)
            configure_tickets(gateway, tasks, number)
            hosts.append(await start_host(tasks, gateway, endpoints, manifest.limits, limits))
        yield hosts
        for host in hosts:
            close_server(host.server)
        tasks.cancel_scope.cancel()


async def start_host(tasks, gateway, endpoints, limits, relay_limits):
    server = Server(
        lambda exchange: handle_request(gateway, exchange),
        lambda: limits,
        encode_error=gateway.dialect.encode_error,
    )
    relays = Server(
        lambda exchange: handle_relayed_request(gateway, exchange),
        lambda: relay_limits,
        encode_error=lambda outcome: encode_refusal(gateway.dialect, outcome),
    )
    port = find_port()
    await start_server(server, tasks, "127.0.0.1", port)
    ip, _, relay_port = get_relay_address(gateway.forwarding.settings.host).rpartition(":")
    await start_server(relays, tasks, ip, int(relay_port))
    host = GatewayHarness(gateway, server, port, endpoints)
    host.relays = relays
    return host


async def lose_contact(host):
    """Send requests until the host knows that it reaches no endpoint."""
    with anyio.fail_after(3):
        while not is_lost(host.gateway.forwarding.contact):
            await call(host, make_request().replace(b"id-1", b"id-0"))


def list_runs(host, identifier=b"id-1"):
    requests = [request for endpoint in host.endpoints for request in endpoint.requests]
    return [request for request in requests if find_header(request, b"x-request-id") == identifier]


@pytest.mark.parametrize("manifest", [ONCE, IDEMPOTENT], ids=["at most once", "idempotent"])
def test_a_host_without_endpoints_serves_its_callers_by_another_host(manifest):
    """Guard against refusals at a host that only lost its links to the endpoints."""

    async def scenario():
        async with run_fleet(manifest, GOOD, GOOD) as (host, _):
            await lose_contact(host)
            data = await call(host, make_request(body=b"x" * 70_000))
            assert (get_status(data), read_body(data)) == (200, b"good")
            (run,) = list_runs(host)
            assert run.endswith(b"\r\n\r\n" + b"x" * 70_000)
            assert run.startswith(b"POST /p/x?q=1 HTTP/1.1\r\n")
            assert find_header(run, b"x-tenant") == b"team"
            assert b"key-1" not in run and b"relay" not in run.partition(b"\r\n\r\n")[0].lower()
            assert 0 < int(find_header(run, b"x-deadline-ms")) <= 3_000

    anyio.run(scenario)


def test_a_stream_that_broke_off_is_continued_by_another_host():
    """Guard against missing or repeated events where the rest comes by another host."""

    async def scenario():
        scripts = stream_events(1, 3, "reset"), stream_events(1, 6, "complete")
        async with run_fleet(RESUMABLE, *scripts, cut=(False, False)) as (host, other):
            host.gateway.forwarding.endpoints["e1"].address = UNREACHABLE
            other.gateway.forwarding.endpoints["e0"].address = UNREACHABLE
            host.endpoints[0].script = lose_after(host, scripts[0])
            data = await call(host, make_request())
            assert PLATFORM.list_items(data) == [1, 2, 3, 4, 5, 6]
            assert PLATFORM.is_whole(data)
            assert find_header(host.endpoints[1].requests[0], b"last-event-id") == b"3"

    anyio.run(scenario)


def lose_after(host, script):
    """Return a script after which the endpoints of a host are out of its reach."""

    async def run(endpoint, stream, head):
        for known in host.gateway.forwarding.endpoints.values():
            known.address = UNREACHABLE
        host.gateway.forwarding.contact.lost_at = 0.0
        await script(endpoint, stream, head)

    return run


def test_hosts_that_reach_no_endpoint_pass_nothing_on_twice():
    """Guard against a loop between partitioned hosts, and a refusal without a time."""

    async def scenario():
        async with run_fleet(ONCE, GOOD, GOOD, cut=(True, True, True)) as hosts:
            for host in hosts:
                await lose_contact(host)
            with anyio.fail_after(1.0):
                data = await call(hosts[0], make_request())
            assert get_status(data) == 503
            assert float(find_header(data.partition(b"\r\n\r\n")[0], b"retry-after")) > 0
            assert [host.gateway.relayed for host in hosts] == [0, 0, 0]
            assert not list_runs(hosts[0])

    anyio.run(scenario)


def test_one_host_in_contact_serves_for_all_others():
    """Guard against giving up after refusals of hosts that reach no endpoint either."""

    async def scenario():
        async with run_fleet(ONCE, GOOD, cut=(True, True, True, False)) as hosts:
            for host in hosts[:3]:
                await lose_contact(host)
            data = await call(hosts[0], make_request())
            assert (get_status(data), read_body(data)) == (200, b"good")
            assert len(list_runs(hosts[0])) == 1

    anyio.run(scenario)


def test_what_engines_refused_at_the_other_host_has_not_run():
    """Guard against a 502 for a request that ran nowhere, and a 503 for one that may have run."""

    async def cut_off(endpoint, stream, head):
        await reset(stream)

    async def scenario():
        for script, status in ((refuse, 503), (cut_off, 502)):
            async with run_fleet(ONCE, script) as (host, _):
                await lose_contact(host)
                data = await call(host, make_request())
                assert get_status(data) == status
                assert len(list_runs(host)) == 1

    anyio.run(scenario)


def test_a_host_that_dies_with_a_request_leaves_it_unknown():
    """Guard against running a request twice that another host may have sent on."""

    async def scenario():
        async with run_fleet(ONCE, GOOD, cut=(True, False, False)) as hosts:
            host, *others = hosts
            await lose_contact(host)
            for other in others:
                other.endpoints[0].script = die_with(other)
            data = await call(host, make_request())
            assert get_status(data) == 502
            assert len(list_runs(host)) == 1

    def die_with(other):
        async def run(endpoint, stream, head):
            other.gateway.relay_key = b""
            await reset(stream)

        return run

    anyio.run(scenario)


@pytest.mark.parametrize("named", [b"Host, X-Request-Id", b"X-Key, X-Deadline-Ms", b"X-Own"])
def test_headers_that_a_caller_names_as_those_of_its_connection(named):
    """Guard against a relay without the host, identifier or key, and one with headers of a hop."""

    async def scenario():
        async with run_fleet(ONCE, GOOD) as (host, _):
            await lose_contact(host)
            extra = b"X-Own: 1\r\nConnection: " + named + b"\r\n"
            data = await call(host, make_request(extra=extra))
            assert (get_status(data), read_body(data)) == (200, b"good")
            (run,) = list_runs(host)
            assert (find_header(run, b"x-own") == b"") is (named == b"X-Own")

    anyio.run(scenario)


def test_a_host_with_another_key_has_not_got_the_request():
    """Guard against a 400 for a proper request while hosts disagree on the key."""

    async def scenario():
        async with run_fleet(ONCE, GOOD) as (host, other):
            await lose_contact(host)
            other.gateway.relay_key = b"key of another fleet"
            assert get_status(await call(host, make_request())) == 503
            assert not list_runs(host)

    anyio.run(scenario)


def test_an_answer_that_is_none_of_a_host_is_not_given_to_a_caller():
    """Guard against a 404 of whatever else listens at the port of an older host."""

    async def scenario():
        stranger = answer(b"404 Not Found", b"Content-Length: 0\r\n", b"")
        async with run_fleet(ONCE, GOOD, stranger) as (host, _):
            await lose_contact(host)
            own = host.gateway.forwarding.settings.host
            stranger_host = f"127.0.0.1:{host.endpoints[1].port - 1}"
            host.gateway.forwarding.hosts = {own: "z1", stranger_host: "z1"}
            assert get_status(await call(host, make_request())) == 502

    anyio.run(scenario)


def test_a_request_that_waited_for_a_connection_until_its_deadline_has_not_run():
    """Guard against a 504 for what no endpoint can have received, which callers don't repeat."""

    async def scenario():
        fleet = run_fleet(ONCE, GOOD, cut=(False,))
        async with fleet as (host,), hold_silent_address() as address:
            host.gateway.forwarding.endpoints["e0"].address = address
            request = make_request().replace(b"3000", b"200")
            assert get_status(await call(host, request)) == 503

    anyio.run(scenario)


@asynccontextmanager
async def hold_silent_address():
    """Hold an address to which connections hang, because the queue of its listener is full."""
    async with contextlib.AsyncExitStack() as stack:
        silent = stack.enter_context(socket.socket())
        silent.bind(("127.0.0.1", 0))
        silent.listen(0)
        with anyio.move_on_after(0.2):
            while True:
                stream = await anyio.connect_tcp(*silent.getsockname())
                await stack.enter_async_context(stream)
        yield f"127.0.0.1:{silent.getsockname()[1]}"


def test_a_host_that_loses_contact_hands_back_what_it_was_passed():
    """Guard against relays that wait for all endpoints at a host that is cut off as well."""

    async def scenario():
        async with run_fleet(ONCE, *[GOOD] * 6, cut=(True, False, False)) as (host, near, far):
            await lose_contact(host)
            host.gateway.forwarding.hosts[far.gateway.forwarding.settings.host] = "z2"
            async with hold_silent_address() as address:
                for endpoint in near.gateway.forwarding.endpoints.values():
                    endpoint.address = address
                with anyio.fail_after(1.8):
                    data = await call(host, make_request())
            assert (get_status(data), read_body(data)) == (200, b"good")
            assert len(list_runs(host)) == 1

    anyio.run(scenario)


def make_failures():
    """Return a script for each end of an attempt after which a request may be repeated."""
    failure = answer(b"500 Internal Server Error", SIGNED + b"Content-Length: 0\r\n", b"")
    return failure, refuse, reset_at_once


async def reset_at_once(endpoint, stream, head):
    await reset(stream)


@pytest.mark.parametrize("script", make_failures(), ids=["failure", "refusal", "reset"])
def test_hosts_together_use_no_more_endpoints_than_the_route_allows(script):
    """Guard against a fresh count of endpoints at each host that gets the request."""

    async def scenario():
        cut = (True, False, False)
        async with run_fleet(IDEMPOTENT, script, script, script, cut=cut) as (host, *_):
            await lose_contact(host)
            data = await call(host, make_request())
            assert get_status(data) in (500, 502, 503)
            assert len(list_runs(host)) == 2

    anyio.run(scenario)


def test_a_host_that_is_passed_a_silent_stream_uses_only_what_is_left():
    """Guard against more endpoints than allowed beside a stream that is silent at one."""

    async def scenario():
        scripts = stream_events(1, 3, "silent"), *[stream_events(4, 6, "reset")] * 3
        async with run_fleet(RESUMABLE, *scripts, cut=(False, False, False)) as (host, *others):
            for other in others:
                other.gateway.forwarding.endpoints["e0"].address = UNREACHABLE
            host.endpoints[0].script = lose_after(host, scripts[0])
            with anyio.move_on_after(3.0):
                await call(host, make_request())
            assert len(list_runs(host)) == 2

    anyio.run(scenario)


def test_a_stream_goes_on_when_the_host_that_relays_it_dies():
    """Guard against a cut, a gap or repeated events where a third host could go on."""

    async def scenario():
        script = stream_events(1, 3, "silent")
        async with run_fleet(RESUMABLE, script, cut=(True, False, False)) as (host, *others):
            await lose_contact(host)
            host.endpoints[0].requests.clear()

            async def die(endpoint, stream, head):
                endpoint.script = stream_events(4, 6, "complete")
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(script, endpoint, stream, head)
                    await anyio.sleep(0.1)
                    for other in others:
                        if other.gateway.relayed:
                            close_server(other.relays)
                    tasks.cancel_scope.cancel()

            host.endpoints[0].script = die
            data = await call(host, make_request())
            assert PLATFORM.list_items(data) == [1, 2, 3, 4, 5, 6]
            assert PLATFORM.is_whole(data)
            runs = list_runs(host)
            assert [find_header(run, b"last-event-id") for run in runs] == [b"", b"3"]

    anyio.run(scenario)


@pytest.mark.parametrize("cut", [(True, False), (True, True)], ids=["refused", "none"])
def test_the_time_to_come_back_is_not_that_of_endpoints_out_of_reach(cut):
    """Guard against callers that stay away for as long as a partition made endpoints fail."""

    async def scenario():
        async with run_fleet(ONCE, refuse, cut=cut) as (host, _):
            await lose_contact(host)
            host.gateway.forwarding.endpoints["e0"].avoid_until = anyio.current_time() + 8.0
            data = await call(host, make_request())
            assert get_status(data) == 503
            seconds = float(find_header(data.partition(b"\r\n\r\n")[0], b"retry-after"))
            limit = defaults.NO_ENDPOINT_RETRY_AFTER_SECONDS * (
                1 + defaults.RETRY_AFTER_JITTER_RATIO
            )
            assert 0 < seconds <= limit

    anyio.run(scenario)


def test_a_host_with_an_older_manifest_takes_no_requests_of_newer_ones():
    """Guard against a request that is handled by a manifest older than that of the asked host."""

    async def scenario():
        async with run_fleet(ONCE, GOOD, cut=(True, False, False)) as (host, old, new):
            await lose_contact(host)
            host.endpoints[0].requests.clear()
            for known in (host, new):
                apply_manifest(known.gateway.forwarding, replace(ONCE, version=2))
            new.gateway.relay_key = b""
            assert get_status(await call(host, make_request())) == 503
            assert not list_runs(host)
            new.gateway.relay_key = KEY
            assert get_status(await call(host, make_request())) == 200
            apply_manifest(old.gateway.forwarding, replace(ONCE, version=3))
            new.gateway.relay_key = b""
            assert get_status(await call(host, make_request())) == 200

    anyio.run(scenario)


def test_a_relayed_stream_goes_on_at_another_endpoint_than_the_silent_one():
    """Guard against second attempts at the same endpoint, since another host chooses it, too."""

    async def scenario():
        whole = stream_events(1, 6, "complete")
        async with run_fleet(RESUMABLE, whole, whole, cut=(True, False, False)) as (host, *_):
            await lose_contact(host)
            host.endpoints[0].script = stream_events(1, 3, "silent")
            data = await call(host, make_request())
            assert PLATFORM.list_items(data) == [1, 2, 3, 4, 5, 6]
            assert PLATFORM.is_whole(data)
            runs = list_runs(host)
            assert [find_header(run, b"last-event-id") for run in runs] == [b"", b"3"]

    anyio.run(scenario)


def test_a_caller_that_leaves_ends_the_work_at_the_other_host():
    """Guard against endpoints that work on for a caller that has left."""

    async def wait(endpoint, stream, head):
        with contextlib.suppress(anyio.EndOfStream, anyio.BrokenResourceError):
            await stream.receive()
        endpoint.closed.append(anyio.current_time())

    async def scenario():
        async with run_fleet(IDEMPOTENT, GOOD) as (host, other):
            await lose_contact(host)
            host.endpoints[0].script = wait
            stream = await anyio.connect_tcp("127.0.0.1", host.port)
            await stream.send(make_request())
            with anyio.fail_after(1.0):
                while not list_runs(host):
                    await anyio.sleep(0.01)
            await stream.aclose()
            with anyio.fail_after(0.5):
                while not host.endpoints[0].closed or other.gateway.relayed:
                    await anyio.sleep(0.01)

    anyio.run(scenario)


def test_a_host_takes_no_requests_that_are_not_signed():
    """Guard against callers that claim to be a host."""

    async def scenario():
        async with run_fleet(ONCE, GOOD, cut=(False, False)) as (host, other):
            claim = (
                b'Marjorambridge-Relay: {"host":"x","seconds":9.0,"endpoints":9}\r\n'
                b"Marjorambridge-Relay-Mac: 00\r\n"
            )
            address = get_relay_address(other.gateway.forwarding.settings.host)
            direct = replace_port(other, int(address.rpartition(":")[2]))
            for extra in (b"", claim):
                assert get_status(await call(direct, make_request(extra=extra))) == 400
            assert not list_runs(host)
            assert get_status(await call(host, make_request(extra=claim))) == 200

    anyio.run(scenario)


def replace_port(host, port):
    return GatewayHarness(host.gateway, host.server, port, host.endpoints)


def test_a_host_bounds_the_requests_that_others_pass_on(monkeypatch):
    """Guard against a host that fails under the callers of the partitioned ones."""
    monkeypatch.setattr(defaults, "MAX_RELAYED_REQUESTS", 0)

    async def scenario():
        async with run_fleet(ONCE, GOOD) as (host, _):
            await lose_contact(host)
            assert get_status(await call(host, make_request())) == 503
            assert not list_runs(host)

    anyio.run(scenario)


def test_a_host_uses_its_endpoints_as_soon_as_it_reaches_them():
    """Guard against failures of a partition that outlive it."""

    async def scenario():
        async with run_fleet(IDEMPOTENT, GOOD, GOOD) as (host, other):
            await lose_contact(host)
            endpoints = host.gateway.forwarding.endpoints
            assert any(endpoint.avoid_until for endpoint in endpoints.values())
            for name, endpoint in endpoints.items():
                endpoint.address = other.gateway.forwarding.endpoints[name].address
            with anyio.fail_after(defaults.CONTACT_TRIAL_INTERVAL_SECONDS + 0.5):
                while is_lost(host.gateway.forwarding.contact):
                    await anyio.sleep(0.02)
            assert not any(endpoint.avoid_until for endpoint in endpoints.values())
            other.gateway.relay_key = b""
            assert get_status(await call(host, make_request())) == 200

    anyio.run(scenario)
