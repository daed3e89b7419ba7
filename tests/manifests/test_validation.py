"""Test the decoding, storage and validation of manifests."""

import msgspec
import pytest

from marjorambridge.forwarding.admission import Refusal, admit_request
from marjorambridge.forwarding.fleet import apply_manifest
from marjorambridge.forwarding.settings import ForwardingSettings
from marjorambridge.forwarding.state import create_state
from marjorambridge.manifests.exceptions import InvalidManifestError
from marjorambridge.manifests.validation import validate_manifest
from marjorambridge.platform.documents import (
    compress_document,
    decode_document,
    decode_stored_document,
    encode_body,
    expand_document,
)


def make_document(**fields):
    route = {
        "name": "r1",
        "hostname": "App.example",
        "path_prefix": "/p/",
        "type": "streaming",
        "timeout_ms": 10000,
        "slo_ms": 300,
        "priority": 1,
        "attempts": 2,
        "resumable": True,
        "split": [{"backend": "a", "weight": 90}, {"backend": "b", "weight": 10}],
        "target_gap_ms": 250,
        "sticky": True,
        "later": {"unknown": 1},
    } | fields.pop("route", {})
    document = {
        "version": 7,
        "routes": [route, *fields.pop("routes", [])],
        "services": [
            {"name": "a", "cold_start_s": 3.0, "engine_profile": {"step_ms": 0.85}},
            {"name": "b"},
        ],
        "tenants": [{"name": "t1", "api_keys": ["k1", "k2"], "priority": 1}],
    } | fields
    return encode_body(document)


def test_a_document_is_decoded_into_a_manifest():
    """Guard against a field that is decoded with another meaning or unit."""
    manifest = decode_document(make_document())
    validate_manifest(manifest)
    (route,) = manifest.routes
    assert (route.host_name, route.timeout_seconds, route.objective_seconds) == (
        "app.example",
        10.0,
        0.3,
    )
    assert (route.max_endpoints, route.gap_objective_seconds) == (2, 0.25)
    assert [(t.service, t.weight) for t in route.targets] == [("a", 90), ("b", 10)]
    assert manifest.services[0].engine.step_seconds == pytest.approx(0.00085)
    assert manifest.requires_keys and manifest.workspaces[0].keys == ("k1", "k2")


@pytest.mark.parametrize("name", ["a\nb", "a\r", "\x00", "\x7f"])
def test_a_workspace_whose_name_no_header_can_hold_is_refused(name):
    """Guard against an acknowledged configuration with which all requests of a workspace fail."""
    document = make_document(tenants=[{"name": name, "api_keys": ["k1"]}])
    with pytest.raises(InvalidManifestError, match="control character"):
        validate_manifest(decode_document(document))


@pytest.mark.parametrize(
    ("tenants", "refusal"),
    [
        ({"tenants": []}, Refusal.UNKNOWN_KEY),
        ({"tenants": [{"name": "t1", "api_keys": []}]}, Refusal.UNKNOWN_KEY),
        ({"tenants": None}, None),
        ({}, None),
    ],
)
def test_a_configuration_without_any_workspace_allows_no_key(tenants, refusal):
    """Guard against routes that are open to everybody after the last workspace was removed."""
    document = msgspec.json.decode(make_document())
    del document["tenants"]
    manifest = decode_document(encode_body(document | tenants))
    validate_manifest(manifest)
    state = create_state(ForwardingSettings("h1", "z1"), 1)
    apply_manifest(state, manifest)
    for key in ("", "some-key"):
        admitted = admit_request(state, "app.example", "/p/x", key)
        assert (admitted if isinstance(admitted, Refusal) else None) is refusal


def test_a_stored_document_is_returned_unchanged():
    """Guard against a configuration that is read back in another form than it was sent."""
    document = make_document()
    stored = compress_document(document)
    assert expand_document(stored) == document
    assert decode_stored_document(stored) == decode_document(document)


@pytest.mark.parametrize(
    "document",
    [
        make_document()[:-20],
        b"",
        b"[]",
        b'{"version": "x", "routes": [], "services": []}',
        b'{"routes": [], "services": []}',
        make_document(route={"split": [{"backend": "nobody", "weight": 1}]}),
        make_document(route={"split": [{"backend": "a", "weight": 0}]}),
        make_document(route={"split": None}),
        make_document(route={"timeout_ms": 0}),
        make_document(
            routes=[
                {
                    "name": "r2",
                    "hostname": "app.example",
                    "path_prefix": "/p/",
                    "type": "idempotent",
                    "timeout_ms": 1,
                    "backend": "a",
                }
            ]
        ),
        make_document(
            tenants=[{"name": "t1", "api_keys": ["k"]}, {"name": "t2", "api_keys": ["k"]}]
        ),
        b"[" * 100_000,
        b'{"version": 9223372036854775808, "routes": [], "services": []}',
    ],
    ids=[
        "cut",
        "empty",
        "list",
        "type",
        "no version",
        "unknown service",
        "no weight",
        "no service",
        "no timeout",
        "same prefix",
        "shared key",
        "deep",
        "version that no message can hold",
    ],
)
def test_an_invalid_document_is_refused(document):
    """Guard against the acknowledgement of an invalid configuration."""
    with pytest.raises(InvalidManifestError):
        validate_manifest(decode_document(document))
