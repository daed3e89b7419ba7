"""Convert events and effects to plain values, for recordings and golden files."""

from typing import Any

from msgspec import Struct


def is_structure(kind: Any) -> bool:
    """Return whether a type is a class of plain data, whose fields have names and types."""
    return isinstance(kind, type) and issubclass(kind, Struct)


def make_record(value: Any) -> Any:
    """Return a value as JSON types; structures name their type, bytes become hexadecimal.

    Examples
    --------
    >>> from marjorambridge.core.identity import TimerKey
    >>> make_record(TimerKey("limits", "tick"))
    {'type': 'TimerKey', 'part': 'limits', 'name': 'tick', 'ident': ''}
    """
    if isinstance(value, Struct):
        fields = {name: make_record(getattr(value, name)) for name in value.__struct_fields__}
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
