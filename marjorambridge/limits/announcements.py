"""Apply announcements of endpoints to the shard that they belong to."""

from msgspec.structs import replace

from marjorambridge.core.effects import Effect, SendMessage
from marjorambridge.core.view import ShardId, compute_bucket
from marjorambridge.limits.cancellation import free_older_incarnations, start_host_cancel
from marjorambridge.limits.ledger import remove_reported
from marjorambridge.limits.messages import Announcement
from marjorambridge.limits.ownership import find_owner
from marjorambridge.limits.permits import serve_shard
from marjorambridge.limits.prefix import apply_cache_events, reset_endpoint
from marjorambridge.limits.ramp import Ramp, apply_announced_limits
from marjorambridge.limits.settings import LimitsSettings
from marjorambridge.limits.shard import (
    Endpoint,
    Shard,
    add_endpoint,
    count_capacity,
    refresh_endpoint,
    remove_endpoint,
    schedule_check,
)
from marjorambridge.limits.state import LimitsState


def handle_announcement(
    state: LimitsState, announcement: Announcement, forwarded: bool, now: float
) -> list[Effect]:
    """Apply an announcement, or send it to the owner of its shard.

    A forwarded announcement is not forwarded again, so that hosts with different views do not
    forward it in a loop; the endpoint repeats it every second.
    """
    if state.configuration is None or state.view is None:
        return []
    service = state.configuration.services.get(announcement.service)
    if service is None or announcement.zone not in service.zones:
        return []
    bucket = compute_bucket(announcement.endpoint, max(1, service.buckets))
    identity = ShardId(announcement.service, announcement.zone, bucket)
    shard = state.shards.get(str(identity))
    if shard is not None:
        return apply_announcement(state, shard, announcement, now)
    owner = find_owner(state, identity)
    if forwarded or owner is None or owner == state.host:
        return []
    return [SendMessage(owner, announcement)]


def apply_announcement(
    state: LimitsState, shard: Shard, announcement: Announcement, now: float
) -> list[Effect]:
    """Update the endpoint table of an owned shard; older announcements are ignored."""
    settings = state.settings
    name = announcement.endpoint
    endpoint = shard.endpoints.get(name)
    effects: list[Effect] = []
    if endpoint is not None:
        known = endpoint.announcement
        if announcement.incarnation < known.incarnation:
            return []
        if announcement.incarnation > known.incarnation:
            remove_endpoint(shard, endpoint)
            endpoint = None
        elif announcement.report_sequence < known.report_sequence:
            return []
    if endpoint is None:
        effects += register_endpoint(state, shard, announcement, now)
        endpoint = shard.endpoints[name]
    else:
        count_capacity(shard, endpoint.announcement, -1)
        if announcement.report_sequence > endpoint.announcement.report_sequence:
            apply_report(shard, endpoint, announcement, settings, now)
        endpoint.announcement = replace(announcement, cache_events=())
        count_capacity(shard, endpoint.announcement, 1)
        endpoint.silent = False
        endpoint.last_seen = now
    apply_announced_limits(
        endpoint.ramp, announcement.concurrency, announcement.concurrency_now, announcement.cold
    )
    apply_cache_events(shard.prefix, name, announcement.cache_events)
    refresh_endpoint(shard, name, settings, now)
    return effects + serve_shard(state, shard, now)


def register_endpoint(
    state: LimitsState, shard: Shard, announcement: Announcement, now: float
) -> list[Effect]:
    """Add an endpoint that is new or has restarted; it starts cold and with an empty cache."""
    settings = state.settings
    name = announcement.endpoint
    free_older_incarnations(shard, name, announcement.incarnation, settings, now)
    reset_endpoint(shard.prefix, name)
    endpoint = add_endpoint(shard, replace(announcement, cache_events=()), Ramp(), now)
    apply_report(shard, endpoint, announcement, settings, now)
    timeout_at = now + settings.endpoint_timeout_seconds
    schedule_check(shard, timeout_at, "endpoint_timeout", (name, announcement.incarnation))
    effects: list[Effect] = []
    for host in state.host_restarts:
        older = state.host_incarnations[host] - 1
        effects += start_host_cancel(shard, name, host, older, settings, now)
    return effects


def apply_report(
    shard: Shard,
    endpoint: Endpoint,
    announcement: Announcement,
    settings: LimitsSettings,
    now: float,
) -> None:
    """Apply a load report, and remove from the account the grants and releases that it contains.

    A report contains a grant only once the attempt has started, which may be one start window
    later; the announcement may also have been forwarded by another host.
    """
    delay = settings.start_window_seconds * settings.clock_drift_factor
    measured_at = now - announcement.report_age - settings.max_report_transit_seconds
    account = endpoint.account
    remove_reported(account, measured_at - delay)
    endpoint.reported_tokens = announcement.kv_used_tokens
    # `freed_at` is trimmed one delay earlier, like the grants, so it may contain older releases.
    freed = sum(at > measured_at for at in account.freed_at)
    known = len(account.permits) - len(account.recent) + freed
    unknown = max(0, announcement.running - known)
    # Only permits of an earlier owner can be missing in this ledger, so their number can grow only
    # in reports from before this owner granted.
    if measured_at - delay > shard.grants_from:
        unknown = min(unknown, endpoint.unknown_attempts)
    endpoint.unknown_attempts = unknown


def check_endpoint_timeout(
    shard: Shard, name: str, incarnation: int, settings: LimitsSettings, now: float
) -> None:
    """Exclude an endpoint that timed out, and remove it when no attempt can be left on it."""
    endpoint = shard.endpoints.get(name)
    if endpoint is None or endpoint.announcement.incarnation != incarnation:
        return
    next_at = endpoint.last_seen + settings.endpoint_timeout_seconds
    if now >= endpoint.last_seen + settings.endpoint_removal_delay_seconds:
        expire_endpoint(shard, endpoint, settings, now)
        return
    if now >= next_at:
        endpoint.silent = True
        refresh_endpoint(shard, name, settings, now)
        next_at = now + settings.endpoint_timeout_seconds
    schedule_check(shard, next_at, "endpoint_timeout", (name, incarnation))


def expire_endpoint(shard: Shard, endpoint: Endpoint, settings: LimitsSettings, now: float) -> None:
    """Remove an endpoint with its reservations, whose attempts are past their deadlines."""
    name = endpoint.announcement.endpoint
    free_older_incarnations(shard, name, endpoint.announcement.incarnation + 1, settings, now)
    remove_endpoint(shard, endpoint)
    reset_endpoint(shard.prefix, name)
    shard.ledger.accounts.pop(name, None)
