"""Translate between the users' platform and the project; nothing here decides."""
