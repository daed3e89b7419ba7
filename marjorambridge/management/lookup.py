"""Find named items of the configuration."""

from collections.abc import Mapping
from typing import TypeVar

from marjorambridge.configuration.faults import suggest_name
from marjorambridge.management.exceptions import InvalidError

Item = TypeVar("Item")


def find_item(items: Mapping[str, Item], label: str, name: str) -> Item:
    """Return the item of this name.

    Raises
    ------
    InvalidError
        If there is none; the message names the nearest one.
    """
    if name in items:
        return items[name]
    remedy = suggest_name(name, items, f"list them with 'marjorambridge {label} list'")
    raise InvalidError(f"there is no {label} {name!r}; {remedy}")
