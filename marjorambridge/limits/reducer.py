"""Apply events to the shards that this host owns."""

from marjorambridge.core.effects import Effect, SetTimer
from marjorambridge.core.events import (
    ConfigurationApplied,
    ControlLeaderChanged,
    Event,
    FreshnessChanged,
    MessageReceived,
    TimerFired,
    ViewApplied,
)
from marjorambridge.core.identity import TimerKey
from marjorambridge.limits.announcements import check_endpoint_timeout, handle_announcement
from marjorambridge.limits.cancellation import (
    apply_confirmation,
    expire_permit,
    record_incarnation,
    repeat_cancel,
    repeat_host_cancel,
)
from marjorambridge.limits.events import EndpointAnnounced, EndpointCancelled
from marjorambridge.limits.inventory import handle_control_leader, report_inventory
from marjorambridge.limits.ledger import purge_ended_permits
from marjorambridge.limits.messages import (
    Announcement,
    PermitCancel,
    PermitRelease,
    PermitRenew,
    PermitRequest,
    ShardHandover,
)
from marjorambridge.limits.permits import (
    assume_first_token,
    drop_stale_entry,
    find_refusal,
    handle_cancel,
    handle_release,
    handle_renew,
    handle_request,
    serve_shard,
)
from marjorambridge.limits.scheduling import reserve_in_advance
from marjorambridge.limits.shard import Shard, adapt_long_share, pop_due_checks
from marjorambridge.limits.state import LimitsState
from marjorambridge.limits.takeover import (
    apply_configuration,
    apply_view,
    handle_handover,
    purge_handovers,
)

TICK = TimerKey("limits", "tick")

# Events and messages that the node reducer delivers here, besides the timer `TICK`.
EVENTS = frozenset(
    {
        EndpointAnnounced,
        EndpointCancelled,
        FreshnessChanged,
        ViewApplied,
        ConfigurationApplied,
        ControlLeaderChanged,
    }
)
MESSAGES = frozenset(
    {PermitRequest, PermitRenew, PermitRelease, PermitCancel, Announcement, ShardHandover}
)


def step(state: LimitsState, event: Event) -> list[Effect]:
    """Apply one event and return its effects; an event without a handler has none."""
    effects = _apply(state, event)
    if state.shards and not state.is_timer_set:
        state.is_timer_set = True
        state.last_tick = event.now
        effects.append(SetTimer(TICK, event.now + state.settings.tick_interval_seconds))
    return effects


def _apply(state: LimitsState, event: Event) -> list[Effect]:
    """Dispatch an event to its handler."""
    now = event.now
    if isinstance(event, MessageReceived):
        return _apply_message(state, event)
    if isinstance(event, EndpointAnnounced):
        return handle_announcement(state, event.announcement, False, now)
    if isinstance(event, EndpointCancelled):
        effects: list[Effect] = []
        for shard in state.shards.values():
            if apply_confirmation(shard, event, state.settings):
                effects += serve_shard(state, shard, now)
        return effects
    if isinstance(event, TimerFired):
        return _tick(state, now) if event.key == TICK else []
    if isinstance(event, FreshnessChanged):
        state.fresh_until = event.fresh_until
        return []
    if isinstance(event, ViewApplied):
        return apply_view(state, event.index, event.view, now)
    if isinstance(event, ConfigurationApplied):
        return apply_configuration(state, event.index, event.configuration, now)
    if isinstance(event, ControlLeaderChanged):
        return handle_control_leader(state, event)
    return []


def _apply_message(state: LimitsState, event: MessageReceived) -> list[Effect]:
    """Handle a message of a holder or another owner, or a forwarded announcement."""
    message, now = event.message, event.now
    effects: list[Effect] = []
    if isinstance(message, PermitRequest | PermitRenew | PermitRelease | PermitCancel):
        effects += record_incarnation(state, event.sender, event.incarnation, now)
    if isinstance(message, PermitRequest):
        effects += handle_request(state, message, now)
    elif isinstance(message, PermitRenew):
        effects += handle_renew(state, event.sender, message, now)
    elif isinstance(message, PermitRelease):
        effects += handle_release(state, message, now)
    elif isinstance(message, PermitCancel):
        effects += handle_cancel(state, message, now)
    elif isinstance(message, Announcement):
        effects += handle_announcement(state, message, True, now)
    elif isinstance(message, ShardHandover):
        effects += handle_handover(state, event.sender, message, now)
    return effects


def _tick(state: LimitsState, now: float) -> list[Effect]:
    """Run the checks that are due in all shards and serve their queues."""
    settings = state.settings
    if now - state.last_tick > settings.permit_renewal_interval_seconds:
        # After the process was frozen, renewals that arrived meanwhile may still be unread.
        state.expire_from = now + 2 * settings.permit_renewal_interval_seconds
    state.last_tick = now
    _purge_hosts(state, now)
    purge_handovers(state, now)
    effects = report_inventory(state, now)
    for shard in state.shards.values():
        effects += _tick_shard(state, shard, now)
    state.is_timer_set = bool(state.shards)
    if state.is_timer_set:
        effects.append(SetTimer(TICK, now + settings.tick_interval_seconds))
    return effects


def _purge_hosts(state: LimitsState, now: float) -> None:
    """Remove absent hosts and recorded restarts once none of their attempts can be left."""
    purge_before = now - state.settings.endpoint_removal_delay_seconds
    for host in [name for name, at in state.host_restarts.items() if at <= purge_before]:
        del state.host_restarts[host]
    for host in [name for name, at in state.absent_since.items() if at <= purge_before]:
        del state.absent_since[host]
        state.host_incarnations.pop(host, None)
        state.host_restarts.pop(host, None)


def _tick_shard(state: LimitsState, shard: Shard, now: float) -> list[Effect]:
    """Run the checks of one shard."""
    settings = state.settings
    effects: list[Effect] = []
    for kind, key in pop_due_checks(shard, now):
        if kind == "expire":
            effects += expire_permit(shard, key, settings, now, state.expire_from)
        elif kind == "cancel":
            effects += repeat_cancel(shard, key, settings, now)
        elif kind == "host_cancel":
            effects += repeat_host_cancel(shard, *key, settings, now)
        elif kind == "prefill":
            assume_first_token(shard, key, settings, now)
        elif kind == "endpoint_timeout":
            check_endpoint_timeout(shard, *key, settings, now)
        elif kind == "ask":
            drop_stale_entry(state, shard, key, now)
    purge_ended_permits(shard.ledger, now)
    adapt_long_share(shard, settings)
    effects += serve_shard(state, shard, now)
    if shard.queue.entries and find_refusal(state, shard, now) is None:
        effects += reserve_in_advance(shard, settings, now)
    return effects
