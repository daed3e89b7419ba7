"""Errors of decoding bytes that come from other programs."""

import msgspec

# msgspec raises RecursionError for deep nesting and UnicodeError for broken surrogates.
DECODE_ERRORS = (msgspec.MsgspecError, UnicodeError, RecursionError)
