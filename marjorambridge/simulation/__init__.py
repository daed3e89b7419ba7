"""Simulate fleets of hosts, engines and callers."""
