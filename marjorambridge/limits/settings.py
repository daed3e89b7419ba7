"""Settings of the shard owner."""

from msgspec import Struct

from marjorambridge.conf import defaults


class LimitsSettings(Struct):
    """Settings of the shard owner; the defaults are in `conf.defaults`."""

    freshness_seconds: float = defaults.FRESHNESS_SECONDS
    clock_drift_factor: float = defaults.CLOCK_DRIFT_FACTOR
    start_window_seconds: float = defaults.START_WINDOW_SECONDS
    queue_renewal_interval_seconds: float = defaults.QUEUE_RENEWAL_INTERVAL_SECONDS
    permit_expiry_seconds: float = defaults.PERMIT_EXPIRY_SECONDS
    endpoint_timeout_seconds: float = defaults.ENDPOINT_TIMEOUT_SECONDS
    endpoint_removal_delay_seconds: float = defaults.ENDPOINT_REMOVAL_DELAY_SECONDS
    cancel_retry_interval_seconds: float = defaults.CANCEL_RETRY_INTERVAL_SECONDS
    ended_permit_retention_seconds: float = defaults.ENDED_PERMIT_RETENTION_SECONDS
    max_report_transit_seconds: float = defaults.MAX_REPORT_TRANSIT_SECONDS
    max_interactive_prefill_tokens: int = defaults.MAX_INTERACTIVE_PREFILL_TOKENS
    max_batch_prefill_tokens: int = defaults.MAX_BATCH_PREFILL_TOKENS
    max_long_prefill_share: float = defaults.MAX_LONG_PREFILL_SHARE
    max_queued_requests: int = defaults.MAX_QUEUED_REQUESTS
    reservation_delay_seconds: float = defaults.RESERVATION_DELAY_SECONDS
    cold_prefill_tokens: int = defaults.COLD_PREFILL_TOKENS
    cold_slowdown_factor: float = defaults.COLD_SLOWDOWN_FACTOR
    cold_slow_first_tokens: int = defaults.COLD_SLOW_FIRST_TOKENS
    announced_cold_reservation_delay_seconds: float = (
        defaults.ANNOUNCED_COLD_RESERVATION_DELAY_SECONDS
    )
    permit_renewal_interval_seconds: float = defaults.PERMIT_RENEWAL_INTERVAL_SECONDS
    poll_interval_seconds: float = defaults.POLL_INTERVAL_SECONDS
    max_handover_part_bytes: int = defaults.MAX_HANDOVER_PART_BYTES
    max_prefix_pairs: int = defaults.MAX_PREFIX_PAIRS
    tick_interval_seconds: float = defaults.OWNER_TICK_INTERVAL_SECONDS


def compute_takeover_wait(settings: LimitsSettings) -> float:
    """Return the seconds after which no attempt with a permit of an earlier owner can start."""
    return (
        settings.freshness_seconds + settings.start_window_seconds
    ) * settings.clock_drift_factor
