"""Default values of all settings and constants, with the unit in the name."""

# Steps after which a backoff no longer grows; all reach their upper bound earlier, and many more
# would overflow a float.
MAX_BACKOFF_STEPS = 30

# Freshness and membership. FRESHNESS_SECONDS plus START_WINDOW_SECONDS bounds how long new work can
# start after a zone is taken out of service; the required bound is 3 s.
FRESHNESS_SECONDS = 1.8
POLL_INTERVAL_SECONDS = 0.5
HOST_TIMEOUT_SECONDS = 2.0
NEW_LEADER_GRACE_SECONDS = 3.0
CLOCK_DRIFT_FACTOR = 1.05
HOST_RECORD_RETENTION_SECONDS = 60.0
PROPOSAL_RETRY_INTERVAL_SECONDS = 1.0
COMMAND_RETRY_INTERVAL_SECONDS = 1.0
COMMAND_TIMEOUT_SECONDS = 10.0
MAX_PENDING_COMMANDS = 1_000
MAX_RECENT_ENTRIES = 2_000
MAX_RECENT_ENTRY_BYTES = 4 * 1024 * 1024
MAX_REPLY_ENTRY_BYTES = 256 * 1024
MAX_SNAPSHOT_BYTES = 64 * 1024 * 1024

# Control state. The limits bound the size of a snapshot; a command and its envelope must fit into
# one frame.
MAX_SERVICES = 1_000
MAX_WORKSPACES = 10_000
MAX_ZONES = 1_000
MAX_HOSTS = 4_000
MAX_CONFIGURATION_BYTES = 8 * 1024 * 1024
MAX_COMMAND_BYTES = 512 * 1024
MAX_LISTED_FAULTS = 200
MAX_CHANGE_RECORDS = 200
MAX_CONFLICT_CHANGES = 20
MAX_STORED_ANSWERS = 2_000
MAX_STORED_ANSWER_ITEMS = 5_000
ANSWER_RETENTION_SECONDS = 24 * 3600.0

# Permits.
START_WINDOW_SECONDS = 0.7
QUEUE_RENEWAL_INTERVAL_SECONDS = 0.25
PERMIT_RENEWAL_INTERVAL_SECONDS = 2.0
PERMIT_EXPIRY_SECONDS = 10.0
ENDPOINT_TIMEOUT_SECONDS = 3.0
CANCEL_RETRY_INTERVAL_SECONDS = 1.0

# Shard owners. An endpoint is removed only after the longest request deadline, because an attempt
# that is no longer reported may hold its memory until then.
OWNER_TICK_INTERVAL_SECONDS = 0.25
ENDPOINT_REMOVAL_DELAY_SECONDS = 660.0
ENDED_PERMIT_RETENTION_SECONDS = 30.0
MAX_REPORT_TRANSIT_SECONDS = 0.3
MAX_QUEUED_REQUESTS = 1_024
RESERVATION_DELAY_SECONDS = 2.0
MAX_PREFIX_PAIRS = 20_000
# Smaller than a frame, because the size of a part is an estimate.
MAX_HANDOVER_PART_BYTES = 256 * 1024

# Request classes by estimated uncached prefill tokens.
MAX_INTERACTIVE_PREFILL_TOKENS = 8_192
MAX_BATCH_PREFILL_TOKENS = 65_536
MAX_LONG_PREFILL_SHARE = 0.5

# Cold start.
COLD_PREFILL_TOKENS = 8_192
COLD_SLOWDOWN_FACTOR = 4.0
COLD_SLOW_FIRST_TOKENS = 3
# An endpoint that announces that it is cold stays cold for longer than one that only the owner
# treats as cold, but not until the deadline of a prompt that no other endpoint can take.
ANNOUNCED_COLD_RESERVATION_DELAY_SECONDS = 10.0

