"""Poll the replicas, apply the state that they send and compute whether this host is fresh.

A poll confirms freshness if a majority of voters replied that their last index is at most the
index that this host has applied. The voters are those named by the reply with the greatest last
index; if several replies have it, each of their sets needs a majority.

Additionally, a majority is needed of the voters named by a replica whose log contained every entry
that this host has applied. The first rule alone is not sufficient after several membership changes:
a former leader in a network partition still replies with a long uncommitted tail, hence with the
greatest index, and names former voters. Together with another former voter that did not receive its
removal, it would be a majority of those, and a newer entry that the current voters committed would
be overlooked.
"""

import math
from collections.abc import Iterable

import xxhash
from msgspec.structs import replace

from marjorambridge.conf import defaults
from marjorambridge.configuration.exceptions import EntryDecodeError, SnapshotDecodeError
from marjorambridge.configuration.state import ControlState
from marjorambridge.configuration.state_machine import apply_entry, restore_snapshot
from marjorambridge.core.effects import Effect, Publish, SendMessage, WriteLog
from marjorambridge.core.events import (
    ConfigurationApplied,
    ControlLeaderChanged,
    FreshnessChanged,
    ViewApplied,
)
from marjorambridge.core.view import View
from marjorambridge.membership.messages import (
    EntryBatch,
    FreshnessQuery,
    FreshnessReply,
    HostLeaveRequest,
    SnapshotChunk,
)
from marjorambridge.membership.state import (
    MembershipSettings,
    MembershipState,
    Poll,
    PollerState,
    SnapshotTransfer,
)

# Polls are sent at a fixed interval, so a preferred replica without a reply for one and a half
# intervals left one unanswered; a reply that takes longer than one interval is no timeout.
PREFERRED_REPLICA_TIMEOUT_POLLS = 1.5


def poll_replicas(state: MembershipState, now: float) -> list[Effect]:
    """Start the next poll, and report if the freshness of this host has expired."""
    host, settings = state.host, state.settings
    effects: list[Effect] = []
    if host.fresh_reported and now >= host.fresh_until:
        host.fresh_reported = False
        last = next(reversed(host.polls.values()), None)
        answered = len(last.replies) if last else 0
        effects += [
            Publish(FreshnessChanged(now, host.fresh_until)),
            WriteLog(
                "warning",
                "this host is no longer fresh and refuses new work; check that a majority of the "
                "replicas runs and can be reached",
                {"applied": host.control.index, "replicas_answering": answered},
            ),
        ]
    targets = list_targets(state)
    _choose_preferred(state, targets, now)
    host.polls = {
        number: poll
        for number, poll in host.polls.items()
        if poll.sent_at + settings.freshness_seconds > now
    }
    host.number += 1
    host.polls[host.number] = Poll(now, targets)
    host.preferred_progressed = False
    return effects + [
        SendMessage(
            target,
            make_query(state, host.number, target == host.preferred and not host.halted),
        )
        for target in targets
    ]


def request_leave(state: MembershipState) -> list[Effect]:
    """Request that all replicas mark this host as leaving; the polls repeat the request."""
    state.host.leaving = True
    request = HostLeaveRequest(state.settings.incarnation)
    return [SendMessage(target, request) for target in list_targets(state)]


def handle_reply(
    state: MembershipState, sender: str, reply: FreshnessReply, now: float
) -> list[Effect]:
    """Apply the state in a reply and count the reply for its poll."""
    host, settings = state.host, state.settings
    if reply.incarnation != settings.incarnation or sender not in list_targets(state):
        return []
    effects: list[Effect] = []
    if reply.leader and reply.term >= host.term:
        if reply.leader != host.leader:
            effects.append(Publish(ControlLeaderChanged(now, reply.leader)))
        host.leader, host.term = reply.leader, reply.term
    before = host.control.index
    received = len(host.transfer.data) if host.transfer else 0
    if not host.halted:
        if reply.batch is not None:
            effects += _apply_batch(host, reply.batch, now)
        if reply.chunk is not None:
            effects += _collect_chunk(host, sender, reply.chunk, now)
    advanced = host.control.index > before or (
        host.transfer is not None and len(host.transfer.data) > received
    )
    if sender == host.preferred:
        host.preferred_reply_at = now
        host.preferred_progressed |= advanced
    if reply.commit_index >= host.control.index and reply.voters:
        host.log_voters = reply.voters
    poll = host.polls.get(reply.number)
    if poll is not None and sender in poll.targets and sender not in poll.replies:
        poll.replies[sender] = replace(reply, batch=None, chunk=None)
    effects += _update_freshness(state, now)
    behind = host.transfer is not None or host.control.index < reply.commit_index
    if advanced and behind and sender == host.preferred and not host.halted:
        effects.append(SendMessage(sender, make_query(state, 0, True)))
    return effects


