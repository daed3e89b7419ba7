"""Record the measurements of the reducers as Prometheus metrics.

The metrics library is imported, and the collectors are created, when a value is first read or
sampled, or after `MAX_PENDING_MEASURES` values: a process that starts on a small host needs the
time for its first connections.
"""

from typing import TYPE_CHECKING

from msgspec import Struct, field

from marjorambridge.conf.defaults import MAX_PENDING_MEASURES
from marjorambridge.core.effects import Measure
from marjorambridge.telemetry.series import SERIES, Kind, Series

if TYPE_CHECKING:
    from aioprometheus import Counter, Gauge, Histogram, Registry

PREFIX = "marjorambridge_"
INFINITY = float("inf")


class Metrics(Struct):
    """A Prometheus registry, and its collectors by name.

    Attributes
    ----------
    registry : Registry or None
        None until the collectors are created.
    pending : list of Measure
        Values that were recorded before the collectors were created, in their order.
    unknown : set of str
        Names that were recorded although `SERIES` does not list them, or lists other labels; a
        test checks that the code uses none.
    """

    registry: "Registry | None" = None
    collectors: "dict[str, Counter | Gauge | Histogram]" = field(default_factory=dict)
    pending: list[Measure] = field(default_factory=list)
    unknown: set[str] = field(default_factory=set)


def start() -> Metrics:
    """Return metrics without values."""
    return Metrics()


def _open_registry(metrics: Metrics) -> "Registry":
    """Return the registry; create it with all collectors, and record what is pending, if needed."""
    if metrics.registry is not None:
        return metrics.registry
    from aioprometheus import Registry

    registry = metrics.registry = Registry()
    for name, series in SERIES.items():
        metrics.collectors[name] = _create_collector(registry, name, series)
    for effect in metrics.pending:
        _add(metrics, effect)
    metrics.pending.clear()
    return registry


def _create_collector(
    registry: "Registry", name: str, series: Series
) -> "Counter | Gauge | Histogram":
    from aioprometheus import Counter, Gauge, Histogram

    full_name = PREFIX + name
    if series.kind is Kind.COUNTER:
        return Counter(full_name, series.help, registry=registry)
    if series.kind is Kind.GAUGE:
        return Gauge(full_name, series.help, registry=registry)
    return Histogram(full_name, series.help, registry=registry, buckets=[*series.buckets, INFINITY])


def record(metrics: Metrics, effect: Measure) -> None:
    """Add the value of an effect to its collector."""
    if not _is_listed(metrics, effect.name, effect.labels):
        return
    if metrics.registry is not None:
        _add(metrics, effect)
        return
    metrics.pending.append(effect)
    if len(metrics.pending) >= MAX_PENDING_MEASURES:
        _open_registry(metrics)


def _add(metrics: Metrics, effect: Measure) -> None:
    from aioprometheus import Counter, Gauge

    collector = metrics.collectors[effect.name]
    labels = {name: str(value) for name, value in effect.labels.items()}
    if isinstance(collector, Counter):
        collector.add(labels, effect.value)
    elif isinstance(collector, Gauge):
        collector.set(labels, effect.value)
    else:
        collector.observe(labels, effect.value)


def _is_listed(metrics: Metrics, name: str, labels: dict[str, str]) -> bool:
    series = SERIES.get(name)
    if series is None or set(labels) != set(series.labels):
        metrics.unknown.add(name)
        return False
    return True


def sample(metrics: Metrics, name: str, value: float, labels: dict[str, str] | None = None) -> None:
    """Set a sampled series to a value."""
    labels = labels or {}
    if _is_listed(metrics, name, labels):
        _open_registry(metrics)
        metrics.collectors[name].set(labels, value)


def clear(metrics: Metrics, name: str) -> None:
    """Remove all label values of a series."""
    from aioprometheus.metricdict import MetricDict

    _open_registry(metrics)
    metrics.collectors[name].values = MetricDict()


def render(metrics: Metrics) -> str:
    """Return all series in the Prometheus text format."""
    from aioprometheus.formats.text import TextFormatter

    return TextFormatter().marshall(_open_registry(metrics)).decode()
