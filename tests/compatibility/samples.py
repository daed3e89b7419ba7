"""Write samples of all messages and stored records, and read those that another build wrote.

This module runs on the package of the present build and on that of earlier ones, in a process of
its own: ``python -m tests.compatibility.samples write`` prints the samples, and ``read`` reads
samples from standard input and prints the values. All inputs are fixed, so that equal formats give
equal bytes.
"""

import importlib
import json
import re
import sys
import tempfile
import typing
from pathlib import Path
from types import SimpleNamespace

import anyio
import msgspec
from msgspec import inspect

from marjorambridge.claims import commands as claim_commands
from marjorambridge.claims import state_machine as claim_machine
from marjorambridge.conf.nodes import NodeSettings, load_node_settings
from marjorambridge.configuration import codec as configuration_codec
from marjorambridge.configuration import commands as configuration_commands
from marjorambridge.configuration import state_machine as configuration_machine
from marjorambridge.control import commands as control_commands
from marjorambridge.control import state_machine as control_machine
from marjorambridge.core.outcomes import Failed, NotRun, Reason
from marjorambridge.core.records import make_record
from marjorambridge.daemon import fleets
from marjorambridge.gateway import datagrams
from marjorambridge.orders import state_machine as order_machine
from marjorambridge.platform import documents
from marjorambridge.replication import effects, models
from marjorambridge.storage import files, stores
from marjorambridge.transport import acknowledgements, frames
from marjorambridge.wire.codec import decode_message, encode_message
from marjorambridge.wire.gen.frame.ttypes import Hello
from marjorambridge.wire.registry import PACKAGES, list_messages, load_messages

FLEET_KEY = bytes(range(32))
# A sample: its bytes in parts with names, and the value that its writer reads from them.
Parts = dict[str, bytes]


class UnknownSampleError(Exception):
    """The build has no such message or record."""


def fill(kind: typing.Any, name: str = "value") -> typing.Any:
    """Return a value of a type, with all fields set and one item in each collection.

    Equal types and names give equal values.
    """
    return _fill(inspect.type_info(kind), name)


def _fill(info: inspect.Type, name: str) -> typing.Any:
    number = 1 + sum(name.encode()) % 1_000
    match info:
        case inspect.StructType():
            fields = {field.name: _fill(field.type, field.encode_name) for field in info.fields}
            return info.cls(**fields)
        case inspect.UnionType():
            return _fill(
                next(item for item in info.types if not isinstance(item, inspect.NoneType)), name
            )
        case inspect.EnumType():
            return list(info.cls)[-1]
        case inspect.LiteralType():
            return info.values[-1]
        case inspect.NoneType():
            return None
        case inspect.BoolType():
            return True
        case inspect.IntType():
            return number
        case inspect.FloatType():
            return number + 0.5
        case inspect.StrType():
            return name
        case inspect.BytesType() | inspect.ByteArrayType():
            return name.encode().ljust(info.min_length or 0, b"-")[: info.max_length]
        case inspect.TupleType():
            return tuple(_fill(item, name) for item in info.item_types)
        case inspect.VarTupleType():
            return (_fill(info.item_type, name),)
        case inspect.ListType():
            return [_fill(info.item_type, name)]
        case inspect.SetType() | inspect.FrozenSetType():
            return {_fill(info.item_type, name)}
        case inspect.DictType():
            return {_fill(info.key_type, name): _fill(info.value_type, name)}
        case inspect.CollectionType():
            return (_fill(info.item_type, name),)
    raise TypeError(f"{name} has the type {info}, which has no sample; add it to _fill")


# Messages.


def _write_messages() -> dict[str, Parts]:
    samples = {}
    for package in PACKAGES:
        for message in list_messages(load_messages(package)):
            kind, body = encode_message(fill(message))
            samples[f"message {kind}"] = {"body": body}
    return samples


def _read_message(name: str, parts: Parts) -> typing.Any:
    kind = name.removeprefix("message ")
    package, _, message = kind.partition(".")
    if package not in PACKAGES or message not in {
        item.__name__ for item in list_messages(load_messages(package))
    }:
        raise UnknownSampleError(kind)
    return make_record(decode_message(kind, parts["body"]))


