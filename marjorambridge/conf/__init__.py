"""Settings of a host and their defaults."""
