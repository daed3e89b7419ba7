"""Bring endpoints to the models, adapters, versions and roles of the target state."""
