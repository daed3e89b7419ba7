"""Derive the settings of the packages without I/O from the settings file of a host."""

import random
import time
from pathlib import Path

from marjorambridge.claims.commands import Policy
from marjorambridge.claims.state import ClaimSettings
from marjorambridge.conf.exceptions import SettingsError
from marjorambridge.conf.settings import HostSettings
from marjorambridge.limits.settings import LimitsSettings
from marjorambridge.membership.state import MembershipSettings
from marjorambridge.node.composition import NodeSettings
from marjorambridge.orders.state import IssuerSettings
from marjorambridge.replication.state import ReplicationSettings
from marjorambridge.requests.state import RequestSettings

MIN_FLEET_KEY_BYTES = 32


def read_fleet_key(path: Path) -> bytes:
    """Read the key that all hosts of the fleet share.

    Raises
    ------
    SettingsError
        If the file can't be read or the key is too short.
    """
    try:
        key = path.read_bytes().strip()
    except OSError as error:
        raise SettingsError(
            (f"can't read fleet_key_file {path}: {error.strerror}; check path and permissions",)
        ) from error
    if len(key) < MIN_FLEET_KEY_BYTES:
        raise SettingsError(
            (f"{path} has {len(key)} bytes; write at least {MIN_FLEET_KEY_BYTES} random ones",)
        )
    return key


def create_incarnation() -> int:
    """Return the incarnation of this process: the wall-clock time in milliseconds.

    A host without a disk has no counter that survives a restart. If the clock was set back, the
    registry refuses the smaller incarnation until the clock has passed the larger one.
    """
    return time.time_ns() // 1_000_000


def is_replica(settings: HostSettings) -> bool:
    """Return whether this host keeps a replica of the logs."""
    return any(replica.host == settings.host for replica in settings.replicas)


def derive_node_settings(settings: HostSettings, incarnation: int) -> NodeSettings:
    """Return the settings of all parts of the node."""
    names = tuple(replica.host for replica in settings.replicas)
    membership = MembershipSettings(
        host=settings.host,
        incarnation=incarnation,
        address=settings.addresses.advertised_peer or settings.addresses.peer,
        zone=settings.zone,
        region=settings.region,
        replicas=names,
        replica=is_replica(settings),
    )
    requests = RequestSettings(
        retry_budget_ratio=settings.requests.retry_budget_ratio,
        retry_budget_minimum=settings.requests.retry_budget_minimum,
        max_timeout=settings.requests.max_timeout_seconds,
        max_body=settings.requests.max_body_bytes,
        unready_grace=settings.requests.unready_grace_seconds,
        drain_deadline=settings.requests.drain_deadline_seconds,
    )
    policy = Policy(
        answer_seconds=settings.claims.answer_seconds,
        tombstone_seconds=settings.claims.tombstone_seconds,
        require_dated_keys=settings.claims.require_dated_keys,
    )
    return NodeSettings(
        membership=membership,
        limits=LimitsSettings(),
        requests=requests,
        claims=ClaimSettings(groups=settings.claims.groups, policy=policy),
        seed=settings.seed or random.SystemRandom().getrandbits(63),
        replication=_derive_replication_settings(settings, names) if membership.replica else None,
        orders=IssuerSettings(
            bytes_per_second=settings.orders.weight_store_bytes_per_second,
            burst_bytes=settings.orders.weight_store_burst_bytes,
        ),
    )


def _derive_replication_settings(
    settings: HostSettings, names: tuple[str, ...]
) -> ReplicationSettings:
    return ReplicationSettings(
        host=settings.host,
        peers=names,
        groups=1 + settings.claims.groups,
        bootstrap=settings.bootstrap,
    )
