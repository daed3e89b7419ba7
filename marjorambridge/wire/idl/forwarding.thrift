// Generated from marjorambridge/forwarding/messages.py by scripts/generate_idl.py.
namespace py forwarding

struct EndpointLoad {
  1: i64 endpoint
  2: i64 requests
  3: i64 reads
  4: i64 read_milliseconds
  5: i64 kv_tokens
  6: i64 pause_milliseconds
  7: optional i64 helps
  8: optional i64 write_milliseconds
}

struct EndpointFailure {
  1: i64 endpoint
  2: i64 failures
  3: i64 avoided_milliseconds
  4: i64 hosts
  5: bool leaving = false
  6: double request_limit = -1.0
  7: i64 limit_age_milliseconds = -1
  8: optional i64 declined_milliseconds
  9: optional i64 slowdown_percent
}

struct WorkspaceUse {
  1: i64 workspace
  2: i64 milliseconds
  3: i64 waiting = 0
}

struct LoadShare {
  1: string host
  2: bool for_zone
  3: list<EndpointLoad> loads
  4: list<EndpointFailure> failures = []
  5: optional list<WorkspaceUse> workspaces
}

struct LoadTotals {
  1: string host
  2: list<EndpointLoad> loads
  3: list<EndpointFailure> failures = []
  4: optional list<WorkspaceUse> workspaces
}

struct ZoneTotals {
  1: string zone
  2: bool is_first
  3: list<EndpointLoad> loads
  4: list<EndpointFailure> failures = []
  5: optional list<WorkspaceUse> workspaces
}

struct CrashEntry {
  1: i64 cause
  2: i64 endpoint
  3: i64 request
  4: i64 age_milliseconds
  5: bool answered_before
  6: i64 attempt_milliseconds = -1
}

struct CauseEntry {
  1: i64 cause
  2: i64 age_milliseconds
}

struct CrashReport {
  1: string host
  2: bool for_zone
  3: list<CrashEntry> crashes = []
  4: list<CauseEntry> blocked = []
  5: list<CauseEntry> answered = []
}
