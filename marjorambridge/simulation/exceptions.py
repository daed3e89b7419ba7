"""Define the errors of the simulation."""

from marjorambridge.core.exceptions import MarjorambridgeError


class UnknownConstantError(MarjorambridgeError):
    """A variant names a constant that does not exist."""
