"""Process each caller's request until its final outcome on the host that received it."""
