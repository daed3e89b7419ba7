"""Forward TCP between hosts, and simulate network partitions that leave connections open."""

import contextlib
import selectors
import socket
import threading
from dataclasses import dataclass, field


@dataclass(slots=True)
class Proxy:
    """A TCP proxy in front of one host.

    Attributes
    ----------
    silent : set of str
        Hosts whose connections to this host forward no data in either direction.
    """

    target: tuple[str, int]
    listener: socket.socket
    silent: set[str] = field(default_factory=set)
    closed: bool = False

    @property
    def address(self):
        """Return the address that other hosts connect to."""
        return "{}:{}".format(*self.listener.getsockname())


def start_proxy(address):
    """Start a proxy in front of a host's address."""
    ip, _, port = address.rpartition(":")
    proxy = Proxy((ip, int(port)), socket.create_server(("127.0.0.1", 0)))
    threading.Thread(target=_accept, args=(proxy,), daemon=True).start()
    return proxy


def close_proxy(proxy):
    """Stop accepting connections; open ones end when the hosts stop."""
    proxy.closed = True
    with contextlib.suppress(OSError):
        proxy.listener.shutdown(socket.SHUT_RDWR)
    proxy.listener.close()


def _accept(proxy):
    while not proxy.closed:
        try:
            dialer, _ = proxy.listener.accept()
        except OSError:
            return
        threading.Thread(target=_forward, args=(proxy, dialer), daemon=True).start()


def _forward(proxy, dialer):
    with contextlib.suppress(OSError), dialer:
        # The handshake contains the dialer's name as plain bytes.
        hello = dialer.recv(65536)
        name = next((f"host-{i}" for i in range(9) if f"host-{i}".encode() in hello), "")
        with socket.create_connection(proxy.target) as acceptor:
            _wait_while_blocked(proxy, name)
            acceptor.sendall(hello)
            _copy_both(proxy, name, dialer, acceptor)


def _wait_while_blocked(proxy, name):
    event = threading.Event()
    while name in proxy.silent and not proxy.closed:
        event.wait(0.02)


def _copy_both(proxy, name, dialer, acceptor):
    others = {dialer: acceptor, acceptor: dialer}
    with selectors.DefaultSelector() as selector:
        for end in others:
            selector.register(end, selectors.EVENT_READ)
        while not proxy.closed:
            for key, _ in selector.select(0.2):
                _wait_while_blocked(proxy, name)
                data = key.fileobj.recv(65536)
                if not data:
                    return
                others[key.fileobj].sendall(data)


def insert_proxies(fleet):
    """Insert a proxy in front of every host before the fleet starts; return the proxies by name."""
    found = {name: start_proxy(host.peer) for name, host in fleet.hosts.items()}
    for name, host in fleet.hosts.items():
        host.settings["addresses"]["advertised_peer"] = found[name].address
        for replica in host.settings["replicas"]:
            replica["address"] = found[replica["host"]].address
    return found


def isolate_host(proxies, name):
    """Stop forwarding between one host and all others, without closing connections."""
    for other, proxy in proxies.items():
        proxy.silent |= set(proxies) if other == name else {name}


def restore_connections(proxies):
    """Forward data between all hosts again."""
    for proxy in proxies.values():
        proxy.silent = set()
