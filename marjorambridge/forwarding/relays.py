"""Choice of the host to which a host that reaches no endpoint passes a request on."""

from msgspec import Struct

from marjorambridge.forwarding.state import Endpoint, ForwardingState


class Relay(Struct):
    """What a host says of a request that it passes on to another host.

    Attributes
    ----------
    host : str
        Name of the host that the caller asked.
    seconds : float
        Time until the deadline of the request.
    endpoints : int
        Further endpoints that may get the request.
    last_event : int or None
        Number of the last event that the caller has; None to leave it to the request.
    version : int
        Version of the manifest of the host that the caller asked.
    reports : bool
        Whether the host that the caller asked reads reports of endpoints and confirms them.
    """

    host: str
    seconds: float
    endpoints: int
    last_event: int | None = None
    version: int = 0
    reports: bool = False


def needs_confirmation(number: int) -> bool:
    """Return whether a report must be confirmed before the endpoint with its number is used.

    The first one need not, because without a report all endpoints count as used.
    """
    return number > 1


def count_used(reported: int, allowed: int) -> int:
    """Return how many endpoints may have received a request from a host that does not say.

    Parameters
    ----------
    reported : int
        Highest number that the host reported; 0 if it reported none, as older hosts do.
    allowed : int
        Endpoints that the host was allowed to use.

    Examples
    --------
    >>> count_used(0, 3), count_used(1, 3), count_used(2, 3)
    (3, 1, 2)
    """
    return min(reported, allowed) if reported else allowed


def get_relay_address(host: str) -> str:
    """Return the ``ip:port`` at which a host takes requests of other hosts.

    Examples
    --------
    >>> get_relay_address("10.1.0.4:7340")
    '10.1.0.4:7341'
    """
    ip, _, port = host.rpartition(":")
    return f"{ip}:{int(port) + 1}"


def choose_peer(state: ForwardingState, excluded: frozenset[str], now: float) -> Endpoint | None:
    """Return the host that gets a request, or None if there is none.

    Hosts that did not refuse lately come first, then those of this zone, because bytes between
    zones are costly, then those with the fewest requests of this host.
    """
    peers = [
        _get_peer(state, host, zone)
        for host, zone in state.hosts.items()
        if host != state.settings.host and host not in excluded and may_pass_to(state, zone)
    ]
    if not peers:
        return None
    return min(
        peers,
        key=lambda peer: (
            now < peer.avoid_until,
            peer.zone != state.settings.zone,
            peer.load.requests,
            state.generator.random(),
        ),
    )


def may_pass_to(state: ForwardingState, zone: str) -> bool:
    """Return whether requests may be passed on to the hosts of a zone: those of the own region."""
    near = state.settings.near_zones
    return not near or zone in near


def _get_peer(state: ForwardingState, host: str, zone: str) -> Endpoint:
    peer = state.peers.get(host)
    if peer is None or peer.zone != zone:
        # What is remembered of hosts that have left is dropped with the first new one.
        state.peers = {name: item for name, item in state.peers.items() if name in state.hosts}
        address = get_relay_address(host)
        peer = state.peers[host] = Endpoint(host, "", zone, address, 0, 0, is_peer=True)
    return peer
