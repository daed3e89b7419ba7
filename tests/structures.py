"""Draw structures whose fields have any values of their types."""

import types
import typing

from hypothesis import strategies as st
from msgspec.structs import fields


def draw_structures(kind, values, **fixed):
    """Return a strategy for structures.

    Parameters
    ----------
    values : dict of type to strategy
        Values of fields that are no structures, by type.
    fixed : strategies
        Strategies of some fields, by name.
    """
    drawn = {
        field.name: fixed.get(field.name, draw_values(field.type, values)) for field in fields(kind)
    }
    return st.builds(kind, **drawn)


def draw_values(annotation, values):
    """Return a strategy for the values of a field; tuples have up to three items."""
    if annotation in values:
        return values[annotation]
    if isinstance(annotation, types.UnionType):
        kinds = typing.get_args(annotation)
        return st.one_of(
            st.none() if kind is types.NoneType else draw_values(kind, values) for kind in kinds
        )
    if typing.get_origin(annotation) is tuple:
        item, *_ = typing.get_args(annotation)
        return st.lists(draw_values(item, values), max_size=3).map(tuple)
    return draw_structures(annotation, values)
