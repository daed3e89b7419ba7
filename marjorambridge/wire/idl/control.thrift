// Generated from marjorambridge/control/messages.py by scripts/generate_idl.py.
namespace py control

struct ProposalForward {
  1: string command_id
  2: binary payload
}

struct EndpointEntry {
  1: string endpoint
  2: string reserved_service
  3: string zone
  4: string address
  5: i64 slots
  6: i64 born
  7: i64 sequence
  8: bool leaving
  9: double cold_seconds
  10: double age_seconds
  11: bool silent = false
}

struct LiveEndpoint {
  1: string endpoint
  2: i64 born
  3: double age_seconds
}

struct EndpointGossip {
  1: string zone = ""
  2: list<EndpointEntry> changed = []
  3: list<LiveEndpoint> alive = []
  4: list<string> hosts = []
  5: list<string> host_zones = []
}

struct MemberList {
  1: list<string> hosts
}

struct FeedPoll {
  1: i64 serial
  2: i64 incarnation
  3: i64 revision
  4: i64 version
  5: string zone
  6: bool may_be_old = true
  7: i64 table_digest = 0
  8: i64 hosts_digest = 0
}

struct FeedUpdate {
  1: i64 serial
  2: i64 incarnation
  3: i64 revision
  4: bool current
  5: i64 base
  6: i64 index
  7: i64 version
  8: binary document
  9: list<string> drained
  10: list<string> restored
  11: list<i64> restored_at
  12: list<EndpointEntry> changed
  13: list<string> removed
  14: list<string> members
  15: list<string> member_zones
  16: list<string> hosts
  17: list<string> host_zones
  18: double poll_after_seconds = 0.0
  19: bool matches = false
}
