"""Hold benchmark scripts; each prints JSON and a table."""
