"""Define the errors of connections between hosts."""

from marjorambridge.core.exceptions import MarjorambridgeError


class HandshakeError(MarjorambridgeError):
    """The remote end is not a peer of this fleet; check the fleet name and the fleet key file."""


class FrameError(MarjorambridgeError):
    """A frame is too long, out of sequence, or its MAC is wrong; the connection is closed."""
