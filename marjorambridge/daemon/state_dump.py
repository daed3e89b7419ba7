"""Describe the state of a host for operators."""

import time
from typing import Any

from marjorambridge.core.records import make_record
from marjorambridge.core.view import HostEntry
from marjorambridge.daemon.state import Host
from marjorambridge.http.reports import (
    ConfigurationReport,
    EndpointReport,
    GroupReport,
    HostEntryReport,
    HostReport,
    ShardReport,
)
from marjorambridge.limits.shard import Endpoint, Shard
from marjorambridge.membership.state import HostProgress, MembershipState
from marjorambridge.orders.state_machine import Artifact, Target
from marjorambridge.replication.models import MemberRole
from marjorambridge.replication.quorums import get_membership
from marjorambridge.replication.state import GroupState


def describe_state(host: Host) -> dict[str, Any]:
    """Return the state of the host without keys, tokens and bodies."""
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
                "last_poll_seconds": round(now - progress.last_poll_at, 3),
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


def describe_configuration(host: Host) -> ConfigurationReport:
    """Return the configuration that the host has applied and the changes that led to it."""
    control = host.runtime.node.parts["membership"].state.host.control
    return ConfigurationReport(
        host=host.settings.host,
        fresh=time.monotonic() < host.fresh_until,
        configuration=control.configuration,
        history=tuple(control.history),
    )


def describe_host(host: Host) -> HostReport:
    """Return the state of the host without the configuration, which can be large."""
    now = time.monotonic()
    parts = host.runtime.node.parts
    membership = parts["membership"].state
    control = membership.host.control
    replica = membership.replica
    progress = replica.progress if replica is not None else {}
    logs = parts["replication"].state if replica is not None else None
    halted = [membership.host.halted]
    if replica is not None:
        halted += [replica.halted, logs.halted]
        halted += [group.halted for group in parts["claims"].state.replica.groups.values()]
    return HostReport(
        host=host.settings.host,
        incarnation=host.incarnation,
        zone=host.settings.zone,
        region=host.settings.region,
        fresh=now < host.fresh_until,
        shutting_down=host.shutting_down,
        halted="; ".join(reason for reason in halted if reason),
        replica=replica is not None,
        unheard_replicas=_list_unanswering_replicas(membership),
        version=control.configuration.version,
        configuration_index=control.configuration_index,
        applied_index=control.index,
        view_index=control.view.index,
        hosts=tuple(
            _build_host_entry_report(entry, progress.get(entry.host), now)
            for entry in control.view.hosts.values()
        ),
        shards=tuple(
            _build_shard_report(item, now) for item in parts["limits"].state.shards.values()
        ),
        log_groups=(
            tuple(_build_group_report(item) for item in logs.groups.values()) if logs else ()
        ),
    )


def _list_unanswering_replicas(membership: MembershipState) -> tuple[str, ...]:
    # The last poll may not have been answered yet; older ones show which replicas answer at all.
    polls = list(membership.host.polls.values())
    if not polls:
        return ()
    polled = {name for poll in polls for name in poll.targets}
    answered = {name for poll in polls for name in poll.replies}
    return tuple(sorted(polled - answered))


def _build_host_entry_report(
    entry: HostEntry, progress: HostProgress | None, now: float
) -> HostEntryReport:
    # A poll of an earlier process does not apply to the current one.
    is_current = progress is not None and progress.incarnation == entry.incarnation
    return HostEntryReport(
        host=entry.host,
        incarnation=entry.incarnation,
        address=entry.address,
        zone=entry.zone,
        region=entry.region,
        state=entry.state.value,
        applied_index=progress.applied if is_current else None,
        last_poll_seconds=round(now - progress.last_poll_at, 3) if is_current else None,
    )


def _build_group_report(group: GroupState) -> GroupReport:
    membership = get_membership(group)
    members = membership.members
    learners = {m.replica.host for m in members if m.role is MemberRole.LEARNER}
    return GroupReport(
        group=group.group,
        role=group.role.value,
        term=group.term,
        leader=group.leader.host,
        commit_index=group.commit_index,
        voters=tuple(m.replica.host for m in members if m.role is MemberRole.VOTER),
        pending=tuple(sorted(learners | set(membership.pending))),
    )


def _build_shard_report(shard: Shard, now: float) -> ShardReport:
    return ShardReport(
        shard=shard.name,
        epoch=shard.epoch,
        granting=shard.open and now >= shard.grants_from,
        queued=len(shard.queue.entries),
        endpoints=tuple(_build_endpoint_report(item, now) for item in shard.endpoints.values()),
    )


def _build_endpoint_report(endpoint: Endpoint, now: float) -> EndpointReport:
    announcement = endpoint.announcement
    return EndpointReport(
        endpoint=announcement.endpoint,
        incarnation=announcement.incarnation,
        supplier=announcement.supplier,
        address=announcement.address,
        leaving=announcement.leaving,
        silent=endpoint.silent,
        warm=endpoint.ramp.warm,
        limit=endpoint.ramp.limit,
        last_seen_seconds=round(now - endpoint.last_seen, 3),
    )


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
