"""Model the reports of endpoints and the entries of the endpoint table."""

from msgspec import Struct


class EndpointReport(Struct):
    """Report the state of an endpoint.

    Attributes
    ----------
    endpoint : str
        Identifier of the endpoint.
    address : str
        ``ip:port`` at which the endpoint serves.
    born : int
        Unix time in milliseconds at which this incarnation started; 0 if unknown.
    sequence : int
        Increases with each report of an incarnation.
    leaving : bool
        Whether the endpoint is shutting down and must get no new requests.
    cold_seconds : float
        Time for which the endpoint stays cold, counted from the report.
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
    """Store the state of an endpoint in the endpoint table.

    Attributes
    ----------
    last_report_at : float
        Monotonic time in seconds of the last report, to this or to another replica.
    cold_until : float
        Monotonic time in seconds at which the endpoint stops being cold.
    revision : int
        Revision of the table in which this entry changed last.
    silent : bool
        Whether the reports of the endpoint have timed out.
    """

    report: EndpointReport
    last_report_at: float
    cold_until: float
    revision: int = 0
    silent: bool = False
