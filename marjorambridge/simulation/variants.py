"""Change constants of the product for one experiment.

A mechanism is disabled by a value that makes it do nothing, so that the product itself needs no
switches for experiments.
"""

import contextlib
import importlib
from collections.abc import Iterator
from pathlib import Path

import msgspec
from msgspec import Struct, field

from marjorambridge.simulation.exceptions import UnknownConstantError

DEFAULTS_MODULE = "conf.defaults"
# JSON has no infinite numbers.
INFINITE = "infinite"


class Variant(Struct, frozen=True, forbid_unknown_fields=True):
    """Hold a named change of constants.

    Attributes
    ----------
    values : dict of str to int, float or str
        New values by name: of a constant in `conf.defaults`, or of ``module.NAME`` below the
        package; "infinite" stands for infinity.
    """

    name: str
    values: dict[str, int | float | str] = field(default_factory=dict)


def read_variants(path: Path) -> list[Variant]:
    """Return the variants of a JSON file."""
    return msgspec.json.decode(path.read_bytes(), type=list[Variant])


@contextlib.contextmanager
def apply_variant(variant: Variant) -> Iterator[None]:
    """Change the constants, and restore them at the end.

    Raises
    ------
    UnknownConstantError
        If there is no such constant.
    """
    found = [(*_find_constant(name), value) for name, value in variant.values.items()]
    originals = [(module, name, getattr(module, name)) for module, name, _ in found]
    try:
        for module, name, value in found:
            setattr(module, name, float("inf") if value == INFINITE else value)
        yield
    finally:
        for module, name, value in originals:
            setattr(module, name, value)


def _find_constant(name: str) -> tuple[object, str]:
    path, _, constant = name.rpartition(".")
    try:
        module = importlib.import_module(f"marjorambridge.{path or DEFAULTS_MODULE}")
    except ImportError as error:
        raise UnknownConstantError(
            f"there is no module {path}; name one like gateway.sharing"
        ) from (error)
    if not hasattr(module, constant):
        raise UnknownConstantError(
            f"{module.__name__} has no constant {constant}; look for its current name there"
        )
    return module, constant
