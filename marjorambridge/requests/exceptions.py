"""Define the errors of the requests package."""

from marjorambridge.core.exceptions import MarjorambridgeError


class RequestSettingsError(MarjorambridgeError):
    """Settings contradict each other."""
