// Generated from marjorambridge/replication/messages.py by scripts/generate_idl.py.
namespace py replication

struct ReplicaId {
  1: string host = ""
  2: string disk = ""
}

struct VoteRequest {
  1: i64 group
  2: string cluster
  3: ReplicaId source
  4: ReplicaId target
  5: i64 term
  6: i64 last_index
  7: i64 last_term
  8: bool pre
  9: bool transfer
}

struct VoteReply {
  1: i64 group
  2: string cluster
  3: ReplicaId source
  4: ReplicaId target
  5: i64 term
  6: i64 election
  7: bool pre
  8: bool granted
}

struct LogEntry {
  1: i64 index
  2: i64 term
  3: string kind
  4: binary payload
}

struct AppendRequest {
  1: i64 group
  2: string cluster
  3: ReplicaId source
  4: ReplicaId target
  5: i64 term
  6: i64 previous_index
  7: i64 previous_term
  8: i64 commit_index
  9: i64 serial
  10: list<LogEntry> entries = []
}

struct AppendReply {
  1: i64 group
  2: string cluster
  3: ReplicaId source
  4: ReplicaId target
  5: i64 term
  6: i64 serial
  7: bool accepted
  8: i64 match_index
  9: i64 hint_index = 0
  10: i64 hint_term = 0
}

struct Member {
  1: ReplicaId replica
  2: string role = "voter"
}

struct Membership {
  1: list<Member> members = []
  2: list<string> pending = []
}

struct SnapshotChunk {
  1: i64 group
  2: string cluster
  3: ReplicaId source
  4: ReplicaId target
  5: i64 term
  6: i64 index
  7: i64 snapshot_term
  8: Membership membership
  9: i64 offset
  10: i64 total
  11: binary data
  12: i64 serial
}

struct SnapshotReply {
  1: i64 group
  2: string cluster
  3: ReplicaId source
  4: ReplicaId target
  5: i64 term
  6: i64 index
  7: i64 answered
  8: i64 offset
}

struct ElectionRequest {
  1: i64 group
  2: string cluster
  3: ReplicaId source
  4: ReplicaId target
  5: i64 term
}

struct JoinRequest {
  1: i64 group
  2: string cluster
  3: ReplicaId source
  4: i64 token
}

struct JoinChallenge {
  1: i64 group
  2: string cluster
  3: ReplicaId source
  4: ReplicaId target
  5: i64 token
}

struct ProbeRequest {
  1: ReplicaId source
}

struct ProbeReply {
  1: ReplicaId source
  2: ReplicaId target
  3: list<string> peers
}

struct ClusterOffer {
  1: ReplicaId source
  2: ReplicaId target
  3: string cluster
  4: list<ReplicaId> founders
}
