"""Record the measurements of the reducers as Prometheus metrics."""

from aioprometheus import Counter, Gauge, Histogram, Registry
from aioprometheus.formats.text import TextFormatter
from aioprometheus.metricdict import MetricDict
from msgspec import Struct, field

from marjorambridge.core.effects import Measure
from marjorambridge.telemetry.series import SERIES, Kind, Series

PREFIX = "marjorambridge_"
INFINITY = float("inf")


class Metrics(Struct):
    """A Prometheus registry, and its collectors by name.

    Attributes
    ----------
    unknown : set of str
        Names that were recorded although `SERIES` does not list them, or lists other labels; a
        test checks that the code uses none.
    """

    registry: Registry = field(default_factory=Registry)
    collectors: dict[str, Counter | Gauge | Histogram] = field(default_factory=dict)
    unknown: set[str] = field(default_factory=set)


def start() -> Metrics:
    """Create all collectors."""
    metrics = Metrics()
    for name, series in SERIES.items():
        metrics.collectors[name] = _create_collector(metrics, name, series)
    return metrics


def _create_collector(metrics: Metrics, name: str, series: Series) -> Counter | Gauge | Histogram:
    full_name = PREFIX + name
    if series.kind is Kind.COUNTER:
        return Counter(full_name, series.help, registry=metrics.registry)
    if series.kind is Kind.GAUGE:
        return Gauge(full_name, series.help, registry=metrics.registry)
    return Histogram(
        full_name, series.help, registry=metrics.registry, buckets=[*series.buckets, INFINITY]
    )


def record(metrics: Metrics, effect: Measure) -> None:
    """Add the value of an effect to its collector."""
    if not _is_listed(metrics, effect.name, effect.labels):
        return
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
        metrics.collectors[name].set(labels, value)


def clear(metrics: Metrics, name: str) -> None:
    """Remove all label values of a series."""
    metrics.collectors[name].values = MetricDict()


def render(metrics: Metrics) -> str:
    """Return all series in the Prometheus text format."""
    return TextFormatter().marshall(metrics.registry).decode()
