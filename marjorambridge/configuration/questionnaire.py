"""Parse the questionnaire of a team and generate a configuration from it."""

import typing
from collections.abc import Iterator, Mapping
from typing import Any

import msgspec
from msgspec import Struct, field

from marjorambridge.configuration.exceptions import QuestionnaireError
from marjorambridge.configuration.faults import Fault, suggest_name
from marjorambridge.configuration.models import (
    AvailabilityZone,
    Configuration,
    Service,
    ServiceKind,
    Urgency,
    Workspace,
)
from marjorambridge.configuration.validation import KEY_HASH, find_faults
from marjorambridge.core.records import is_structure


class ZoneAnswer(Struct):
    """Describe an availability zone as the team answered."""

    name: str
    region: str


class ServiceAnswer(Struct):
    """Describe a service as the team answered; the fields are those of `Service`."""

    name: str
    kind: ServiceKind
    availability_zones: tuple[str, ...]
    models: tuple[str, ...] = ()
    buckets: int = 1
    bytes_per_token: float = 3.0
    default_timeout_seconds: float = 120.0
    default_output_tokens: int = 512
    repeatable: bool = False
    checks_fencing: bool = False


class KeyAnswer(Struct):
    """Identify a workspace key by its digest or by a reference, never by its text.

    Attributes
    ----------
    sha256 : str
        Hexadecimal SHA-256 digest of the key; empty if `reference` is given.
    reference : str
        Name under which the operator's tool finds the key and computes its digest.
    """

    sha256: str = ""
    reference: str = ""


class WorkspaceAnswer(Struct):
    """Describe a workspace as the team answered."""

    name: str
    services: tuple[str, ...]
    keys: tuple[KeyAnswer, ...] = ()
    requests_per_second: float = 0.0
    concurrent_requests: int = 0


class UrgencyAnswer(Struct):
    """Urgencies of services and workspaces by name; all others have normal urgency."""

    services: dict[str, Urgency] = field(default_factory=dict)
    workspaces: dict[str, Urgency] = field(default_factory=dict)


class Questionnaire(Struct):
    """Hold the answers of a team."""

    availability_zones: tuple[ZoneAnswer, ...]
    services: tuple[ServiceAnswer, ...]
    workspaces: tuple[WorkspaceAnswer, ...]
    urgencies: UrgencyAnswer = field(default_factory=UrgencyAnswer)


def parse_questionnaire(data: bytes) -> Questionnaire:
    """Return the questionnaire in the JSON document `data`.

    Raises
    ------
    QuestionnaireError
        With every malformed, missing or unknown field.
    """
    try:
        raw = msgspec.json.decode(data)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        fault = Fault("questionnaire", f"is not valid JSON: {error}", "correct the document")
        raise QuestionnaireError([fault]) from error
    faults = list(_find_type_faults(raw, Questionnaire, "questionnaire"))
    if faults:
        raise QuestionnaireError(faults)
    return msgspec.convert(raw, Questionnaire)


def generate_configuration(
    questionnaire: Questionnaire,
    present: Configuration | None = None,
    key_hashes: Mapping[str, str] | None = None,
) -> Configuration:
    """Return the configuration that the questionnaire describes.

    Parameters
    ----------
    questionnaire : Questionnaire
        The answers.
    present : Configuration, optional
        The current configuration. Its version is copied, and its zones that are out of service
        stay out.
    key_hashes : mapping of str to str, optional
        Hexadecimal SHA-256 digests of the keys by reference.

    Raises
    ------
    QuestionnaireError
        With every fault, such as an unknown name, a repeated name or an unknown key reference.
    """
    present = present or Configuration()
    key_hashes = key_hashes or {}
    faults: list[Fault] = []
    urgency_answer = questionnaire.urgencies
    for section, answers, urgencies in (
        ("availability_zones", questionnaire.availability_zones, {}),
        ("services", questionnaire.services, urgency_answer.services),
        ("workspaces", questionnaire.workspaces, urgency_answer.workspaces),
    ):
        faults += _find_name_faults(section, [answer.name for answer in answers], urgencies)
    configuration = Configuration(present.version)
    for zone in questionnaire.availability_zones:
        old = present.zones.get(zone.name)
        configuration.zones[zone.name] = AvailabilityZone(
            zone.name, zone.region, bool(old and old.out)
        )
    for answer in questionnaire.services:
        configuration.services[answer.name] = Service(
            name=answer.name,
            kind=answer.kind,
            zones=answer.availability_zones,
            urgency=urgency_answer.services.get(answer.name, Urgency.NORMAL),
            buckets=answer.buckets,
            bytes_per_token=answer.bytes_per_token,
            default_timeout_seconds=answer.default_timeout_seconds,
            default_output_tokens=answer.default_output_tokens,
            repeatable=answer.repeatable,
            checks_fencing=answer.checks_fencing,
            models=answer.models,
        )
    for answer in questionnaire.workspaces:
        hashes, key_faults = _resolve_keys(answer, key_hashes)
        faults += key_faults
        configuration.workspaces[answer.name] = Workspace(
            name=answer.name,
            key_hashes=hashes,
            services=answer.services,
            urgency=urgency_answer.workspaces.get(answer.name, Urgency.NORMAL),
            requests_per_second=answer.requests_per_second,
            concurrent_requests=answer.concurrent_requests,
        )
    faults += find_faults(configuration)
    if faults:
        raise QuestionnaireError(faults)
    return configuration


