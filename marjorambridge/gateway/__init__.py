"""Accept the requests of callers and forward them to endpoints unchanged."""
