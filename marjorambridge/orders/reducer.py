"""Issue orders that bring the endpoints to their target state.

Only the leader of group 0 issues orders, and only while it is fresh. A former leader stops being
fresh at most `freshness_seconds` after the first commit of the next term, and an order expires
`lifetime_seconds` after it was decided. A new leader therefore waits for both before its first
order to an endpoint that does not check fencing numbers.
"""

from collections.abc import Callable

from marjorambridge.core.effects import Effect, Measure, Publish, SetTimer, WriteLog
from marjorambridge.core.events import (
    ConfigurationApplied,
    Event,
    FreshnessChanged,
    MessageReceived,
    Started,
    TimerFired,
)
from marjorambridge.core.identity import TimerKey
from marjorambridge.orders.effects import SendOrder
from marjorambridge.orders.events import OrderAnswered, OrderStatus, TargetStateApplied
from marjorambridge.orders.messages import (
    EndpointInventory,
    EndpointSummary,
    LoadDemand,
    Order,
    OrderKind,
)
from marjorambridge.orders.state import EndpointState, IssuerState
from marjorambridge.orders.state_machine import Artifact, TakeTokens, Target, encode_command
from marjorambridge.replication.events import (
    EntryCommitted,
    LeadershipChanged,
    ProposalRefused,
    ProposalRequested,
)

GROUP = 0
TICK = TimerKey("orders", "tick")

# Kind, name and bytes to load of the next order to an endpoint.
OrderSpec = tuple[OrderKind, str, int]


def step(state: IssuerState, event: Event) -> list[Effect]:
    """Handle one event and return its effects."""
    handler = HANDLERS.get(type(event))
    return handler(state, event) if handler is not None else []


def receive_started(state: IssuerState, event: Started) -> list[Effect]:
    """Set the tick timer."""
    return [SetTimer(TICK, event.now + state.settings.tick_interval_seconds)]


def receive_timer(state: IssuerState, event: TimerFired) -> list[Effect]:
    """Remove expired demand and endpoints, and issue the orders that are due."""
    if event.key != TICK:
        return []
    oldest = event.now - state.settings.demand_expiry_seconds
    for key, senders in list(state.demand.items()):
        for sender in [name for name, (_, at) in senders.items() if at < oldest]:
            del senders[sender]
        if not senders:
            del state.demand[key]
    oldest = event.now - state.settings.inventory_expiry_seconds
    for name, endpoint in list(state.endpoints.items()):
        if endpoint.announced_at < oldest and event.now >= endpoint.busy_until:
            del state.endpoints[name]
            state.due_endpoints.discard(name)
    effects: list[Effect] = [SetTimer(TICK, event.now + state.settings.tick_interval_seconds)]
    return effects + issue_orders(state, event.now)


def receive_leadership(state: IssuerState, event: LeadershipChanged) -> list[Effect]:
    """Start or stop issuing; a new term starts with the committed level of the token bucket."""
    if event.group != GROUP or event.term < state.term:
        return []
    if event.is_leader and (not state.is_leader or event.term != state.term):
        settings = state.settings
        wait = settings.freshness_seconds + settings.lifetime_seconds
        state.unfenced_from = event.now + wait * settings.clock_drift_factor
        committed = state.targets.tokens
        # No refill is counted for the time since tokens were last taken, so that the limit holds
        # without comparing the clocks of hosts.
        state.level = settings.burst_bytes if committed is None else committed
        state.level_updated_at = event.now
        _clear_orders(state)
    elif state.is_leader and not event.is_leader:
        _clear_orders(state)
    state.term = event.term
    state.is_leader = event.is_leader
    return issue_orders(state, event.now)


def receive_entry(state: IssuerState, event: EntryCommitted) -> list[Effect]:
    """Stop issuing at an entry of a later term; send the load whose tokens are committed.

    Entries from other replicas can keep a host fresh before its own replica receives the next term.
    """
    if event.group != GROUP:
        return []
    if event.term > state.term:
        state.term = event.term
        state.is_leader = False
        _clear_orders(state)
        return []
    if not event.proposal or not _may_issue(state, event.now):
        return []
    endpoint = state.endpoints.get(state.proposals.pop(event.proposal, ""))
    if endpoint is None or endpoint.proposal != event.proposal:
        return []
    endpoint.proposal = ""
    spec = compute_next_order(endpoint.summary, find_target(state, endpoint.summary))
    # The target, and with it the size of the load, may have changed since the proposal.
    if spec is None or not 0 < spec[2] <= endpoint.proposed_bytes:
        return []
    if not _is_ready(state, endpoint, event.now):
        return []
    return [_send(state, endpoint, spec, event.now)]


def receive_refusal(state: IssuerState, event: ProposalRefused) -> list[Effect]:
    """Remove a refused proposal; its tokens are not put back into the bucket."""
    endpoint = state.endpoints.get(state.proposals.pop(event.proposal, ""))
    if endpoint is not None and endpoint.proposal == event.proposal:
        endpoint.proposal = ""
    return []


