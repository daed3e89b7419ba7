"""State that a host keeps about the endpoints to which it sends requests."""

import math
import random
from collections import deque

from msgspec import Struct, field

from marjorambridge.conf import defaults
from marjorambridge.forwarding.contact import Contact
from marjorambridge.forwarding.crashes import CrashHistory
from marjorambridge.forwarding.settings import ForwardingSettings
from marjorambridge.forwarding.thresholds import Thresholds
from marjorambridge.manifests.matching import RouteTable
from marjorambridge.manifests.models import ServiceDefinition
from marjorambridge.scheduling.estimates import CostModel, EndpointCosts
from marjorambridge.scheduling.usage import Usage

# Key under which an endpoint stores the total of all other hosts.
OTHER_HOSTS_TOTAL = "total"
# Key under which an endpoint stores the decline of a request of this host.
OWN_HOST = ""


class Work(Struct, eq=False):
    """The expected work of one running request.

    Attributes
    ----------
    seconds : float
        Time that it takes, or that an engine writes its answer.
    started_at : float
        Monotonic time in seconds; infinite before the first event of an engine.
    """

    seconds: float
    started_at: float


class Load(Struct):
    """The load of one host at one endpoint.

    Attributes
    ----------
    requests : int
        Requests that are waiting or running.
    reads : int
        Prompts whose prefill is outstanding.
    prefill_seconds : float
        Time that the endpoint needs for these prefills, as of `as_of`.
    kv_tokens : int
        Memory in tokens that the requests need at their end.
    pause_limits : list of float
        Longest pause in seconds between two events that each of the requests tolerates.
    as_of : float
        Monotonic time in seconds.
    helps : int
        Prompts of requests at other endpoints that the endpoint helps to prefill; part of `reads`.
    write_seconds : float
        Remaining work of another host's requests, as of `as_of`; see `Work`.
    works : list of Work
        Work of each request of this host at planned services.
    """

    requests: int = 0
    reads: int = 0
    prefill_seconds: float = 0.0
    kv_tokens: int = 0
    pause_limits: list[float] = field(default_factory=list)
    as_of: float = 0.0
    helps: int = 0
    write_seconds: float = 0.0
    works: list[Work] = field(default_factory=list)


class FailureReport(Struct):
    """The report of another host about failures of an endpoint.

    Attributes
    ----------
    failures : int
        Consecutive failures at the other host.
    avoid_until : float
        Monotonic time in seconds until which the other host prefers other endpoints.
    hosts : int
        Number of hosts that the report covers.
    received_at : float
        Monotonic time in seconds at which it was received.
    """

    failures: int
    avoid_until: float
    hosts: int = 1
    received_at: float = 0.0


class Decline(Struct):
    """The time after a decline in which an engine is not asked to help with prompts.

    Attributes
    ----------
    since, until : float
        Monotonic times in seconds.
    """

    since: float
    until: float


class Endpoint(Struct):
    """State that this host keeps about one incarnation of an endpoint.

    Attributes
    ----------
    silent : bool
        Whether the endpoint stopped reporting to the replicas.
    leaving, signalled_leaving : bool
        Whether it is shutting down, and whether it signalled so in an answer to a host.
    replaced_until : float
        Monotonic time in seconds until which another endpoint counts as having its address.
    rejects_until : float
        Monotonic time in seconds until which it rejects requests of this host.
    order : int
        Hash of the name, by which all hosts order the endpoints in the same way.
    key : int
        Identifier in messages; a hash of the name with 31 bits.
    failures : int
        Failures since the last success, including those that other hosts reported.
    avoid_until : float
        Monotonic time in seconds until which other endpoints are preferred.
    recent_sends : deque of float
        Times of the last requests, for the limit of a cold endpoint.
    request_limit : float
        Requests per second that it takes from all hosts, as its answers state; infinite for no
        limit.
    limit_seen_at : float
        Monotonic time in seconds of the answer that stated `request_limit`.
    limited_sends : deque of float
        Times of the last requests while it states a limit.
    load : Load
        Load of this host.
    other_loads : dict of str to Load
        Loads of the other hosts, by host.
    reports : dict of str to FailureReport
        Failure reports of other hosts, by host.
    declines : dict of str to Decline
        Declines of requests of this host, under `OWN_HOST`, and those that other hosts reported.
    declined_until : float
        Monotonic time in seconds until which it is not asked to help, derived from `declines`.
    is_planned : bool
        Whether its service is planned.
    is_peer : bool
        Whether it is another host, which forwards what it receives to an endpoint.
    costs : EndpointCosts
        What this host learned about its speed.
    """

    name: str
    service: str
    zone: str
    address: str
    slots: int
    born: int
    leaving: bool = False
    signalled_leaving: bool = False
    silent: bool = False
    replaced_until: float = 0.0
    order: int = 0
    key: int = 0
    cold_until: float = 0.0
    failures: int = 0
    failed_at: float = 0.0
    avoid_until: float = 0.0
    rejects_until: float = 0.0
    recent_sends: deque[float] = field(default_factory=deque)
    request_limit: float = math.inf
    limit_seen_at: float = -math.inf
    limited_sends: deque[float] = field(default_factory=deque)
    load: Load = field(default_factory=Load)
    other_loads: dict[str, Load] = field(default_factory=dict)
    reports: dict[str, FailureReport] = field(default_factory=dict)
    declines: dict[str, Decline] = field(default_factory=dict)
    declined_until: float = -math.inf
    is_planned: bool = False
    is_peer: bool = False
    costs: EndpointCosts = field(default_factory=EndpointCosts)


