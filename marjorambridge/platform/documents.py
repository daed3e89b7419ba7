"""Decode the platform's configuration documents into manifests.

Only this module uses the platform's names for the fields of a configuration. A document is stored
as the operator sent it, because it must be returned unchanged. Its numbers are bounded in the
manifest, so that nothing that was acknowledged exceeds what hosts can compute with or send.
"""

import zlib
from typing import Annotated, Any

import msgspec

from marjorambridge.core.decoding import DECODE_ERRORS
from marjorambridge.core.numbers import YEAR_SECONDS, clamp, clamp_whole
from marjorambridge.manifests.exceptions import InvalidManifestError
from marjorambridge.manifests.models import (
    CallerLimits,
    EngineProfile,
    Execution,
    Manifest,
    Route,
    RouteTarget,
    ServiceDefinition,
    WorkspaceKeys,
)

# The platform calls requests that may run at most once "mutating". An unknown kind is treated like
# them, because that is safe for all kinds.
EXECUTIONS = {"idempotent": Execution.IDEMPOTENT, "streaming": Execution.STREAM}
# The documents repeat names, so that even the fastest level reduces them to a tenth.
COMPRESSION_LEVEL = 1
# Messages between hosts hold versions as signed integers of 64 bits.
MAX_VERSION = 2**63 - 1
# The cost of attention is given in milliseconds per million pairs of tokens.
SECONDS_PER_PAIR = 1e-9
SECONDS_PER_MILLISECOND = 1e-3
# Operators write greater numbers for "no limit".
MAX_SECONDS = YEAR_SECONDS
# Bound of weights, rates, counts and sizes.
MAX_NUMBER = 2**40
# An engine that reads more slowly than this many tokens per second serves nobody.
MIN_READ_TOKENS_PER_SECOND = 0.001


class SplitDocument(msgspec.Struct):
    """A share of a route; `backend` names a service and not one endpoint."""

    backend: str
    weight: float


class RouteDocument(msgspec.Struct):
    """A route.

    `type` states whether a request may be repeated, `slo_ms` is the objective for the time to the
    answer or to the first event, and `attempts` limits endpoints and not attempts.
    """

    name: str
    hostname: str
    path_prefix: str
    type: str
    timeout_ms: float
    slo_ms: float = 0.0
    priority: int = 1
    backend: str | None = None
    split: list[SplitDocument] | None = None
    attempts: int = 1
    public: bool = False
    resumable: bool = False
    target_gap_ms: float | None = None


class UsualDocument(msgspec.Struct):
    """The usual requests of a service; `answer` is the mean length of an answer in tokens."""

    answer: float = 0.0


class ProfileDocument(msgspec.Struct):
    """The speed of an engine.

    `kv_capacity` counts tokens, `context_per_k` is milliseconds per 1,000 tokens of context, and
    `pairs_per_m` milliseconds per million pairs of tokens.
    """

    slots: int = 1
    kv_capacity: int = 0
    step_ms: float = 0.0
    per_seq_ms: float = 0.0
    context_per_k: float = 0.0
    read_per_s: float = 0.0
    pairs_per_m: float = 0.0
    chunk: int = 0
    stride: int = 1
    usual: UsualDocument | None = None


class ServiceDocument(msgspec.Struct):
    """A service; `max_conns` counts the connections of all hosts to one endpoint."""

    name: str
    max_conns: int = 0
    cold_start_s: float = 0.0
    cold_per_s: float = 0.0
    engine_profile: ProfileDocument | None = None


