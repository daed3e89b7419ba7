"""Routing, retries and refusal of requests, as functions without I/O or a clock."""
