"""Selection of the hosts that may send to an endpoint that takes fewer requests than hosts."""

import xxhash

from marjorambridge.forwarding.state import ForwardingState


def is_selected_sender(state: ForwardingState, endpoint: str, count: int) -> bool:
    """Return whether this host is among the first `count` by the hash of host and endpoint.

    Each request needs this for every cold or limited endpoint, and ordering the hosts of a large
    fleet takes longer than the rest of a decision, so the result is cached until the hosts change.
    """
    if state.selected_senders_hosts is not state.hosts:
        state.selected_senders_hosts = state.hosts
        state.selected_senders.clear()
    if (endpoint, count) not in state.selected_senders:
        own = _hash_sender(state.settings.host, endpoint)
        earlier = sum(_hash_sender(host, endpoint) < own for host in state.hosts)
        state.selected_senders[endpoint, count] = earlier < count
    return state.selected_senders[endpoint, count]


def _hash_sender(host: str, endpoint: str) -> int:
    return xxhash.xxh3_64_intdigest(f"{host}/{endpoint}".encode())
