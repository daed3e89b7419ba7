"""Carry each caller's request to its final outcome on the host that received it."""
