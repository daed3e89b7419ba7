"""Guard against reference pages that differ from the code, and pages that the index lacks."""

import importlib.util
import pathlib
import re

import pytest

ROOT = pathlib.Path(__file__).parents[2]
SPECIFICATION = importlib.util.spec_from_file_location(
    "generate_reference", ROOT / "scripts" / "generate_reference.py"
)
generator = importlib.util.module_from_spec(SPECIFICATION)
SPECIFICATION.loader.exec_module(generator)


@pytest.mark.parametrize("name", list(generator.PAGES))
def test_a_generated_page_is_current(name):
    page = (ROOT / "docs" / "ref" / name).read_text(encoding="utf-8")
    assert page == generator.PAGES[name](), "run scripts/generate_reference.py"


def test_the_check_finds_an_old_page_and_writes_nothing(tmp_path):
    """Guard against a check that always passes, and against pages written by mistake."""
    assert generator.run([], tmp_path) == 0
    assert generator.run(["--check"], tmp_path) == 0
    page = tmp_path / "settings.md"
    page.write_text("old", encoding="utf-8")
    assert generator.run(["--check"], tmp_path) == 1
    with pytest.raises(SystemExit):
        generator.run(["--help-me"], tmp_path)
    assert page.read_text(encoding="utf-8") == "old"


def test_every_page_is_in_the_index_and_every_link_leads_to_a_file():
    index = (ROOT / "docs" / "index.md").read_text(encoding="utf-8")
    for page in (ROOT / "docs").rglob("*.md"):
        name = page.relative_to(ROOT / "docs").as_posix()
        assert name == "index.md" or f"({name})" in index, name
        for link in re.findall(r"\]\(([^)#:]+)(?:#[^)]*)?\)", page.read_text(encoding="utf-8")):
            assert (page.parent / link).exists(), f"{name}: {link}"
