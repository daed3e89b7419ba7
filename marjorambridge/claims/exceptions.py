"""Exceptions of the claims groups."""

from marjorambridge.core.exceptions import MarjorambridgeError


class ClaimsError(MarjorambridgeError):
    """Base of the exceptions of the claims groups."""


class ClaimEntryError(ClaimsError):
    """A committed entry of a claims group cannot be decoded."""


class ClaimSnapshotError(ClaimsError):
    """A snapshot of a claims group cannot be decoded."""
