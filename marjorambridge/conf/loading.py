"""Read settings files, refuse unknown keys and list every fault."""

import difflib
from dataclasses import fields, is_dataclass
from pathlib import Path
from typing import Any, get_args, get_type_hints

import msgspec

from marjorambridge.checks.settings import check_settings
from marjorambridge.conf.exceptions import SettingsError
from marjorambridge.conf.settings import HostSettings


def load_settings(path: Path) -> HostSettings:
    """Read, check and return the settings in a JSON file.

    Raises
    ------
    SettingsError
        If the file can't be read or has faults.
    """
    try:
        data = path.read_bytes()
    except OSError as error:
        raise SettingsError((f"can't read {path}: {error.strerror}; check --settings",)) from error
    return parse_settings(data)


def parse_settings(data: bytes) -> HostSettings:
    """Parse and check settings in JSON.

    Raises
    ------
    SettingsError
        If there are faults; all of them are listed.
    """
    try:
        raw = msgspec.json.decode(data)
    except (msgspec.DecodeError, RecursionError) as error:
        raise SettingsError((f"the settings are not valid JSON: {error}",)) from error
    unknown = find_unknown_keys(raw, HostSettings)
    if unknown:
        raise SettingsError(tuple(unknown))
    try:
        settings = msgspec.convert(raw, HostSettings)
    except msgspec.ValidationError as error:
        raise SettingsError((f"{error}; see docs/ref/settings.md",)) from error
    faults = check_settings(settings)
    if faults:
        raise SettingsError(tuple(faults))
    return settings


def find_unknown_keys(raw: Any, model: type, path: str = "") -> list[str]:
    """Return a sentence for each key that `model` doesn't have, with the nearest known key."""
    if not isinstance(raw, dict):
        return []
    hints = get_type_hints(model)
    known = [field.name for field in fields(model)]
    faults = []
    for key, value in raw.items():
        name = f"{path}{key}"
        if key not in known:
            near = difflib.get_close_matches(str(key), known, n=1)
            remedy = f"did you mean {path}{near[0]}?" if near else f"known are {', '.join(known)}"
            faults.append(f"unknown setting {name}; {remedy}")
            continue
        kind = hints[key]
        if is_dataclass(kind):
            faults.extend(find_unknown_keys(value, kind, f"{name}."))
        elif isinstance(value, list) and get_args(kind) and is_dataclass(get_args(kind)[0]):
            for number, item in enumerate(value):
                faults.extend(find_unknown_keys(item, get_args(kind)[0], f"{name}[{number}]."))
    return faults
