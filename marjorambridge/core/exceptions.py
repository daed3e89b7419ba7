"""Define the base of the project's exceptions."""


class MarjorambridgeError(Exception):
    """Base of all errors; the message names the remedy."""
