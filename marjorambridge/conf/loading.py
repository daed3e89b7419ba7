"""Load settings files, reject unknown keys and list every fault."""

import difflib
from collections.abc import Iterator
from pathlib import Path
from typing import Any, get_args, get_origin, get_type_hints

import msgspec
from msgspec.structs import fields

from marjorambridge.checks.settings import check_settings
from marjorambridge.conf.exceptions import SettingsError
from marjorambridge.conf.settings import HostSettings
from marjorambridge.core.records import is_structure


def load_settings(path: Path) -> HostSettings:
    """Read, check and return the settings in a JSON file.

    Raises
    ------
    SettingsError
        If the file can't be read or has faults.
    """
    return parse_settings(read_settings(path))


def read_settings(path: Path) -> bytes:
    """Return the content of a settings file.

    Raises
    ------
    SettingsError
        If the file can't be read.
    """
    try:
        return path.read_bytes()
    except OSError as error:
        raise SettingsError((f"can't read {path}: {error.strerror}; check --settings",)) from error


def parse_settings(data: bytes) -> HostSettings:
    """Parse and check settings in JSON.

    Raises
    ------
    SettingsError
        If there are faults; all of them are listed.
    """
    settings, faults = inspect_settings(data)
    if settings is None or faults:
        raise SettingsError(tuple(faults))
    return settings


def inspect_settings(data: bytes) -> tuple[HostSettings | None, list[str]]:
    """Parse settings and return them with a sentence for each fault.

    Settings with faults are also returned if their types are valid, so that a caller can check
    more of them; they must not be used.
    """
    try:
        raw = msgspec.json.decode(data)
    except (msgspec.DecodeError, RecursionError) as error:
        return None, [f"the settings are not valid JSON: {error}"]
    faults = find_unknown_keys(raw, HostSettings)
    type_faults = list(_find_type_faults(raw, HostSettings, ""))
    if type_faults:
        return None, faults + type_faults
    settings = msgspec.convert(raw, HostSettings)
    return settings, faults + check_settings(settings)


def _find_type_faults(raw: Any, kind: Any, path: str) -> Iterator[str]:
    """Yield a sentence for each missing field and each value of a wrong type.

    `msgspec` stops at the first fault, so each field is converted separately.
    """
    if is_structure(kind) and isinstance(raw, dict):
        hints = get_type_hints(kind)
        for item in fields(kind):
            name = f"{path}.{item.name}" if path else item.name
            if item.name in raw:
                yield from _find_type_faults(raw[item.name], hints[item.name], name)
            elif item.required:
                yield f"{name} is missing; see docs/ref/settings.md"
    elif get_origin(kind) is tuple and isinstance(raw, list):
        for number, item in enumerate(raw):
            yield from _find_type_faults(item, get_args(kind)[0], f"{path}[{number}]")
    else:
        try:
            msgspec.convert(raw, kind)
        except msgspec.ValidationError as error:
            yield f"{path or 'the document'}: {error}; see docs/ref/settings.md"


def find_unknown_keys(raw: Any, model: type, path: str = "") -> list[str]:
    """Return a sentence for each key that `model` doesn't have, with the most similar known key."""
    if not isinstance(raw, dict):
        return []
    hints = get_type_hints(model)
    known = [field.name for field in fields(model)]
    faults = []
    for key, value in raw.items():
        name = f"{path}{key}"
        if key not in known:
            nearest = difflib.get_close_matches(str(key), known, n=1)
            remedy = (
                f"did you mean {path}{nearest[0]}?" if nearest else f"known are {', '.join(known)}"
            )
            faults.append(f"unknown setting {name}; {remedy}")
            continue
        kind = hints[key]
        if is_structure(kind):
            faults.extend(find_unknown_keys(value, kind, f"{name}."))
        elif isinstance(value, list) and get_args(kind) and is_structure(get_args(kind)[0]):
            for number, item in enumerate(value):
                faults.extend(find_unknown_keys(item, get_args(kind)[0], f"{name}[{number}]."))
    return faults