def make_hello(host: str, nonce: int) -> Hello:
    """Return a handshake with all fields."""
    return Hello(
        version=frames.PROTOCOL_VERSION,
        fleet="fleet",
        host=host,
        incarnation=7,
        address="10.1.0.4:7340",
        nonce=bytes([nonce]) * frames.NONCE_BYTES,
        acknowledges=True,
        recognizes_repeats=True,
    )


def _write_connection() -> dict[str, Parts]:
    dialer, acceptor = (
        frames.encode_hello(make_hello(host, nonce)) for host, nonce in (("a", 1), ("b", 2))
    )
    session = frames.derive_session(FLEET_KEY, dialer, acceptor)
    kind, body = encode_message(fill(load_messages("control").FeedPoll))
    sealed = [
        frames.seal_frame(session, kind, body),
        frames.seal_frame(session, kind, body, "trace", number=5),
    ]
    parts = {"dialer": dialer, "acceptor": acceptor}
    parts |= {f"frame {number}": frames.add_length(frame) for number, frame in enumerate(sealed)}
    return {"connection": parts | {"acknowledgement": acknowledgements.COUNT.pack(2)}}


def _read_connection(name: str, parts: Parts) -> typing.Any:
    session = frames.derive_session(FLEET_KEY, parts["dialer"], parts["acceptor"])
    value = {
        side: _record_structure(frames.decode_hello(parts[side], "fleet"))
        for side in ("dialer", "acceptor")
    }
    for part in sorted(part for part in parts if part.startswith("frame ")):
        (length,) = frames.LENGTH.unpack_from(parts[part])
        data = parts[part][frames.LENGTH.size :]
        assert length == len(data)
        frame = frames.open_frame(session, data)
        value[part] = _record_structure(frame) | {
            "body": make_record(decode_message(frame.kind, frame.body))
        }
    (count,) = acknowledgements.COUNT.unpack(parts["acknowledgement"])
    return value | {"acknowledgement": count}


def _record_structure(structure: typing.Any) -> dict[str, typing.Any]:
    """Return the fields of a generated thrift structure."""
    names = [spec[2] for spec in structure.thrift_spec if spec]
    fields = {name: make_record(getattr(structure, name)) for name in names}
    return {"type": type(structure).__name__} | fields


def _make_node_settings() -> NodeSettings:
    zones = {"north": "west", "south": "west"}
    return NodeSettings("a", "10.1.0.4", "north", zones, [], (7340, 7341))


def _write_fleet() -> dict[str, Parts]:
    return {"fleet": {"key": fleets.derive_fleet_key(_make_node_settings())}}


def _read_fleet(name: str, parts: Parts) -> typing.Any:
    settings = _make_node_settings()
    assert parts["key"] == fleets.derive_fleet_key(settings)
    return fleets.get_fleet_name(settings)


def _write_datagrams() -> dict[str, Parts]:
    samples = {}
    for kind in datagrams.KINDS:
        package, _, message = kind.partition(".")
        sample = fill(getattr(load_messages(package), message))
        samples[f"datagram {kind}"] = {"datagram": datagrams.encode_datagram(FLEET_KEY, sample)}
    return samples


def _read_datagram(name: str, parts: Parts) -> typing.Any:
    if name.removeprefix("datagram ") not in datagrams.KINDS:
        raise UnknownSampleError(name)
    message = datagrams.decode_datagram(FLEET_KEY, parts["datagram"])
    if message is None:
        raise ValueError(f"{name} was discarded")
    return make_record(message)


# Requests that are passed on.


def _import_relays() -> typing.Any:
    """Return the modules of requests that are passed on, which the builds up to 174b45e lack."""
    try:
        return (
            importlib.import_module("marjorambridge.gateway.relays"),
            importlib.import_module("marjorambridge.forwarding.relays"),
            importlib.import_module("marjorambridge.forwarding.contact"),
        )
    except ModuleNotFoundError as error:
        raise UnknownSampleError("relays") from error