def is_confirmed(poll: Poll, applied: int, log_voters: tuple[str, ...]) -> bool:
    """Return whether the replies prove that no entry after `applied` was committed before the poll.

    Parameters
    ----------
    poll : Poll
        A poll with the replies so far.
    applied : int
        Index of the last entry that the host has applied.
    log_voters : tuple of str
        Voters named by a replica whose log contained every entry up to `applied`.
    """
    if not poll.replies:
        return False
    greatest = max(reply.last_index for reply in poll.replies.values())
    voter_sets = {
        reply.voters for reply in poll.replies.values() if reply.last_index == greatest
    } | {log_voters}
    confirming = {
        sender
        for sender, reply in poll.replies.items()
        if reply.voter and reply.last_index <= applied
    }
    return all(2 * len(confirming & set(voters)) > len(set(voters)) for voters in voter_sets)


def list_targets(state: MembershipState) -> tuple[str, ...]:
    """Return the hosts to poll; their number does not depend on the size of the fleet."""
    return tuple(sorted({*state.settings.replicas, *state.host.log_voters}))


def make_query(state: MembershipState, number: int, preferred: bool) -> FreshnessQuery:
    """Return a query for a replica's log position and, for the preferred replica, for entries."""
    host, settings = state.host, state.settings
    query = FreshnessQuery(number, host.control.index, preferred, host.leaving)
    current = host.control.view.hosts.get(settings.host)
    if current is None or current.incarnation != settings.incarnation:
        query.address = settings.address
        query.zone = settings.zone
        query.region = settings.region
    if preferred and host.transfer is not None and host.transfer.sender == host.preferred:
        query.snapshot_index = host.transfer.index
        query.snapshot_offset = len(host.transfer.data)
    return query


def _choose_preferred(state: MembershipState, targets: tuple[str, ...], now: float) -> None:
    """Replace a preferred replica that does not reply or lags behind another replica."""
    host, settings = state.host, state.settings
    if not targets:
        return
    if not host.halted and set(targets) <= set(host.rejected):
        host.halted = "no replica has a snapshot that this host can read"
    if host.preferred not in targets:
        _set_preferred(host, _choose_first(settings, targets), now)
        return
    last = next(reversed(host.polls.values()), None)
    commits = {sender: reply.commit_index for sender, reply in last.replies.items()} if last else {}
    timed_out = (
        now - host.preferred_reply_at
        > PREFERRED_REPLICA_TIMEOUT_POLLS * settings.poll_interval_seconds
    )
    is_behind = (
        max(commits.values(), default=0) > host.control.index and not host.preferred_progressed
    )
    if not timed_out and not is_behind:
        return
    place = targets.index(host.preferred)
    others = targets[place + 1 :] + targets[:place]
    others = tuple(name for name in others if name not in host.rejected) or others
    if others:
        # The first of the most advanced replicas; those that did not reply come last.
        _set_preferred(host, max(others, key=lambda name: commits.get(name, -1)), now)


def _choose_first(settings: MembershipSettings, targets: tuple[str, ...]) -> str:
    if settings.host in targets:
        return settings.host
    return targets[xxhash.xxh3_64_intdigest(settings.host.encode()) % len(targets)]


def _set_preferred(host: PollerState, name: str, now: float) -> None:
    host.preferred = name
    host.preferred_reply_at = now
    host.transfer = None