class LimitsDocument(msgspec.Struct):
    """Limits for callers."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout_ms: float = 3_000.0
    idle_timeout_ms: float = 15_000.0


class TenantDocument(msgspec.Struct):
    """A workspace with its keys."""

    name: str
    api_keys: list[str] = []
    priority: int | None = None


class ConfigurationDocument(msgspec.Struct):
    """A whole configuration; `tenants` is missing where requests need no key."""

    version: Annotated[int, msgspec.Meta(le=MAX_VERSION)]
    routes: list[RouteDocument]
    services: list[ServiceDocument]
    limits: LimitsDocument = msgspec.field(default_factory=LimitsDocument)
    tenants: list[TenantDocument] | None = None


_DECODER = msgspec.json.Decoder(ConfigurationDocument)


def decode_document(data: bytes) -> Manifest:
    """Return the manifest that a document describes.

    Raises
    ------
    InvalidManifestError
        If the document is invalid.
    """
    try:
        document = _DECODER.decode(data)
    except DECODE_ERRORS as error:
        raise InvalidManifestError(f"unreadable configuration: {error}") from error
    return Manifest(
        version=document.version,
        routes=tuple(_translate_route(route) for route in document.routes),
        services=tuple(_translate_service(service) for service in document.services),
        limits=CallerLimits(
            header_bytes=clamp_whole(document.limits.max_header_bytes, MAX_NUMBER),
            body_bytes=clamp_whole(document.limits.max_body_bytes, MAX_NUMBER),
            header_timeout_seconds=_convert_milliseconds(document.limits.header_timeout_ms),
            idle_timeout_seconds=_convert_milliseconds(document.limits.idle_timeout_ms),
        ),
        workspaces=tuple(
            WorkspaceKeys(tenant.name, tuple(tenant.api_keys), tenant.priority)
            for tenant in document.tenants or ()
        ),
        # An empty list holds no key, so that no request with a key is allowed.
        requires_keys=document.tenants is not None,
    )


def _translate_route(route: RouteDocument) -> Route:
    shares = route.split or []
    if not shares and route.backend is not None:
        shares = [SplitDocument(route.backend, 1.0)]
    return Route(
        name=route.name,
        host_name=route.hostname.lower(),
        path_prefix=route.path_prefix,
        execution=EXECUTIONS.get(route.type, Execution.AT_MOST_ONCE),
        timeout_seconds=_convert_milliseconds(route.timeout_ms),
        objective_seconds=_convert_milliseconds(route.slo_ms),
        # Negative weights are invalid, and stay so.
        targets=tuple(
            RouteTarget(share.backend, clamp(share.weight, -1.0, MAX_NUMBER)) for share in shares
        ),
        gap_objective_seconds=_convert_milliseconds(route.target_gap_ms or 0.0),
        priority=route.priority,
        max_endpoints=max(1, route.attempts),
        public=route.public,
        resumable=route.resumable,
    )


def _translate_service(service: ServiceDocument) -> ServiceDefinition:
    profile = service.engine_profile
    return ServiceDefinition(
        name=service.name,
        max_connections=clamp_whole(service.max_conns, MAX_NUMBER),
        cold_start_seconds=clamp(service.cold_start_s, 0.0, MAX_SECONDS),
        cold_requests_per_second=clamp(service.cold_per_s, 0.0, MAX_NUMBER),
        engine=_translate_profile(profile) if profile is not None else None,
    )


def _translate_profile(profile: ProfileDocument) -> EngineProfile:
    speed = profile.read_per_s
    return EngineProfile(
        slots=clamp_whole(profile.slots, MAX_NUMBER),
        kv_tokens=clamp_whole(profile.kv_capacity, MAX_NUMBER),
        step_seconds=_convert_milliseconds(profile.step_ms),
        sequence_seconds=_convert_milliseconds(profile.per_seq_ms),
        context_seconds=_convert_milliseconds(profile.context_per_k) / 1_000,
        # Without a speed, the time of a prefill is not estimated.
        read_tokens_per_second=(
            clamp(speed, MIN_READ_TOKENS_PER_SECOND, MAX_NUMBER) if speed > 0 else 0.0
        ),
        pair_seconds=clamp(profile.pairs_per_m, 0.0, MAX_NUMBER) * SECONDS_PER_PAIR,
        chunk_tokens=clamp_whole(profile.chunk, MAX_NUMBER),
        stride_steps=clamp_whole(profile.stride, MAX_NUMBER),
        usual_answer_tokens=(
            clamp_whole(profile.usual.answer, MAX_NUMBER) if profile.usual is not None else 0
        ),
    )


def _convert_milliseconds(value: float) -> float:
    """Return the seconds of a duration, from 0 to a year."""
    return clamp(value * SECONDS_PER_MILLISECOND, 0.0, MAX_SECONDS)


def compress_document(data: bytes) -> bytes:
    """Return a document in the form in which it is stored and sent to hosts."""
    return zlib.compress(data, COMPRESSION_LEVEL)


def expand_document(stored: bytes) -> bytes:
    """Return a document as the operator sent it."""
    return zlib.decompress(stored)


def decode_stored_document(stored: bytes) -> Manifest:
    """Return the manifest of a stored document.

    Raises
    ------
    InvalidManifestError
        If the document is invalid, or stored in a form that this build does not know.
    """
    try:
        data = expand_document(stored)
    except zlib.error as error:
        raise InvalidManifestError(f"unreadable stored configuration: {error}") from error
    return decode_document(data)


def encode_error(text: str) -> bytes:
    """Return the body of an answer that reports an error."""
    return encode_body({"error": text})


def encode_body(value: Any) -> bytes:
    """Return a JSON body."""
    return msgspec.json.encode(value)
