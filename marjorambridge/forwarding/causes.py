"""Identify what may crash the engine that begins to run a request.

A cause is a part of prompts, which different requests share, or a request as a whole, which callers
repeat. Causes are signed integers of 64 bits: parts are not negative, and the hashes of whole
requests are.
"""

import struct

import xxhash

# Hashes are signed integers of 64 bits in messages between hosts.
HASH_MASK = 2**63 - 1


def identify_request(method: bytes, target: bytes, host_name: str, caller: str, body: bytes) -> int:
    """Return the cause that all repetitions of a request have in common.

    The headers are left out, because each repetition has its own identifier. The body is read once
    and not copied.

    Parameters
    ----------
    target : bytes
        Path and query.
    caller : str
        Workspace or key, so that callers can't block each other's requests.

    Examples
    --------
    >>> first = identify_request(b"POST", b"/a", "h", "w", b"body")
    >>> first == identify_request(b"POST", b"/a", "h", "w", b"body") < 0
    True
    >>> first == identify_request(b"POST", b"/a", "h", "v", b"body")
    False
    """
    digest = xxhash.xxh3_64()
    for field in (method, target, host_name.encode(), caller.encode()):
        digest.update(len(field).to_bytes(4))
        digest.update(field)
    digest.update(body)
    return -1 - (digest.intdigest() >> 1)


def hash_prompt(request: int, parts: tuple[int, ...]) -> int:
    """Return a hash that differs between requests, also if they differ in their prompts only.

    Examples
    --------
    >>> hash_prompt(-1, (1, 2)) == hash_prompt(-1, (1, 3))
    False
    """
    values = (request, *parts)
    return xxhash.xxh3_64_intdigest(struct.pack(f">{len(values)}q", *values)) & HASH_MASK


def is_whole_request(cause: int) -> bool:
    """Return whether a cause is a request as a whole."""
    return cause < 0


def list_shared_parts(parts: tuple[int, ...]) -> tuple[int, ...]:
    """Return the parts of a prompt that other requests may have, too; the last one is its own."""
    return parts[:-1]


def list_causes(request: int, parts: tuple[int, ...]) -> tuple[int, ...]:
    """Return the possible causes of a crash under a request, the one of the fewest requests first.

    The later a part, the fewer requests share it. If several causes have the same crashes, the
    first of them is blocked first, and then explains the crashes of the others.

    Parameters
    ----------
    request : int
        The request as a whole.
    parts : tuple of int
        Parts of its prompt, in order.
    """
    return request, *reversed(list_shared_parts(parts))
