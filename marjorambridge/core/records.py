"""Convert events and effects to plain values, for recordings and golden files."""

import dataclasses
from typing import Any


def make_record(value: Any) -> Any:
    """Return a value as JSON types; dataclasses name their type, bytes become hexadecimal.

    Examples
    --------
    >>> from marjorambridge.core.identity import TimerKey
    >>> make_record(TimerKey("limits", "tick"))
    {'type': 'TimerKey', 'part': 'limits', 'name': 'tick', 'ident': ''}
    """
    if dataclasses.is_dataclass(value) and not isinstance(value, type):
        fields = {
            field.name: make_record(getattr(value, field.name))
            for field in dataclasses.fields(value)
        }
        return {"type": type(value).__name__} | fields
    if isinstance(value, dict):
        return {str(key): make_record(item) for key, item in value.items()}
    if isinstance(value, list | tuple):
        return [make_record(item) for item in value]
    if isinstance(value, set | frozenset):
        return sorted((make_record(item) for item in value), key=repr)
    if isinstance(value, bytes | bytearray):
        return value.hex()
    return value
