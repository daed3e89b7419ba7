"""Exchange HTTP messages with callers, endpoints and operators."""
