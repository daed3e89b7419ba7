"""Sample the series whose values are read when the metrics are collected."""

import time
from collections import Counter

from marjorambridge.daemon.state import Host
from marjorambridge.limits.shard import Shard, summarize_shard
from marjorambridge.telemetry import metrics
from marjorambridge.telemetry.series import SERIES


def render_metrics(host: Host) -> str:
    """Return all series in the Prometheus text format."""
    sample_host(host)
    return metrics.render(host.metrics)


def sample_host(host: Host) -> None:
    """Set all sampled series and remove label values that no longer apply."""
    host_metrics = host.metrics
    for name, series in SERIES.items():
        if series.sampled:
            metrics.clear(host_metrics, name)
    now = time.monotonic()
    parts = host.runtime.node.parts
    control = parts["membership"].state.host.control
    metrics.sample(host_metrics, "freshness_remaining_seconds", max(0.0, host.fresh_until - now))
    metrics.sample(host_metrics, "applied_index", control.index)
    metrics.sample(host_metrics, "requests_in_progress", len(parts["requests"].state.requests))
    metrics.sample(host_metrics, "peer_sent_bytes_total", host.network.sent_bytes)
    metrics.sample(host_metrics, "peer_received_bytes_total", host.network.received_bytes)
    _sample_shards(host_metrics, parts["limits"].state.shards, now)
    if "replication" in parts:
        for group in parts["replication"].state.groups.values():
            labels = {"group": str(group.group)}
            metrics.sample(host_metrics, "log_term", group.term, labels)
            metrics.sample(host_metrics, "log_commit_index", group.commit_index, labels)


def _sample_shards(host_metrics: metrics.Metrics, shards: dict[str, Shard], now: float) -> None:
    endpoints: Counter[tuple[str, str]] = Counter()
    for name, shard in shards.items():
        wait = summarize_shard(shard, now).expected_wait
        metrics.sample(
            host_metrics, "shard_queued_requests", len(shard.queue.entries), {"shard": name}
        )
        metrics.sample(host_metrics, "shard_expected_wait_seconds", wait, {"shard": name})
        service = shard.identity.service
        for endpoint in shard.endpoints.values():
            if endpoint.usable:
                endpoints[service, "warm" if endpoint.ramp.warm else "cold"] += 1
        for state in ("cold", "warm"):
            endpoints.setdefault((service, state), 0)
    for (service, state), count in endpoints.items():
        metrics.sample(host_metrics, "endpoints", count, {"service": service, "state": state})
