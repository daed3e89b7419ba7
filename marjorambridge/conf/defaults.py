"""Define every default value, with its unit in the name."""

# Freshness and membership. FRESHNESS plus START_WINDOW bounds how long work can still start after a
# zone was taken out; the requirement is 3 s.
FRESHNESS_SECONDS = 1.8
POLL_INTERVAL_SECONDS = 0.5
HOST_SILENCE_SECONDS = 2.0
NEW_LEADER_GRACE_SECONDS = 3.0
CLOCK_DRIFT_FACTOR = 1.05
REGISTRY_KEEP_SECONDS = 60.0
PROPOSAL_RETRY_SECONDS = 1.0
COMMAND_RETRY_SECONDS = 1.0
COMMAND_TIMEOUT_SECONDS = 10.0
MAX_PENDING_COMMANDS = 1_000
RECENT_ENTRIES = 2_000
RECENT_ENTRY_BYTES = 4 * 1024 * 1024
REPLY_ENTRY_BYTES = 256 * 1024
MAX_SNAPSHOT_BYTES = 64 * 1024 * 1024

# Control state. The limits bound the size of a snapshot; a command must fit into one frame together
# with its envelope.
MAX_SERVICES = 1_000
MAX_WORKSPACES = 10_000
MAX_ZONES = 1_000
MAX_HOSTS = 4_000
MAX_CONFIGURATION_BYTES = 8 * 1024 * 1024
MAX_COMMAND_BYTES = 512 * 1024
MAX_FAULTS = 200
CHANGE_HISTORY = 200
CONFLICT_CHANGES = 20
ANSWERS_KEPT = 2_000
ANSWER_ITEMS_KEPT = 5_000
ANSWER_KEEP_SECONDS = 24 * 3600.0

# Permits.
START_WINDOW_SECONDS = 0.7
QUEUE_RENEWAL_SECONDS = 0.25
PERMIT_RENEWAL_SECONDS = 2.0
PERMIT_EXPIRY_SECONDS = 10.0
ENDPOINT_SILENCE_SECONDS = 3.0
CANCEL_RETRY_SECONDS = 1.0

# Shard owners. An endpoint is forgotten only after the longest request deadline, because until then
# an attempt that nobody reports any more may still hold its memory.
OWNER_TICK_SECONDS = 0.25
ENDPOINT_FORGET_SECONDS = 660.0
ENDED_MEMORY_SECONDS = 30.0
REPORT_TRANSIT_SECONDS = 0.3
MAX_QUEUED_REQUESTS = 1_024
RESERVE_AFTER_SECONDS = 2.0
PREFIX_PAIRS = 20_000
# Smaller than a frame, because the size of a part is estimated.
HANDOVER_PART_BYTES = 256 * 1024

# Classes by estimated uncached prefill tokens.
INTERACTIVE_PREFILL_TOKENS = 8_192
BATCH_PREFILL_TOKENS = 65_536
MAX_LONG_SHARE = 0.5

# Cold start.
COLD_PREFILL_TOKENS = 8_192
COLD_SLOWDOWN_FACTOR = 4.0
COLD_SLOW_ANSWERS = 3
# An endpoint that calls itself cold is believed for longer than one that only the owner treats as
# cold, but not until the deadline of a prompt that nothing else can take.
ANNOUNCED_COLD_RESERVE_SECONDS = 10.0

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
REFUSAL_RETRY_SECONDS = 1.0
BACKOFF_FIRST_SECONDS = 0.02
BACKOFF_MAX_SECONDS = 2.0
# An owner answers within a round trip; three unanswered renewals mean that it is gone or cut off.
OWNER_SILENCE_SECONDS = 0.75
QUEUE_MOVE_SECONDS = 1.0
QUEUE_MOVE_FACTOR = 0.5
# Longer than an owner waits before it reserves endpoints for a prompt that nothing can take.
LONG_QUEUE_MOVE_SECONDS = 12.0
# A call that holds a claim stops waiting for a permit this long before its deadline, so that the
# release of the claim can be committed before the caller is answered.
CLAIM_RELEASE_RESERVE_SECONDS = 0.5
CLAIM_SETTLE_WAIT_SECONDS = 2.0
CLAIM_KEEP_TRYING_SECONDS = 30.0
MAX_HELD_ANSWER_BYTES = 1024 * 1024

# A host whose event loop is this late does not judge the speed of endpoints.
LOOP_DELAY_SECONDS = 0.05
LOOP_DELAY_INTERVAL_SECONDS = 0.25

# Routing.
SUMMARY_HORIZON_SECONDS = 5.0
EQUAL_WAIT_SECONDS = 0.02
AFFINITY_TOKENS = 1_024
PREFILL_SECONDS_PER_TOKEN = 0.0001
AFFINITY_MAX_SECONDS = 2.0

