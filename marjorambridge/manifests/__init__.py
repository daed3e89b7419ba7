"""Describe the whole configuration of a fleet under one version."""
