"""Find the calls that record metrics or write logs in the source of the package."""

import ast
from collections.abc import Iterator
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
SOURCE = ROOT / "marjorambridge"
Function = ast.FunctionDef | ast.AsyncFunctionDef


def list_calls(*names: str) -> Iterator[tuple[str, ast.Call, Function | None]]:
    """Yield the location, the call and the innermost function of each call of these names."""
    for path in sorted(SOURCE.rglob("*.py")):
        if "gen" in path.relative_to(SOURCE).parts:
            continue
        tree = ast.parse(path.read_text(encoding="utf-8"))
        enclosing: dict[ast.AST, Function] = {}
        for function in ast.walk(tree):
            if isinstance(function, Function):
                enclosing.update((node, function) for node in ast.walk(function))
        for node in ast.walk(tree):
            if isinstance(node, ast.Call) and ast.unparse(node.func) in names:
                location = f"{path.relative_to(ROOT)}:{node.lineno}"
                yield location, node, enclosing.get(node)


def list_keys(value: ast.expr, function: Function) -> set[str]:
    """Return the keys of a dict display, or of the dict display bound to a local name."""
    if isinstance(value, ast.Name):
        bound = [
            node.value
            for node in ast.walk(function)
            if isinstance(node, ast.Assign) and ast.unparse(node.targets[0]) == value.id
        ]
        assert len(bound) == 1, f"{value.id} must be bound once in {function.name}"
        return list_keys(bound[0], function)
    assert isinstance(value, ast.Dict), f"{ast.unparse(value)} must be a dict display"
    keys: set[str] = set()
    for key, item in zip(value.keys, value.values, strict=True):
        keys |= list_keys(item, function) if key is None else {ast.literal_eval(key)}
    return keys
