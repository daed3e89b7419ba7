"""Build the node of a host from the parts that its role needs."""

from msgspec import Struct, field

from marjorambridge.claims import events as claim_events
from marjorambridge.claims import messages as claim_messages
from marjorambridge.claims import reducer as claims
from marjorambridge.claims.state import ClaimSettings
from marjorambridge.claims.state import create_state as create_claims
from marjorambridge.core import events
from marjorambridge.core.effects import Effect
from marjorambridge.core.reducer import Component, Node, create_node
from marjorambridge.limits import reducer as limits
from marjorambridge.limits.settings import LimitsSettings
from marjorambridge.limits.state import create_state as create_limits
from marjorambridge.membership import reducer as membership
from marjorambridge.membership.events import CommandAnswered, CommandSubmitted
from marjorambridge.membership.messages import (
    CommandForward,
    CommandRedirect,
    CommandReply,
    FreshnessQuery,
    FreshnessReply,
    HostLeaveRequest,
)
from marjorambridge.membership.state import MembershipSettings
from marjorambridge.membership.state import create_state as create_membership
from marjorambridge.orders import reducer as orders
from marjorambridge.orders.messages import EndpointInventory, LoadDemand
from marjorambridge.orders.state import IssuerSettings
from marjorambridge.orders.state import create_state as create_orders
from marjorambridge.replication import events as log_events
from marjorambridge.replication import reducer as replication
from marjorambridge.replication.models import RecoveredReplica
from marjorambridge.replication.recovery import recover
from marjorambridge.replication.state import ReplicationSettings
from marjorambridge.requests import reducer as requests
from marjorambridge.requests.events import Drained
from marjorambridge.requests.state import RequestSettings
from marjorambridge.requests.state import create_state as create_requests

NOTIFIED_EVENTS = frozenset(
    {
        CommandAnswered,
        Drained,
        events.ConfigurationApplied,
        events.FreshnessChanged,
        log_events.LeadershipChanged,
        log_events.ReplicaHalted,
        log_events.RepairStatus,
    }
)
LOG_EVENTS = frozenset(
    {
        log_events.EntryCommitted,
        log_events.LeadershipChanged,
        log_events.LogPositionChanged,
        log_events.ProposalRefused,
        log_events.SnapshotInstalled,
        log_events.SnapshotRequested,
    }
)


class NodeSettings(Struct):
    """Hold the settings of all parts of a node.

    Attributes
    ----------
    seed : int
        Seed of all random numbers of the node.
    replication : ReplicationSettings or None
        None on hosts without a replica.
    """

    membership: MembershipSettings
    limits: LimitsSettings
    requests: RequestSettings
    claims: ClaimSettings
    seed: int
    replication: ReplicationSettings | None = None
    orders: IssuerSettings = field(default_factory=IssuerSettings)


def compose_node(
    settings: NodeSettings, recovered: RecoveredReplica | None, now: float
) -> tuple[Node, list[Effect]]:
    """Build a node and return it with the effects of its recovery.

    Parameters
    ----------
    recovered : RecoveredReplica or None
        Replica state recovered from storage; required if the host has a replica.
    now : float
        Monotonic time in seconds.
    """
    effects: list[Effect] = []
    parts = [_create_membership(settings), _create_claims(settings)]
    if settings.replication is not None and recovered is not None:
        state, effects = recover(settings.replication, recovered, settings.seed, now)
        parts.append(_create_replication(state))
        parts.append(_create_orders(settings))
    parts += [_create_limits(settings), _create_requests(settings)]
    identity = settings.membership
    return create_node(identity.host, identity.incarnation, parts, NOTIFIED_EVENTS), effects


def _create_membership(settings: NodeSettings) -> Component:
    return Component(
        "membership",
        create_membership(settings.membership),
        membership.step,
        LOG_EVENTS | {events.Started, events.ShutdownRequested, CommandSubmitted},
        frozenset(
            {
                CommandForward,
                CommandRedirect,
                CommandReply,
                FreshnessQuery,
                FreshnessReply,
                HostLeaveRequest,
            }
        ),
    )


def _create_claims(settings: NodeSettings) -> Component:
    identity = settings.membership
    state = create_claims(
        settings.claims,
        identity.host,
        identity.incarnation,
        identity.replicas,
        identity.replica,
    )
    event_types = {
        claim_events.ClaimRequested,
        claim_events.ClaimCompletionRequested,
        claim_events.ClaimReleaseRequested,
        claim_events.ClaimReplicasChanged,
        claim_events.WallClockRead,
        events.Started,
        events.ViewApplied,
    }
    message_types = {
        claim_messages.ClaimAnswer,
        claim_messages.ClaimComplete,
        claim_messages.ClaimRelease,
        claim_messages.ClaimRequest,
    }
    return Component(
        "claims", state, claims.step, LOG_EVENTS | event_types, frozenset(message_types)
    )


def _create_replication(state: object) -> Component:
    return Component(
        "replication",
        state,
        replication.step,
        frozenset(replication.EVENT_HANDLERS),
        frozenset(replication.BOOTSTRAP_HANDLERS) | frozenset(replication.GROUP_HANDLERS),
    )


def _create_orders(settings: NodeSettings) -> Component:
    identity = settings.membership
    return Component(
        "orders",
        create_orders(settings.orders, identity.host, identity.incarnation),
        orders.step,
        frozenset(orders.HANDLERS) - {events.MessageReceived, events.TimerFired},
        frozenset({EndpointInventory, LoadDemand}),
    )


def _create_limits(settings: NodeSettings) -> Component:
    identity = settings.membership
    state = create_limits(identity.host, identity.region, settings.limits, settings.seed)
    return Component("limits", state, limits.step, limits.EVENTS, limits.MESSAGES)


def _create_requests(settings: NodeSettings) -> Component:
    identity = settings.membership
    state = create_requests(
        identity.host,
        identity.incarnation,
        identity.region,
        identity.zone,
        settings.requests,
        settings.seed,
    )
    return Component(
        "requests",
        state,
        requests.step,
        frozenset(requests.HANDLERS),
        frozenset(requests.MESSAGE_HANDLERS),
    )
