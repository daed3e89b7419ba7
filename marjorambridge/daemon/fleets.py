"""Derive what all hosts of a fleet have in common from their settings."""

import hashlib
import random

from marjorambridge.conf.nodes import NodeSettings

KEY_BYTES = 32
INCARNATION_BITS = 53


def get_fleet_name(settings: NodeSettings) -> str:
    """Return the name by which hosts of different fleets refuse one another."""
    return "+".join(f"{zone}/{region}" for zone, region in sorted(settings.zones.items()))


def derive_fleet_key(settings: NodeSettings) -> bytes:
    """Return the key of the MACs between hosts.

    The settings hold no secret, so that the key keeps fleets apart and finds damaged frames, but
    does not keep out who knows the settings.
    """
    return hashlib.blake2b(get_fleet_name(settings).encode(), digest_size=KEY_BYTES).digest()


def generate_incarnation() -> int:
    """Return the identity of this process; the clock is no help, because it may be set back."""
    return random.SystemRandom().getrandbits(INCARNATION_BITS) + 1
