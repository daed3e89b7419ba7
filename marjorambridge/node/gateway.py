"""Build the node of a host that serves callers' requests and subscribes to a replica."""

from msgspec import Struct

from marjorambridge.control import subscriber
from marjorambridge.control.events import FeedLost, FeedRegained, FleetUpdated
from marjorambridge.core.reducer import Component, Node, create_node

NOTIFIED_EVENTS = frozenset({FeedLost, FeedRegained, FleetUpdated})


class GatewayNodeSettings(Struct):
    """Hold the settings of a gateway's node.

    Attributes
    ----------
    host : str
        ``ip:port`` at which other hosts reach this one; also its name.
    seeds : tuple of str
        Replicas in the settings.
    """

    host: str
    zone: str
    seeds: tuple[str, ...]
    incarnation: int


def compose_gateway(settings: GatewayNodeSettings) -> Node:
    """Build the node."""
    state = subscriber.create_state(
        settings.host, settings.zone, settings.seeds, settings.incarnation
    )
    part = Component("control", state, subscriber.step, subscriber.EVENTS, subscriber.MESSAGES)
    return create_node(settings.host, settings.incarnation, [part], NOTIFIED_EVENTS)