def make_exchange(headers: list[tuple[bytes, bytes]]) -> SimpleNamespace:
    return SimpleNamespace(
        method=b"POST",
        target=b"/v1/route",
        headers=headers,
        body=b'{"prompt": "text"}',
        relay=None,
        has_head=True,
    )


def _make_table(version: int) -> SimpleNamespace:
    return SimpleNamespace(manifest=SimpleNamespace(version=version))


class RunningRelay(int):
    """An attempt that another host runs, in the forms of all builds.

    Builds up to 35ef388 take the number of endpoints that the host may use.
    """

    def __init__(self, max_endpoints: int) -> None:
        self.max_endpoints, self.endpoints_reported = max_endpoints, 0
        self.endpoint = SimpleNamespace(address="10.1.0.5:7341")
        self.allocation, self.cursor = None, SimpleNamespace()


def _import_reports() -> typing.Any:
    """Return the module of reports of passed-on requests, which builds up to 35ef388 lack."""
    try:
        return importlib.import_module("marjorambridge.gateway.relay_reports")
    except ModuleNotFoundError as error:
        raise UnknownSampleError("relay reports") from error


def _write_reports() -> dict[str, Parts]:
    try:
        reports = _import_reports()
    except UnknownSampleError:
        return {}
    return {
        "relay report interim": {"headers": encode_headers([(reports.REPORT_HEADER, b"2")])},
        "relay report comment": {"event": reports.COMMENT_START + b"2\n\n"},
    }


def _read_report(name: str, parts: Parts) -> typing.Any:
    reports = _import_reports()
    running, attempt = RunningRelay(4), SimpleNamespace(replies=[])
    reports.expect_reports(running, attempt)
    if name == "relay report interim":
        attempt.handle_interim(decode_headers(parts["headers"]))
    else:
        running.cursor.handle_comment(parts["event"])
    confirmed = reports.read_confirmed(b"".join(attempt.replies))
    return {"reported": running.endpoints_reported, "confirmed": confirmed}


def _write_relays() -> dict[str, Parts]:
    try:
        relays, _, _ = _import_relays()
    except UnknownSampleError:
        return {}
    forwarding = SimpleNamespace(
        settings=SimpleNamespace(host="10.1.0.4:7340"), table=_make_table(3)
    )
    context = SimpleNamespace(
        gateway=SimpleNamespace(relay_key=FLEET_KEY, forwarding=forwarding, work=None),
        exchange=make_exchange([(b"accept", b"text/event-stream"), (b"connection", b"close, te")]),
        running=[],
        collected=[],
        progress=SimpleNamespace(endpoints_tried=1),
        admission=SimpleNamespace(route=SimpleNamespace(max_endpoints=4)),
        deadline=12.5,
        last_event=6,
        request=SimpleNamespace(request_id="request-1"),
    )
    attempt = relays.build_relay_attempt(context, RunningRelay(0), 10.0)
    samples = {
        "relay request": {
            "method": attempt.method,
            "target": attempt.target,
            "headers": encode_headers(attempt.headers),
            "body": attempt.body,
        }
    }
    refused = NotRun(Reason.NO_ENDPOINT, "no endpoint", 1.0)
    answers = {
        "not_sent": relays.describe_outcome(refused, 0),
        "not_run": relays.describe_outcome(refused, 2),
        "failed": relays.describe_outcome(Failed(Reason.ENDPOINT_ERROR, "failed"), 2),
        "answered": relays.mark_answer([], 3)[0],
    }
    dialect = _create_dialect()
    headers, body = relays.encode_refusal(dialect, refused)
    samples["relay answer refusal"] = {"headers": encode_headers(headers), "body": body}
    for name, header in answers.items():
        samples[f"relay answer {name}"] = {"headers": encode_headers([header]), "body": b""}
    return samples


def _create_dialect() -> typing.Any:
    return importlib.import_module("marjorambridge.platform.dialect").create_dialect()


