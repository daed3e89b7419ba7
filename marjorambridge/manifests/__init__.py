"""Model the versioned configuration of a fleet, validate it and match requests to routes."""
