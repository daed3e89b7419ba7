"""Check that the names of code in the pages exist."""

import re
from pathlib import Path

import pytest

from marjorambridge.telemetry.metrics import PREFIX

ROOT = Path(__file__).resolve().parents[1]
FOLDERS = ("marjorambridge", "tests", "benchmarks", "scripts", "deploy")
PAGES = sorted([ROOT / "README.md", *(ROOT / "docs").rglob("*.md")])
CODE = re.compile(r"`([^`\n]+)`")
# Paths and dotted names, and names that no prose has: snake_case, CamelCase and UPPER_CASE.
PATH = re.compile(rf"\b(?:{'|'.join(FOLDERS)})(?:[./]\w+)+")
NAME = re.compile(
    r"\b(?:[a-z]+(?:_[a-z0-9]+)+|[A-Z][a-z]+(?:[A-Z][a-z]+)+|[A-Z]+(?:_[A-Z0-9]+)+)\b"
)


def read_words() -> set[str]:
    """Return the words of the code and of its files' names."""
    words: set[str] = set()
    for folder in FOLDERS:
        for path in (ROOT / folder).rglob("*"):
            if path.suffix in {".py", ".json", ".toml", ".thrift"} and path != Path(__file__):
                words |= {path.stem, *re.findall(r"\w+", path.read_text(encoding="utf-8"))}
    return words


def find_missing(text: str, words: set[str]) -> list[str]:
    """Return the names and paths in the code spans of a page that the code doesn't have."""
    missing = []
    for span in CODE.findall(text):
        names = [name.removeprefix(PREFIX) for name in NAME.findall(span)]
        missing += [name for name in names if name not in words]
        missing += [path for path in PATH.findall(span) if not exists(path)]
    return missing


def exists(path: str) -> bool:
    """Return whether a path or a dotted name is a file or folder, or a name in a module."""
    parts = re.split(r"[./]", path.removesuffix(".py"))
    for count in range(len(parts), 1, -1):
        place = ROOT.joinpath(*parts[:count])
        module = place.with_suffix(".py")
        if module.exists():
            names = re.findall(r"\w+", module.read_text(encoding="utf-8"))
            return all(part in names for part in parts[count:])
        if place.exists() or any(place.parent.glob(f"{place.name}.*")):
            return count == len(parts) or (ROOT / path).exists()
    return False


@pytest.fixture(scope="module")
def words():
    return read_words()


@pytest.mark.parametrize("page", PAGES, ids=lambda page: str(page.relative_to(ROOT)))
def test_names_of_code_in_a_page_exist(page, words):
    """Guard against pages that name modules, constants or tests which were renamed."""
    assert find_missing(page.read_text(encoding="utf-8"), words) == []


@pytest.mark.parametrize(
    "span, count",
    [
        ("`forwarding_settings_of_yore`", 1),
        ("`marjorambridge/forwarding/wishes_of_yore.py`", 2),
        ("`marjorambridge.forwarding.nothing`", 1),
        ("`marjorambridge.forwarding.hints.apply_hints`", 0),
        ("`MAX_HELPERS` in `marjorambridge/conf/defaults.py`", 0),
    ],
)
def test_a_missing_name_is_found(span, count, words):
    """Guard against a check that accepts names which are nowhere in the code."""
    assert len(find_missing(span, words)) == count
