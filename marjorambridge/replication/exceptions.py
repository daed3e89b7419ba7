"""Define the errors of the replicated logs."""

from marjorambridge.core.exceptions import MarjorambridgeError


class ReplicationError(MarjorambridgeError):
    """Base of the errors of the replicated logs."""


class RecoveredStateError(ReplicationError):
    """Recovered data contradict each other; the data folder must be replaced."""


class LogConflictError(ReplicationError):
    """A committed entry would be replaced, which the protocol rules out."""