def _apply_batch(host: PollerState, batch: EntryBatch, now: float) -> list[Effect]:
    control = host.control
    effects: list[Effect] = []
    # A batch that starts later would leave a gap; `apply_entry` skips entries already applied.
    if batch.after > control.index:
        return effects
    for entry in batch.entries:
        try:
            applied = apply_entry(control, entry.index, entry.payload)
        except EntryDecodeError as error:
            return [*effects, _halt(host, f"entry {entry.index}: {error}")]
        if applied.configuration_changed:
            effects.append(_publish_configuration(control, now))
        if applied.view_changed:
            effects.append(Publish(ViewApplied(now, control.view.index, control.view)))
    control.index = max(control.index, batch.through)
    return effects


def _collect_chunk(
    host: PollerState, sender: str, chunk: SnapshotChunk, now: float
) -> list[Effect]:
    if chunk.index <= host.control.index or sender != host.preferred:
        return []
    if chunk.total > defaults.MAX_SNAPSHOT_BYTES:
        return [
            WriteLog(
                "error",
                "a snapshot of the control state is too large; delete unused configuration",
                {"replica": sender, "bytes": chunk.total},
            )
        ]
    transfer = host.transfer
    if transfer is None or (transfer.index, transfer.total) != (chunk.index, chunk.total):
        # A late chunk of another snapshot must not replace a transfer that has advanced further.
        if chunk.offset != 0 or (transfer is not None and transfer.index > chunk.index):
            return []
        transfer = host.transfer = SnapshotTransfer(sender, chunk.index, chunk.total)
    if chunk.offset != len(transfer.data):
        return []
    transfer.data += chunk.data
    if len(transfer.data) < transfer.total:
        return []
    host.transfer = None
    try:
        restored = restore_snapshot(bytes(transfer.data))
    except SnapshotDecodeError as error:
        return [_reject_snapshot(host, sender, f"snapshot {transfer.index}: {error}")]
    restored.index = max(restored.index, transfer.index)
    return _replace_control(host, restored, now)


def _replace_control(host: PollerState, restored: ControlState, now: float) -> list[Effect]:
    old, host.control = host.control, restored
    effects: list[Effect] = []
    if restored.configuration_index > old.configuration_index:
        effects.append(_publish_configuration(restored, now))
    if restored.view.index > old.view.index:
        if old.view.hosts:
            # Views between the two are skipped, so this host may have lost and regained a shard
            # in between. An empty view ends its ownership of every shard.
            effects.append(Publish(ViewApplied(now, old.view.index, View(old.view.index))))
        effects.append(Publish(ViewApplied(now, restored.view.index, restored.view)))
    return effects


def _update_freshness(state: MembershipState, now: float) -> list[Effect]:
    host = state.host
    confirmed = _list_confirmed(host.polls.values(), host.control.index, host.log_voters)
    fresh_until = (
        max((poll.sent_at for poll in confirmed), default=-math.inf)
        + state.settings.freshness_seconds
    )
    if fresh_until <= max(host.fresh_until, now):
        return []
    host.fresh_until = fresh_until
    host.fresh_reported = True
    return [Publish(FreshnessChanged(now, fresh_until))]


def _list_confirmed(polls: Iterable[Poll], applied: int, log_voters: tuple[str, ...]) -> list[Poll]:
    return [poll for poll in polls if is_confirmed(poll, applied, log_voters)]


def _publish_configuration(control: ControlState, now: float) -> Effect:
    return Publish(ConfigurationApplied(now, control.configuration_index, control.configuration))


def _reject_snapshot(host: PollerState, sender: str, reason: str) -> Effect:
    """Record the reason and make the next poll choose another preferred replica."""
    host.rejected[sender] = reason
    host.preferred_reply_at = -math.inf
    return WriteLog(
        "error",
        "this host cannot read a snapshot and requests one from another replica; update this host "
        "if it cannot read any",
        {"replica": sender, "reason": reason},
    )


def _halt(host: PollerState, reason: str) -> Effect:
    host.halted = reason
    return WriteLog(
        "error",
        "this host cannot apply any further entry of the control log and will refuse new work; "
        "update it",
        {"reason": reason, "applied": host.control.index},
    )
