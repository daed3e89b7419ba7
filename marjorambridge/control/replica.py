"""Reduce the events of a replica: bring commands into the log and feed hosts with what changes.

A change reaches hosts at once, and a poll of each host repeats what was lost. The load pattern
behind this is a long quiet time with bursts of changes: nothing is sent twice, and what a host gets
depends on the changes and not on the size of the fleet.
"""

from collections.abc import Callable
from dataclasses import dataclass, field

from marjorambridge.conf import defaults
from marjorambridge.control.commands import (
    AnyCommand,
    ForgetEndpoint,
    ReadBarrier,
    RegisterEndpoint,
    encode_command,
)
from marjorambridge.control.events import (
    CommandApplied,
    CommandSubmitted,
    CommandWithdrawn,
    EndpointReported,
)
from marjorambridge.control.exceptions import ControlDecodeError
from marjorambridge.control.messages import (
    EndpointEntry,
    EndpointGossip,
    FeedPoll,
    FeedUpdate,
    LiveEndpoint,
    MemberList,
    ProposalForward,
)
from marjorambridge.control.state_machine import (
    ControlState,
    apply_entry,
    is_registered,
    is_retired,
    restore_snapshot,
    take_snapshot,
)
from marjorambridge.core.effects import Effect, Publish, SendMessage, SetTimer, WriteLog
from marjorambridge.core.events import Event, MessageReceived, Started, TimerFired
from marjorambridge.core.identity import TimerKey
from marjorambridge.discovery.models import EndpointReport, KnownEndpoint
from marjorambridge.discovery.table import (
    EndpointTable,
    confirm_endpoint,
    expire_endpoints,
    merge_report,
    retire_endpoint,
)
from marjorambridge.replication.events import (
    EntryCommitted,
    LeadershipChanged,
    LogPositionChanged,
    MembershipAction,
    MembershipChangeRequested,
    PeersLearned,
    ProposalRefused,
    ProposalRequested,
    SnapshotInstalled,
    SnapshotRequested,
    SnapshotTaken,
)
from marjorambridge.replication.messages import JoinRequest

CONTROL_GROUP = 0
TICK = TimerKey("control", "tick")


@dataclass(slots=True)
class PendingCommand:
    """Hold a command until this replica has applied it."""

    payload: bytes
    sent_at: float


@dataclass(slots=True)
class Follower:
    """Hold what a host was told.

    Attributes
    ----------
    revision : int
        Revision of the endpoint table up to which the host was told; -1 for nothing.
    index, version : int
        Last control index and manifest version that were sent.
    may_be_old : bool
        Whether the host also takes a manifest of a replica that is not current.
    hosts : tuple of str
        Hosts that were named last.
    """

    polled_at: float
    zone: str
    revision: int = -1
    index: int = -1
    version: int = 0
    may_be_old: bool = True
    current: bool = False
    hosts: tuple[str, ...] = ()


@dataclass(slots=True)
class RemoteFollower:
    """Hold a host that follows another replica, and when that replica last said so."""

    told_at: float
    zone: str


@dataclass(slots=True)
class ReplicaControl:
    """Hold the state of a replica's control part.

    Attributes
    ----------
    has_contact : callable
        Takes monotonic seconds; says whether this replica leads, or heard the leader lately.
    barrier : str
        Identifier of the read barrier in progress; empty if there is none.
    commands : int
        Commands of its own that this replica has submitted.
    registering : dict of str to tuple of (int, str)
        Start time of each endpoint that is being registered, and the command that does it.
    confirmed : bool
        Whether a barrier was applied since contact with the leader was lost last.
    """

    host: str
    zone: str
    incarnation: int
    has_contact: Callable[[float], bool]
    table: EndpointTable
    control: ControlState = field(default_factory=ControlState)
    pending: dict[str, PendingCommand] = field(default_factory=dict)
    leader: str = ""
    is_leader: bool = False
    members: tuple[str, ...] = ()
    zones: dict[str, str] = field(default_factory=dict)
    followers: dict[str, Follower] = field(default_factory=dict)
    other_hosts: dict[str, RemoteFollower] = field(default_factory=dict)
    gossiped_revision: int = 0
    gossiped_at: float = 0.0
    heard: dict[str, None] = field(default_factory=dict)
    barrier: str = ""
    commands: int = 0
    registering: dict[str, tuple[int, str]] = field(default_factory=dict)
    confirmed: bool = False
    halted: str = ""


