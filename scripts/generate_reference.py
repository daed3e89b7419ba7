"""Write the reference pages that follow from tables in the code."""

from pathlib import Path

from marjorambridge.telemetry.metrics import PREFIX
from marjorambridge.telemetry.series import LABELS, SERIES

FOLDER = Path(__file__).resolve().parent.parent / "docs" / "ref"
METRICS_HEAD = """\
# Metrics

`GET /metrics` on the admin address of a host returns these series in the Prometheus text format.
All names begin with `marjorambridge_`. Counters start at 0 with the process. This page is generated
from `marjorambridge/telemetry/series.py` by `scripts/generate_reference.py`.

| Series | Kind | Labels | Meaning |
|---|---|---|---|
"""


def render_metrics() -> str:
    """Return the page of all series."""
    rows = [
        f"| `{PREFIX}{name}` | {series.kind} | {', '.join(series.labels)} | {series.help} |\n"
        for name, series in SERIES.items()
    ]
    labels = [f"| {name} | {text} |\n" for name, text in LABELS.items()]
    head = "\n## Labels\n\n| Label | Values |\n|---|---|\n"
    buckets = ["\n## Buckets\n\n"]
    for name, series in SERIES.items():
        if series.buckets:
            bounds = ", ".join(str(bound) for bound in series.buckets)
            buckets.append(f"* `{PREFIX}{name}`: {bounds}\n")
    return METRICS_HEAD + "".join(rows) + head + "".join(labels) + "".join(buckets)


PAGES = {"metrics.md": render_metrics}


def write_pages() -> None:
    """Write all pages."""
    for name, render in PAGES.items():
        (FOLDER / name).write_text(render(), encoding="utf-8")


if __name__ == "__main__":
    write_pages()
