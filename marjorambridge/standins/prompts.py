"""Derive answers and block hashes of a prompt, the same on every stand-in engine."""

import xxhash

# Gujarati and German words, so that tokens have characters of several bytes.
WORDS = (
    "ગેરુ",
    "ખાણ",
    "ભાવ",
    "લોટ",
    "વજન",
    "ટ્રક",
    "દિવસ",
    "રંગ",
    "સારો",
    "માલ",
    "ગુણ",
    "નમૂનો",
    "Messing",
    "Platte",
    "Gravur",
    "Größe",
    "Auftrag",
    "Lager",
    "Stück",
    "Schrift",
    "Tafel",
    "Maß",
    "grade",
    "lot",
    "price",
    "moist",
    "sample",
    "ochre",
)


def compute_token(seed: int, index: int) -> str:
    """Return token `index` of the answer to the prompt from which `seed` was computed.

    Examples
    --------
    >>> compute_token(7, 3) == compute_token(7, 3)
    True
    """
    digest = xxhash.xxh3_64_intdigest(index.to_bytes(8, "little"), seed)
    return WORDS[digest % len(WORDS)] + " "


def compute_seed(prompt: bytes) -> int:
    """Return the seed of the answer to a prompt."""
    return xxhash.xxh3_64_intdigest(prompt)


def hash_blocks(
    data: bytes, bytes_per_token: float, block_tokens: int = 256
) -> tuple[tuple[bytes, ...], tuple[int, ...]]:
    """Return chained 8-byte hashes of the whole blocks of a prompt and the tokens they cover.

    Examples
    --------
    >>> hashes, tokens = hash_blocks(b"a" * 2000, 3.0)
    >>> len(hashes), tokens
    (2, (256, 512))
    """
    size = max(1, int(block_tokens * bytes_per_token))
    hashes: list[bytes] = []
    seed = 0
    for start in range(0, len(data) - size + 1, size):
        seed = xxhash.xxh3_64_intdigest(data[start : start + size], seed)
        hashes.append(seed.to_bytes(8, "big"))
    return tuple(hashes), tuple(block_tokens * (i + 1) for i in range(len(hashes)))