def create_state(
    host: str,
    zone: str,
    incarnation: int,
    report_interval_seconds: float,
    has_contact: Callable[[float], bool],
) -> ReplicaControl:
    """Return the state of a replica that has just started."""
    table = EndpointTable(report_interval_seconds)
    return ReplicaControl(host, zone, incarnation, has_contact, table, zones={host: zone})


def step(state: ReplicaControl, event: Event) -> list[Effect]:
    """Apply an event and return the effects."""
    match event:
        case Started():
            return [SetTimer(TICK, event.now)]
        case TimerFired():
            return _run_tick(state, event.now)
        case CommandSubmitted():
            state.pending[event.command_id] = PendingCommand(event.payload, event.now)
            return _send_command(state, event.command_id, event.now)
        case CommandWithdrawn():
            state.pending.pop(event.command_id, None)
        case EndpointReported():
            return _take_report(state, event)
        case EntryCommitted():
            return _apply(state, event)
        case SnapshotInstalled():
            return _install(state, event)
        case SnapshotRequested() if not state.halted:
            data = take_snapshot(state.control)
            return [Publish(SnapshotTaken(event.now, CONTROL_GROUP, state.control.index, data))]
        case LeadershipChanged():
            state.leader, state.is_leader = event.leader, event.is_leader
            return [
                effect
                for command_id in state.pending
                for effect in _send_command(state, command_id, event.now)
            ]
        case LogPositionChanged():
            state.members = event.voters
        case ProposalRefused():
            return []
        case MessageReceived():
            return _take_message(state, event)
    return []


EVENTS = frozenset(
    {
        Started,
        CommandSubmitted,
        CommandWithdrawn,
        EndpointReported,
        EntryCommitted,
        SnapshotInstalled,
        SnapshotRequested,
        LeadershipChanged,
        LogPositionChanged,
        ProposalRefused,
    }
)
MESSAGES = frozenset({ProposalForward, EndpointGossip, FeedPoll, JoinRequest, MemberList})


def _take_message(state: ReplicaControl, event: MessageReceived) -> list[Effect]:
    message = event.message
    match message:
        case ProposalForward():
            if not state.is_leader:
                return []
            return [_propose(event.now, message.command_id, message.payload)]
        case EndpointGossip():
            return _merge_gossip(state, event.sender, message, event.now)
        case FeedPoll():
            return _answer_poll(state, event.sender, message, event.now)
        case JoinRequest():
            return _admit(state, event.sender, event.now)
        case MemberList():
            return [Publish(PeersLearned(event.now, message.hosts))]
    return []


# Commands.


def _propose(now: float, command_id: str, payload: bytes) -> Effect:
    return Publish(ProposalRequested(now, CONTROL_GROUP, command_id, payload))


def _send_command(state: ReplicaControl, command_id: str, now: float) -> list[Effect]:
    pending = state.pending[command_id]
    pending.sent_at = now
    if state.is_leader:
        return [_propose(now, command_id, pending.payload)]
    if state.leader and state.leader != state.host:
        return [SendMessage(state.leader, ProposalForward(command_id, pending.payload))]
    return []


def _draw_command_id(state: ReplicaControl) -> str:
    state.commands += 1
    return f"{state.host}/{state.incarnation:x}/{state.commands}"


def _submit_own(state: ReplicaControl, command: AnyCommand, now: float) -> list[Effect]:
    state.pending[command.command_id] = PendingCommand(encode_command(command), now)
    return _send_command(state, command.command_id, now)


