"""Take callers' requests and forward them to endpoints, byte for byte."""
