"""Generate secrets and compute the digests under which they are stored."""

import hashlib
import secrets

from marjorambridge.management.exceptions import InvalidError

SECRET_BYTES = 32
MIN_KEY_CHARACTERS = 16


def create_secret() -> str:
    """Return a new random secret of printable characters."""
    return secrets.token_urlsafe(SECRET_BYTES)


def hash_secret(secret: str) -> str:
    """Return the hexadecimal SHA-256 digest of a secret.

    Examples
    --------
    >>> hash_secret("abc")[:8]
    'ba7816bf'
    """
    return hashlib.sha256(secret.encode()).hexdigest()


def check_key(key: str) -> str:
    """Return a workspace key without surrounding white space.

    Raises
    ------
    InvalidError
        If callers could not send it in a header, or it is so short that it could be guessed.
    """
    text = key.strip()
    if len(text) < MIN_KEY_CHARACTERS:
        raise InvalidError(
            f"the key has {len(text)} characters; use at least {MIN_KEY_CHARACTERS} random ones"
        )
    if not text.isascii() or not text.isprintable() or " " in text:
        raise InvalidError("the key has characters that a header can't hold; use printable ASCII")
    return text