def receive_targets(state: IssuerState, event: TargetStateApplied) -> list[Effect]:
    """Replace the target state."""
    state.targets = event.state
    for endpoint in state.endpoints.values():
        _update_due_endpoints(state, endpoint)
    return issue_orders(state, event.now)


def receive_freshness(state: IssuerState, event: FreshnessChanged) -> list[Effect]:
    """Update the time until which this host may issue orders."""
    state.fresh_until = event.fresh_until
    return issue_orders(state, event.now)


def receive_configuration(state: IssuerState, event: ConfigurationApplied) -> list[Effect]:
    """Update the services whose endpoints check fencing numbers."""
    services = event.configuration.services.values()
    state.services_checking_fencing = frozenset(
        each.name for each in services if each.checks_fencing
    )
    return []


def receive_message(state: IssuerState, event: MessageReceived) -> list[Effect]:
    """Store the demand for a model or the announcements of endpoints."""
    message = event.message
    if isinstance(message, LoadDemand):
        senders = state.demand.setdefault((message.service, message.model), {})
        senders[event.sender] = (message.waiting, event.now)
        return []
    if isinstance(message, EndpointInventory):
        for summary in message.endpoints:
            _update_endpoint(state, summary, event.now)
    return []


def receive_answer(state: IssuerState, event: OrderAnswered) -> list[Effect]:
    """Wait for the effect of an accepted order, and repeat any other after a delay."""
    endpoint = state.endpoints.get(event.endpoint)
    order = endpoint.order if endpoint is not None else None
    if order is None or (order.fencing, order.number) != (event.fencing, event.number):
        return []
    settings = state.settings
    if event.status == OrderStatus.ACCEPTED:
        seconds = (
            settings.load_effect_timeout_seconds
            if order.load_bytes
            else settings.effect_timeout_seconds
        )
        endpoint.busy_until = event.now + seconds
        return []
    endpoint.order = None
    endpoint.busy_until = event.now + settings.retry_delay_seconds
    labels = {"kind": order.kind.value, "status": event.status.value}
    fields = {"endpoint": event.endpoint, "detail": event.message, **labels}
    return [
        Measure("orders_failed_total", 1.0, labels),
        WriteLog("warning", "an order failed and will be repeated", fields),
    ]


def issue_orders(state: IssuerState, now: float) -> list[Effect]:
    """Send the orders that are due; propose loads, those with the most waiting callers first."""
    if not _may_issue(state, now):
        return []
    effects: list[Effect] = []
    loads = []
    for name in sorted(state.due_endpoints):
        endpoint = state.endpoints[name]
        if (
            endpoint.proposal
            and now >= endpoint.proposed_at + state.settings.proposal_timeout_seconds
        ):
            state.proposals.pop(endpoint.proposal, None)
            endpoint.proposal = ""
        if endpoint.proposal or not _is_ready(state, endpoint, now):
            continue
        spec = compute_next_order(endpoint.summary, find_target(state, endpoint.summary))
        if spec is None:
            continue
        if spec[2]:
            waiting = count_waiting(state, endpoint.summary.service, spec[1])
            loads.append((-waiting, name, endpoint, spec))
        else:
            effects.append(_send(state, endpoint, spec, now))
    return effects + _propose_loads(state, sorted(loads, key=lambda load: load[:2]), now)


def find_target(state: IssuerState, summary: EndpointSummary) -> Target | None:
    """Return the target of an endpoint, or that of its service."""
    target = state.targets.endpoints.get(summary.endpoint)
    return target if target is not None else state.targets.services.get(summary.service)


def compute_next_order(summary: EndpointSummary, target: Target | None) -> OrderSpec | None:
    """Return the next order that brings an endpoint to its target, or None if none is needed.

    Removals come first, because the memory may not suffice for old and new weights.
    """
    if target is None or summary.leaving:
        return None
    artifact_kinds = (
        (target.models, summary.models, OrderKind.LOAD_MODEL, OrderKind.UNLOAD_MODEL),
        (target.adapters, summary.adapters, OrderKind.LOAD_ADAPTER, OrderKind.UNLOAD_ADAPTER),
    )
    for required, present, _, unload in reversed(artifact_kinds):
        names = None if required is None else {artifact.name for artifact in required}
        for name in present:
            if names is not None and name not in names:
                return unload, name, 0
    if target.version and summary.version != target.version:
        return OrderKind.SET_VERSION, target.version, _sum_bytes(target.models)
    for required, present, load, _ in artifact_kinds:
        for artifact in required or ():
            if artifact.name not in present:
                return load, artifact.name, _sum_bytes((artifact,))
    if target.role and summary.role != target.role:
        return OrderKind.SET_ROLE, target.role, 0
    return None


def count_waiting(state: IssuerState, service: str, model: str) -> int:
    """Return how many callers wait for a model, or for the service if it is not a model."""
    senders = state.demand.get((service, model)) or state.demand.get((service, service)) or {}
    return sum(waiting for waiting, _ in senders.values())


