"""Decide where requests go, what is tried again and what is refused; without I/O or a clock."""
