"""Grant permits for the endpoints of a shard within their memory and cold-start limits."""