def encode_headers(headers: list[tuple[bytes, bytes]]) -> bytes:
    return b"".join(b"%b: %b\r\n" % header for header in headers)


def decode_headers(data: bytes) -> list[tuple[bytes, bytes]]:
    return [tuple(line.split(b": ", 1)) for line in data.splitlines()]


def _read_relay(name: str, parts: Parts) -> typing.Any:
    relays, _, contact = _import_relays()
    if name == "relay request":
        exchange = make_exchange(decode_headers(parts["headers"]))
        exchange.method, exchange.target = parts["method"], parts["target"]
        exchange.body = parts["body"]
        forwarding = SimpleNamespace(contact=contact.Contact(), table=_make_table(3))
        gateway = SimpleNamespace(relay_key=FLEET_KEY, relayed=0, forwarding=forwarding)
        if not anyio.run(relays.take_request, gateway, exchange):
            raise ValueError("the request was refused")
        return {"relay": make_record(exchange.relay), "headers": _show_headers(exchange.headers)}
    headers = decode_headers(parts["headers"])
    status = 200 if name == "relay answer answered" else 503
    result_kind = importlib.import_module("marjorambridge.gateway.messages").AttemptResult
    outcomes = importlib.import_module("marjorambridge.forwarding.attempts").AttemptOutcome

    async def run_attempt(attempt: typing.Any, dialect: typing.Any) -> typing.Any:
        head = dialect.decode_answer(status, headers)
        outcome = outcomes.NOT_RUN if head.not_run else outcomes.COMPLETE
        return result_kind(outcome, head)

    gateway = SimpleNamespace(dialect=_create_dialect(), run_attempt=run_attempt)
    result = anyio.run(relays.run_relay, gateway, None, RunningRelay(4))
    return {"outcome": result.outcome.name, "endpoints_tried": result.endpoints_tried}


def _show_headers(headers: list[tuple[bytes, bytes]]) -> dict[str, str]:
    return {name.decode(): value.decode() for name, value in headers}


# Entries and snapshots of the control log.


def _write_commands() -> dict[str, Parts]:
    return {
        f"command {kind.__name__}": {"payload": control_commands.encode_command(fill(kind))}
        for kind in typing.get_args(control_commands.AnyCommand)
    }


def _read_command(name: str, parts: Parts) -> typing.Any:
    kinds = {kind.__name__ for kind in typing.get_args(control_commands.AnyCommand)}
    if name.removeprefix("command ") not in kinds:
        raise UnknownSampleError(name)
    return make_record(control_commands.decode_command(parts["payload"]))


def _write_control_snapshot() -> dict[str, Parts]:
    return {
        "control snapshot": {
            "data": control_machine.take_snapshot(fill(control_machine.ControlState))
        }
    }


def _read_control_snapshot(name: str, parts: Parts) -> typing.Any:
    return make_record(control_machine.restore_snapshot(parts["data"]))


# Entries and snapshots of the daemon's log groups.


def _list_configuration_entries() -> dict[str, typing.Any]:
    changes = [fill(kind) for kind in typing.get_args(configuration_commands.Change)]
    changes.append(configuration_commands.ApplyConfiguration(tuple(changes)))
    entries: dict[str, typing.Any] = {
        type(change).__name__: configuration_commands.OperatorCommand(
            "command-1", "operator", 3, 10.5, change
        )
        for change in changes
    }
    for kind in typing.get_args(configuration_commands.Entry):
        if kind is not configuration_commands.OperatorCommand:
            entries[kind.__name__] = fill(kind)
    return entries


def _write_configuration_entries() -> dict[str, Parts]:
    return {
        f"configuration entry {name}": {"payload": configuration_codec.encode_entry(entry)}
        for name, entry in _list_configuration_entries().items()
    }


def _read_configuration_entry(name: str, parts: Parts) -> typing.Any:
    if name.removeprefix("configuration entry ") not in _list_configuration_entries():
        raise UnknownSampleError(name)
    return make_record(configuration_codec.decode_entry(parts["payload"]))


