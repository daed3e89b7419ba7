"""Events between the requests component and the claims client on the same host."""

from marjorambridge.claims.messages import ClaimStatus, RecordedAnswer
from marjorambridge.core.events import Event
from marjorambridge.core.identity import AttemptId


class ClaimRequested(Event):
    """A request to claim a call, answered by `ClaimDecided`.

    Attributes
    ----------
    give_up_at : float
        Monotonic time in seconds until which the client retries.
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
    """A request to record the answer of a claimed call, answered by `ClaimSettled`."""

    claim: AttemptId
    answer: RecordedAnswer
    give_up_at: float


class ClaimReleaseRequested(Event):
    """A request to release a claim, answered by `ClaimSettled`."""

    claim: AttemptId
    give_up_at: float


class ClaimDecided(Event):
    """A claim was granted or refused.

    Status ``UNAVAILABLE`` means that no answer arrived in time; the claim may or may not have been
    committed, and the client releases it in the background.
    """

    claim: AttemptId
    status: ClaimStatus
    answer: RecordedAnswer | None = None


class ClaimSettled(Event):
    """A completion or a release was committed, or failed if `committed` is false."""

    claim: AttemptId
    committed: bool


class WallClockRead(Event):
    """The host's wall-clock time, in seconds since the epoch, was read at `now`.

    The leader of a claims group computes the wall time of its entries from the last reading and
    the monotonic time since that reading.
    """

    wall: float


class ClaimReplicasChanged(Event):
    """The set of hosts that have replicas of the claims groups changed."""

    hosts: tuple[str, ...]
