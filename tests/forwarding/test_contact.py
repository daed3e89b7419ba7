"""Check when a host counts as reaching no endpoint, and what becomes of the failures it saw."""

import random

from marjorambridge.conf import defaults
from marjorambridge.forwarding.contact import (
    Contact,
    is_in_doubt,
    is_lost,
    needs_trial,
    plan_trial,
    record_connected,
    record_failed,
    record_trial,
)
from marjorambridge.forwarding.health import (
    clear_failures_since,
    list_reportable_endpoints,
    record_failure,
)
from marjorambridge.forwarding.relays import choose_peer

from .helpers import make_state

NONE = frozenset()


def test_failures_of_several_endpoints_without_a_success_lead_to_a_trial():
    """Guard against a partition that is never noticed, and against trials for each failure."""
    contact = Contact()
    record_failed(contact, "a", 1.0)
    record_failed(contact, "a", 1.1)
    assert not needs_trial(contact, 3, 1.2)
    record_failed(contact, "b", 1.2)
    assert needs_trial(contact, 3, 1.2)
    plan_trial(contact, {"svc": ["a", "b", "c"]}, 1.2)
    assert not needs_trial(contact, 3, 1.3)
    assert record_trial(contact, False, 1.6) == []
    assert is_lost(contact) and contact.lost_at == 1.0
    assert needs_trial(contact, 3, 1.2 + defaults.CONTACT_TRIAL_INTERVAL_SECONDS)


def test_a_connection_between_failures_shows_that_endpoints_failed():
    """Guard against taking failed endpoints, or a service in trouble, for a partition."""
    contact = Contact()
    for number in range(10):
        record_failed(contact, f"e{number}", float(number))
        assert not needs_trial(contact, 10, float(number))
        assert record_connected(contact) == [f"e{number}"]
    record_failed(contact, "a", 20.0)
    record_failed(contact, "b", 20.0)
    assert sorted(record_trial(contact, True, 20.1)) == ["a", "b"]
    assert not is_lost(contact) and not contact.failed


def test_a_connection_during_a_trial_shows_contact():
    """Guard against a host that passes requests on, because four of its endpoints are silent."""
    contact = Contact()
    record_failed(contact, "a", 1.0)
    record_failed(contact, "b", 2.0)
    plan_trial(contact, {"svc": ["a", "b", "c"]}, 2.0)
    assert record_connected(contact) == ["a", "b"]
    record_failed(contact, "a", 2.2)
    assert record_trial(contact, False, 2.4) == ["a"]
    assert not is_lost(contact)
    plan_trial(contact, {"svc": ["a", "b", "c"]}, 3.0)
    record_trial(contact, False, 3.4)
    assert is_lost(contact)


def test_trials_ask_all_services_and_all_endpoints_in_turn():
    """Guard against a host that asks only endpoints that ended during its partition."""
    generator = random.Random(1)
    for _ in range(50):
        sizes = [generator.randrange(0, 25) for _ in range(generator.randrange(1, 4))]
        services = {f"s{n}": [f"s{n}-{i}" for i in range(size)] for n, size in enumerate(sizes)}
        contact, asked = Contact(), set()
        for number in range(100):
            names = plan_trial(contact, services, float(number))
            assert len(names) <= defaults.CONTACT_TRIAL_ENDPOINTS
            asked |= set(names)
            for service, known in services.items():
                assert not known or any(name in services[service] for name in names)
        assert asked == {name for names in services.values() for name in names}


def test_unconfirmed_failures_are_not_reported_and_end_with_the_partition():
    """Guard against marks of a partitioned host at hosts that reach the endpoints."""
    state = make_state(engines=6)
    first, second, *_ = state.endpoints.values()
    record_failure(first, 0.5, 0.5)
    assert [endpoint.name for endpoint in list_reportable_endpoints(state, 0.6)] == [first.name]
    record_failure(second, 1.0, 1.0)
    record_failed(state.contact, second.name, 1.0)
    assert [endpoint.name for endpoint in list_reportable_endpoints(state, 1.1)] == [first.name]
    assert not is_in_doubt(state.contact, second.name)
    assert is_in_doubt(state.contact, first.name)
    clear_failures_since(state, 1.0)
    assert (first.avoid_until > 0.0, second.avoid_until, second.failures) == (True, 0.0, 0)


def test_requests_are_passed_to_the_own_zone_first_and_never_to_another_region():
    """Guard against bytes between zones without need, and bodies that leave their region."""
    state = make_state(engines=1)
    own = state.settings.host
    state.settings = type(state.settings)(own, "z1", near_zones=frozenset({"z1", "z2"}))
    state.hosts = {own: "z1", "10.0.0.2:7": "z1", "10.0.0.3:7": "z2", "10.0.0.4:7": "z3"}
    peer = choose_peer(state, NONE, 1.0)
    assert (peer.name, peer.address) == ("10.0.0.2:7", "10.0.0.2:8")
    record_failure(peer, 1.0, 1.0)
    assert choose_peer(state, NONE, 1.1).name == "10.0.0.3:7"
    assert choose_peer(state, frozenset({"10.0.0.2:7", "10.0.0.3:7"}), 1.1) is None
    del state.hosts["10.0.0.2:7"]
    assert choose_peer(state, NONE, 1.1).name == "10.0.0.3:7"
