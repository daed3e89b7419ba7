"""Define the errors of manifests."""

from marjorambridge.core.exceptions import MarjorambridgeError


class InvalidManifestError(MarjorambridgeError):
    """A manifest is invalid; the message describes the first error and its remedy."""