# Requests.
RETRY_BUDGET_RATIO = 0.1
RETRY_BUDGET_MINIMUM = 10
MAX_TIMEOUT_SECONDS = 600.0
MAX_BODY_BYTES = 16 * 1024 * 1024
MAX_BODY_BYTES_LIMIT = 256 * 1024 * 1024
MAX_REQUESTS_IN_PROGRESS = 20_000
MAX_ATTEMPTS = 4
RETRY_BUDGET_WINDOW_SECONDS = 10.0
RATE_BURST_SECONDS = 1.0
REFUSAL_RETRY_AFTER_SECONDS = 1.0
INITIAL_PERMIT_BACKOFF_SECONDS = 0.02
MAX_PERMIT_BACKOFF_SECONDS = 2.0
# An owner answers within a round trip; after three unanswered renewals it counts as unreachable.
OWNER_TIMEOUT_SECONDS = 0.75
QUEUE_MOVE_DELAY_SECONDS = 1.0
QUEUE_MOVE_WAIT_RATIO = 0.5
# Longer than an owner waits before it reserves endpoints for a prompt that no endpoint can take.
LONG_PROMPT_QUEUE_MOVE_DELAY_SECONDS = 12.0
# A call that holds a claim stops waiting for a permit this long before its deadline, so that the
# release of the claim can be committed before the caller is answered.
CLAIM_RELEASE_RESERVE_SECONDS = 0.5
CLAIM_COMMIT_TIMEOUT_SECONDS = 2.0
CLAIM_RETRY_TIMEOUT_SECONDS = 30.0
MAX_HELD_ANSWER_BYTES = 1024 * 1024

# A host whose event loop is this late does not use its measurements of the speed of endpoints.
MAX_LOOP_DELAY_SECONDS = 0.05
LOOP_DELAY_INTERVAL_SECONDS = 0.25

# Routing.
SUMMARY_EXPIRY_SECONDS = 5.0
EQUAL_WAIT_TOLERANCE_SECONDS = 0.02
AFFINITY_PREFIX_TOKENS = 1_024
PREFILL_SECONDS_PER_TOKEN = 0.0001
MAX_AFFINITY_WAIT_SECONDS = 2.0

# Claims.
CLAIM_GROUP_COUNT = 1
CLAIM_ANSWER_RETENTION_SECONDS = 24 * 3600.0
CLAIM_TOMBSTONE_RETENTION_SECONDS = 30 * 24 * 3600.0
MAX_CLAIM_ANSWER_BYTES = 64 * 1024
REQUIRE_DATED_KEYS = False
# A refused or released claim is stored this long, so that a late copy of its request is not
# granted. A copy that arrives even later can block its key, but cannot cause a second execution.
CLAIM_MARKER_RETENTION_SECONDS = 3600.0
# A key whose date is further in the future than this counts as undated.
MAX_CLAIM_KEY_SKEW_SECONDS = 24 * 3600.0
# New claims are refused while a group's state is larger than this.
MAX_CLAIM_STATE_BYTES = 64 * 1024 * 1024
MAX_CLAIM_BATCH_COMMANDS = 256
MAX_CLAIM_BATCH_BYTES = 256 * 1024
CLAIM_BATCH_DELAY_SECONDS = 0.002
CLAIM_PROPOSAL_TIMEOUT_SECONDS = 1.0
CLAIM_MAINTENANCE_INTERVAL_SECONDS = 1.0
# The leader's view may lag by FRESHNESS_SECONDS, so a claimant that it does not contain yet is not
# reported as lost before this time.
CLAIMANT_GRACE_SECONDS = 2.0
CLAIM_RESEND_TIMEOUT_SECONDS = 0.3
CLAIM_UNAVAILABLE_RETRY_DELAY_SECONDS = 0.05
CLAIM_BACKGROUND_RETRY_TIMEOUT_SECONDS = 600.0
MAX_CLAIM_BACKGROUND_CALLS = 10_000

# Replicated log.
HEARTBEAT_INTERVAL_SECONDS = 0.2
ELECTION_TIMEOUT_SECONDS = 0.5
SNAPSHOT_INTERVAL_ENTRIES = 2_000
SNAPSHOT_CHUNK_BYTES = 256 * 1024
MAX_FRAME_BYTES = 1024 * 1024
# Entries kept before a snapshot, so that a follower with a small lag needs no snapshot.
SNAPSHOT_TRAILING_ENTRIES = 500
# An append holds at least one entry, so that both limits leave room for the frame's other fields.
MAX_APPEND_BYTES = 256 * 1024
MAX_PROPOSAL_BYTES = 512 * 1024
MAX_APPENDS_IN_FLIGHT = 8
MAX_PROMOTION_LAG_ENTRIES = 100
JOIN_RETRY_INTERVAL_SECONDS = 0.5
MAX_SEGMENT_BYTES = 4 * 1024 * 1024