def _apply(state: ReplicaControl, event: EntryCommitted) -> list[Effect]:
    if event.group != CONTROL_GROUP or state.halted:
        return []
    before = _describe_content(state)
    try:
        command_id = apply_entry(state.control, event.index, event.payload)
    except ControlDecodeError as error:
        return _halt(state, str(error))
    effects: list[Effect] = []
    _merge_registered(state, event.now)
    if command_id and command_id == state.barrier:
        state.barrier = ""
        state.confirmed = True
        effects += _push(state, event.now)
    if state.pending.pop(command_id, None) is not None:
        effects.append(Publish(CommandApplied(event.now, command_id)))
    if _describe_content(state) != before:
        # Hosts are told before the operator, so that few requests cross the acknowledgement.
        effects = _push(state, event.now) + effects
    return effects


def _install(state: ReplicaControl, event: SnapshotInstalled) -> list[Effect]:
    if event.group != CONTROL_GROUP or event.index <= state.control.index:
        return []
    try:
        state.control = restore_snapshot(event.data)
    except ControlDecodeError as error:
        return _halt(state, str(error))
    state.control.index = max(state.control.index, event.index)
    _merge_registered(state, event.now)
    return _push(state, event.now)


def _halt(state: ReplicaControl, reason: str) -> list[Effect]:
    state.halted = reason
    state.confirmed = False
    return [WriteLog("error", "the replica can't apply the control log", {"reason": reason})]


def _describe_content(state: ReplicaControl) -> tuple[int, ...]:
    control, table = state.control, state.table
    return control.version, len(control.drained), len(control.retired), table.revision


def _merge_registered(state: ReplicaControl, now: float) -> None:
    """Take over the endpoints of the log, which every replica has applied in the same order."""
    for name, known in state.control.registered.items():
        if name in state.table.endpoints:
            continue
        report = EndpointReport(
            endpoint=name,
            service=known.service,
            zone=known.zone,
            address=known.address,
            slots=known.slots,
            born=known.born,
            sequence=-1,
            cold_seconds=known.cold_seconds,
        )
        merge_report(state.table, report, 0.0, now)
    for endpoint, born in state.control.retired.items():
        retire_endpoint(state.table, endpoint, born)


# Endpoints.


def _take_report(state: ReplicaControl, event: EndpointReported) -> list[Effect]:
    report = event.report
    if is_retired(state.control, report.endpoint, report.born):
        report.leaving = True
    changed = merge_report(state.table, report, 0.0, event.now)
    state.heard[report.endpoint] = None
    effects = _register(state, report, event.now)
    if not changed:
        return effects
    fields = {"endpoint": report.endpoint, "service": report.service, "leaving": report.leaving}
    effects.append(WriteLog("info", "an endpoint's report changed the table", fields))
    return effects + _gossip_changes(state, event.now) + _push(state, event.now)


def _register(state: ReplicaControl, report: EndpointReport, now: float) -> list[Effect]:
    """Bring an endpoint into the log if it is new there."""
    name, born = report.endpoint, report.born
    known = is_registered(state.control, name, born, report.address, report.service)
    if known or report.leaving:
        return []
    submitted_born, submitted_id = state.registering.get(name, (-1, ""))
    if submitted_born >= born and submitted_id in state.pending:
        return []
    command = RegisterEndpoint(
        _draw_command_id(state),
        name,
        report.service,
        report.zone,
        report.address,
        report.slots,
        born,
        report.cold_seconds,
    )
    state.registering[name] = (born, command.command_id)
    return _submit_own(state, command, now)


def _forget_lost(state: ReplicaControl, now: float) -> list[Effect]:
    """Remove endpoints from the log that the table has forgotten; the leader does it for all."""
    if not state.is_leader:
        return []
    effects: list[Effect] = []
    for name, known in list(state.control.registered.items()):
        is_submitted = state.registering.get(name, (0, ""))[1] in state.pending
        if name not in state.table.endpoints and not is_submitted:
            command = ForgetEndpoint(_draw_command_id(state), name, known.born)
            state.registering[name] = (known.born, command.command_id)
            effects += _submit_own(state, command, now)
    return effects


