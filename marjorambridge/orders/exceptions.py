"""Define the errors of the orders to engines."""

from marjorambridge.core.exceptions import MarjorambridgeError


class OrdersError(MarjorambridgeError):
    """Base of the errors of the orders part."""


class OrderEntryError(OrdersError):
    """A committed entry or a snapshot of the target state cannot be decoded."""
