"""Define the events that only the owner of shards receives."""

from marjorambridge.core.events import Event
from marjorambridge.core.identity import AttemptId
from marjorambridge.limits.messages import Announcement


class EndpointAnnounced(Event):
    """Deliver an announcement that an endpoint sent to this host; it may own another's shard."""

    announcement: Announcement


class EndpointCancelled(Event):
    """Tell that an endpoint confirmed the end of an attempt, or of all of a host's attempts.

    Attributes
    ----------
    attempt : AttemptId or None
        The attempt, or None if all attempts of `host` up to `host_incarnation` were cancelled.
    """

    endpoint: str
    incarnation: int
    attempt: AttemptId | None = None
    host: str = ""
    host_incarnation: int = 0
