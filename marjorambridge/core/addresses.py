"""Check addresses that come from other programs."""

import re

_ADDRESS = re.compile(r"(\d{1,3}(?:\.\d{1,3}){3}|\[[0-9A-Fa-f:.]+\]):(\d{1,5})", re.ASCII)


def is_address(text: str) -> bool:
    """Return whether a text is an IP address with a port.

    Examples
    --------
    >>> is_address("10.0.0.1:8000"), is_address("10.0.0.1"), is_address("[::1]:80")
    (True, False, True)
    """
    match = _ADDRESS.fullmatch(text)
    return match is not None and 0 < int(match.group(2)) < 65_536
