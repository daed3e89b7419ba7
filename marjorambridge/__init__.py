"""Serve language models and plain services from many small hosts."""

__version__ = "0.1.0"
