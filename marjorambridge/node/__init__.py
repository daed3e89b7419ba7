"""Compose the packages without I/O into the state of one host."""
