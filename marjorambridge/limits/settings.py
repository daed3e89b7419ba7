"""Hold the settings of the shard owner."""

from msgspec import Struct

from marjorambridge.conf import defaults


class LimitsSettings(Struct):
    """Hold the settings of the shard owner; the defaults are in `conf.defaults`."""

    freshness_seconds: float = defaults.FRESHNESS_SECONDS
    clock_drift_factor: float = defaults.CLOCK_DRIFT_FACTOR
    start_window_seconds: float = defaults.START_WINDOW_SECONDS
    queue_renewal_seconds: float = defaults.QUEUE_RENEWAL_SECONDS
    permit_expiry_seconds: float = defaults.PERMIT_EXPIRY_SECONDS
    endpoint_silence_seconds: float = defaults.ENDPOINT_SILENCE_SECONDS
    endpoint_forget_seconds: float = defaults.ENDPOINT_FORGET_SECONDS
    cancel_retry_seconds: float = defaults.CANCEL_RETRY_SECONDS
    ended_memory_seconds: float = defaults.ENDED_MEMORY_SECONDS
    report_transit_seconds: float = defaults.REPORT_TRANSIT_SECONDS
    interactive_prefill_tokens: int = defaults.INTERACTIVE_PREFILL_TOKENS
    batch_prefill_tokens: int = defaults.BATCH_PREFILL_TOKENS
    max_long_share: float = defaults.MAX_LONG_SHARE
    max_queued_requests: int = defaults.MAX_QUEUED_REQUESTS
    reserve_after_seconds: float = defaults.RESERVE_AFTER_SECONDS
    cold_prefill_tokens: int = defaults.COLD_PREFILL_TOKENS
    cold_slowdown_factor: float = defaults.COLD_SLOWDOWN_FACTOR
    cold_slow_answers: int = defaults.COLD_SLOW_ANSWERS
    announced_cold_reserve_seconds: float = defaults.ANNOUNCED_COLD_RESERVE_SECONDS
    permit_renewal_seconds: float = defaults.PERMIT_RENEWAL_SECONDS
    poll_interval_seconds: float = defaults.POLL_INTERVAL_SECONDS
    handover_part_bytes: int = defaults.HANDOVER_PART_BYTES
    prefix_pairs: int = defaults.PREFIX_PAIRS
    tick_seconds: float = defaults.OWNER_TICK_SECONDS


def compute_takeover_wait(settings: LimitsSettings) -> float:
    """Return the seconds after which no permit of an earlier owner can still be started."""
    return (
        settings.freshness_seconds + settings.start_window_seconds
    ) * settings.clock_drift_factor
