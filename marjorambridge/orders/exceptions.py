"""Define the errors of the orders to engines."""

from marjorambridge.core.exceptions import MarjorambridgeError


class OrdersError(MarjorambridgeError):
    """Base class of the errors of this package."""


class OrderEntryError(OrdersError):
    """A committed entry or a snapshot of the target state cannot be decoded."""
