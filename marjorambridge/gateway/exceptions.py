"""Define the errors of the gateway."""

from marjorambridge.core.exceptions import MarjorambridgeError


class BadRequestError(MarjorambridgeError):
    """A request is invalid.

    Attributes
    ----------
    status : int
        HTTP status of the answer.
    """

    def __init__(self, status: int, message: str) -> None:
        super().__init__(message)
        self.status = status
