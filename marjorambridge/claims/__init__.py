"""Record calls that may be executed at most once."""
