"""Define the errors of the wire format."""

from marjorambridge.core.exceptions import MarjorambridgeError


class WireError(MarjorambridgeError):
    """A frame or a message is malformed; the sender runs another version or is not a peer."""


class UnregisteredMessageError(WireError):
    """A message class has no structure in the IDL; run ``make wire`` after adding it."""
