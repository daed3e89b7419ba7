"""Define the errors of the stand-ins."""

from marjorambridge.core.exceptions import MarjorambridgeError


class StandinError(MarjorambridgeError):
    """Base of the errors of the stand-ins."""


class RefusedError(StandinError):
    """The stand-in did not run a request.

    Attributes
    ----------
    status : int
        HTTP status of the answer.
    kind : str
        Value of ``type`` in the JSON error.
    outcome : str
        ``not_run`` if a new try may succeed elsewhere, ``failed`` if the request is wrong.
    """

    def __init__(self, status: int, kind: str, message: str, outcome: str = "not_run"):
        super().__init__(message)
        self.status = status
        self.kind = kind
        self.outcome = outcome


class FleetError(StandinError):
    """A local fleet did not reach the expected state."""
