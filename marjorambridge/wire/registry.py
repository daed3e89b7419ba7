"""List the message classes that are sent between hosts, by package.

The messages of a package are imported at their first use, because a process that serves one role
needs few of them and is restarted often.
"""

import importlib
from types import ModuleType

from marjorambridge.core.records import is_structure

PACKAGES = ("claims", "control", "forwarding", "limits", "membership", "orders", "replication")


def load_messages(package: str) -> ModuleType:
    """Import the ``messages`` module of a package."""
    return importlib.import_module(f"marjorambridge.{package}.messages")


def list_messages(module: ModuleType) -> list[type]:
    """Return the structures that a module defines, in the order of their definition."""
    return [
        value
        for value in vars(module).values()
        if is_structure(value) and value.__module__ == module.__name__
    ]