def _propose_loads(state: IssuerState, loads: list, now: float) -> list[Effect]:
    """Propose to take tokens for loads in their order, as far as the bucket suffices.

    A load that must wait delays the later ones, so that smaller loads cannot delay a large one
    forever. A load larger than the burst starts with a full bucket and makes its level negative.
    """
    settings = state.settings
    refilled = state.level + settings.bytes_per_second * (now - state.level_updated_at)
    state.level = min(settings.burst_bytes, refilled)
    state.level_updated_at = now
    effects: list[Effect] = []
    for _, _, endpoint, spec in loads:
        size = float(spec[2])
        if state.level < min(size, settings.burst_bytes):
            break
        state.level -= size
        state.number += 1
        endpoint.proposal = f"orders:{state.host}:{state.incarnation}:{state.term}:{state.number}"
        endpoint.proposed_at = now
        endpoint.proposed_bytes = spec[2]
        state.proposals[endpoint.proposal] = endpoint.summary.endpoint
        payload = encode_command(TakeTokens(size, state.level))
        effects.append(Publish(ProposalRequested(now, GROUP, endpoint.proposal, payload)))
    effects.append(Measure("weight_store_budget_bytes", state.level))
    return effects


def _send(state: IssuerState, endpoint: EndpointState, spec: OrderSpec, now: float) -> SendOrder:
    kind, name, load_bytes = spec
    state.number += 1
    endpoint.order = Order(state.term, state.number, kind, name, load_bytes)
    endpoint.decided_at = now
    send_by = now + state.settings.lifetime_seconds
    endpoint.busy_until = send_by
    summary = endpoint.summary
    return SendOrder(
        summary.endpoint, summary.incarnation, summary.address, endpoint.order, send_by
    )


def _update_endpoint(state: IssuerState, summary: EndpointSummary, now: float) -> None:
    """Store an announcement; an order whose effect it shows is complete."""
    announced_at = now - summary.age
    endpoint = state.endpoints.get(summary.endpoint)
    if endpoint is None:
        state.endpoints[summary.endpoint] = EndpointState(summary, announced_at)
        _update_due_endpoints(state, state.endpoints[summary.endpoint])
        return
    if summary.incarnation < endpoint.summary.incarnation:
        return
    restarted = summary.incarnation > endpoint.summary.incarnation
    if not restarted and announced_at < endpoint.announced_at:
        return
    endpoint.summary = summary
    endpoint.announced_at = announced_at
    _update_due_endpoints(state, endpoint)
    if restarted:
        # An order to the old process can still arrive at the new one until it expires.
        if endpoint.order is not None:
            endpoint.busy_until = endpoint.decided_at + state.settings.lifetime_seconds
            endpoint.order = None
    elif endpoint.order is not None and _shows_effect(summary, endpoint.order):
        endpoint.order = None
        endpoint.busy_until = now


def _update_due_endpoints(state: IssuerState, endpoint: EndpointState) -> None:
    """Add an endpoint that differs from its target to the due endpoints, or remove it.

    A tick then compares only the due endpoints with their targets.
    """
    summary = endpoint.summary
    if compute_next_order(summary, find_target(state, summary)) is None:
        state.due_endpoints.discard(summary.endpoint)
    else:
        state.due_endpoints.add(summary.endpoint)


def _shows_effect(summary: EndpointSummary, order: Order) -> bool:
    if order.kind == OrderKind.LOAD_MODEL:
        return order.name in summary.models
    if order.kind == OrderKind.UNLOAD_MODEL:
        return order.name not in summary.models
    if order.kind == OrderKind.LOAD_ADAPTER:
        return order.name in summary.adapters
    if order.kind == OrderKind.UNLOAD_ADAPTER:
        return order.name not in summary.adapters
    if order.kind == OrderKind.SET_VERSION:
        return order.name == summary.version
    return order.name == summary.role


def _sum_bytes(artifacts: tuple[Artifact, ...] | None) -> int:
    # Even an artifact of unknown size counts as a load.
    return max(1, sum(artifact.size_bytes for artifact in artifacts or ()))


def _may_issue(state: IssuerState, now: float) -> bool:
    return state.is_leader and now < state.fresh_until


def _is_ready(state: IssuerState, endpoint: EndpointState, now: float) -> bool:
    summary = endpoint.summary
    checks = summary.checks_fencing or summary.service in state.services_checking_fencing
    return (
        now >= endpoint.busy_until
        and endpoint.announced_at >= now - state.settings.inventory_expiry_seconds
        and (checks or now >= state.unfenced_from)
    )


def _clear_orders(state: IssuerState) -> None:
    state.proposals.clear()
    for endpoint in state.endpoints.values():
        endpoint.order = None
        endpoint.busy_until = 0.0
        endpoint.proposal = ""


HANDLERS: dict[type, Callable[..., list[Effect]]] = {
    Started: receive_started,
    TimerFired: receive_timer,
    LeadershipChanged: receive_leadership,
    EntryCommitted: receive_entry,
    ProposalRefused: receive_refusal,
    TargetStateApplied: receive_targets,
    FreshnessChanged: receive_freshness,
    ConfigurationApplied: receive_configuration,
    MessageReceived: receive_message,
    OrderAnswered: receive_answer,
}
