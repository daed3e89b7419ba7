"""Hold the settings of a host and their defaults."""
