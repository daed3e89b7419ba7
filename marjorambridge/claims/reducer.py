"""Dispatch events to the replicas and the client of the claims component."""

from marjorambridge.claims import client, replica
from marjorambridge.claims.state import ClaimsState
from marjorambridge.core.effects import Effect
from marjorambridge.core.events import Event, TimerFired


def step(state: ClaimsState, event: Event) -> list[Effect]:
    """Handle one event and return its effects."""
    if isinstance(event, TimerFired) and event.key.part != "claims":
        return []
    return replica.step(state.replica, event) + client.step(state.client, event)
