"""Choose the shard from which a permit is requested."""