# Shutdown.
UNREADY_GRACE_SECONDS = 3.0
DRAIN_DEADLINE_SECONDS = 660.0

# Orders to engines.
ORDER_LIFETIME_SECONDS = 5.0
ORDER_EFFECT_TIMEOUT_SECONDS = 30.0
LOAD_EFFECT_TIMEOUT_SECONDS = 300.0
ORDER_RETRY_DELAY_SECONDS = 5.0
ORDER_TICK_INTERVAL_SECONDS = 0.5
ORDER_PROPOSAL_TIMEOUT_SECONDS = 2.0
MAX_STORED_ORDER_RESULTS = 1_000
# Endpoints and counts of waiting callers whose last report is older than this are ignored.
INVENTORY_EXPIRY_SECONDS = 10.0
INVENTORY_INTERVAL_SECONDS = 1.0
# Unchanged endpoints are reported at this interval, so that the issuer of orders does not ignore
# them after two lost reports. A summary has about 100 bytes; reporting all endpoints each second
# would take a third of the control traffic that a host may cause.
INVENTORY_REPEAT_INTERVAL_SECONDS = 4.0
DEMAND_EXPIRY_SECONDS = 10.0
WEIGHT_STORE_BYTES_PER_SECOND = 1e9
WEIGHT_STORE_BURST_BYTES = 20e9

# Control state (marjorambridge.control), in seconds.
# A low limit batches the entries that are proposed meanwhile: each append costs every replica a
# message and an answer, however many entries it holds.
MAX_CONTROL_APPENDS_IN_FLIGHT = 2
# A command is lost only with a connection or a leader; a caller waits about one second for its
# result.
LOG_COMMAND_RETRY_SECONDS = 0.25
CONTROL_TICK_SECONDS = 0.1
# Liveness of endpoints is gossiped about as often as an endpoint reports.
GOSSIP_INTERVAL_SECONDS = 1.0
# Replicas gossip each second; one that missed two rounds may be down.
GOSSIP_TIMEOUT_SECONDS = 2.5
FEED_POLL_INTERVAL_SECONDS = 0.5
# Polls per second of all subscribers at a replica; one poll costs about 1 ms on a third of a core.
# The poll interval of each subscriber grows with their number.
FEED_MAX_POLLS_PER_SECOND = 60.0
# Longest poll interval; a host that polls less often may lose its subscription, which ends after
# SUBSCRIBER_EXPIRY_SECONDS without a poll.
FEED_MAX_POLL_INTERVAL_SECONDS = 1.3
# Delay in which changes of the endpoint table are batched, and updates per second that a replica
# sends because of them; the delay grows with the number of subscribers.
FEED_PUSH_DELAY_SECONDS = 0.02
FEED_MAX_UPDATES_PER_SECOND = 200.0
# A replica whose state may be stale withholds the table and the manifest for this time; an election
# and a read barrier take about one second.
FEED_WITHHOLD_SECONDS = 3.0
# Factor by which the poll interval grows without an answer, and its upper bound.
FEED_BACKOFF_FACTOR = 1.5
FEED_MAX_BACKOFF_SECONDS = 1.0
# Upper bound of the poll interval while a host has no manifest and gets no answer.
FEED_INITIAL_MAX_BACKOFF_SECONDS = 0.45
# Random part of the poll interval, so that hosts that start together do not poll together.
FEED_JITTER_RATIO = 0.2
# Time without an answer, in polls, after which a host switches to another replica.
FEED_ANSWER_TIMEOUT_POLLS = 2.2
# Lower bound of the time without an answer; it covers two polls, so that a host switches to another
# replica within three seconds.
FEED_ANSWER_TIMEOUT_SECONDS = 1.1
FEED_AVOID_SECONDS = 3.0
FEED_MAX_AVOID_SECONDS = 24.0
# Poll interval and lower bound of the answer timeout while a host has no manifest; a poll without
# an answer costs a few hundred bytes.
FEED_INITIAL_POLL_INTERVAL_SECONDS = 0.15
FEED_INITIAL_ANSWER_TIMEOUT_SECONDS = 0.4
FEED_LOSS_TIMEOUT_SECONDS = 2.0
# A restarted host accepts only current state from a replica for this time, and possibly stale state
# afterwards, because it could otherwise serve no request while the replicas have no leader.
FEED_REQUIRE_CURRENT_SECONDS = 3.0
# A host that polled no replica for this long does not count in the shares of fleet-wide limits.
SUBSCRIBER_EXPIRY_SECONDS = 3.0
# A follower without contact to its leader for longer may lag; heartbeats come five times a second.
LEADER_CONTACT_TIMEOUT_SECONDS = 1.0
# A voter that was unresponsive for this long is removed when a new replica replaces it.
UNRESPONSIVE_VOTER_SECONDS = 2.0

