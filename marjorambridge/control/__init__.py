"""Keep the manifest, drained zones and retired endpoints in the log, and feed them to hosts."""