class RetryWindow(Struct):
    """Requests and retries of one service in the last window.

    Attributes
    ----------
    requests, retries : deque of float
        Times in monotonic seconds.
    """

    requests: deque[float] = field(default_factory=deque)
    retries: deque[float] = field(default_factory=deque)


class ForwardingState(Struct):
    """State of forwarding on one host.

    Attributes
    ----------
    table : RouteTable or None
        None until the first manifest is received.
    thresholds : dict of str to Thresholds
        Bounds of prefills at the engines of each service of the table.
    planned : frozenset of str
        Services with planned placement.
    drained : frozenset of str
        Zones that get no new requests.
    restored : dict of str to int
        Restored zones, with the index of the command that restored each of them.
    hosts : dict of str to str
        All hosts that send requests to the endpoints, this one included, and their zones.
    started_at : float
        Monotonic time in seconds when this host started.
    loads_received_at : float
        Monotonic time in seconds at which loads of other hosts were last received.
    saved_hints : dict of tuple of (str, int) to Endpoint
        Endpoints with hints that were removed from the table, by name and start, the oldest first.
    selected_senders : dict of tuple of (str, int) to bool
        Whether this host is among the hosts that may send to an endpoint, by endpoint and number
        of such hosts.
    selected_senders_hosts : dict of str to str
        Hosts for which `selected_senders` was computed.
    crashes : CrashHistory
        Requests and parts of prompts that may crash engines.
    contact : Contact
        Whether this host reaches endpoints.
    peers : dict of str to Endpoint
        Other hosts as receivers of requests that this host passes on, by name.
    costs : CostModel
        What this host learned about the costs of requests of planned services.
    usage : Usage
        What workspaces use of the planned services.
    """

    settings: ForwardingSettings
    generator: random.Random
    table: RouteTable | None = None
    thresholds: dict[str, Thresholds] = field(default_factory=dict)
    endpoints: dict[str, Endpoint] = field(default_factory=dict)
    by_service: dict[str, dict[str, Endpoint]] = field(default_factory=dict)
    by_key: dict[int, Endpoint] = field(default_factory=dict)
    planned: frozenset[str] = frozenset()
    drained: frozenset[str] = frozenset()
    restored: dict[str, int] = field(default_factory=dict)
    hosts: dict[str, str] = field(default_factory=dict)
    started_at: float = -math.inf
    loads_received_at: float = -math.inf
    retry_windows: dict[str, RetryWindow] = field(default_factory=dict)
    saved_hints: dict[tuple[str, int], Endpoint] = field(default_factory=dict)
    selected_senders: dict[tuple[str, int], bool] = field(default_factory=dict)
    selected_senders_hosts: dict[str, str] = field(default_factory=dict)
    crashes: CrashHistory = field(default_factory=CrashHistory)
    contact: Contact = field(default_factory=Contact)
    peers: dict[str, Endpoint] = field(default_factory=dict)
    costs: CostModel = field(default_factory=CostModel)
    usage: Usage = field(default_factory=Usage)


def create_state(
    settings: ForwardingSettings, seed: int, started_at: float = -math.inf
) -> ForwardingState:
    """Return the initial state of a host, without endpoints and manifest."""
    return ForwardingState(
        settings,
        random.Random(seed),
        hosts={settings.host: settings.zone},
        started_at=started_at,
        crashes=CrashHistory(settings.min_request_crashes),
    )


def is_starting(state: ForwardingState, now: float) -> bool:
    """Return whether this host has just started, so that other hosts and loads are unknown."""
    return now - state.started_at < defaults.STARTUP_SYNC_SECONDS


def find_definition(state: ForwardingState, service: str) -> ServiceDefinition | None:
    """Return the definition of a service; None if it has none, or before the first manifest."""
    return state.table.services.get(service) if state.table is not None else None
