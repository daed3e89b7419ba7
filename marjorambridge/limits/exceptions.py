"""Define the errors of the shard owner."""

from marjorambridge.core.exceptions import MarjorambridgeError


class InvalidSettingsError(MarjorambridgeError):
    """Settings contradict each other; the message names the setting to change."""
