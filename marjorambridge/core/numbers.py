"""Read numbers that other programs send, and keep them within bounds.

Integers in Python have any size, and floats may be infinite or no number at all. Messages between
hosts, clocks and conversions have bounds, beyond which they raise errors far from the place where
the number came in.
"""

import math
import re

# Numbers with more digits may not fit 64 bits.
MAX_COUNT_DIGITS = 18
MAX_COUNT = 10**MAX_COUNT_DIGITS
YEAR_SECONDS = 31_536_000.0
_DECIMAL = re.compile(r"[+-]?(\d+(\.\d*)?|\.\d+)([eE][+-]?\d{1,9})?", re.ASCII)


def parse_count(text: bytes) -> int | None:
    """Return the whole number of at least 0 in ASCII digits; None if the text is none.

    Numbers of more than `MAX_COUNT_DIGITS` are returned as `MAX_COUNT`.

    Examples
    --------
    >>> parse_count(b" 42 "), parse_count(b"-1"), parse_count(b"4_2"), parse_count(b"9" * 5_000)
    (42, None, None, 1000000000000000000)
    """
    digits = text.strip()
    # This method of bytes accepts ASCII digits only.
    if not digits.isdigit():
        return None
    digits = digits.lstrip(b"0") or b"0"
    return int(digits) if len(digits) <= MAX_COUNT_DIGITS else MAX_COUNT


def parse_decimal(text: str) -> float | None:
    """Return a decimal number, infinite if it is too large; None if the text is none.

    Examples
    --------
    >>> parse_decimal("1.5"), parse_decimal("-2e3"), parse_decimal("1e999"), parse_decimal("nan")
    (1.5, -2000.0, inf, None)
    """
    text = text.strip()
    return float(text) if _DECIMAL.fullmatch(text) else None


def clamp(value: float, lowest: float, highest: float) -> float:
    """Return the nearest number within bounds; the lowest one if the value is no number.

    Examples
    --------
    >>> clamp(5.0, 0.0, 3.0), clamp(-math.inf, 0.0, 3.0), clamp(math.nan, 0.0, 3.0)
    (3.0, 0.0, 0.0)
    """
    if math.isnan(value):
        return lowest
    return min(max(value, lowest), highest)


def clamp_whole(value: float, highest: int) -> int:
    """Return the nearest whole number from 0 to a bound; 0 if the value is no number.

    Examples
    --------
    >>> clamp_whole(2**70, 100), clamp_whole(-1, 100), clamp_whole(1.2, 100)
    (100, 0, 2)
    """
    return math.ceil(clamp(value, 0, highest))
