"""Connect the own caller API and endpoint protocol to the gateway."""

from marjorambridge.api import endpoints, streams
from marjorambridge.api.requests import decode_request
from marjorambridge.gateway.messages import Dialect


def create_dialect(bytes_per_token: float) -> Dialect:
    """Return the functions that translate between the own interface and the gateway.

    Parameters
    ----------
    bytes_per_token : float
        Estimate from which the length of a prompt follows.
    """
    return Dialect(
        decode_request=lambda method, target, headers, body: decode_request(
            method, target, headers, body, bytes_per_token
        ),
        encode_attempt=endpoints.encode_attempt,
        decode_answer=endpoints.decode_answer,
        encode_error=streams.encode_error,
        encode_order_headers=endpoints.encode_order_headers,
        read_event=streams.read_event,
        has_end_event=True,
        decode_failure=endpoints.decode_failure,
        forwards_server_errors=False,
        encode_collected=streams.encode_collected,
        encode_cut=streams.encode_cut,
        encode_cancel=endpoints.encode_cancel,
        is_cancelled=endpoints.is_cancelled,
    )
