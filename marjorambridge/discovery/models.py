"""Model what an endpoint says of itself."""

from msgspec import Struct


class EndpointReport(Struct):
    """Hold one report of an endpoint.

    Attributes
    ----------
    endpoint : str
        Identifier of the endpoint.
    address : str
        ``ip:port`` at which it serves.
    born : int
        Unix time in milliseconds at which this incarnation started; 0 if it does not say.
    sequence : int
        Increases with each report of an incarnation.
    leaving : bool
        Whether it wants no new requests.
    cold_seconds : float
        Time for which it stays cold, counted from the report.
    """

    endpoint: str
    service: str
    zone: str
    address: str
    slots: int
    born: int = 0
    sequence: int = 0
    leaving: bool = False
    cold_seconds: float = 0.0


class KnownEndpoint(Struct):
    """Hold what a replica knows about an endpoint.

    Attributes
    ----------
    last_report_at : float
        Monotonic time in seconds of the last report, here or at another replica.
    cold_until : float
        Monotonic time in seconds.
    revision : int
        Revision of the table that changed this entry last.
    silent : bool
        Whether reports stopped coming.
    """

    report: EndpointReport
    last_report_at: float
    cold_until: float
    revision: int = 0
    silent: bool = False
