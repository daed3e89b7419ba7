"""Check placement, Retry-After and reports with learned costs under the loads they are made for."""

from collections import Counter
from types import SimpleNamespace

import pytest

from marjorambridge.conf import defaults
from marjorambridge.forwarding.costs import compute_loaded_pass_seconds
from marjorambridge.forwarding.loads import add_prefill, add_request, add_work, set_other_load
from marjorambridge.forwarding.placement import (
    RequestProfile,
    choose_endpoint,
    compute_zone_requests,
)
from marjorambridge.forwarding.retry_after import estimate_retry_after_seconds
from marjorambridge.forwarding.slowdowns import compute_total_slowdown
from marjorambridge.forwarding.state import Load
from marjorambridge.gateway.contexts import AttemptCosts
from marjorambridge.gateway.datagrams import build_load_share, decode_load, encode_datagram
from marjorambridge.gateway.events import StreamCursor
from marjorambridge.gateway.observations import check_slowdowns, observe_events
from marjorambridge.gateway.sharing import LoadSharing, handle_datagram
from marjorambridge.scheduling.activation import SchedulingMode
from marjorambridge.scheduling.estimates import get_slowdown, record_slowdown, record_zone_delay
from tests.forwarding.helpers import PROFILE, make_profile, make_state

NONE = frozenset()


def make_planned(**options):
    return make_state(scheduling=SchedulingMode.ON, **options)


def make_planned_profile(tokens=5_000):
    profile = make_profile(tokens)
    profile.is_planned = True
    return profile


def slow_down(endpoint, now, ratio=4.0):
    for _ in range(20):
        record_slowdown(endpoint.costs, ratio, now)


def place_short_requests(state, count, now):
    """Place short requests whose prefills end at once, and count them by engine."""
    used = Counter()
    for _ in range(count):
        profile = make_planned_profile()
        endpoint = choose_endpoint(state, profile, NONE, now)
        add_request(endpoint.load, profile.kv_tokens, profile.pause_seconds)
        used[endpoint.name] += 1
    return used


@pytest.mark.parametrize("fleet", [1, 40], ids=["small", "large"])
def test_short_requests_avoid_a_slow_engine_until_it_recovers(fleet):
    """Replay an engine four times slower than its profile, which all hosts would pack first."""
    hosts = [f"h{n}" for n in range(fleet)]
    state = make_planned(engines=6, hosts=hosts)
    state.loads_received_at = 10.0
    (name,) = place_short_requests(make_planned(engines=6), 1, 10.0)
    slow_down(state.endpoints[name], 10.0)
    assert name not in place_short_requests(state, 20, 10.0)
    state.loads_received_at = later = 10.0 + 4 * defaults.ESTIMATE_HALF_LIFE_SECONDS
    assert name in place_short_requests(state, 20, later)


def test_services_that_are_not_planned_ignore_slowdowns():
    """Guard against changes for deployments that did not ask for planned placement."""
    state = make_state(engines=6)
    profile = make_profile(5_000)
    chosen = choose_endpoint(state, profile, NONE, 10.0)
    slow_down(chosen, 10.0)
    assert choose_endpoint(state, profile, NONE, 10.0) is chosen
    assert not build_load_share(state, "h1", list(state.endpoints), 10.0, True).failures


def test_short_requests_stay_packed_with_noisy_passes():
    """Guard against noise that scatters short requests, so that no engine is free of answers."""
    state = make_planned(engines=20)
    for number, endpoint in enumerate(state.endpoints.values()):
        slow_down(endpoint, 10.0, 0.9 + 0.02 * number)
    assert len(place_short_requests(state, 14, 10.0)) == 2


def make_plain(work=0.2):
    state = make_planned(engines=1, plain=3)
    return state, RequestProfile("app", is_planned=True, work_seconds=work)


def test_outstanding_work_decides_at_a_plain_service():
    """Replay one request of 5 s at an endpoint, and two of 10 ms at the others."""
    state, profile = make_plain()
    for name, works in (("a0", [5.0]), ("a1", [0.01] * 2), ("a2", [5.0])):
        for seconds in works:
            add_request(state.endpoints[name].load, 0, 1.0)
            add_work(state.endpoints[name].load, seconds, 1.0)
    assert choose_endpoint(state, profile, NONE, 1.0).name == "a1"


def test_a_slow_plain_endpoint_gets_fewer_requests():
    """Replay one of three endpoints whose requests take four times as long."""
    state, profile = make_plain()
    slow_down(state.endpoints["a0"], 1.0)
    used = Counter()
    for _ in range(18):
        endpoint = choose_endpoint(state, profile, NONE, 1.0)
        add_request(endpoint.load, 0, 1.0)
        add_work(endpoint.load, profile.work_seconds, 1.0)
        used[endpoint.name] += 1
    assert used["a0"] <= 2


def test_an_endpoint_that_does_not_get_on_does_not_look_idle():
    """Guard against requests that take far longer than expected and count as almost done."""
    state, profile = make_plain()
    for name, started_at in (("a0", -60.0), ("a1", 0.99), ("a2", -60.0)):
        for _ in range(3 if name != "a1" else 1):
            add_request(state.endpoints[name].load, 0, 1.0)
            add_work(state.endpoints[name].load, 0.2, started_at)
    assert choose_endpoint(state, profile, NONE, 1.0).name == "a1"


def test_hosts_of_the_previous_build_count_by_their_requests():
    """Guard against an endpoint that looks idle, because its load states no remaining work."""
    state, profile = make_plain()
    for name in ("a0", "a1"):
        set_other_load(state.endpoints[name], "old", Load(4, pause_limits=[1.0] * 4, as_of=1.0))
    assert choose_endpoint(state, profile, NONE, 1.0).name == "a2"


