"""Print results as tables or JSON, and diagnostics on standard error."""

from collections.abc import Iterable, Sequence
from typing import Any

import msgspec
import typer


def print_json(value: Any) -> None:
    """Print a value as one line of JSON."""
    typer.echo(msgspec.json.encode(value).decode())


def print_diagnostic(text: str) -> None:
    """Print a text that is not part of the result to standard error."""
    typer.echo(text, err=True)


def format_table(headers: Sequence[str], rows: Iterable[Sequence[Any]]) -> str:
    """Return aligned columns.

    Examples
    --------
    >>> print(format_table(("name", "out"), [("bhuj", True), ("anjar", None)]))
    name   out
    bhuj   yes
    anjar  -
    """
    texts = [tuple(headers), *(tuple(format_cell(cell) for cell in row) for row in rows)]
    widths = [max(len(row[column]) for row in texts) for column in range(len(headers))]
    lines = [
        "  ".join(cell.ljust(width) for cell, width in zip(row, widths, strict=True)).rstrip()
        for row in texts
    ]
    return "\n".join(lines)


def format_cell(value: Any) -> str:
    """Return the text of a value in a table."""
    if value is None or value == "" or value == ():
        return "-"
    if isinstance(value, bool):
        return "yes" if value else "no"
    if isinstance(value, float):
        return f"{value:g}"
    if isinstance(value, tuple | list):
        return ",".join(str(item) for item in value)
    return str(value)


def print_fields(value: Any) -> None:
    """Print a structure with one field per line."""
    rows = [(name, getattr(value, name)) for name in value.__struct_fields__]
    typer.echo(format_table(("field", "value"), rows))