# Forwarding (marjorambridge.forwarding).
# Memory for answers that a host buffers whole; the smallest hosts have 200 MB.
ANSWER_MEMORY_BYTES = 48 * 1024 * 1024
# Part of ANSWER_MEMORY_BYTES that is reserved for answers that have begun; without it, many answers
# at the same time could exhaust the memory, and none could be completed.
STARTED_ANSWER_MEMORY_BYTES = 16 * 1024 * 1024
FORWARD_RETRY_RATIO = 0.1
FORWARD_RETRY_WINDOW_SECONDS = 10.0
FORWARD_RETRY_ALLOWANCE = 10.0
# Part of a fleet-wide limit that is divided among the hosts that the replicas list; the rest covers
# hosts that are not listed yet.
SHARED_LIMIT_RATIO = 0.75
# Time for which an endpoint is avoided after its first failure, and its upper bound.
FIRST_AVOID_SECONDS = 1.0
MAX_AVOID_SECONDS = 8.0
# Time for which an endpoint is avoided after it rejected a request. A slot becomes free and two
# load reports of other hosts arrive within it.
REJECTION_AVOID_SECONDS = 0.4
# Replicas notice within it that an endpoint has stopped reporting.
REPLACED_SECONDS = 10.0
# Longest time for which an endpoint can reject requests, and the smallest extension of that time
# that causes a log line and a message.
MAX_REJECTED_SECONDS = 120.0
REJECTED_CHANGE_SECONDS = 0.1
# Requests per second that are sent to an endpoint that takes fewer, in order to learn when it takes
# more, and time for which hosts tell one another that a limit has ended.
MIN_REQUEST_LIMIT_PER_SECOND = 0.1
ENDED_LIMIT_REPORT_SECONDS = 5.0
# Endpoints removed from the table whose hints are stored.
MAX_SAVED_HINTS = 1_000
# Age at which a failure no longer counts.
FAILURE_EXPIRY_SECONDS = 20.0
# Share of a service's endpoints above which the failures that a host sees are probably its own, and
# number of other hosts whose reports make a host without own failures avoid an endpoint.
REPORTED_ENDPOINTS_RATIO = 0.5
MIN_FAILURE_REPORTERS = 2
# Endpoints that fail without a successful connection between them, after which trial connections
# show whether this host reaches any endpoint; endpoints of one trial, and time between two trials.
SUSPICIOUS_FAILED_ENDPOINTS = 2
CONTACT_TRIAL_ENDPOINTS = 4
CONTACT_TRIAL_INTERVAL_SECONDS = 0.5
# Requests that a host handles at the same time for hosts that reach no endpoint, and hosts that are
# asked one after the other for one request.
MAX_RELAYED_REQUESTS = 128
MAX_RELAY_HOSTS = 4
# Cost of a running request, in seconds of outstanding prefill, when endpoints are compared; a
# decoding request slows each step of the others by about this much of their time.
RUNNING_REQUEST_COST_SECONDS = 0.02
# Cost of an endpoint in another zone when endpoints are compared.
OTHER_ZONE_COST_SECONDS = 0.004
# Cost of an engine in another zone in a large fleet, in requests. Bytes between zones are costly,
# but one more request at an engine delays the answer by more than the transfer between zones.
OTHER_ZONE_COST_REQUESTS = 1.0
# Connecting takes a round trip; a lost packet is sent again only after a second.
CONNECT_TIMEOUT_SECONDS = 0.4
# Retry-After while no endpoint of a service can be used, and what a full endpoint and the request
# window of a cold endpoint add to it.
NO_ENDPOINT_RETRY_AFTER_SECONDS = 1.0
FULL_ENDPOINT_RETRY_AFTER_SECONDS = 0.4
COLD_ENDPOINT_RETRY_AFTER_SECONDS = 1.0
# Bounds of Retry-After, and the share of it that is added at most as random jitter.
MIN_RETRY_AFTER_SECONDS = 0.2
MAX_RETRY_AFTER_SECONDS = 5.0
RETRY_AFTER_JITTER_RATIO = 0.5
# Time after the estimated prefill at which a resumable stream without an event is retried at
# another endpoint; keep-alive probes detect a dead endpoint in about the same time.
FIRST_EVENT_TIMEOUT_SECONDS = 2.5
# Time without an event at which a resumable stream continues at another endpoint; callers wait 2 s
# or longer.
EVENT_TIMEOUT_SECONDS = 1.4
# Time between two checks whether another endpoint can continue a stalled stream.
STALL_CHECK_INTERVAL_SECONDS = 0.25
# No attempt can complete in less time.
MIN_ATTEMPT_SECONDS = 0.02
# Time without an event, as a multiple of the objective for the pause, at which a stream with long
# pauses continues at another endpoint; callers wait 8 times the objective.
EVENT_TIMEOUT_OBJECTIVES = 5.0
# Pause limit of a service's answers if none of its routes states one. A tolerated prefill takes the
# given part of the shortest pause limit less the time of an engine pass; the rest covers the
# transfer to the caller.
DEFAULT_PAUSE_LIMIT_SECONDS = 0.25
TOLERATED_PREFILL_RATIO = 0.9
# Answers whose pause limit is this multiple of the shortest one may run where long prompts are
# prefilled.
STRICT_PAUSE_LIMIT_RATIO = 2.0
# Part of its objective in which a long prompt is to be prefilled; the rest covers unknown delays.
LONG_PREFILL_OBJECTIVE_RATIO = 0.5
# Part of its objective above which a long prompt also uses engines with running answers, if its
# prefill shards are so short that the answers stay on time.
LATE_PREFILL_OBJECTIVE_RATIO = 0.8
# Share of the engines that are reserved for long prompts in a burst of short requests, and the
# penalty for using one of them, in prompts waiting at another engine.
LONG_PROMPT_ENGINE_RATIO = 0.15
LONG_PROMPT_ENGINE_PENALTY_PROMPTS = 3
# Share of the pause limit that the prefills at the engine of a short request may take.
SHORT_PREFILL_PAUSE_RATIO = 0.6
# Outstanding prefill that counts as one waiting prompt; a short prompt takes 30 ms.
WAITING_PROMPT_PREFILL_SECONDS = 0.04
# Hosts of larger fleets choose at random among the active engines, because load reports take longer
# there than the time between two requests. The number of active engines is the number that the
# running requests fill, times a margin, plus a constant and a share of all engines.
LARGE_FLEET_HOSTS = 16
ACTIVE_ENGINE_MARGIN = 1.1
ACTIVE_ENGINE_EXTRA = 3
# Share of all engines that are active in addition, and the number of active engines that a host
# samples to compare.
ACTIVE_ENGINE_RATIO = 0.2
ACTIVE_ENGINE_SAMPLE = 10
# Share of the idle engines among which a host of a large fleet samples the prefill engines of a
# long prompt; the others are left to short requests.
LONG_PROMPT_CANDIDATE_RATIO = 0.6
# Time after its start in which a host may lack other hosts and their loads: replicas that restarted
# with it send one another their hosts once a second, and hosts repeat their loads once a second.
STARTUP_SYNC_SECONDS = 2.5
# Age above which the loads of other hosts are stale; they are sent once a second.
LOAD_STALE_SECONDS = 1.5
# Slots of an engine that stay free when short requests are packed.
PACKING_FREE_SLOTS = 1
# Helper engines of one request; engines accept no more.
MAX_HELPERS = 16
# A prompt that cannot be on time is prefilled within this part of the remaining time. Where fewer
# than the given part of the engines are idle, its prefill must also take no longer than this
# multiple of its objective.
LATE_PROMPT_REMAINING_RATIO = 0.5
LATE_PROMPT_IDLE_ENGINE_RATIO = 0.5
LATE_PROMPT_OBJECTIVES = 1.0
# Time for which a long prompt waits for free engines, and the interval of the checks. Prefill
# shards take some tenths of a second; a caller whose prompt would have to wait for more of them
# gets a Retry-After.
LONG_PROMPT_WAIT_SECONDS = 0.4
LONG_PROMPT_CHECK_INTERVAL_SECONDS = 0.1
# Time in which a short answer ends, after which its engine can prefill long prompts.
SHORT_ANSWER_SECONDS = 1.5
# Part of an engine's memory up to which one engine takes a prompt alone, and up to which tickets
# fill it; the rest covers answers that are longer than expected.
SINGLE_ENGINE_MEMORY_RATIO = 0.98
RESERVABLE_MEMORY_RATIO = 0.9
# Lease of a ticket, shorter than the time after which unused memory counts as lost, the time after
# which it is renewed, and the pause after a renewal that failed.
TICKET_LEASE_SECONDS = 3.6
TICKET_RENEWAL_SECONDS = 1.8
TICKET_RETRY_SECONDS = 0.3
# An order without an answer may be executed within this time. Tickets that it could create again
# are released at the given interval until then.
LATE_ORDER_WINDOW_SECONDS = 12.5
TICKET_RELEASE_INTERVAL_SECONDS = 1.0
ORDER_TIMEOUT_SECONDS = 0.4
# Time for which a request at a host that has just started waits for the first manifest; a fleet
# that was restarted as a whole elects a leader within one second.
FIRST_MANIFEST_TIMEOUT_SECONDS = 1.5
# Crashes of engines with which a part of prompts is blocked, and the time that must lie between the
# first and the last of them. The second pair is for parts that were answered before.
MIN_CRASHES_NEW_PART = 3
MIN_CRASH_SPAN_NEW_PART_SECONDS = 0.5
MIN_CRASHES_ANSWERED_PART = 8
MIN_CRASH_SPAN_ANSWERED_PART_SECONDS = 2.0
# Different requests that must be among those at which the engines crashed.
MIN_CRASH_REQUESTS = 3
# Crashes of engines with which a request as a whole is blocked, unless the settings say otherwise,
# and the factor for one that was answered before.
MIN_REQUEST_CRASHES = 3
ANSWERED_REQUEST_CRASH_FACTOR = 2
# Crashes with less time between them may be one event, such as a loss of power.
DISTINCT_CRASH_SECONDS = 0.1
# Age at which a crash no longer counts, time for which it is repeated to other hosts, and number of
# crashes that are repeated at once.
CRASH_EXPIRY_SECONDS = 120.0
CRASH_REPEAT_SECONDS = 5.0
MAX_REPEATED_CRASHES = 60
# Time for which a part is blocked, time until a request with it is first sent to an engine as a
# test, and factor by which the time between two tests grows.
PART_BLOCK_SECONDS = 600.0
FIRST_PART_TEST_SECONDS = 20.0
PART_TEST_FACTOR = 2
# The same for a request as a whole.
REQUEST_BLOCK_SECONDS = 3_600.0
FIRST_REQUEST_TEST_SECONDS = 60.0
REQUEST_TEST_FACTOR = 4
# Causes of crashes that a host remembers: suspects, and those that were answered.
MAX_SUSPECTS = 2_000
MAX_ANSWERED_CAUSES = 20_000

