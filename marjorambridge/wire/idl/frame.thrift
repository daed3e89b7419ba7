// Frames of a connection between two hosts.
namespace py frame

// Opens a connection in both directions. The session key is derived from the shared fleet key and
// both nonces, so that frames of an earlier connection are refused.
struct Hello {
  1: i32 version
  2: string fleet
  3: string host
  4: i64 incarnation
  5: string address
  6: binary nonce
  // Whether the sender acknowledges frames, or understands acknowledgements; missing in old hosts.
  7: bool acknowledges
  // Whether the sender recognizes messages that arrive again by their numbers; missing in old hosts.
  8: bool recognizes_repeats
}

struct Frame {
  1: i64 sequence
  2: string kind
  3: binary body
  4: string trace
  5: binary mac
  // Number of the message among those of this host to the peer, on all connections; missing if the
  // peer does not recognize repeats.
  6: i64 number
}
