"""Provide stand-ins of engines and plain services for the demo, tests and benchmarks."""
