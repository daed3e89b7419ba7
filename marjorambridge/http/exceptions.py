"""Define the errors of the HTTP drivers."""

from marjorambridge.core.exceptions import MarjorambridgeError
from marjorambridge.core.outcomes import Reason


class HttpError(MarjorambridgeError):
    """Base of the errors of the HTTP drivers."""


class RequestError(HttpError):
    """A caller's request is not valid; the message names the remedy.

    Attributes
    ----------
    status : int
        HTTP status of the answer.
    reason : Reason
        Value of ``type`` in the JSON error.
    """

    def __init__(self, message: str, status: int = 400, reason: Reason = Reason.BAD_REQUEST):
        super().__init__(message)
        self.status = status
        self.reason = reason


class CallerDisconnectedError(HttpError):
    """The caller closed its connection before its request was completely read."""


class EndpointProtocolError(HttpError):
    """An endpoint's answer does not follow the endpoint protocol."""
