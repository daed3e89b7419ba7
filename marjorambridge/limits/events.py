"""Define the events that only the owner of a shard handles."""

from marjorambridge.core.events import Event
from marjorambridge.core.identity import AttemptId
from marjorambridge.limits.messages import Announcement


class EndpointAnnounced(Event):
    """An endpoint announced itself to this host, which may not own the shard of the endpoint."""

    announcement: Announcement


class EndpointCancelled(Event):
    """An endpoint confirmed the end of an attempt, or of all attempts of a host.

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
