"""Describe the state of a host for operators."""

import time
from typing import TYPE_CHECKING, Any

from marjorambridge.core.records import make_record

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
        "shards": [_describe_shard(shard) for shard in parts["limits"].state.shards.values()],
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


def _describe_shard(shard: Any) -> dict[str, Any]:
    return {
        "shard": str(shard.ident) if hasattr(shard, "ident") else shard.name,
        "endpoints": [_describe_endpoint(endpoint) for endpoint in shard.endpoints.values()],
    }


def _describe_endpoint(endpoint: Any) -> dict[str, Any]:
    return make_record(endpoint.announcement) if hasattr(endpoint, "announcement") else {}
