"""Derive the values that all hosts of a fleet share from their settings."""

import hashlib
import random

from marjorambridge.conf.nodes import NodeSettings

KEY_BYTES = 32
INCARNATION_BITS = 53


def get_fleet_name(settings: NodeSettings) -> str:
    """Return the name of the fleet; hosts refuse connections from a fleet with another name."""
    return "+".join(f"{zone}/{region}" for zone, region in sorted(settings.zones.items()))


def derive_fleet_key(settings: NodeSettings) -> bytes:
    """Return the key of the MACs between hosts.

    The key is derived from settings that are not secret. It separates fleets and detects corrupted
    frames, but does not authenticate hosts against anyone who has the settings.
    """
    return hashlib.blake2b(get_fleet_name(settings).encode(), digest_size=KEY_BYTES).digest()


def generate_incarnation() -> int:
    """Return a random identity of this process; a clock may be set back and repeat an identity."""
    return random.SystemRandom().getrandbits(INCARNATION_BITS) + 1
