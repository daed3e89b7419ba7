"""Find the workspace of a key."""

import hmac

from marjorambridge.configuration.models import Configuration


def index_keys(configuration: Configuration) -> list[tuple[bytes, str]]:
    """Return the key digests of all workspaces with the names of their workspaces."""
    return [
        (digest.lower().encode(), workspace.name)
        for workspace in configuration.workspaces.values()
        for digest in workspace.key_hashes
    ]


def find_workspace(key_hashes: list[tuple[bytes, str]], key_hash: str) -> str | None:
    """Return the workspace whose key has this digest, or None.

    All digests are compared, each in constant time, so that the duration reveals neither how much
    of a digest matched nor which workspace.

    Examples
    --------
    >>> find_workspace([(b"ab" * 32, "reports")], "ab" * 32)
    'reports'
    """
    presented = key_hash.lower().encode()
    found = None
    for digest, name in key_hashes:
        if hmac.compare_digest(digest, presented):
            found = name
    return found if presented else None