def _write_configuration_snapshot() -> dict[str, Parts]:
    state = fill(configuration_machine.ControlState)
    return {"configuration snapshot": {"data": configuration_machine.take_snapshot(state)}}


def _read_configuration_snapshot(name: str, parts: Parts) -> typing.Any:
    return make_record(configuration_machine.restore_snapshot(parts["data"]))


def _write_claims() -> dict[str, Parts]:
    samples = {}
    for kind in typing.get_args(claim_commands.Command):
        batch = claim_commands.Batch(10.5, (fill(kind),), fill(claim_commands.Policy))
        samples[f"claims batch {kind.__name__}"] = {"payload": claim_commands.encode_batch(batch)}
    return samples


def _read_claims(name: str, parts: Parts) -> typing.Any:
    kinds = {kind.__name__ for kind in typing.get_args(claim_commands.Command)}
    if name.removeprefix("claims batch ") not in kinds:
        raise UnknownSampleError(name)
    return make_record(claim_commands.decode_batch(parts["payload"]))


def _write_claims_snapshot() -> dict[str, Parts]:
    machine = claim_machine.ClaimsStateMachine()
    answer = claim_machine.encode_answer(fill(load_messages("claims").RecordedAnswer))
    commands = [
        claim_commands.Claim(bytes([number]) * 16, b"f" * 8, 0.0, "host", 3, number)
        for number in range(1, 5)
    ]
    commands += [
        claim_commands.Complete(bytes([1]) * 16, "host", 3, 1, answer),
        claim_commands.Release(bytes([2]) * 16, "host", 3, 2),
        claim_commands.MarkHosts((("other", 1),), (("host", 3),)),
    ]
    batch = claim_commands.Batch(1_000_000.0, tuple(commands), claim_commands.Policy())
    claim_machine.apply_entry(machine, claim_commands.encode_batch(batch))
    return {"claims snapshot": {"data": claim_machine.take_snapshot(machine)}}


def _read_claims_snapshot(name: str, parts: Parts) -> typing.Any:
    return make_record(claim_machine.restore_snapshot(parts["data"]))


def _write_orders() -> dict[str, Parts]:
    return {
        f"order command {kind.__name__}": {"payload": order_machine.encode_command(fill(kind))}
        for kind in typing.get_args(order_machine.OrderCommand)
    }


def _read_order(name: str, parts: Parts) -> typing.Any:
    kinds = {kind.__name__ for kind in typing.get_args(order_machine.OrderCommand)}
    if name.removeprefix("order command ") not in kinds:
        raise UnknownSampleError(name)
    return make_record(order_machine.decode_command(parts["payload"]))


def _write_order_snapshot() -> dict[str, Parts]:
    state = fill(order_machine.TargetState)
    # The snapshot stores each result with its command as the key.
    state.results = {result.command: result for result in state.results.values()}
    return {"order snapshot": {"data": order_machine.take_snapshot(state)}}


def _read_order_snapshot(name: str, parts: Parts) -> typing.Any:
    return make_record(order_machine.restore_snapshot(parts["data"]))


# Files of a replica.


def _write_data_folder() -> dict[str, Parts]:
    replica = models.ReplicaId("10.1.0.4:7340", "d" * 32)
    membership = models.Membership((models.Member(replica),), ("10.1.0.5:7340",))
    command = control_commands.encode_command(fill(control_commands.ReadBarrier))
    payloads = {
        models.EntryKind.COMMAND: command,
        models.EntryKind.MEMBERSHIP: models.encode_membership(membership),
    }
    entries = tuple(
        models.LogEntry(index, 2, kind, payloads.get(kind, b""))
        for index, kind in enumerate(models.EntryKind, 6)
    )
    data = control_machine.take_snapshot(control_machine.ControlState(index=5))
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        files.replace_file(folder / "disk-id", replica.disk.encode())
        store, _ = stores.open_store(folder)
        try:
            stores.execute(
                store,
                [
                    effects.SaveCluster("cluster", (replica,)),
                    effects.SaveVote(0, 2, replica),
                    effects.SaveSnapshot(0, models.Snapshot(5, 1, membership, data), 6),
                    effects.SaveEntries(0, entries[:1]),
                    effects.SyncStorage(1),
                    effects.SaveEntries(0, entries[1:]),
                    effects.SyncStorage(2),
                ],
                0.0,
            )
        finally:
            stores.close_store(store)
        paths = sorted(path for path in folder.rglob("*") if path.is_file())
        parts = {str(path.relative_to(folder)): path.read_bytes() for path in paths}
    return {"data folder": {name: data for name, data in parts.items() if name != "lock"}}


