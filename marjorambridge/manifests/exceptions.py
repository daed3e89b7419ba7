"""Define the errors of manifests."""

from marjorambridge.core.exceptions import MarjorambridgeError


class InvalidManifestError(MarjorambridgeError):
    """A manifest can't be put in force; the message names the first fault and its remedy."""
