"""List every series, with its kind and its labels, which take values from bounded sets only."""

from dataclasses import dataclass
from enum import StrEnum


class Kind(StrEnum):
    """Kind of a series."""

    COUNTER = "counter"
    GAUGE = "gauge"
    HISTOGRAM = "histogram"


@dataclass(slots=True, frozen=True)
class Series:
    """Describe one series."""

    kind: Kind
    help: str
    labels: tuple[str, ...] = ()
    buckets: tuple[float, ...] = ()


# The bounds around 0.76 s are close together, because that is the target of the 95th percentile.
LATENCY_BUCKETS = (0.005, 0.02, 0.05, 0.1, 0.2, 0.4, 0.6, 0.76, 1.0, 2.0, 5.0, 15.0, 60.0, 300.0)

SERIES: dict[str, Series] = {}
