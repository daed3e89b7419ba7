"""Dispatch each event to the components that subscribe to it and collect their effects."""

from collections import deque
from collections.abc import Callable, Iterable
from typing import Any

from msgspec import Struct, field

from marjorambridge.core.effects import Effect, Notify, Publish, SendMessage
from marjorambridge.core.events import Event, MessageReceived, TimerFired
from marjorambridge.core.exceptions import MarjorambridgeError

# One external event causes a handful of internal ones; more than this means that components publish
# events in an endless cycle.
MAX_INTERNAL_EVENTS = 100_000


class EventCycleError(MarjorambridgeError):
    """Components publish events in an endless cycle; report this with the recorded events."""


class Component(Struct):
    """One package's reducer with its state and subscriptions.

    Attributes
    ----------
    name : str
        Name of the component, as in `TimerKey.part`.
    state : Any
        State of the component; only its own `step` changes it.
    step : callable
        ``step(state, event) -> list[Effect]``.
    events : frozenset of type
        Classes of events that it receives, besides its own timers and messages.
    messages : frozenset of type
        Classes of messages that it receives.
    """

    name: str
    state: Any
    step: Callable[[Any, Event], list[Effect]]
    events: frozenset[type] = frozenset()
    messages: frozenset[type] = frozenset()


class Node(Struct):
    """The components of one host and an index of their subscriptions.

    Attributes
    ----------
    notified_events : frozenset of type
        Classes of published events that the driver also receives as `Notify` effects.
    """

    host: str
    incarnation: int
    parts: dict[str, Component] = field(default_factory=dict)
    by_event: dict[type, list[Component]] = field(default_factory=dict)
    by_message: dict[type, list[Component]] = field(default_factory=dict)
    notified_events: frozenset[type] = frozenset()


def create_node(
    host: str,
    incarnation: int,
    parts: Iterable[Component],
    notified_events: frozenset[type] = frozenset(),
) -> Node:
    """Return a node whose components receive events in the order given."""
    node = Node(host, incarnation, notified_events=notified_events)
    for component in parts:
        node.parts[component.name] = component
        for kind in component.events:
            node.by_event.setdefault(kind, []).append(component)
        for kind in component.messages:
            node.by_message.setdefault(kind, []).append(component)
    return node


def _find_components(node: Node, event: Event) -> list[Component]:
    if isinstance(event, TimerFired):
        component = node.parts.get(event.key.part)
        return [component] if component else []
    if isinstance(event, MessageReceived):
        return node.by_message.get(type(event.message), [])
    return node.by_event.get(type(event), [])


def step(node: Node, event: Event) -> list[Effect]:
    """Apply one external event and return the effects for the drivers.

    `Publish` effects and messages to this host itself are applied before the function returns, in
    the order in which they were caused.

    Raises
    ------
    EventCycleError
        If the event causes more than `MAX_INTERNAL_EVENTS` internal ones.
    """
    external: list[Effect] = []
    pending: deque[Event] = deque([event])
    for _ in range(MAX_INTERNAL_EVENTS):
        if not pending:
            return external
        current = pending.popleft()
        for component in _find_components(node, current):
            for effect in component.step(component.state, current):
                if isinstance(effect, Publish):
                    pending.append(effect.event)
                    if type(effect.event) in node.notified_events:
                        external.append(Notify(effect.event))
                elif isinstance(effect, SendMessage) and effect.to == node.host:
                    pending.append(
                        MessageReceived(event.now, node.host, node.incarnation, effect.message)
                    )
                else:
                    external.append(effect)
    raise EventCycleError(
        f"{type(event).__name__} caused more than {MAX_INTERNAL_EVENTS} internal events; "
        "report this with the recorded events"
    )
