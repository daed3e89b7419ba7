"""Track live hosts, and confirm with a majority of replicas that local state is current."""
