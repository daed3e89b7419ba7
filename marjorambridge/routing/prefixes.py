"""Hash the leading blocks of a prompt, to recognize equal prefixes."""

import xxhash

FIRST_BLOCK_BYTES = 512
GROWTH_PERCENT = 130
MAX_BLOCKS = 32


def compute_prefix(
    prompt: bytes, bytes_per_token: float
) -> tuple[tuple[bytes, ...], tuple[int, ...]]:
    """Return chained block hashes of a prompt and the tokens that each covers.

    Blocks grow by a constant factor, so 32 hashes cover 7 MB, more than a million tokens, while
    short prompts are distinguished every few hundred tokens. Only complete blocks are hashed. Each
    hash covers all bytes before it, so equal hashes mean equal prefixes.

    Parameters
    ----------
    prompt : bytes
        Prompt text in UTF-8.
    bytes_per_token : float
        Estimate of the service.

    Examples
    --------
    >>> hashes, tokens = compute_prefix(b"x" * 2000, 4.0)
    >>> tokens
    (128, 294)
    >>> hashes == compute_prefix(b"x" * 1500 + b"y", 4.0)[0]
    True
    """
    hashes: list[bytes] = []
    tokens: list[int] = []
    view = memoryview(prompt)
    previous = b""
    start = 0
    length = FIRST_BLOCK_BYTES
    while len(hashes) < MAX_BLOCKS and start + length <= len(prompt):
        digest = xxhash.xxh3_64(previous)
        digest.update(view[start : start + length])
        previous = digest.digest()
        start += length
        hashes.append(previous)
        tokens.append(int(start / bytes_per_token))
        length = length * GROWTH_PERCENT // 100
    return tuple(hashes), tuple(tokens)
