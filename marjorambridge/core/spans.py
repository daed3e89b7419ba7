"""Define the names of spans, from which each host derives the identifiers of other hosts' spans."""

from enum import StrEnum


class SpanKind(StrEnum):
    """Kind of span.

    Attributes
    ----------
    REQUEST : str
        From arrival to the final outcome; the root span.
    CLAIM, DECISION : str
        Wait for a claim, and within it the time at the leader of the claims group.
    PERMIT, QUEUE : str
        Wait for a permit, and within it the time in the queue of the owner.
    ATTEMPT : str
        From the first byte sent to an endpoint to the end of its answer.
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
