"""Play fleets of hosts, engines and callers in simulated time."""
