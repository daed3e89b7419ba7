"""Define the errors of the control state."""

from marjorambridge.core.exceptions import MarjorambridgeError


class ControlDecodeError(MarjorambridgeError):
    """A log entry or a snapshot can't be read; the replica must be repaired from its peers."""
