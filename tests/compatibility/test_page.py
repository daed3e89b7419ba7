"""Guard the page of compatibility against kinds that it lacks, or that are gone."""

import re
from pathlib import Path

from tests.compatibility.samples import FAMILIES, write_samples

PAGE = Path(__file__).resolve().parents[2] / "docs" / "ref" / "compatibility.md"


def test_the_page_lists_each_sample_once():
    """Nobody would learn who reads a new message or record."""
    text = PAGE.read_text(encoding="utf-8")
    listed = [
        span
        for span in re.findall(r"`([^`\n]+)`", text)
        if any(f"{span} ".startswith(f"{start} ") for start in FAMILIES)
    ]
    assert sorted(listed) == sorted(write_samples())