# Claims.
CLAIM_GROUPS = 1
CLAIM_ANSWER_SECONDS = 24 * 3600.0
CLAIM_TOMBSTONE_SECONDS = 30 * 24 * 3600.0
CLAIM_ANSWER_BYTES = 64 * 1024
REQUIRE_DATED_KEYS = False
# A refused or released claim is remembered this long, so that a late copy of its request is not
# granted. A copy that arrives later still can block its key, but it cannot cause a second run.
CLAIM_MARKER_SECONDS = 3600.0
# A key that is dated further ahead than this counts as undated.
CLAIM_KEY_SKEW_SECONDS = 24 * 3600.0
# New claims are refused while a group's state is larger than this.
CLAIM_STATE_BYTES = 64 * 1024 * 1024
CLAIM_BATCH_COMMANDS = 256
CLAIM_BATCH_BYTES = 256 * 1024
CLAIM_BATCH_SECONDS = 0.002
CLAIM_PROPOSAL_SECONDS = 1.0
CLAIM_UPKEEP_SECONDS = 1.0
# The leader's view may lag by FRESHNESS_SECONDS, so a claimant that is not in it yet is not
# reported as lost before this time.
CLAIMANT_GRACE_SECONDS = 2.0
CLAIM_RESEND_SECONDS = 0.3
CLAIM_RETRY_SECONDS = 0.05
CLAIM_BACKGROUND_SECONDS = 600.0
CLAIM_BACKGROUND_CALLS = 10_000

# Replicated log.
HEARTBEAT_INTERVAL_SECONDS = 0.2
ELECTION_TIMEOUT_SECONDS = 0.5
SNAPSHOT_INTERVAL_ENTRIES = 2_000
SNAPSHOT_CHUNK_BYTES = 256 * 1024
MAX_FRAME_BYTES = 1024 * 1024
# Entries kept before a snapshot, so that a follower that lags a little needs no snapshot.
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
ORDER_EFFECT_SECONDS = 30.0
LOAD_EFFECT_SECONDS = 300.0
ORDER_RETRY_SECONDS = 5.0
ORDER_TICK_SECONDS = 0.5
ORDER_PROPOSAL_SECONDS = 2.0
ORDER_RESULTS = 1_000
# Endpoints and numbers of waiting callers that were not reported for this long are ignored.
INVENTORY_SECONDS = 10.0
INVENTORY_INTERVAL_SECONDS = 1.0
# Unchanged endpoints are reported at this interval, so that two lost reports do not make the issuer
# ignore them. A summary has about 100 bytes; reporting all every second would take a third of the
# control traffic that a host may cause.
INVENTORY_REPEAT_SECONDS = 4.0
DEMAND_SECONDS = 10.0
WEIGHT_STORE_BYTES_PER_SECOND = 1e9
WEIGHT_STORE_BURST_BYTES = 20e9

# Control state (marjorambridge.control), in seconds.
# Few appends at a time gather what is proposed meanwhile: each one costs every replica a message
# and an answer, however many entries it has.
MAX_CONTROL_APPENDS_IN_FLIGHT = 2
# Commands are lost only with a connection or a leader; a caller waits about one second for each.
LOG_COMMAND_RETRY_SECONDS = 0.25
CONTROL_TICK_SECONDS = 0.1
# Liveness of endpoints travels once in about the time between two reports of an endpoint.
GOSSIP_INTERVAL_SECONDS = 1.0
# Replicas tell one another each second what they heard; one that missed two times may be down.
GOSSIP_TIMEOUT_SECONDS = 2.5
FEED_POLL_INTERVAL_SECONDS = 0.5
# Polls a second that a replica takes; one costs about 1 ms on a third of a core. With more
# followers it has each of them poll less often.
FEED_MAX_POLLS_PER_SECOND = 60.0
# Longest such time; a host that polls more rarely is taken for gone.
FEED_MAX_POLL_INTERVAL_SECONDS = 1.3
# Delay in which changes of the endpoint table are collected, and updates a second that a replica
# sends because of them; with many followers the delay grows.
FEED_PUSH_DELAY_SECONDS = 0.02
FEED_MAX_UPDATES_PER_SECOND = 200.0
# A replica that is not current tells neither table nor manifest for this time; an election and a
# barrier take about one second.
FEED_WITHHOLD_SECONDS = 3.0
# Factor by which the time between two polls grows without an answer, and its greatest value.
FEED_BACKOFF_FACTOR = 1.5
FEED_MAX_BACKOFF_SECONDS = 1.0
# The same while a host has no manifest.
FEED_INITIAL_MAX_BACKOFF_SECONDS = 0.45
# Part of the time between two polls that is drawn, so that hosts that started at once spread out.
FEED_JITTER_RATIO = 0.2
# Silence of a replica, in polls, after which a host turns to another one.
FEED_ANSWER_TIMEOUT_POLLS = 2.2
# Two polls without an answer, so that a host has found another replica before three seconds.
FEED_ANSWER_TIMEOUT_SECONDS = 1.1
FEED_AVOID_SECONDS = 3.0
FEED_MAX_AVOID_SECONDS = 24.0
# The same while a host has no manifest yet; a poll without an answer costs a few hundred bytes.
FEED_INITIAL_POLL_INTERVAL_SECONDS = 0.15
FEED_INITIAL_ANSWER_TIMEOUT_SECONDS = 0.4
FEED_LOSS_TIMEOUT_SECONDS = 2.0
# A restarted host serves from a replica that may be old only after this time, because it would
# otherwise serve nothing while the replicas have no leader.
FEED_REQUIRE_CURRENT_SECONDS = 3.0
# A host that polled no replica for this long is not counted in shares of fleet-wide limits.
SUBSCRIBER_EXPIRY_SECONDS = 3.0
# A follower whose leader was silent for longer may lag behind; heartbeats come five times a second.
LEADER_CONTACT_TIMEOUT_SECONDS = 1.0
# A voter that was silent for this long is removed when a new replica takes its place.
UNRESPONSIVE_VOTER_SECONDS = 2.0

