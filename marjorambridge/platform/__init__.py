"""Translate the HTTP calls, headers and documents of the platform; makes no decisions."""
