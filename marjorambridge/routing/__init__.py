"""Choose the shard that a request asks for a permit."""
