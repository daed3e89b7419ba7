"""Replicate logs over the hosts that have a disk."""
