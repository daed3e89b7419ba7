"""Forward TCP between hosts, and stop forwarding without closing, as a silent partition does."""

import contextlib
import selectors
import socket
import threading
from dataclasses import dataclass, field


@dataclass(slots=True)
class Relay:
    """Hold a forwarder in front of one host.

    Attributes
    ----------
    silent : set of str
        Hosts whose connections to this host carry nothing, in both directions.
    """

    target: tuple[str, int]
    listener: socket.socket
    silent: set[str] = field(default_factory=set)
    closed: bool = False

    @property
    def address(self):
        """Return the address that other hosts dial."""
        return "{}:{}".format(*self.listener.getsockname())


def start_relay(address):
    """Start a relay in front of a host's address."""
    ip, _, port = address.rpartition(":")
    relay = Relay((ip, int(port)), socket.create_server(("127.0.0.1", 0)))
    threading.Thread(target=_accept, args=(relay,), daemon=True).start()
    return relay


def close_relay(relay):
    """Stop accepting; connections end with the hosts."""
    relay.closed = True
    with contextlib.suppress(OSError):
        relay.listener.shutdown(socket.SHUT_RDWR)
    relay.listener.close()


def _accept(relay):
    while not relay.closed:
        try:
            dialer, _ = relay.listener.accept()
        except OSError:
            return
        threading.Thread(target=_forward, args=(relay, dialer), daemon=True).start()


def _forward(relay, dialer):
    with contextlib.suppress(OSError), dialer:
        # The handshake starts with the dialer's name in plain bytes.
        hello = dialer.recv(65536)
        name = next((f"host-{i}" for i in range(9) if f"host-{i}".encode() in hello), "")
        with socket.create_connection(relay.target) as acceptor:
            _wait_open(relay, name)
            acceptor.sendall(hello)
            _copy_both(relay, name, dialer, acceptor)


def _wait_open(relay, name):
    event = threading.Event()
    while name in relay.silent and not relay.closed:
        event.wait(0.02)


def _copy_both(relay, name, dialer, acceptor):
    others = {dialer: acceptor, acceptor: dialer}
    with selectors.DefaultSelector() as selector:
        for end in others:
            selector.register(end, selectors.EVENT_READ)
        while not relay.closed:
            for key, _ in selector.select(0.2):
                _wait_open(relay, name)
                data = key.fileobj.recv(65536)
                if not data:
                    return
                others[key.fileobj].sendall(data)


def place_relays(fleet):
    """Put a relay in front of every host before the start of a fleet; return them by name."""
    found = {name: start_relay(host.peer) for name, host in fleet.hosts.items()}
    for name, host in fleet.hosts.items():
        host.settings["addresses"]["advertised_peer"] = found[name].address
        for replica in host.settings["replicas"]:
            replica["address"] = found[replica["host"]].address
    return found


def cut_off(relays, name):
    """Cut one host off from all others, silently."""
    for other, relay in relays.items():
        relay.silent |= set(relays) if other == name else {name}


def heal(relays):
    """Let everything through again."""
    for relay in relays.values():
        relay.silent = set()
