"""Define the events of the orders part."""

from enum import StrEnum
from typing import Any

from marjorambridge.core.events import Event


class OrderStatus(StrEnum):
    """Say how the sending of an order ended; a lost answer has no event."""

    ACCEPTED = "accepted"
    REFUSED = "refused"
    NOT_SENT = "not_sent"


class OrderAnswered(Event):
    """Deliver an endpoint's answer to an order; ``NOT_SENT`` if `send_by` passed unsent."""

    endpoint: str
    incarnation: int
    fencing: int
    number: int
    status: OrderStatus
    message: str = ""


class TargetStateApplied(Event):
    """Tell the issuer that an entry changed the target state.

    Attributes
    ----------
    index : int
        Index of the entry in log group 0.
    state : marjorambridge.orders.state_machine.TargetState
        The whole state; receivers must not change it.
    """

    index: int
    state: Any