# Scheduling of planned services (marjorambridge.scheduling).
# Objectives in seconds that separate the ranks of requests of the same priority, and the last rank.
URGENCY_OBJECTIVE_SECONDS = (1.0, 3.0)
MAX_URGENCY = 9
# Parts of its objective in which a long prompt is to be prefilled: the one that leaves room for an
# engine that fails, and the latest one.
EARLY_PREFILL_RATIO = 0.5
LATEST_PREFILL_RATIO = 0.85
# Longest prefill shard of a long prompt as a part of its objective, if there are enough engines.
SHARD_OBJECTIVE_RATIO = 0.25
# Requests that wait for room on one host, those of one service and kind that are checked in one
# round, and the longest time between two rounds.
MAX_WAITING_REQUESTS = 256
MAX_CHECKED_REQUESTS = 8
WAITING_CHECK_SECONDS = 0.05
# Silence after which callers give up a stream: the longest of a time, a multiple of the objective
# for the first event, and a multiple of the objective for the pause.
CALLER_PATIENCE_SECONDS = 2.0
CALLER_PATIENCE_OBJECTIVES = 4.0
CALLER_PATIENCE_PAUSES = 8.0
# Time for which an engine that declined is not asked to help with prompts, and its upper bound. A
# prefill shard of a prompt of 300,000 tokens over 10 engines takes 0.53 s. Memory at an engine is
# released within 4 s after its request ended, so that an engine is not full for longer because of a
# host that died.
FIRST_DECLINE_SECONDS = 0.5
MAX_DECLINE_SECONDS = 4.0
# Share of the engines that must be idle for a prompt that can't be on time any more.
PLANNED_LATE_IDLE_RATIO = 0.25
# Learned costs. Time in which the weight of an observation halves, so that an engine that recovers
# is used again, and the weights of the prior and of all observations together, in observations.
# With the bound of 12, a slowdown without new observations is unknown after 13 s.
ESTIMATE_HALF_LIFE_SECONDS = 10.0
ESTIMATE_PRIOR_WEIGHT = 1.0
MAX_ESTIMATE_WEIGHT = 12.0
# Observations below which a slowdown, or the answer ratio of a workspace, is unknown, and below
# which one endpoint or workspace has no vote in the estimate of a route.
MIN_OBSERVATIONS = 5.0
MIN_VOTE_OBSERVATIONS = 2.0
# Bounds of the slowdown of an endpoint, and the value from which it counts; passes vary by a fifth
# with the load of the hosts.
MIN_SLOWDOWN = 0.5
MAX_SLOWDOWN = 8.0
SLOWDOWN_THRESHOLD = 1.3
# Weight of an observation below the present slowdown. Passes are lengthened by prefills that this
# host does not know of, but never shortened.
FASTER_OBSERVATION_WEIGHT = 3.0
# Age at which the slowdown that another host reported no longer counts.
SLOWDOWN_REPORT_SECONDS = 10.0
# Votes of this host's own observations, and of a total, which covers two hosts at least.
OWN_SLOWDOWN_VOTES = 2
TOTAL_SLOWDOWN_VOTES = 2
# Shortest pass that is observed, because timers are late by some milliseconds, and the share of a
# pass that sending the previous event to the caller may take; slow callers delay the next read.
MIN_OBSERVED_PASS_SECONDS = 0.005
MAX_FORWARDING_PASS_RATIO = 0.2
# Work of a plain request before any was observed, and its bounds.
PLAIN_WORK_SECONDS = 0.1
MIN_PLAIN_WORK_SECONDS = 0.001
MAX_PLAIN_WORK_SECONDS = 60.0
# Bounds of the ratio of the length of an answer to the hint of the caller.
MIN_ANSWER_RATIO = 0.25
MAX_ANSWER_RATIO = 4.0
# Share of its work that remains of a request that takes longer than expected.
OVERDUE_WORK_RATIO = 0.5
# Bounds of the learned round-trip time to a zone, and the age at which it is computed again.
MIN_ZONE_DELAY_SECONDS = 0.0001
MAX_ZONE_DELAY_SECONDS = 0.5
ZONE_DELAY_REFRESH_SECONDS = 0.5
# Routes with learned costs, and the endpoints or workspaces that have a vote in one of them.
MAX_LEARNED_ROUTES = 1_000
MAX_ESTIMATE_VOTES = 64
# Interval in seconds at which slowdowns are recorded as metrics and compared with the threshold.
SLOWDOWN_CHECK_SECONDS = 1.0
# Reports of what workspaces use on another host count for this time in seconds. They are repeated
# once a second, so that two losses in a row don't matter.
USE_LIFETIME_SECONDS = 3.0
# A workspace may exceed its share by this engine time in seconds, because reports are rounded.
USE_TOLERANCE_SECONDS = 0.02
# Interval in seconds at which aggregating hosts send the totals of workspaces. Each change would
# cost as many bytes as all loads; a second for taking back lent capacity allows three intervals.
USE_TOTALS_SECONDS = 0.2
# Part of a host's memory for bodies, and of that for answers, that one workspace may hold. What is
# held can't be taken back before the requests end, so that the rest is left for the others.
WORKSPACE_MEMORY_RATIO = 0.5
# Outstanding prefill that counts at least for each prompt that an engine helps with.
OVERDUE_SHARD_SECONDS = 0.1

# Start of a process.
# Values that are kept until the metrics library is imported, at the first read of the metrics. They
# take some 300 KB; a busy gateway reaches them within seconds, and an idle replica not at all.
MAX_PENDING_MEASURES = 1_000