def _read_data_folder(name: str, parts: Parts) -> typing.Any:
    with tempfile.TemporaryDirectory() as directory:
        folder = Path(directory)
        for path, data in parts.items():
            (folder / path).parent.mkdir(exist_ok=True)
            (folder / path).write_bytes(data)
        store, recovered = stores.open_store(folder)
        stores.close_store(store)
    value = make_record(recovered)
    memberships = [
        models.decode_membership(entry.payload)
        for entry in recovered.groups[0].entries
        if entry.kind is models.EntryKind.MEMBERSHIP
    ]
    return {"recovered": value, "memberships": make_record(memberships)}


# Configurations, which the control log stores as operators sent them, and hosts read.


def _write_document() -> dict[str, Parts]:
    document = fill(documents.ConfigurationDocument)
    document.routes[0].type = "idempotent"
    return {"document": {"json": msgspec.json.encode(document)}}


def _read_document(name: str, parts: Parts) -> typing.Any:
    stored = documents.compress_document(parts["json"])
    return make_record(documents.decode_stored_document(stored))


# Settings files.

# Values for the templates of deploy/, by the name of their placeholder.
TEMPLATE_VALUES: dict[str, typing.Any] = {
    "node_name": "core-1",
    "ip": "10.1.0.4",
    "zone": "north",
    "zones": {"north": "west", "south": "west"},
    "seeds": ["10.1.0.5:9000"],
    "internal_ports": [7340, 7349],
    "listen.frontend": "10.1.0.4:8080",
    "listen.readiness": "10.1.0.4:8081",
    "listen.control_plane": "10.1.0.4:9000",
    "bootstrap": True,
    "data_dir": "/data",
    "limits.memory_mb": 512,
    "heartbeat_ms": 250,
    "bounds.grace_s": 8.5,
    "bounds.retry_ratio": 0.5,
    "bounds.retry_window_s": 10.5,
    "bounds.retry_allowance": 3.5,
    "bounds.cold_overrun": 1.5,
    "bounds.cold_allowance": 2.5,
}
PLACEHOLDER = re.compile(r"\{\{([\w.]+)\|json\}\}")


def _write_settings() -> dict[str, Parts]:
    folder = Path(importlib.import_module("marjorambridge").__file__).parents[1] / "deploy"
    samples = {}
    for role in ("gateway", "replica"):
        template = (folder / f"{role}.json").read_text(encoding="utf-8")
        text = PLACEHOLDER.sub(lambda match: json.dumps(TEMPLATE_VALUES[match[1]]), template)
        samples[f"settings {role}"] = {"file": text.encode()}
    return samples


def _read_settings(name: str, parts: Parts) -> typing.Any:
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "settings.json"
        path.write_bytes(parts["file"])
        return make_record(load_node_settings(path))