# Forwarding (marjorambridge.forwarding).
# Memory in bytes for answers that a host collects whole; the smallest hosts have 200 MB.
ANSWER_MEMORY_BYTES = 48 * 1024 * 1024
# The part of it that only answers get that have begun; otherwise many at once would take the memory
# from one another, and none would be complete.
STARTED_ANSWER_MEMORY_BYTES = 16 * 1024 * 1024
FORWARD_RETRY_RATIO = 0.1
FORWARD_RETRY_WINDOW_SECONDS = 10.0
FORWARD_RETRY_ALLOWANCE = 10.0
# Part of a fleet-wide limit that hosts share out; the rest covers hosts that are not known yet.
SHARED_LIMIT_RATIO = 0.75
# Time in seconds for which an endpoint is avoided after its first failure, and at most.
FIRST_AVOID_SECONDS = 1.0
MAX_AVOID_SECONDS = 8.0
# Time in seconds for which an endpoint is avoided that refused a request; a slot becomes free in
# less, and news of the loads of others arrive twice.
REFUSAL_AVOID_SECONDS = 0.4
# Longest time in seconds for which an endpoint is believed that it wants nothing, and the change of
# that time which is worth a log line and a message.
MAX_DECLINED_SECONDS = 120.0
DECLINED_CHANGE_SECONDS = 0.1
# Endpoints off the table whose last words are remembered.
MAX_SAVED_HINTS = 1_000
# Time in seconds after which a failure no longer counts.
FAILURE_EXPIRY_SECONDS = 20.0
# Share of a service's endpoints beyond which a host's failures are more likely its own, and number
# of other hosts that convince a host without failures of its own.
REPORTED_ENDPOINTS_RATIO = 0.5
MIN_FAILURE_REPORTERS = 2
# Weight of a running request against a second of waiting reads when endpoints are compared; a
# writing request slows each step of the others by about this much of their time.
RUNNING_REQUEST_COST_SECONDS = 0.02
# Difference in seconds that an endpoint in another zone must make up for.
OTHER_ZONE_COST_SECONDS = 0.004
# The same in a large fleet, in requests: bytes between zones are dear, but an engine that is one
# request fuller answers later by more than the way to another zone.
OTHER_ZONE_COST_REQUESTS = 1.0
# Connecting takes a round trip; a lost packet is sent again only after a second.
CONNECT_TIMEOUT_SECONDS = 0.4
# Retry-After in seconds while no endpoint of a service can be used, and what full endpoints and the
# window of a cold one add to it.
NO_ENDPOINT_RETRY_AFTER_SECONDS = 1.0
FULL_ENDPOINT_RETRY_AFTER_SECONDS = 0.4
COLD_ENDPOINT_RETRY_AFTER_SECONDS = 1.0
# Bounds of Retry-After in seconds, and the part of it over which returns are spread.
MIN_RETRY_AFTER_SECONDS = 0.2
MAX_RETRY_AFTER_SECONDS = 5.0
RETRY_AFTER_JITTER_RATIO = 0.5
# Silence in seconds, beyond the estimated reading, after which a resumable stream without an event
# is tried elsewhere; keep-alive probes notice a dead endpoint in about the same time.
FIRST_EVENT_TIMEOUT_SECONDS = 2.5
# Silence in seconds after which a resumable stream goes on elsewhere; callers wait 2 s or longer.
EVENT_TIMEOUT_SECONDS = 1.4
# The same for streams with long pauses, in objectives for the pause; callers wait 8.
EVENT_TIMEOUT_OBJECTIVES = 5.0
# Pause in seconds that the answers of a service bear if none of its routes states one. A read takes
# this part of what the shortest pause leaves beside a pass of the engine, for the rest is the way
# to the caller.
DEFAULT_PAUSE_LIMIT_SECONDS = 0.25
TOLERATED_PREFILL_RATIO = 0.9
# Answers that bear pauses of so many times the shortest one may run where long prompts are read.
STRICT_PAUSE_LIMIT_RATIO = 2.0
# Part of its objective in which a long prompt is to be read; the rest covers what is not known.
LONG_PREFILL_OBJECTIVE_RATIO = 0.5
# Part of its objective beyond which a long prompt also goes where answers are running, if its parts
# there are so short that the answers stay on time.
LATE_PREFILL_OBJECTIVE_RATIO = 0.8
# Share of the engines that long prompts find free in a burst of short requests, and how many
# waiting prompts elsewhere make up for using one of them.
LONG_PROMPT_ENGINE_RATIO = 0.15
LONG_PROMPT_ENGINE_PENALTY_PROMPTS = 3
# Share of the borne pause that is left for reading at an engine that gets a short request.
SHORT_PREFILL_PAUSE_RATIO = 0.6
# Waiting reads in seconds that count as one more prompt in the way; a short prompt takes 30 ms.
WAITING_PROMPT_PREFILL_SECONDS = 0.04
# Fleets of more hosts choose by lot among open engines; news takes longer there than the time
# between two requests. So many engines are open as the running requests fill, and some more.
LARGE_FLEET_HOSTS = 16
ACTIVE_ENGINE_MARGIN = 1.1
ACTIVE_ENGINE_EXTRA = 3
# The same as a part of all engines, and how many open engines a host draws to compare.
ACTIVE_ENGINE_RATIO = 0.2
ACTIVE_ENGINE_SAMPLE = 10
# Share of the idle engines among which a host of such a fleet draws the readers of a long prompt;
# the others are left to short requests.
LONG_PROMPT_CANDIDATE_RATIO = 0.6
# Time in seconds after its start in which a host does not know its fleet: replicas that restarted
# with it tell one another their hosts once a second, and hosts repeat their loads once a second.
STARTUP_SYNC_SECONDS = 2.5
# Age in seconds beyond which the loads of other hosts are unknown; they are told once a second.
LOAD_STALE_SECONDS = 1.5
# Slots of an engine that packed short requests leave free.
PACKING_FREE_SLOTS = 1
# Helpers of one request; engines accept no more.
MAX_HELPERS = 16
# A prompt that cannot be on time is read in this part of the time that is left. Where fewer than
# this part of the engines are idle, it must also take no longer than so many times its objective.
LATE_PROMPT_REMAINING_RATIO = 0.5
LATE_PROMPT_IDLE_ENGINE_RATIO = 0.5
LATE_PROMPT_OBJECTIVES = 1.0
# Time in seconds for which a long prompt waits until engines are free, and after which it looks
# again. Parts take some tenths of a second; who would have to wait for more of them is told when
# to come back.
LONG_PROMPT_WAIT_SECONDS = 0.4
LONG_PROMPT_CHECK_SECONDS = 0.1
# Time in seconds in which a short answer ends, after which its engine may read long prompts.
SHORT_ANSWER_SECONDS = 1.5
# Part of an engine's memory up to which one engine takes a prompt alone, and up to which tickets
# fill it; the rest covers answers that are longer than expected.
SINGLE_ENGINE_MEMORY_RATIO = 0.98
RESERVABLE_MEMORY_RATIO = 0.9
# Lease in seconds of a ticket, shorter than the time after which unused memory counts as lost, and
# the time after which it is renewed.
TICKET_LEASE_SECONDS = 3.6
TICKET_RENEWAL_SECONDS = 1.8
# An order that was not answered may be carried out within this time in seconds; tickets that it
# could bring back are released at this interval in seconds until then.
LATE_ORDER_WINDOW_SECONDS = 12.5
TICKET_RELEASE_INTERVAL_SECONDS = 1.0
ORDER_TIMEOUT_SECONDS = 0.4
# Time in seconds for which a request waits at a host that has just started for its first manifest;
# a fleet that was restarted as a whole elects a leader within one second.
FIRST_MANIFEST_TIMEOUT_SECONDS = 1.5
