"""Run one host: connect the reducer with the drivers."""
