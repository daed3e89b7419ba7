"""Define the errors of the simulation."""

from marjorambridge.core.exceptions import MarjorambridgeError


class UnknownConstantError(MarjorambridgeError):
    """A variant changes a constant that no module has."""
