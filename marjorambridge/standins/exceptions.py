"""Define the errors of the stand-ins."""

from marjorambridge.core.exceptions import MarjorambridgeError


class StandinError(MarjorambridgeError):
    """Base of the errors of the stand-ins."""


class RejectedError(StandinError):
    """The stand-in rejected a request.

    Attributes
    ----------
    status : int
        HTTP status of the answer.
    kind : str
        Value of ``type`` in the JSON error.
    outcome : str
        ``not_run`` if a retry on another endpoint may succeed, ``failed`` if the request is
        invalid.
    """

    def __init__(self, status: int, kind: str, message: str, outcome: str = "not_run"):
        super().__init__(message)
        self.status = status
        self.kind = kind
        self.outcome = outcome


class FleetError(StandinError):
    """A local fleet did not reach the expected state."""
