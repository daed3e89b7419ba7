"""Guard against names and labels of metrics that the table of series does not list."""

import ast
import re
import runpy

import pytest

from marjorambridge.core.effects import Measure
from marjorambridge.telemetry import metrics
from marjorambridge.telemetry.series import LABELS, SERIES, Kind

from .sources import ROOT, list_calls, list_keys

SAMPLE = re.compile(
    r'(?P<name>[a-z_][a-z0-9_]*)(?:\{(?P<labels>(?:[a-z_]+="[^"\\\n]*",?)*)\})? (?P<value>\S+)'
)


def list_uses() -> list[tuple[str, str, set[str]]]:
    found = []
    for location, call, function in list_calls("Measure", "effects.Measure", "metrics.sample"):
        first, position = (1, 3) if ast.unparse(call.func) == "metrics.sample" else (0, 2)
        labels = call.args[position] if len(call.args) > position else None
        keys = list_keys(labels, function) if labels is not None else set()
        found.append((location, ast.literal_eval(call.args[first]), keys))
    return found


def test_every_recorded_name_and_its_labels_are_listed():
    uses = list_uses()
    wrong = [use for use in uses if use[1] not in SERIES or use[2] != set(SERIES[use[1]].labels)]
    assert not wrong
    assert {name for _, name, _ in uses} == set(SERIES), "a series is never recorded"


@pytest.mark.parametrize("name", SERIES)
def test_names_follow_the_conventions_of_prometheus(name):
    series = SERIES[name]
    assert name.endswith("_total") == (series.kind is Kind.COUNTER)
    assert set(series.labels) <= set(LABELS)
    assert series.kind is not Kind.HISTOGRAM or name.endswith("_seconds")
    assert bool(series.buckets) == (series.kind is Kind.HISTOGRAM)
    assert list(series.buckets) == sorted(set(series.buckets))


def test_the_rendered_text_is_valid_and_has_every_series():
    recorded = metrics.start()
    for name, series in SERIES.items():
        labels = dict.fromkeys(series.labels, "some/value-1")
        if series.sampled:
            metrics.sample(recorded, name, 2.5, labels)
        else:
            metrics.record(recorded, Measure(name, 0.7, labels))
    assert not recorded.unknown
    types, samples = {}, {}
    for line in metrics.render(recorded).splitlines():
        if line.startswith("# TYPE "):
            _, _, name, kind = line.split()
            assert name not in types
            types[name] = kind
        elif line and not line.startswith("# HELP "):
            match = SAMPLE.fullmatch(line)
            assert match, line
            samples.setdefault(match["name"], []).append((match["labels"], float(match["value"])))
    assert types == {metrics.PREFIX + name: series.kind for name, series in SERIES.items()}
    for name, series in SERIES.items():
        full = metrics.PREFIX + name
        if series.kind is Kind.HISTOGRAM:
            counts = [value for _, value in samples[full + "_bucket"]]
            assert counts == sorted(counts)
            assert samples[full + "_bucket"][-1][0].count('le="+Inf"') == 1
            assert counts[-1] == samples[full + "_count"][0][1] == 1
        else:
            assert len(samples[full]) == 1


def test_other_names_and_labels_are_reported_and_not_recorded():
    recorded = metrics.start()
    before = metrics.render(recorded)
    metrics.record(recorded, Measure("no_such_series"))
    metrics.record(recorded, Measure("retries_total", 1.0, {"workspace": "pits"}))
    assert recorded.unknown == {"no_such_series", "retries_total"}
    assert metrics.render(recorded) == before


def test_clear_removes_label_values():
    recorded = metrics.start()
    metrics.sample(recorded, "shard_queued_requests", 3, {"shard": "model/z1/0"})
    metrics.clear(recorded, "shard_queued_requests")
    assert "model/z1/0" not in metrics.render(recorded)


def test_the_reference_pages_are_current():
    pages = runpy.run_path(str(ROOT / "scripts" / "generate_telemetry_reference.py"))["PAGES"]
    for name, render in pages.items():
        page = ROOT / "docs" / "ref" / name
        assert (
            page.read_text(encoding="utf-8") == render()
        ), "run scripts/generate_telemetry_reference.py"


def test_values_are_kept_until_the_metrics_are_read(monkeypatch):
    """Guard against values of the start that are lost or counted twice."""
    monkeypatch.setattr(metrics, "MAX_PENDING_MEASURES", 3)
    for count in range(1, 6):
        recorded = metrics.start()
        for _ in range(count):
            metrics.record(recorded, Measure("event_loop_stalls_total"))
        assert len(recorded.pending) == (count if count < 3 else 0)
        for _ in range(2):
            lines = metrics.render(recorded).splitlines()
            assert f"marjorambridge_event_loop_stalls_total {count}.0" in lines
