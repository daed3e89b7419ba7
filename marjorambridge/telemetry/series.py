"""List every series with its kind and its labels, whose values come from bounded sets only."""

from enum import StrEnum

from msgspec import Struct


class Kind(StrEnum):
    """Kind of a series."""

    COUNTER = "counter"
    GAUGE = "gauge"
    HISTOGRAM = "histogram"


class Series(Struct, frozen=True):
    """Definition of one series.

    Attributes
    ----------
    buckets : tuple of float
        Upper bounds of a histogram, without infinity.
    sampled : bool
        Whether the value is read from the state when the metrics are collected.
    """

    kind: Kind
    help: str
    labels: tuple[str, ...] = ()
    buckets: tuple[float, ...] = ()
    sampled: bool = False


# The bounds around 0.76 s, the target of the 95th percentile, are close together.
LATENCY_BUCKETS = (0.005, 0.02, 0.05, 0.1, 0.2, 0.4, 0.6, 0.76, 1.0, 2.0, 5.0, 15.0, 60.0, 300.0)

SYNC_BUCKETS = (0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.25, 0.5, 1.0, 5.0)


def _counter(text: str, *labels: str) -> Series:
    return Series(Kind.COUNTER, text, labels)


def _gauge(text: str, *labels: str) -> Series:
    return Series(Kind.GAUGE, text, labels)


def _sampled_gauge(text: str, *labels: str) -> Series:
    return Series(Kind.GAUGE, text, labels, sampled=True)


def _latency_histogram(text: str, *labels: str) -> Series:
    return Series(Kind.HISTOGRAM, text, labels, LATENCY_BUCKETS)


# Values of the labels, all from the configuration or from enumerations of the code.
LABELS = {
    "group": "number of the replicated log group",
    "kind": "`engine` or `plain`; of orders, the kind of order",
    "operation": "`claim`, `complete` or `release`",
    "outcome": "`done`, `failed`, `not_run` or `unknown`; of gateways `served`, `caller_gone`, "
    "`endpoint_failed`, a reason of refusal, `refused_` with a reason, or `failed_` or `cut_` with "
    "the outcome of an attempt",
    "phase": "`claiming`, `completing` or `releasing`",
    "priority": "`interactive`, `batch`, `long` or `group`",
    "prompt": "prompt length class in tokens: `1k`, `4k`, `16k`, `64k`, `256k` or `1m`",
    "reason": "reason of the outcome or denial; `none` for the outcome `done`",
    "service": "service of the configuration",
    "shard": "`service/zone/bucket`",
    "state": "`cold` or `warm`",
    "status": "status of the answer to a claim or an order",
}

SERIES: dict[str, Series] = {
    # Requests.
    "requests_admitted_total": _counter("Requests admitted.", "service"),
    "requests_refused_total": _counter("Requests refused at arrival.", "reason"),
    "requests_finished_total": _counter("Admitted requests that ended.", "outcome", "reason"),
    "requests_in_progress": _sampled_gauge("Admitted requests that have not ended."),
    "attempts_started_total": _counter("Attempts whose first byte was sent.", "kind"),
    "retries_total": _counter("Attempts that were followed by another one.", "reason"),
    "first_token_seconds": _latency_histogram(
        "Time from the arrival of a request for an engine to its first token.", "prompt"
    ),
    "first_byte_seconds": _latency_histogram(
        "Time from the arrival of a request for a plain service to the first byte of its answer."
    ),
    "permit_wait_seconds": _latency_histogram(
        "Time from the first ask for a permit to the start of its attempt.", "priority"
    ),
    # Gateways.
    "forwarded_requests_total": _counter("Requests of a gateway that ended.", "outcome"),
    "forwarded_first_answer_seconds": _latency_histogram(
        "Time from the arrival of a request at a gateway to the first part of its answer."
    ),
    "request_wait_seconds": _latency_histogram(
        "Time for which a request of a planned service waited for room at endpoints."
    ),
    "contact_losses_total": _counter("Times this host began to reach no endpoint."),
    "declined_requests_total": _counter("Requests that engines of planned services declined."),
    "endpoint_slowdown": _gauge(
        "Measured time divided by expected time of the slowest endpoint of a planned service.",
        "service",
    ),
    "workspaces_over_share": Series(
        Kind.GAUGE, "Workspaces that use more than their share while another one waits.", ()
    ),
    "memory_orders_total": _counter("Orders that reserve or release memory of engines."),
    # Shard owners.
    "permits_granted_total": _counter("Permits that this host granted.", "priority"),
    "permits_denied_total": _counter("Permits that this host denied.", "reason"),
    "shard_queued_requests": _sampled_gauge("Requests in the queue of an owned shard.", "shard"),
    "shard_expected_wait_seconds": _sampled_gauge(
        "Expected wait of a short request at an owned shard.", "shard"
    ),
    "endpoints": _sampled_gauge(
        "Endpoints of the owned shards that accept work, cold or warm.", "service", "state"
    ),
    # Freshness and the replicated log.
    "freshness_remaining_seconds": _sampled_gauge(
        "Time for which this host is known to be fresh; 0 means that it refuses new work."
    ),
    "applied_index": _sampled_gauge("Index of the last applied entry of log group 0."),
    "leader_changes_total": _counter("Leaders of a log group that this host learned of.", "group"),
    "elections_started_total": _counter("Elections that this replica started.", "group"),
    "log_term": _sampled_gauge("Term of a log group at this replica.", "group"),
    "log_commit_index": _sampled_gauge("Commit index of a log group at this replica.", "group"),
    "log_sync_seconds": Series(
        Kind.HISTOGRAM, "Time to write and sync one batch of the logs.", (), SYNC_BUCKETS
    ),
    "disk_full_writes_total": _counter("Writes of the logs that failed because the disk was full."),
    # Claims.
    "claims_answered_total": _counter(
        "Claim messages that this leader answered.", "operation", "status"
    ),
    "claim_steps_given_up_total": _counter("Claim steps that were not answered in time.", "phase"),
    "claims_state_bytes": Series(Kind.GAUGE, "Size of the state of a claims group.", ("group",)),
    # Orders to engines.
    "orders_failed_total": _counter("Orders that an endpoint did not accept.", "kind", "status"),
    "weight_store_budget_bytes": Series(
        Kind.GAUGE, "Bytes that may be loaded from the weight store at once."
    ),
    # The process.
    "peer_sent_bytes_total": Series(Kind.COUNTER, "Bytes sent to other hosts.", sampled=True),
    "peer_received_bytes_total": Series(
        Kind.COUNTER, "Bytes received from other hosts.", sampled=True
    ),
    "event_loop_stalls_total": _counter("Times the event loop was stalled."),
    "event_loop_stalled_seconds_total": _counter("Time between timer checks that were too late."),
}
