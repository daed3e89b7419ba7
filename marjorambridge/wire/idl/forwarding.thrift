// Generated from marjorambridge/forwarding/messages.py by scripts/generate_idl.py.
namespace py forwarding

struct EndpointLoad {
  1: string endpoint
  2: i64 requests
  3: i64 reads
  4: double read_seconds
  5: i64 kv_tokens
  6: double pause_seconds
}

struct EndpointFailure {
  1: string endpoint
  2: i64 failures
  3: double avoided_seconds
}

struct LoadShare {
  1: string host
  2: bool for_zone
  3: list<EndpointLoad> loads
  4: list<EndpointFailure> failures = []
}

struct LoadBatch {
  1: list<LoadShare> shares
}
