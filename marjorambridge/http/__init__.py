"""Speak HTTP with callers, endpoints and operators."""
