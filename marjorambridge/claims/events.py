"""Define the events between the requests part and the claims client on the same host."""

from marjorambridge.claims.messages import ClaimStatus, RecordedAnswer
from marjorambridge.core.events import Event
from marjorambridge.core.identity import AttemptId


class ClaimRequested(Event):
    """Ask the claims client to claim a call; `ClaimDecided` answers.

    Attributes
    ----------
    give_up_at : float
        Monotonic time in seconds until which the client keeps trying.
    trace : str
        Trace of the request; empty if it is not traced.
    request : str
        Identifier of the request, for logs.
    """

    claim: AttemptId
    workspace: str
    key: str
    fingerprint: str
    give_up_at: float
    wall: float
    trace: str = ""
    request: str = ""


class ClaimCompletionRequested(Event):
    """Ask the claims client to record an answer; `ClaimSettled` answers."""

    claim: AttemptId
    answer: RecordedAnswer
    give_up_at: float


class ClaimReleaseRequested(Event):
    """Ask the claims client to give a claim back; `ClaimSettled` answers."""

    claim: AttemptId
    give_up_at: float


class ClaimDecided(Event):
    """Tell the requests part what became of a claim.

    Status ``UNAVAILABLE`` means that no answer came in time; the claim may or may not have been
    written, and the client goes on to release it.
    """

    claim: AttemptId
    status: ClaimStatus
    answer: RecordedAnswer | None = None


class ClaimSettled(Event):
    """Tell the requests part that a completion or a release is committed, or was given up."""

    claim: AttemptId
    committed: bool


class WallClockRead(Event):
    """Deliver the host's wall-clock time, in seconds since the epoch, as of `now`.

    The leader of a claims group computes the wall time of its entries from the last reading and
    the monotonic time that has passed since.
    """

    wall: float


class ClaimReplicasChanged(Event):
    """Tell the claims client which hosts have replicas of the claims groups."""

    hosts: tuple[str, ...]
