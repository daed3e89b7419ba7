"""Record calls that may run at most once."""
