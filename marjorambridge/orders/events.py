"""Define the events of the issuer of orders."""

from enum import StrEnum
from typing import Any

from marjorambridge.core.events import Event


class OrderStatus(StrEnum):
    """Result of sending an order; a lost answer causes no event."""

    ACCEPTED = "accepted"
    REFUSED = "refused"
    NOT_SENT = "not_sent"


class OrderAnswered(Event):
    """An endpoint answered an order, or `send_by` passed before it was sent (``NOT_SENT``)."""

    endpoint: str
    incarnation: int
    fencing: int
    number: int
    status: OrderStatus
    message: str = ""


class TargetStateApplied(Event):
    """A committed entry changed the target state.

    Attributes
    ----------
    index : int
        Index of the entry in log group 0.
    state : marjorambridge.orders.state_machine.TargetState
        The whole state; receivers must not change it.
    """

    index: int
    state: Any
