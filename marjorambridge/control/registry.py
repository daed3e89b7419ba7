"""Process endpoint reports, share them between replicas and register endpoints in the log.

The load patterns behind this are the start of a fleet, when all endpoints report within a second,
and long periods of reports that only show that an endpoint is alive. Endpoints are registered in
batches, one command at a time: a command costs the leader a message to every other replica, and a
command for each endpoint would leave it no time to send heartbeats.
"""

import math

import xxhash

from marjorambridge.conf import defaults
from marjorambridge.control.commands import EndpointRecord, ForgetEndpoints, RegisterEndpoints
from marjorambridge.control.events import EndpointReported
from marjorambridge.control.messages import EndpointEntry, EndpointGossip, LiveEndpoint
from marjorambridge.control.proposals import create_command_id, submit_command
from marjorambridge.control.state import ControlReplicaState, RemoteSubscriber
from marjorambridge.control.state_machine import is_registered, is_retired
from marjorambridge.core.effects import Effect, SendMessage, WriteLog
from marjorambridge.discovery.models import EndpointReport, KnownEndpoint
from marjorambridge.discovery.table import (
    confirm_endpoint,
    merge_report,
    retire_endpoint,
)

# Keeps a command far below the size limit of a proposal.
MAX_RECORDS_PER_COMMAND = 500


def record_report(state: ControlReplicaState, event: EndpointReported) -> tuple[bool, list[Effect]]:
    """Apply a report and return whether it must be pushed to hosts, and the effects."""
    report = event.report
    if is_retired(state.control, report.endpoint, report.born):
        report.leaving = True
    changed = merge_report(state.table, report, 0.0, event.now)
    state.recently_reported[report.endpoint] = None
    _add_unregistered(state, report)
    if not changed:
        return False, []
    state.pending_gossip[report.endpoint] = None
    fields = {"endpoint": report.endpoint, "service": report.service, "leaving": report.leaving}
    return True, [WriteLog("info", "an endpoint's report changed the table", fields)]


def choose_report_replica(state: ControlReplicaState, report: EndpointReport, now: float) -> str:
    """Return the replica that an endpoint should report to from now on; empty for no preference.

    Only replicas in the endpoint's zone are candidates, so that reports do not cross zones, and a
    hash distributes endpoints over several. Replicas without recent gossip are excluded.
    """
    limit = now - defaults.GOSSIP_TIMEOUT_SECONDS
    candidates = [
        host
        for host in state.members
        if state.zones.get(host) == report.zone
        and (host == state.host or state.last_gossip_at.get(host, -math.inf) > limit)
    ]
    return max(
        candidates,
        key=lambda host: xxhash.xxh3_64_intdigest(f"{report.endpoint}/{host}".encode()),
        default="",
    )


# Registration.


def _add_unregistered(state: ControlReplicaState, report: EndpointReport) -> None:
    name = report.endpoint
    if report.leaving or is_registered(
        state.control, name, report.born, report.address, report.service
    ):
        return
    state.unregistered[name] = EndpointRecord(
        name,
        report.service,
        report.zone,
        report.address,
        report.slots,
        report.born,
        report.cold_seconds,
    )


def register_endpoints(state: ControlReplicaState, now: float) -> list[Effect]:
    """Register new endpoints in the log, one command at a time.

    A replica that can't apply the log does not know which ones are registered, and registers none.
    """
    if state.halted or state.registration_id in state.pending:
        return []
    new = [
        record
        for record in state.unregistered.values()
        if not is_registered(
            state.control, record.endpoint, record.born, record.address, record.service
        )
    ]
    state.unregistered = {record.endpoint: record for record in new[MAX_RECORDS_PER_COMMAND:]}
    if not new:
        return _unregister_removed(state, now)
    state.registration_id = create_command_id(state)
    command = RegisterEndpoints(state.registration_id, tuple(new[:MAX_RECORDS_PER_COMMAND]))
    return submit_command(state, command, now)


def _unregister_removed(state: ControlReplicaState, now: float) -> list[Effect]:
    """Unregister the endpoints that the table no longer has; only the leader does this."""
    if not state.is_leader:
        return []
    removed = {
        name: record.born
        for name, record in state.control.registered.items()
        if name not in state.table.endpoints
    }
    if not removed:
        return []
    state.registration_id = create_command_id(state)
    return submit_command(state, ForgetEndpoints(state.registration_id, removed), now)


def merge_records(
    state: ControlReplicaState, records: tuple[EndpointRecord, ...], now: float
) -> None:
    """Merge endpoints of the log into the table; every replica applies them in the same order."""
    for record in records:
        if record.endpoint in state.table.endpoints:
            continue
        report = EndpointReport(
            endpoint=record.endpoint,
            service=record.service,
            zone=record.zone,
            address=record.address,
            slots=record.slots,
            born=record.born,
            sequence=-1,
            cold_seconds=record.cold_seconds,
        )
        merge_report(state.table, report, 0.0, now)
        retired = state.control.retired.get(record.endpoint)
        if retired is not None:
            retire_endpoint(state.table, record.endpoint, retired)


def merge_snapshot(state: ControlReplicaState, now: float) -> None:
    """Merge all endpoints of a snapshot into the table."""
    merge_records(state, tuple(state.control.registered.values()), now)
    for endpoint, born in state.control.retired.items():
        retire_endpoint(state.table, endpoint, born)


# Other replicas.


def build_entry(known: KnownEndpoint, now: float) -> EndpointEntry:
    """Return the entry of an endpoint for a message."""
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
        age_seconds=max(0.0, now - known.last_report_at),
        silent=known.silent,
    )


def merge_gossip(
    state: ControlReplicaState, sender: str, gossip: EndpointGossip, now: float
) -> bool:
    """Merge the gossip of another replica and return whether hosts must get an update."""
    changed = state.zones.get(sender) != gossip.zone
    state.zones[sender] = gossip.zone
    state.last_gossip_at[sender] = now
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
        changed |= host not in state.remote_subscribers and host not in state.subscribers
        state.remote_subscribers[host] = RemoteSubscriber(now, zone)
    return changed


def gossip_changes(state: ControlReplicaState, now: float) -> list[Effect]:
    """Send the other replicas the entries that changed by reports to this one.

    The replica that receives a report sends the change to all others, so that none forwards it.
    """
    names, state.pending_gossip = state.pending_gossip, {}
    known = [state.table.endpoints[name] for name in names if name in state.table.endpoints]
    if not known:
        return []
    changed = tuple(build_entry(item, now) for item in known)
    return _broadcast(state, EndpointGossip(state.zone, changed=changed))


def gossip_live_endpoints(state: ControlReplicaState, now: float) -> list[Effect]:
    """Send the other replicas the endpoints that reported here and the hosts that poll here."""
    state.gossip_sent_at = now
    alive = []
    for name in state.recently_reported:
        known = state.table.endpoints.get(name)
        if known is not None:
            alive.append(
                LiveEndpoint(name, known.report.born, max(0.0, now - known.last_report_at))
            )
    state.recently_reported.clear()
    hosts = tuple(sorted(state.subscribers))
    zones = tuple(state.subscribers[host].zone for host in hosts)
    gossip = EndpointGossip(state.zone, alive=tuple(alive), hosts=hosts, host_zones=zones)
    return _broadcast(state, gossip)


def _broadcast(state: ControlReplicaState, message: object) -> list[Effect]:
    return [SendMessage(host, message) for host in state.members if host != state.host]
