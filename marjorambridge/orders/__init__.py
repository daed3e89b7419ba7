"""Order endpoints to load the models, adapters, versions and roles of the target state."""
