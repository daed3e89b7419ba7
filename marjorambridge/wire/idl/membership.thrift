// Generated from marjorambridge/membership/messages.py by scripts/generate_idl.py.
namespace py membership

struct FreshnessQuery {
  1: i64 number
  2: i64 applied
  3: bool preferred = false
  4: bool leaving = false
  5: string address = ""
  6: string zone = ""
  7: string region = ""
  8: i64 snapshot_index = 0
  9: i64 snapshot_offset = 0
}

struct CommittedEntry {
  1: i64 index
  2: binary payload
}

struct EntryBatch {
  1: i64 after
  2: i64 through
  3: list<CommittedEntry> entries = []
}

struct SnapshotChunk {
  1: i64 index
  2: i64 offset
  3: i64 total
  4: binary data
}

struct FreshnessReply {
  1: i64 number
  2: i64 incarnation
  3: i64 last_index
  4: i64 commit_index
  5: bool voter
  6: list<string> voters
  7: string leader = ""
  8: i64 term = 0
  9: optional EntryBatch batch
  10: optional SnapshotChunk chunk
}

struct HostLeaveRequest {
  1: i64 incarnation
}

struct CommandForward {
  1: string command_id
  2: binary payload
}

struct Fault {
  1: string path
  2: string problem
  3: string remedy
}

struct ChangeRecord {
  1: i64 version
  2: string operator
  3: string command_id
  4: double wall
  5: string summary
}

struct CommandAnswer {
  1: string command_id
  2: string status
  3: i64 version
  4: string message
  5: list<Fault> faults = []
  6: list<ChangeRecord> changes = []
}

struct CommandReply {
  1: string command_id
  2: CommandAnswer answer
}

struct CommandRedirect {
  1: string command_id
  2: string leader
  3: i64 term
}
