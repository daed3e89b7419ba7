"""Define the messages that shard owners send to the issuer, and the orders to endpoints."""

from enum import StrEnum

from msgspec import Struct


class OrderKind(StrEnum):
    """Action that an order requests from an endpoint."""

    LOAD_MODEL = "load_model"
    UNLOAD_MODEL = "unload_model"
    LOAD_ADAPTER = "load_adapter"
    UNLOAD_ADAPTER = "unload_adapter"
    SET_VERSION = "set_version"
    SET_ROLE = "set_role"


class Order(Struct, frozen=True):
    """An order to an endpoint to change what it serves.

    Attributes
    ----------
    fencing : int
        Fencing number: the term of the issuer.
    number : int
        Serial number within the term.
    name : str
        Model, adapter, version or role.
    load_bytes : int
        Bytes that the endpoint reads from the weight store.
    """

    fencing: int
    number: int
    kind: OrderKind
    name: str
    load_bytes: int = 0


class EndpointSummary(Struct, frozen=True):
    """Models, adapters, role and version that an endpoint announced.

    Attributes
    ----------
    age : float
        Seconds since the shard owner received the announcement.
    """

    endpoint: str
    incarnation: int
    service: str
    address: str
    models: tuple[str, ...] = ()
    adapters: tuple[str, ...] = ()
    role: str = "any"
    version: str = ""
    checks_fencing: bool = False
    leaving: bool = False
    age: float = 0.0


class EndpointInventory(Struct):
    """Announcements of the endpoints of a shard, or only those that changed."""

    endpoints: tuple[EndpointSummary, ...]


class LoadDemand(Struct):
    """Number of callers that wait for a model at one shard owner."""

    service: str
    model: str
    waiting: int