def _describe(known: KnownEndpoint, now: float) -> EndpointEntry:
    report = known.report
    return EndpointEntry(
        endpoint=report.endpoint,
        service=report.service,
        zone=report.zone,
        address=report.address,
        slots=report.slots,
        born=report.born,
        sequence=report.sequence,
        leaving=report.leaving,
        cold_seconds=max(0.0, known.cold_until - now),
        age_seconds=max(0.0, now - known.heard_at),
        silent=known.silent,
    )


def _merge_gossip(
    state: ReplicaControl, sender: str, gossip: EndpointGossip, now: float
) -> list[Effect]:
    changed = state.zones.get(sender) != gossip.zone
    state.zones[sender] = gossip.zone
    for entry in gossip.changed:
        report = EndpointReport(
            endpoint=entry.endpoint,
            service=entry.service,
            zone=entry.zone,
            address=entry.address,
            slots=entry.slots,
            born=entry.born,
            sequence=entry.sequence,
            leaving=entry.leaving or is_retired(state.control, entry.endpoint, entry.born),
            cold_seconds=entry.cold_seconds + entry.age_seconds,
        )
        changed |= merge_report(state.table, report, entry.age_seconds, now)
    for live in gossip.alive:
        changed |= confirm_endpoint(state.table, live.endpoint, live.born, live.age_seconds, now)
    for host, zone in zip(gossip.hosts, gossip.host_zones, strict=True):
        changed |= host not in state.other_hosts and host not in state.followers
        state.other_hosts[host] = RemoteFollower(now, zone)
    # The sender of a change tells all replicas, so that nothing is passed on.
    state.gossiped_revision = max(state.gossiped_revision, state.table.revision)
    return _push(state, now) if changed else []


def _gossip_changes(state: ReplicaControl, now: float) -> list[Effect]:
    changed = tuple(
        _describe(known, now)
        for known in state.table.endpoints.values()
        if known.revision > state.gossiped_revision
    )
    state.gossiped_revision = state.table.revision
    return _broadcast(state, EndpointGossip(state.zone, changed=changed)) if changed else []


def _broadcast(state: ReplicaControl, message: object) -> list[Effect]:
    return [SendMessage(host, message) for host in state.members if host != state.host]


# Hosts.


def _answer_poll(state: ReplicaControl, host: str, poll: FeedPoll, now: float) -> list[Effect]:
    follower = state.followers.get(host)
    is_new = follower is None
    if follower is None:
        follower = state.followers[host] = Follower(now, poll.zone)
    follower.polled_at = now
    follower.revision = poll.revision if poll.incarnation == state.incarnation else -1
    follower.version, follower.may_be_old = poll.version, poll.may_be_old
    effects: list[Effect] = [_make_update(state, host, follower, poll.serial, now)]
    if is_new:
        effects += _push(state, now)
    return effects


def _push(state: ReplicaControl, now: float) -> list[Effect]:
    return [
        _make_update(state, host, follower, 0, now)
        for host, follower in state.followers.items()
        if follower.revision < state.table.revision
        or follower.index < state.control.index
        or follower.current != _is_current(state, now)
    ]


