// Generated from marjorambridge/limits/messages.py by scripts/generate_idl.py.
namespace py limits

include "identity.thrift"

struct ShardSummary {
  1: string shard
  2: i64 endpoints = 0
  3: i64 free_tokens = 0
  4: i64 largest_free_tokens = 0
  5: i64 queued_tokens = 0
  6: i64 prefill_tokens = 0
  7: double expected_wait = 0.0
}

struct PermitRequest {
  1: identity.AttemptId permit
  2: i64 ask
  3: string shard
  4: string workspace
  5: double weight
  6: i64 prompt_tokens
  7: i64 output_tokens
  8: double remaining
  9: list<binary> prefix = []
  10: list<i64> prefix_tokens = []
  11: list<string> exclude = []
  12: optional string trace
}

struct EndpointGrant {
  1: string endpoint
  2: i64 incarnation
  3: string address
  4: i64 tokens
  5: i64 cached_tokens = 0
}

struct PermitGranted {
  1: identity.AttemptId permit
  2: i64 ask
  3: string shard
  4: i64 epoch
  5: string priority
  6: list<EndpointGrant> endpoints
  7: ShardSummary summary
}

struct PermitDenied {
  1: identity.AttemptId permit
  2: string shard
  3: string reason
  4: double retry_after
  5: ShardSummary summary
}

struct PermitQueued {
  1: identity.AttemptId permit
  2: i64 ask
  3: string shard
  4: double expected_wait
  5: ShardSummary summary
}

struct PermitCancel {
  1: identity.AttemptId permit
  2: string shard
}

struct PermitRelease {
  1: identity.AttemptId permit
  2: string shard
  3: bool succeeded
  4: bool endpoint_failed
  5: bool stopped
  6: double first_token_seconds = -1.0
}

struct RunningPermit {
  1: identity.AttemptId permit
  2: string shard
  3: list<EndpointGrant> endpoints
  4: bool first_token
}

struct PermitRenew {
  1: list<RunningPermit> permits
}

struct PermitRevoked {
  1: identity.AttemptId permit
  2: string shard
}

struct CacheEvent {
  1: i64 sequence
  2: list<binary> stored = []
  3: list<binary> evicted = []
}

struct Announcement {
  1: string endpoint
  2: i64 incarnation
  3: string supplier
  4: string reserved_service
  5: string zone
  6: string address
  7: list<string> models = []
  8: list<string> adapters = []
  9: string role = "any"
  10: string version = ""
  11: i64 kv_capacity_tokens = 0
  12: i64 concurrency = 1
  13: i64 concurrency_now = 0
  14: bool cold = false
  15: bool leaving = false
  16: bool checks_fencing = false
  17: i64 kv_used_tokens = 0
  18: i64 running = 0
  19: i64 report_sequence = 0
  20: double report_age = 0.0
  21: list<CacheEvent> cache_events = []
}

struct HandoverPermit {
  1: identity.AttemptId permit
  2: list<EndpointGrant> endpoints
  3: bool first_token
  4: double age
}

struct HandoverEndpoint {
  1: Announcement announcement
  2: i64 limit
  3: bool warm
  4: double baseline
}

struct ShardHandover {
  1: string shard
  2: i64 epoch
  3: list<HandoverEndpoint> endpoints
  4: list<HandoverPermit> permits
  5: i64 part = 0
  6: i64 parts = 1
}
