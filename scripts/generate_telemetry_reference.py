"""Write the reference pages that follow from tables in the code."""

from pathlib import Path

from marjorambridge.telemetry.fields import COMMON_FIELDS, FIELDS, WRITER_FIELDS
from marjorambridge.telemetry.metrics import PREFIX
from marjorambridge.telemetry.series import LABELS, SERIES

FOLDER = Path(__file__).resolve().parent.parent / "docs" / "ref"
METRICS_HEAD = """\
# Metrics

`GET /metrics` on the admin address of a host returns these series in the Prometheus text format.
All names begin with `marjorambridge_`. Counters start at 0 with the process. This page is generated
from `marjorambridge/telemetry/series.py` by `scripts/generate_telemetry_reference.py`.

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


LOGS_HEAD = """\
# Logs

A host writes one JSON object on a line to `log.file`, or to standard error. `log.level` is the
lowest level written. The message of a line is a fixed text; values are in the fields below. This
page is generated from `marjorambridge/telemetry/fields.py` by
`scripts/generate_telemetry_reference.py`.

A line that concerns a request has the fields `request` and `trace`. Bodies, prompts, workspace
keys, idempotency keys and operator tokens have no field. A field that is not listed, or whose value
is not a text, a number or a truth value, is dropped and named in `dropped`. Texts are cut after
500 characters. Of an exception only its class and place are written.

What libraries log from level `INFO`, such as uvicorn, goes to the same lines; `logger` names the
logger, and the message is the library's template without its values. There is no access log; the
metrics count requests and the traces describe them.

If more lines are written than the output takes, the rest is dropped. The next line that is written
is preceded by a line `log lines were dropped` with their number in `dropped`, which has no other
field.
"""


def render_logs() -> str:
    """Return the page of all fields of log lines."""
    parts = [LOGS_HEAD]
    sections = {
        "Every line": COMMON_FIELDS,
        "By line": FIELDS,
        "Added by the writer": WRITER_FIELDS,
    }
    for title, fields in sections.items():
        parts.append(f"\n## {title}\n\n| Field | Meaning |\n|---|---|\n")
        parts += [f"| `{name}` | {text} |\n" for name, text in fields.items()]
    return "".join(parts)


PAGES = {"metrics.md": render_metrics, "logs.md": render_logs}


def write_pages() -> None:
    """Write all pages."""
    for name, render in PAGES.items():
        (FOLDER / name).write_text(render(), encoding="utf-8")


if __name__ == "__main__":
    write_pages()