def _find_name_faults(
    section: str, names: list[str], urgencies: Mapping[str, Urgency]
) -> Iterator[Fault]:
    for name in dict.fromkeys(name for name in names if names.count(name) > 1):
        yield Fault(f"{section}.{name}", "the name is given twice", "rename or remove one of them")
    for name in urgencies:
        if name not in names:
            remedy = suggest_name(name, names, f"add it to {section}")
            yield Fault(f"urgencies.{section}.{name}", "the name is unknown", remedy)


def _resolve_keys(
    answer: WorkspaceAnswer, key_hashes: Mapping[str, str]
) -> tuple[tuple[str, ...], list[Fault]]:
    hashes: list[str] = []
    faults: list[Fault] = []
    for number, key in enumerate(answer.keys):
        path = f"workspaces.{answer.name}.keys[{number}]"
        if bool(key.sha256) == bool(key.reference):
            remedy = "give either 'sha256' or 'reference'"
            faults.append(Fault(path, "needs exactly one of digest and reference", remedy))
        elif key.reference and key.reference not in key_hashes:
            remedy = suggest_name(key.reference, key_hashes, "make the key available under it")
            faults.append(Fault(path, f"unknown key reference {key.reference!r}", remedy))
        elif key.reference:
            hashes.append(key_hashes[key.reference])
        elif KEY_HASH.fullmatch(key.sha256.lower()):
            hashes.append(key.sha256.lower())
        else:
            # The text may be a plain key given by mistake, so the fault does not repeat it.
            remedy = "give the digest of the key, never the key itself"
            faults.append(Fault(path, "is not a hexadecimal SHA-256 digest", remedy))
    return tuple(hashes), faults


def _find_type_faults(raw: Any, kind: Any, path: str) -> Iterator[Fault]:
    """Yield every place where `raw` does not have the type `kind`.

    `msgspec` stops at the first fault, so each field is converted separately.
    """
    arguments = typing.get_args(kind)
    if is_structure(kind) and isinstance(raw, dict):
        hints = typing.get_type_hints(kind)
        for name in raw:
            if name not in hints:
                remedy = suggest_name(name, hints, "remove it")
                yield Fault(f"{path}.{name}", "unknown field", remedy)
        for item in msgspec.structs.fields(kind):
            if item.name in raw:
                yield from _find_type_faults(
                    raw[item.name], hints[item.name], f"{path}.{item.name}"
                )
            elif item.required:
                yield Fault(f"{path}.{item.name}", "the field is missing", "add it")
    elif typing.get_origin(kind) is tuple and isinstance(raw, list):
        for number, item in enumerate(raw):
            yield from _find_type_faults(item, arguments[0], f"{path}[{number}]")
    elif typing.get_origin(kind) is dict and isinstance(raw, dict):
        for name, item in raw.items():
            yield from _find_type_faults(item, arguments[1], f"{path}.{name}")
    else:
        try:
            msgspec.convert(raw, kind)
        except msgspec.ValidationError as error:
            yield Fault(path, str(error), _suggest_value(raw, kind))


def _suggest_value(raw: Any, kind: Any) -> str:
    if isinstance(kind, type) and issubclass(kind, (Urgency, ServiceKind)):
        known = [member.value for member in kind]
        return suggest_name(str(raw), known, f"use one of {', '.join(known)}")
    return "give a value of the expected type"
