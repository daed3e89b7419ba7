"""Settings file of a gateway or a replica."""

from pathlib import Path
from typing import Literal

import msgspec
from msgspec import Struct, field

from marjorambridge.conf import defaults
from marjorambridge.conf.exceptions import SettingsError
from marjorambridge.core.addresses import is_address

# A program needs about 40 MB for itself, and the share of bodies has to hold the longest one.
MIN_MEMORY_MEGABYTES = 120


class FleetBounds(Struct):
    """Bounds that the deployment sets for all hosts together.

    Attributes
    ----------
    shutdown_grace_seconds : float
        Time between the stop signal and the end of the process.
    report_interval_milliseconds : float
        Time between two reports of an endpoint.
    retry_ratio, retry_window_seconds, retry_allowance : float
        See `marjorambridge.forwarding.settings`.
    cold_overrun, cold_allowance : float
        See `marjorambridge.forwarding.settings`.
    min_request_crashes : int
        See `marjorambridge.forwarding.settings`.
    """

    shutdown_grace_seconds: float = 8.0
    report_interval_milliseconds: float = 1_000.0
    retry_ratio: float = defaults.FORWARD_RETRY_RATIO
    retry_window_seconds: float = defaults.FORWARD_RETRY_WINDOW_SECONDS
    retry_allowance: float = defaults.FORWARD_RETRY_ALLOWANCE
    cold_overrun: float = 1.0
    cold_allowance: float = 0.0
    min_request_crashes: int = defaults.MIN_REQUEST_CRASHES


class NodeSettings(Struct):
    """Settings of one process.

    Attributes
    ----------
    host : str
        Name of this host, for the logs.
    ip : str
        Address of this host.
    zones : dict of str to str
        All availability zones, with the region of each.
    seeds : list of str
        ``ip:port`` of the control addresses of some replicas.
    peer_ports : tuple of (int, int)
        First and last port for the traffic between hosts.
    callers, readiness, control : str
        ``ip:port`` at which callers, the load balancer, and operators and endpoints connect; empty
        if this host does not serve them.
    bootstrap : bool
        Whether the fleet starts for the first time, with empty disks.
    data_folder : str
        Folder for the state of a replica.
    memory_megabytes : int or None
        Memory that this process may use; None for the limits of the machine and of the process.
    scheduling : str
        Which services a gateway plans; see `marjorambridge.scheduling.activation`.
    """

    host: str
    ip: str
    zone: str
    zones: dict[str, str]
    seeds: list[str]
    peer_ports: tuple[int, int]
    bounds: FleetBounds = field(default_factory=FleetBounds)
    callers: str = ""
    readiness: str = ""
    control: str = ""
    bootstrap: bool = False
    data_folder: str = ""
    memory_megabytes: int | None = None
    metrics_port: int = 0
    log_level: str = "INFO"
    scheduling: Literal["auto", "on", "off"] = "auto"


def load_node_settings(path: Path) -> NodeSettings:
    """Read and check a settings file.

    Raises
    ------
    SettingsError
        If the file can't be read or a value is invalid; the message names the setting.
    """
    try:
        settings = msgspec.json.decode(path.read_bytes(), type=NodeSettings)
    except OSError as error:
        raise SettingsError([f"{path}: {error.strerror}; check the path"]) from error
    except msgspec.DecodeError as error:
        raise SettingsError([f"{path}: {error}; correct the value"]) from error
    faults = find_faults(settings)
    if faults:
        raise SettingsError([f"{path}: {fault}" for fault in faults])
    return settings


def find_faults(settings: NodeSettings) -> list[str]:
    """Return a sentence for each invalid value, with its remedy."""
    faults = []
    for name in ("callers", "readiness", "control"):
        address = getattr(settings, name)
        if address and not is_address(address):
            faults.append(f"{name} is {address!r}; write it as ip:port")
    faults += [
        f"seed {seed!r}; write it as ip:port" for seed in settings.seeds if not is_address(seed)
    ]
    first, last = settings.peer_ports
    if not 0 < first <= last < 65_536:
        faults.append(f"peer_ports are {first} to {last}; give the first and the last port")
    if settings.control and not settings.data_folder:
        faults.append("a replica needs data_folder; name a folder on its disk")
    if not settings.control and not settings.callers:
        faults.append("neither callers nor control is set; set the address that this host serves")
    megabytes = settings.memory_megabytes
    if megabytes is not None and megabytes < MIN_MEMORY_MEGABYTES:
        faults.append(
            f"memory_megabytes is {megabytes}; write {MIN_MEMORY_MEGABYTES} or more, or null"
        )
    crashes = settings.bounds.min_request_crashes
    if crashes < 2:
        faults.append(f"min_request_crashes is {crashes}; write 2 or more, as 1 may be chance")
    if settings.zone not in settings.zones:
        faults.append(f"zone {settings.zone!r} is not among zones; add it")
    return faults


def get_peer_address(settings: NodeSettings) -> str:
    """Return the address at which other hosts connect to this one."""
    return f"{settings.ip}:{settings.peer_ports[0]}"


def list_seed_peers(settings: NodeSettings) -> tuple[str, ...]:
    """Return the peer addresses of the seeds; the peer port is the same on all hosts."""
    ips = dict.fromkeys(seed.rpartition(":")[0] for seed in settings.seeds)
    return tuple(f"{ip}:{settings.peer_ports[0]}" for ip in ips)


def has_relay_port(settings: NodeSettings) -> bool:
    """Return whether there is a second peer port, for requests that hosts pass on."""
    first, last = settings.peer_ports
    return last > first


def list_near_zones(settings: NodeSettings) -> frozenset[str]:
    """Return the zones of the region of this host."""
    region = settings.zones[settings.zone]
    return frozenset(zone for zone, name in settings.zones.items() if name == region)
