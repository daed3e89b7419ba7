"""Build the answers to completion requests in the form of the caller API."""

from typing import Any

import msgspec
from msgspec import Struct

from marjorambridge.http.bodies import CHAT_PATH
from marjorambridge.http.streams import END_MARKER


class Completion(Struct):
    """What all parts of an answer repeat.

    Attributes
    ----------
    request : str
        Identifier of the request.
    path : str
        Path that the caller used, which determines the form of the answer.
    created : int
        Unix time in seconds of the arrival.
    """

    request: str
    path: str
    model: str
    created: int


def encode_event(payload: Any) -> bytes:
    """Return a server-sent event with JSON data."""
    return b"data: " + msgspec.json.encode(payload) + b"\n\n"


def encode_chunk(completion: Completion, text: str, finish: str | None) -> bytes:
    """Return the event for a piece of the text, or for the reason why it ends."""
    chat = completion.path == CHAT_PATH
    choice: dict[str, Any] = {"index": 0, "finish_reason": finish}
    if chat:
        choice["delta"] = {"content": text} if text else {}
    else:
        choice["text"] = text
    return encode_event(
        {
            "id": completion.request,
            "object": "chat.completion.chunk" if chat else "text_completion",
            "created": completion.created,
            "model": completion.model,
            "choices": [choice],
        }
    )


def encode_end(completion: Completion, finish: str, usage: dict[str, int] | None) -> bytes:
    """Return the last events of a whole stream; None for `usage` leaves it out."""
    data = encode_chunk(completion, "", finish or "stop")
    if usage is not None:
        data += encode_event(
            {
                "id": completion.request,
                "choices": [],
                "usage": usage,
                "model": completion.model,
                "created": completion.created,
            }
        )
    return data + b"data: " + END_MARKER + b"\n\n"


def build_usage(prompt_tokens: int, output_tokens: int) -> dict[str, int]:
    """Return the number of tokens in the form of the caller API."""
    return {
        "prompt_tokens": prompt_tokens,
        "completion_tokens": output_tokens,
        "total_tokens": prompt_tokens + output_tokens,
    }


def build_answer(
    completion: Completion, text: str, finish: str, usage: dict[str, int]
) -> dict[str, Any]:
    """Return the body of an answer that is not streamed."""
    chat = completion.path == CHAT_PATH
    choice: dict[str, Any] = {"index": 0, "finish_reason": finish or "stop"}
    if chat:
        choice["message"] = {"role": "assistant", "content": text}
    else:
        choice["text"] = text
    return {
        "id": completion.request,
        "object": "chat.completion" if chat else "text_completion",
        "created": completion.created,
        "model": completion.model,
        "choices": [choice],
        "usage": usage,
    }
