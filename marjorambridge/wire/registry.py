"""List the message classes that travel between hosts, by module."""

import dataclasses
import inspect
from types import ModuleType

import marjorambridge.claims.messages
import marjorambridge.limits.messages
import marjorambridge.membership.messages
import marjorambridge.orders.messages
import marjorambridge.replication.messages

MODULES: dict[str, ModuleType] = {
    "claims": marjorambridge.claims.messages,
    "limits": marjorambridge.limits.messages,
    "membership": marjorambridge.membership.messages,
    "orders": marjorambridge.orders.messages,
    "replication": marjorambridge.replication.messages,
}


def list_messages(module: ModuleType) -> list[type]:
    """Return the dataclasses that a module defines, in the order of their definition."""
    return [
        value
        for value in vars(module).values()
        if inspect.isclass(value)
        and dataclasses.is_dataclass(value)
        and value.__module__ == module.__name__
    ]
