"""Describe the state of a host for operators."""

import time
from typing import TYPE_CHECKING, Any

from marjorambridge.core.records import make_record
from marjorambridge.limits.shard import Endpoint, Shard
from marjorambridge.orders.state_machine import Artifact, Target

if TYPE_CHECKING:
    from marjorambridge.daemon.host import Host


def describe_state(host: "Host") -> dict[str, Any]:
    """Return what an operator needs to judge the host, without keys, tokens or bodies."""
    now = time.monotonic()
    parts = host.runtime.node.parts
    membership = parts["membership"].state
    control = membership.host.control
    description = {
        "host": host.settings.host,
        "incarnation": host.incarnation,
        "zone": host.settings.zone,
        "region": host.settings.region,
        "fresh": now < host.fresh_until,
        "shutting_down": host.shutting_down,
        "applied_index": control.index,
        "configuration": make_record(control.configuration),
        "view": make_record(control.view),
        "history": make_record(control.history[-20:]),
        "targets": {
            "version": control.targets.version,
            "services": _describe_targets(control.targets.services),
            "endpoints": _describe_targets(control.targets.endpoints),
        },
        "shards": [_describe_shard(shard, now) for shard in parts["limits"].state.shards.values()],
        "requests": len(parts["requests"].state.requests),
        "sent_bytes": host.network.sent_bytes,
        "received_bytes": host.network.received_bytes,
    }
    if membership.replica is not None:
        description["hosts"] = [
            {
                "host": progress.host,
                "applied_index": progress.applied,
                "last_poll_seconds": round(now - progress.last_poll, 3),
            }
            for progress in membership.replica.progress.values()
        ]
        description["log_groups"] = [
            {
                "group": group.group,
                "role": group.role.value,
                "term": group.term,
                "leader": group.leader.host,
                "commit_index": group.commit_index,
            }
            for group in parts["replication"].state.groups.values()
        ]
    return description


def _describe_targets(targets: dict[str, Target]) -> dict[str, Any]:
    return {
        name: {
            "models": _describe_artifacts(target.models),
            "adapters": _describe_artifacts(target.adapters),
            "version": target.version,
            "role": target.role,
        }
        for name, target in targets.items()
    }


def _describe_artifacts(items: tuple[Artifact, ...] | None) -> list[dict[str, Any]] | None:
    if items is None:
        return None
    return [{"name": item.name, "size_bytes": item.size_bytes} for item in items]


def _describe_shard(shard: Shard, now: float) -> dict[str, Any]:
    return {
        "shard": shard.name,
        "epoch": shard.epoch,
        "granting": shard.open and now >= shard.grants_from,
        "queued": len(shard.queue.entries),
        "endpoints": [_describe_endpoint(shard, endpoint) for endpoint in shard.endpoints.values()],
    }


def _describe_endpoint(shard: Shard, endpoint: Endpoint) -> dict[str, Any]:
    announcement = endpoint.announcement
    return {
        "endpoint": announcement.endpoint,
        "incarnation": announcement.incarnation,
        "supplier": announcement.supplier,
        "address": announcement.address,
        "models": announcement.models,
        "adapters": announcement.adapters,
        "version": announcement.version,
        "role": announcement.role,
        "leaving": announcement.leaving,
        "warm": endpoint.ramp.warm,
        "limit": endpoint.ramp.limit,
        "kv_capacity_tokens": announcement.kv_capacity_tokens,
        "reported_tokens": announcement.kv_used_tokens,
    }
