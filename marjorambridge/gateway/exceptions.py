"""Define the errors of the gateway."""

from marjorambridge.core.exceptions import MarjorambridgeError
from marjorambridge.core.outcomes import Reason


class BadRequestError(MarjorambridgeError):
    """A request is invalid.

    Attributes
    ----------
    status : int
        HTTP status of the answer.
    reason : Reason
        Why the request is refused.
    """

    def __init__(self, status: int, message: str, reason: Reason = Reason.BAD_REQUEST) -> None:
        super().__init__(message)
        self.status = status
        self.reason = reason


class FailedStreamError(MarjorambridgeError):
    """An endpoint reports in its stream that the request failed."""