def test_a_surge_in_one_zone_uses_the_idle_engines_of_others():
    """Replay a wait of 0.1 s in the own zone, with other zones 10 ms and then 0.3 s away."""
    for seconds, zones in ((0.01, {"z1", "z2"}), (0.3, {"z0"})):
        state = make_planned(engines=9)
        for endpoint in state.endpoints.values():
            if endpoint.zone == "z0":
                add_prefill(endpoint.load, 0.1, 1.0)
            for _ in range(9):
                record_zone_delay(state.costs, endpoint.zone, endpoint.name, seconds, 1.0)
        profile = make_planned_profile()
        profile.pause_seconds = 1.0
        assert choose_endpoint(state, profile, NONE, 1.0).zone in zones


def test_a_large_fleet_prefers_the_own_zone_by_one_request_at_least():
    """Guard against hosts that choose by older loads of other zones, and a zone 0.3 s away."""
    state, profile = make_planned(engines=3), make_planned_profile()
    far = state.endpoints["e1"]
    assert compute_zone_requests(state, far, profile, 1.0) == 1.0
    for _ in range(9):
        for name in ("e1", "e4", "e7"):
            record_zone_delay(state.costs, far.zone, name, 0.3, 1.0)
    assert compute_zone_requests(state, far, profile, 1.0) == pytest.approx(15.0)


def test_retry_after_follows_the_outstanding_work():
    """Replay full plain endpoints with 4 s of work in each slot, one of them slow."""
    waits = []
    for ratio in (1.0, 4.0):
        state, profile = make_plain()
        for name in ("a0", "a1", "a2"):
            slow_down(state.endpoints[name], 1.0, ratio)
            for _ in range(8):
                add_request(state.endpoints[name].load, 0, 1.0)
                add_work(state.endpoints[name].load, 4.0, 1.0)
        waits.append(estimate_retry_after_seconds(state, profile, 1.0))
    assert 0.5 <= waits[0] <= 0.75 and waits[1] >= 1.5


def test_two_hosts_that_report_a_slow_engine_change_the_choice_of_a_third():
    """Replay reports of two hosts with their loads; one report is lost, repeated and late."""
    hosts = ("h1", "h2", "h3")
    senders = [make_planned(engines=6, hosts=(name,)) for name in hosts[:2]]
    receiver = LoadSharing(make_planned(engines=6, hosts=("h3", *hosts[:2])), "h3", b"k" * 32)
    endpoint = receiver.forwarding.endpoints["e0"]
    for name, sender, expected in zip(hosts, senders, (False, True), strict=False):
        slow_down(sender.endpoints["e0"], 1.0)
        add_request(sender.endpoints["e0"].load, 100, 0.2)
        add_work(sender.endpoints["e0"].load, 2.0, 1.0)
        share = build_load_share(sender, name, ["e0"], 1.0, False)
        for _ in range(2):
            handle_datagram(receiver, encode_datagram(receiver.key, share), 1.0)
        assert (get_slowdown(endpoint, 1.0) > 3.0) is expected
    assert decode_load(share.loads[0], 1.0).write_seconds == 2.0
    assert compute_total_slowdown(endpoint, 1.0) is not None


def test_a_host_that_finds_most_engines_slow_reports_none():
    """Guard against a host without processor time, which finds that all passes are late."""
    state = make_planned(engines=6)
    for endpoint in state.endpoints.values():
        slow_down(endpoint, 1.0)
    assert not build_load_share(state, "h1", list(state.endpoints), 1.0, True).failures


def stream(state, endpoint, ratio, passes=1, forwarding=0.0, prefill=False, cold=False):
    """Receive 20 pieces of a stream, and return the time of the last one."""
    context = SimpleNamespace(
        profile=make_planned_profile(), gateway=SimpleNamespace(forwarding=state)
    )
    running = SimpleNamespace(
        endpoint=endpoint, costs=AttemptCosts(), cursor=StreamCursor(), waits_since=0.0
    )
    endpoint.cold_until = 100.0 if cold else 0.0
    now, one_pass = 1.0, compute_loaded_pass_seconds(PROFILE, 0, 0)
    for _ in range(20):
        now += ratio * passes * one_pass
        if prefill:
            set_other_load(endpoint, "h2", Load(reads=1, as_of=now - 0.01))
            set_other_load(endpoint, "h2", Load(as_of=now - 0.005))
        running.cursor.events += passes
        observe_events(context, running, now)
        running.waits_since = now + forwarding
    return now


@pytest.mark.parametrize(
    ("options", "is_slow"),
    [
        ({"ratio": 4.0}, True),
        ({"ratio": 1.0}, False),
        ({"ratio": 1.0, "passes": 4}, False),
        ({"ratio": 4.0, "forwarding": 0.1}, False),
        ({"ratio": 4.0, "prefill": True}, False),
        ({"ratio": 4.0, "cold": True}, False),
    ],
    ids=["slow", "as published", "events that arrive together", "slow caller", "prefills", "cold"],
)
def test_only_passes_of_the_engine_itself_count(options, is_slow):
    """Guard against slow callers, prefills and cold engines that count as slow engines."""
    state = make_planned(engines=6)
    endpoint = state.endpoints["e0"]
    now = stream(state, endpoint, **options)
    measures = []
    check_slowdowns(SimpleNamespace(forwarding=state, record_metric=measures.append), now)
    assert endpoint.costs.is_slow is is_slow
    values = {measure.labels["service"]: measure.value for measure in measures}
    assert (values["model"] > 3.0) is is_slow and values["app"] == 1.0
