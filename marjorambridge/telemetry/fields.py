"""List the fields of log lines; a field that is not listed is not written.

None of them takes text from a caller: bodies, keys and tokens have no field.
"""

FIELDS: dict[str, str] = {
    "address": "`ip:port` of an endpoint or of this host",
    "applied": "index of the last applied entry of log group 0",
    "attempts": "attempts of a request, each with its endpoint and ending, or their number",
    "avoided_seconds": "time for which other endpoints are preferred to one that failed",
    "bytes": "size in bytes",
    "changed": "endpoints that a replica told about",
    "claim": "identity of a claim",
    "cut": "requests that a shutdown cut",
    "detail": "text of an error, or an endpoint's answer to an order",
    "effect": "class of an effect",
    "ended": "requests that ended by themselves during a shutdown",
    "endpoint": "name of an endpoint",
    "epoch": "log index of the view that assigned a shard",
    "error": "text of an error of this program, its settings or the operating system",
    "first_seconds": "time from the arrival of a request to the first part of its answer",
    "forced": "whether a shutdown cuts the requests in progress",
    "group": "number of the replicated log group",
    "has_replica": "whether the host keeps a replica of the logs",
    "incarnation": "incarnation of the process",
    "kind": "kind of an order, a command or a signal",
    "kv_tokens": "memory of an engine in tokens",
    "leader": "host that leads a log group; empty for none",
    "leaving": "whether an endpoint wants no new requests",
    "logger": "logger of a library, such as `uvicorn.error`",
    "outcome": "how a request or a command ended",
    "peer": "name of another host",
    "permits": "number of permits",
    "phase": "step of a claim",
    "prompt_tokens": "length of a prompt in tokens",
    "reason": "reason of an outcome or of a halt",
    "removed": "endpoints that a replica forgot",
    "replica": "host that keeps a replica",
    "replicas_answering": "replicas that answered the last poll",
    "request": "identifier of a request",
    "route": "route of a request",
    "seconds": "duration in seconds",
    "service": "service of the configuration",
    "shard": "`service/zone/bucket`",
    "stage": "step of the repair of a replica",
    "status": "status of the answer to an order",
    "term": "term of a log group",
    "ticket": "identifier of a reservation of memory",
    "trace": "trace of a request; empty if it is not traced",
    "version": "version of the manifest",
    "workspace": "workspace of the configuration",
    "zone": "availability zone",
    "zones": "drained availability zones, joined by commas",
}

# Fields that every line has, and those that the writer adds.
COMMON: dict[str, str] = {
    "time": "time in ISO 8601 with the offset from UTC",
    "level": "`DEBUG`, `INFO`, `WARNING`, `ERROR` or `CRITICAL`",
    "message": "fixed text of the line, without values",
    "module": "module that wrote the line",
    "host": "name of the host",
}
ADDED: dict[str, str] = {
    "exception": "class of an exception; its text is not written",
    "raised_at": "file and line that raised the exception",
    "dropped": "names of fields that are not listed here, or whose values are no plain ones",
}
