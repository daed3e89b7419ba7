"""Define the errors of the wire format."""

from marjorambridge.core.exceptions import MarjorambridgeError


class WireError(MarjorambridgeError):
    """A frame or a message is malformed; the sender runs another version or is not a peer."""


class UnknownMessageError(WireError):
    """The message is of a kind that only a later build knows."""


class MessageEncodeError(WireError):
    """A field of a message does not fit its type; bound it where it comes in."""


class UnregisteredMessageError(WireError):
    """A message class has no structure in the IDL; run ``make wire`` after adding it."""
