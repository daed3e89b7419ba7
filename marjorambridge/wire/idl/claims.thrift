// Generated from marjorambridge/claims/messages.py by scripts/generate_idl.py.
namespace py claims

include "identity.thrift"

struct RecordedAnswer {
  1: i64 status
  2: list<list<string>> headers = []
  3: binary body
  4: bool kept = true
  5: string digest = ""
}

struct ClaimRequest {
  1: identity.AttemptId claim
  2: string workspace
  3: string key
  4: string fingerprint
  5: optional string trace
}

struct ClaimComplete {
  1: identity.AttemptId claim
  2: string workspace
  3: string key
  4: RecordedAnswer answer
}

struct ClaimRelease {
  1: identity.AttemptId claim
  2: string workspace
  3: string key
}

struct ClaimAnswer {
  1: identity.AttemptId claim
  2: string status
  3: optional RecordedAnswer answer
  4: string leader = ""
  5: string operation = "claim"
}