def _make_update(
    state: ReplicaControl, host: str, follower: Follower, serial: int, now: float
) -> SendMessage:
    table, control = state.table, state.control
    # Manifests of large fleets take most of the bytes between zones; none is sent in vain.
    is_wanted = follower.may_be_old or _is_current(state, now)
    has_news = control.version > follower.version and is_wanted
    changed = tuple(
        _describe(known, now)
        for known in table.endpoints.values()
        if known.revision > follower.revision
    )
    removed = tuple(
        name for name, revision in table.removed.items() if revision > follower.revision >= 0
    )
    hosts = {name: other.zone for name, other in state.other_hosts.items()}
    hosts |= {name: other.zone for name, other in state.followers.items()}
    names = tuple(sorted(hosts))
    # Most updates repeat what is known; the names of a large fleet are their greatest part.
    told = names if names != follower.hosts or follower.revision < 0 else ()
    follower.hosts = names
    update = FeedUpdate(
        serial=serial,
        incarnation=state.incarnation,
        revision=table.revision,
        current=_is_current(state, now),
        base=follower.revision,
        index=control.index,
        version=control.version,
        document=control.document if has_news else b"",
        drained=tuple(sorted(control.drained)),
        restored=tuple(sorted(control.restored)),
        restored_at=tuple(control.restored[zone] for zone in sorted(control.restored)),
        changed=changed,
        removed=removed,
        members=state.members,
        member_zones=tuple(state.zones.get(host, "") for host in state.members),
        hosts=told,
        host_zones=tuple(hosts[name] for name in told),
    )
    follower.revision, follower.index = table.revision, control.index
    if has_news:
        follower.version = control.version
    follower.current = update.current
    return SendMessage(host, update)


def _is_current(state: ReplicaControl, now: float) -> bool:
    return state.confirmed and not state.halted and state.has_contact(now)


# Members.


def _admit(state: ReplicaControl, host: str, now: float) -> list[Effect]:
    """Add an unknown replica to the group, or tell it who may do so."""
    if not state.is_leader:
        members = (*state.members, state.leader) if state.leader else state.members
        return [SendMessage(host, MemberList(tuple(dict.fromkeys(members))))]
    if host in state.members:
        return []
    request = MembershipChangeRequested(now, CONTROL_GROUP, MembershipAction.ADD_HOST, host)
    return [Publish(request)]


# Time.


def _run_tick(state: ReplicaControl, now: float) -> list[Effect]:
    effects: list[Effect] = [SetTimer(TICK, now + defaults.CONTROL_TICK_SECONDS)]
    for command_id, pending in list(state.pending.items()):
        if now - pending.sent_at >= defaults.LOG_COMMAND_RETRY_SECONDS:
            effects += _send_command(state, command_id, now)
    effects += _renew_barrier(state, now)
    changed = expire_endpoints(state.table, now)
    effects += _forget_lost(state, now)
    changed |= _drop_followers(state, now)
    if now - state.gossiped_at >= defaults.GOSSIP_SECONDS:
        effects += _gossip_alive(state, now)
    if changed or any(
        follower.current != _is_current(state, now) for follower in state.followers.values()
    ):
        effects += _push(state, now)
    return effects


def _renew_barrier(state: ReplicaControl, now: float) -> list[Effect]:
    """Confirm by a command of its own that this replica has caught up, after contact was lost."""
    if not state.has_contact(now):
        state.confirmed = False
        state.pending.pop(state.barrier, None)
        state.barrier = ""
        return []
    if state.confirmed or state.barrier:
        return []
    state.barrier = _draw_command_id(state)
    return _submit_own(state, ReadBarrier(state.barrier), now)


def _drop_followers(state: ReplicaControl, now: float) -> bool:
    limit = now - defaults.FOLLOWER_LIFETIME_SECONDS
    gone = [host for host, item in state.followers.items() if item.polled_at < limit]
    for host in gone:
        del state.followers[host]
    elsewhere = [host for host, item in state.other_hosts.items() if item.told_at < limit]
    for host in elsewhere:
        del state.other_hosts[host]
    return bool(gone or elsewhere)


def _gossip_alive(state: ReplicaControl, now: float) -> list[Effect]:
    state.gossiped_at = now
    alive = []
    for name in state.heard:
        known = state.table.endpoints.get(name)
        if known is not None:
            alive.append(LiveEndpoint(name, known.report.born, max(0.0, now - known.heard_at)))
    state.heard.clear()
    hosts = tuple(sorted(state.followers))
    zones = tuple(state.followers[host].zone for host in hosts)
    gossip = EndpointGossip(state.zone, alive=tuple(alive), hosts=hosts, host_zones=zones)
    return _gossip_changes(state, now) + _broadcast(state, gossip)
