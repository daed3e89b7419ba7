"""Write the thrift IDL of the message classes; `make wire` then generates the Python code.

Field numbers follow the order of the structure fields, so new fields go to the end.
"""

import enum
import sys
import types
import typing
from pathlib import Path

from msgspec import NODEFAULT, structs

from marjorambridge.core.identity import AttemptId
from marjorambridge.core.records import is_structure
from marjorambridge.wire.registry import PACKAGES, list_messages, load_messages

FOLDER = Path(__file__).resolve().parent.parent / "marjorambridge" / "wire" / "idl"
SHARED_TYPES = {AttemptId: "identity.AttemptId"}
MODULES = {package: load_messages(package) for package in PACKAGES}
# Field names that the IDL reserves get a prefix, which `make wire` removes from the generated code.
RESERVED = {"service", "end", "namespace", "include", "struct", "union", "from", "in", "with"}
PRIMITIVE_TYPES = {str: "string", int: "i64", float: "double", bool: "bool", bytes: "binary"}


def describe_type(annotation: object, package: str) -> tuple[str, bool]:
    """Return the thrift type of an annotation and whether the field is optional."""
    if annotation in PRIMITIVE_TYPES:
        return PRIMITIVE_TYPES[annotation], False
    if annotation in SHARED_TYPES:
        return SHARED_TYPES[annotation], False
    origin, arguments = typing.get_origin(annotation), typing.get_args(annotation)
    if origin in (types.UnionType, typing.Union):
        (inner,) = [argument for argument in arguments if argument is not types.NoneType]
        return describe_type(inner, package)[0], True
    if origin in (tuple, list):
        inner = describe_type(arguments[0], package)[0]
        if len({item for item in arguments if item is not Ellipsis}) > 1:
            raise TypeError(f"{annotation} mixes types; use a structure instead")
        return f"list<{inner}>", False
    if isinstance(annotation, type) and issubclass(annotation, enum.StrEnum):
        return "string", False
    if isinstance(annotation, type) and issubclass(annotation, enum.IntEnum):
        return "i32", False
    if is_structure(annotation):
        owner = find_owner(annotation, package)
        return (
            annotation.__name__ if owner == package else f"{owner}.{annotation.__name__}"
        ), False
    raise TypeError(f"no thrift type for {annotation!r}")


def find_owner(structure: type, package: str) -> str:
    """Return the package whose IDL has a structure; classes of other modules are copied."""
    for name, module in MODULES.items():
        if structure in list_messages(module):
            return name
    return package


def list_dependencies(message: type, package: str) -> list[type]:
    """Return the structures of other modules that a message contains, innermost first."""
    found: list[type] = []
    for annotation in typing.get_type_hints(message).values():
        for kind in flatten_types(annotation):
            is_foreign = is_structure(kind) and kind not in SHARED_TYPES
            if is_foreign and kind not in list_messages(MODULES[package]):
                found += [*list_dependencies(kind, package), kind]
    return [kind for kind in found if find_owner(kind, package) == package]


def flatten_types(annotation: object) -> list[type]:
    """Return the classes in an annotation."""
    arguments = typing.get_args(annotation)
    if not arguments:
        return [annotation] if isinstance(annotation, type) else []
    return [kind for argument in arguments for kind in flatten_types(argument)]


def describe_default(field: structs.FieldInfo) -> str:
    """Return the default of a field in IDL syntax, so that an older sender may leave it out."""
    default = field.default
    if default is NODEFAULT or default is None:
        return ""
    if isinstance(default, bool):
        return f" = {str(default).lower()}"
    if isinstance(default, enum.IntEnum):
        return f" = {default.value}"
    if isinstance(default, str):
        return f' = "{default}"'
    if isinstance(default, float):
        return f" = {default!r}"
    if isinstance(default, int):
        return f" = {default}"
    if default == ():
        return " = []"
    return ""


def describe_structure(message: type, package: str) -> str:
    """Return the IDL of one structure."""
    hints = typing.get_type_hints(message)
    lines = []
    for number, field in enumerate(structs.fields(message), start=1):
        kind, optional = describe_type(hints[field.name], package)
        prefix = "optional " if optional else ""
        name = f"reserved_{field.name}" if field.name in RESERVED else field.name
        lines.append(f"  {number}: {prefix}{kind} {name}{describe_default(field)}")
    return "\n".join([f"struct {message.__name__} {{", *lines, "}"])


def describe_module(package: str) -> str:
    """Return the IDL of a package's messages."""
    ordered: dict[type, None] = {}
    for message in list_messages(MODULES[package]):
        ordered.update(dict.fromkeys([*list_dependencies(message, package), message]))
    structures = [describe_structure(item, package) for item in ordered]
    text = "\n\n".join(structures)
    included = sorted(
        name for name in {"identity", "core", *MODULES} - {package} if f"{name}." in text
    )
    header = [f"// Generated from marjorambridge/{package}/messages.py by scripts/generate_idl.py."]
    header += [f"namespace py {package}", ""]
    header += [f'include "{name}.thrift"' for name in included]
    return "\n".join(header) + ("\n\n" if included else "\n") + text + "\n"


def describe_all() -> dict[str, str]:
    """Return the IDL files by name."""
    identity = "// Generated by scripts/generate_idl.py.\nnamespace py identity\n\n"
    files = {"identity.thrift": identity + describe_structure(AttemptId, "identity") + "\n"}
    for package in MODULES:
        files[f"{package}.thrift"] = describe_module(package)
    return files


def run() -> int:
    """Write the files, or with ``--check`` fail if one is not current."""
    stale = []
    for name, text in describe_all().items():
        path = FOLDER / name
        if "--check" in sys.argv:
            if not path.exists() or path.read_text(encoding="utf-8") != text:
                stale.append(name)
        else:
            path.write_text(text, encoding="utf-8")
    if stale:
        print(f"not current: {', '.join(stale)}; run 'make wire'")
    return 1 if stale else 0


if __name__ == "__main__":
    sys.exit(run())
