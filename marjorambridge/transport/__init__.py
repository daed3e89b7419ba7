"""Carry messages between hosts in framed thrift structures over TCP."""
