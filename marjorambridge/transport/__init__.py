"""Exchange messages between hosts as framed thrift structures over TCP."""
