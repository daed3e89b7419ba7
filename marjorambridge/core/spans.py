"""Name the spans of a request, so that each host derives the identifiers of the others' spans."""

from enum import StrEnum


class SpanKind(StrEnum):
    """Kind of span.

    Attributes
    ----------
    REQUEST : str
        From arrival to the final outcome; around all others.
    CLAIM, DECISION : str
        Wait for a claim, and in it the time at the leader of the claims group.
    PERMIT, QUEUE : str
        Wait for a permit, and in it the time in the queue of the owner.
    ATTEMPT : str
        From the first byte to an endpoint to the end of its answer.
    RECORD : str
        Recording of an answer.
    """

    REQUEST = "request"
    CLAIM = "claim"
    DECISION = "decision"
    PERMIT = "permit"
    QUEUE = "queue"
    ATTEMPT = "attempt"
    RECORD = "record"


def name_span(kind: SpanKind, ident: object) -> str:
    """Return the name of a span, unique in the fleet.

    Examples
    --------
    >>> name_span(SpanKind.ATTEMPT, "host-1:7:42")
    'attempt:host-1:7:42'
    """
    return f"{kind}:{ident}"
