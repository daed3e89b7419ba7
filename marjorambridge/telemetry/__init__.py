"""Write structured logs, metrics and traces."""
