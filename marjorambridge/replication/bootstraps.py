"""Create a cluster exactly once, or join the existing one.

A replica with an empty data folder probes all peers. A peer that belongs to a cluster offers it,
and the replica joins. A replica with the bootstrap flag creates a cluster only if every peer
answers that its folder is empty too. So a wiped replica that is started with the flag again joins
the cluster of its peers, or waits until all of them answer.

The founders' identities determine the cluster's identity, so that several replicas with the flag
create the same cluster; if a disk is replaced meanwhile, the clusters differ and no replica belongs
to both.
"""

import xxhash

from marjorambridge.core.effects import Effect, SendMessage, SetTimer
from marjorambridge.core.identity import TimerKey
from marjorambridge.replication.durability import write_storage
from marjorambridge.replication.effects import SaveCluster
from marjorambridge.replication.memberships import send_join_requests
from marjorambridge.replication.messages import ClusterOffer, ProbeReply, ProbeRequest
from marjorambridge.replication.models import Member, Membership, ReplicaId
from marjorambridge.replication.roles import reset_election_timeout
from marjorambridge.replication.state import ReplicaState


def compute_cluster_id(founders: tuple[ReplicaId, ...]) -> str:
    """Return the identity of the cluster with these initial voters."""
    names = [f"{founder.host}/{founder.disk}" for founder in sorted(founders)]
    return xxhash.xxh3_128_hexdigest("\n".join(names).encode())


def make_initial_membership(founders: tuple[ReplicaId, ...]) -> Membership:
    """Return the initial membership of every group."""
    return Membership(tuple(Member(founder) for founder in sorted(founders)))


def handle_join_timer(replica: ReplicaState, effects: list[Effect], now: float) -> None:
    """Probe the peers for a cluster, or request to join its groups, and set the timer again."""
    if replica.cluster:
        for group in replica.groups.values():
            send_join_requests(replica, group, effects, now)
    else:
        for host in replica.settings.peers:
            if host != replica.replica.host:
                effects.append(SendMessage(host, ProbeRequest(replica.replica)))
        bootstrap_cluster(replica, effects, now)
    at = now + replica.settings.join_retry_interval_seconds
    effects.append(SetTimer(TimerKey("replication", "join"), at))


def bootstrap_cluster(replica: ReplicaState, effects: list[Effect], now: float) -> None:
    """Create a cluster if the flag is set and every peer has an empty data folder."""
    settings = replica.settings
    # A host outside the list of peers is one that an operator adds later.
    if not settings.bootstrap or replica.cluster or settings.host not in settings.peers:
        return
    peers = set(settings.peers) - {settings.host}
    if not peers <= replica.probe_replies.keys():
        return
    founders = tuple(sorted([replica.replica, *(replica.probe_replies[host] for host in peers)]))
    set_cluster(replica, effects, compute_cluster_id(founders), founders, now)


def set_cluster(
    replica: ReplicaState,
    effects: list[Effect],
    cluster: str,
    founders: tuple[ReplicaId, ...],
    now: float,
) -> None:
    """Set and save the cluster of this replica; its founders are the voters of every group."""
    replica.cluster = cluster
    replica.founders = founders
    replica.probe_replies.clear()
    replica.cluster_ticket = write_storage(replica, effects, SaveCluster(cluster, founders))
    for group in replica.groups.values():
        group.memberships = [(0, make_initial_membership(founders))]
        reset_election_timeout(replica, group, now)


def handle_probe_request(
    replica: ReplicaState, effects: list[Effect], request: ProbeRequest, now: float
) -> None:
    """Answer a probe with this replica's cluster, or report that it has none."""
    if replica.cluster_ticket > replica.synced_ticket:
        return
    reply: ClusterOffer | ProbeReply
    if replica.cluster:
        reply = ClusterOffer(replica.replica, request.source, replica.cluster, replica.founders)
    else:
        peers = tuple(sorted(replica.settings.peers))
        reply = ProbeReply(replica.replica, request.source, peers)
    effects.append(SendMessage(request.source.host, reply))


def handle_probe_reply(
    replica: ReplicaState, effects: list[Effect], reply: ProbeReply, now: float
) -> None:
    """Record a peer whose data folder is empty.

    A peer with another list of peers does not count, because clusters with different lists could
    both have a majority.
    """
    if not replica.cluster and reply.peers == tuple(sorted(replica.settings.peers)):
        replica.probe_replies[reply.source.host] = reply.source
        bootstrap_cluster(replica, effects, now)


def handle_cluster_offer(
    replica: ReplicaState, effects: list[Effect], offer: ClusterOffer, now: float
) -> None:
    """Join the cluster that a peer belongs to."""
    if not replica.cluster:
        set_cluster(replica, effects, offer.cluster, offer.founders, now)
