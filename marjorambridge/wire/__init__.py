"""Encode and decode the messages between hosts."""
