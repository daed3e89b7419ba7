"""Compose the pure packages into the state of one host."""
