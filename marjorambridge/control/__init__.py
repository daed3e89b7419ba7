"""Replicate the manifest, drained zones and endpoints by a log and distribute them to hosts."""
