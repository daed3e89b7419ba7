"""Define the effects of the issuer of orders."""

from marjorambridge.core.effects import Effect
from marjorambridge.orders.messages import Order


class SendOrder(Effect):
    """Send an order to an endpoint; `OrderAnswered` reports the result.

    The driver checks `send_by` against the clock directly before the first byte, and closes the
    connection at `send_by` if the order is not written by then.

    Attributes
    ----------
    send_by : float
        Monotonic time in seconds after which nothing of the order may be written.
    """

    endpoint: str
    incarnation: int
    address: str
    order: Order
    send_by: float