Writer = typing.Callable[[], dict[str, Parts]]
Reader = typing.Callable[[str, Parts], typing.Any]
# Writer of samples and reader of each, by the start of their names.
FAMILIES: dict[str, tuple[Writer, Reader]] = {
    "message": (_write_messages, _read_message),
    "connection": (_write_connection, _read_connection),
    "fleet": (_write_fleet, _read_fleet),
    "datagram": (_write_datagrams, _read_datagram),
    "relay report": (_write_reports, _read_report),
    "relay": (_write_relays, _read_relay),
    "command": (_write_commands, _read_command),
    "control snapshot": (_write_control_snapshot, _read_control_snapshot),
    "configuration entry": (_write_configuration_entries, _read_configuration_entry),
    "configuration snapshot": (_write_configuration_snapshot, _read_configuration_snapshot),
    "claims batch": (_write_claims, _read_claims),
    "claims snapshot": (_write_claims_snapshot, _read_claims_snapshot),
    "order command": (_write_orders, _read_order),
    "order snapshot": (_write_order_snapshot, _read_order_snapshot),
    "data folder": (_write_data_folder, _read_data_folder),
    "document": (_write_document, _read_document),
    "settings": (_write_settings, _read_settings),
}


def write_samples() -> dict[str, typing.Any]:
    """Return the samples of this build, by name."""
    samples = {}
    for write, read in FAMILIES.values():
        for name, parts in write().items():
            value = json.loads(json.dumps(read(name, parts)))
            encoded = {part: data.hex() for part, data in parts.items()}
            samples[name] = {"bytes": encoded, "value": value}
    return samples


def read_sample(name: str, encoded: dict[str, str]) -> typing.Any:
    """Return the value of a sample.

    Raises
    ------
    UnknownSampleError
        If this build has no such message or record.
    """
    starts = [start for start in FAMILIES if f"{name} ".startswith(f"{start} ")]
    if not starts:
        raise UnknownSampleError(name)
    _, read = FAMILIES[starts[0]]
    parts = {part: bytes.fromhex(data) for part, data in encoded.items()}
    return json.loads(json.dumps(read(name, parts)))


def read_samples(samples: dict[str, typing.Any]) -> dict[str, typing.Any]:
    """Return for each sample what this build reads: a value, an error, or that it is unknown."""
    results: dict[str, typing.Any] = {}
    for name, sample in samples.items():
        try:
            results[name] = {"value": read_sample(name, sample["bytes"])}
        except UnknownSampleError:
            results[name] = {"unknown": True}
        except Exception as error:
            results[name] = {"error": f"{type(error).__name__}: {error}"}
    return results


def find_differences(
    written: typing.Any, read: typing.Any, path: str = "", is_reader_older: bool = False
) -> list[str]:
    """Return the differences between the values of the writer and of the reader of a sample.

    Fields that only the reader knows are no differences.

    Parameters
    ----------
    is_reader_older : bool
        Whether the reader may lack fields of the writer.

    Examples
    --------
    >>> written, read = {"type": "Hello", "a": 1, "b": 1}, {"type": "Hello", "a": 2, "new": 0}
    >>> find_differences(written, read)
    ['.b: not read', '.a: written 1, read 2']
    >>> find_differences(written, read, is_reader_older=True)
    ['.a: written 1, read 2']
    """
    if isinstance(written, dict) and isinstance(read, dict):
        lacking = written.keys() - read.keys()
        if is_reader_older and "type" in written:
            lacking = set()
        new = set() if "type" in written else read.keys() - written.keys()
        return [
            *(f"{path}.{name}: not read" for name in sorted(lacking)),
            *(f"{path}.{name}: not written" for name in sorted(new)),
            *(
                difference
                for name in sorted(written.keys() & read.keys())
                for difference in find_differences(
                    written[name], read[name], f"{path}.{name}", is_reader_older
                )
            ),
        ]
    if isinstance(written, list) and isinstance(read, list) and len(written) == len(read):
        return [
            difference
            for index, (one, other) in enumerate(zip(written, read, strict=True))
            for difference in find_differences(one, other, f"{path}[{index}]", is_reader_older)
        ]
    return [] if written == read else [f"{path}: written {written!r}, read {read!r}"]


def run(command: str) -> None:
    """Print samples, or what this build reads of those on standard input."""
    package = str(Path(importlib.import_module("marjorambridge").__file__).parent)
    samples = write_samples() if command == "write" else read_samples(json.load(sys.stdin))
    json.dump({"package": package, "samples": samples}, sys.stdout)


if __name__ == "__main__":
    run(sys.argv[1])
