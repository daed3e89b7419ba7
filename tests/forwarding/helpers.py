"""Helpers that build the forwarding state of a host with an engine profile."""

from marjorambridge.control.messages import EndpointEntry
from marjorambridge.forwarding.costs import compute_prefill_seconds
from marjorambridge.forwarding.fleet import apply_entry, apply_manifest
from marjorambridge.forwarding.placement import RequestProfile
from marjorambridge.forwarding.settings import ForwardingSettings
from marjorambridge.forwarding.state import create_state
from marjorambridge.manifests.models import EngineProfile, Manifest, ServiceDefinition

PROFILE = EngineProfile(
    slots=8,
    kv_tokens=315_000,
    step_seconds=0.00085,
    sequence_seconds=0.0000085,
    read_tokens_per_second=177_000.0,
    pair_seconds=1.84e-10,
    chunk_tokens=2048,
    stride_steps=51,
)


def make_state(engines=20, hosts=("h1",), rate=0.0, plain=0, **settings):
    state = create_state(ForwardingSettings(hosts[0], "z0", **settings), seed=1)
    state.hosts = dict.fromkeys(hosts, "z0")
    services = (
        ServiceDefinition(
            "model", cold_start_seconds=3.0, cold_requests_per_second=rate, engine=PROFILE
        ),
        ServiceDefinition("app"),
    )
    apply_manifest(state, Manifest(1, services=services))
    for n in range(engines):
        apply_entry(state, make_entry(f"e{n}", "model", f"z{n % 3}", n), 0.0)
    for n in range(plain):
        apply_entry(state, make_entry(f"a{n}", "app", f"z{n % 3}", 100 + n), 0.0)
    return state


def make_entry(name, service, zone, number, **fields):
    values = {"slots": 8, "born": 1, "sequence": 1, "leaving": False}
    values |= {"cold_seconds": 0.0, "age_seconds": 0.0, "silent": False} | fields
    return EndpointEntry(name, service, zone, f"10.0.0.{number}:80", **values)


def make_profile(tokens, objective=0.3, pause=0.25, remaining=10.0):
    return RequestProfile(
        "model",
        prefill_seconds=compute_prefill_seconds(PROFILE, tokens),
        kv_tokens=tokens + 1600,
        objective_seconds=objective,
        pause_seconds=pause,
        remaining_seconds=remaining,
    )
