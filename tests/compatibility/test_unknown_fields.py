"""Guard that a build ignores the fields of a later one, in messages and in stored records."""

import hashlib
import json
import typing

import msgspec
import pytest
from thrift.protocol.TCompactProtocol import TCompactProtocol
from thrift.Thrift import TType
from thrift.transport.TTransport import TMemoryBuffer

from marjorambridge.control import commands, state_machine
from marjorambridge.gateway import datagrams, relays
from marjorambridge.replication.models import LogEntry, RecoveredGroup, ReplicaId, Snapshot
from marjorambridge.storage.files import replace_file
from marjorambridge.storage.frames import encode_frame
from marjorambridge.storage.stores import close_store, open_store
from marjorambridge.transport import frames
from marjorambridge.wire.codec import (
    STRUCTURES_BY_KIND,
    decode_message,
    decode_structure,
    encode_message,
    load_package,
)
from marjorambridge.wire.gen.frame.ttypes import Frame
from marjorambridge.wire.registry import PACKAGES
from tests.compatibility import samples

for package_name in PACKAGES:
    load_package(package_name)

UNKNOWN_ID = 999
WRITERS = {
    TType.BOOL: "writeBool",
    TType.I32: "writeI32",
    TType.I64: "writeI64",
    TType.DOUBLE: "writeDouble",
}


def write_unknown_text(protocol):
    protocol.writeFieldBegin("unknown", TType.STRING, UNKNOWN_ID)
    protocol.writeString("from a later build")


def write_unknown_number(protocol):
    protocol.writeFieldBegin("unknown", TType.I64, UNKNOWN_ID)
    protocol.writeI64(-(2**60))


def write_unknown_flag(protocol):
    protocol.writeFieldBegin("unknown", TType.BOOL, UNKNOWN_ID)
    protocol.writeBool(True)


def write_unknown_list(protocol):
    """Write a list of two structures, of which one has a field."""
    protocol.writeFieldBegin("unknown", TType.LIST, UNKNOWN_ID)
    protocol.writeListBegin(TType.STRUCT, 2)
    protocol.writeStructBegin("first")
    protocol.writeFieldBegin("inner", TType.DOUBLE, 1)
    protocol.writeDouble(1.5)
    protocol.writeFieldEnd()
    protocol.writeFieldStop()
    protocol.writeStructEnd()
    protocol.writeStructBegin("second")
    protocol.writeFieldStop()
    protocol.writeStructEnd()
    protocol.writeListEnd()


def write_unknown_map(protocol):
    protocol.writeFieldBegin("unknown", TType.MAP, UNKNOWN_ID)
    protocol.writeMapBegin(TType.STRING, TType.I32, 1)
    protocol.writeString("key")
    protocol.writeI32(7)
    protocol.writeMapEnd()


UNKNOWN_FIELDS = [
    write_unknown_text,
    write_unknown_number,
    write_unknown_flag,
    write_unknown_list,
    write_unknown_map,
]


def encode_with(value, structure, write_unknown):
    """Return a structure with an unknown field in it and in each structure inside it."""
    transport = TMemoryBuffer()
    write_structure(TCompactProtocol(transport), value, structure.thrift_spec, write_unknown)
    return transport.getvalue()


def write_structure(protocol, value, spec, write_unknown):
    protocol.writeStructBegin("structure")
    for field in spec:
        item = getattr(value, field[2]) if field else None
        if item is not None:
            protocol.writeFieldBegin(field[2], field[1], field[0])
            write_value(protocol, item, field[1], field[3], write_unknown)
            protocol.writeFieldEnd()
    write_unknown(protocol)
    protocol.writeFieldEnd()
    protocol.writeFieldStop()
    protocol.writeStructEnd()


def write_value(protocol, value, kind, arguments, write_unknown):
    if kind == TType.STRUCT:
        write_structure(protocol, value, arguments[0].thrift_spec, write_unknown)
    elif kind == TType.LIST:
        protocol.writeListBegin(arguments[0], len(value))
        for item in value:
            write_value(protocol, item, arguments[0], arguments[1], write_unknown)
        protocol.writeListEnd()
    elif kind == TType.STRING:
        protocol.writeBinary(value if isinstance(value, bytes) else value.encode())
    else:
        getattr(protocol, WRITERS[kind])(value)


@pytest.mark.parametrize("write_unknown", UNKNOWN_FIELDS)
@pytest.mark.parametrize("kind", sorted(STRUCTURES_BY_KIND))
def test_unknown_fields_of_a_message_are_ignored(kind, write_unknown):
    """A message with a new field would be lost, and its connection closed."""
    message_class, structure = STRUCTURES_BY_KIND[kind]
    message = samples.fill(message_class)
    body = encode_with(message, structure, write_unknown)
    assert len(body) > len(encode_message(message)[1])
    assert decode_message(kind, body) == message


@pytest.mark.parametrize("write_unknown", UNKNOWN_FIELDS)
def test_unknown_fields_of_handshakes_and_frames_are_ignored(write_unknown):
    """Hosts with a new field in the handshake would be cut off from all others."""
    hello = samples.make_hello("a", 1)
    dialer = encode_with(hello, type(hello), write_unknown)
    assert frames.decode_hello(dialer, "fleet").host == "a"
    acceptor = frames.encode_hello(samples.make_hello("b", 2))
    sender, receiver = (
        frames.derive_session(samples.FLEET_KEY, dialer, acceptor) for _ in range(2)
    )
    sealed = decode_structure(frames.seal_frame(sender, "kind", b"body"), Frame)
    opened = frames.open_frame(receiver, encode_with(sealed, Frame, write_unknown))
    assert (opened.kind, opened.body) == ("kind", b"body")


def compute_datagram_mac(payload):
    key, size = samples.FLEET_KEY, datagrams.MAC_BYTES
    return hashlib.blake2b(payload, key=key, digest_size=size).digest()


@pytest.mark.parametrize("kind", datagrams.KINDS)
def test_unknown_fields_of_datagrams_are_ignored(kind):
    """Loads and crashes that a later build reports would be unknown to this one."""
    message_class, structure = STRUCTURES_BY_KIND[kind]
    message = samples.fill(message_class)
    payload = bytes([datagrams.KINDS.index(kind)]) + encode_with(
        message, structure, write_unknown_list
    )
    datagram = compute_datagram_mac(payload) + payload
    assert datagrams.decode_datagram(samples.FLEET_KEY, datagram) == message


def test_unknown_fields_of_a_request_that_is_passed_on_are_ignored():
    """The request would be refused, and its caller get an error from a host without endpoints."""
    sample = samples.write_samples()["relay request"]["bytes"]
    headers = dict(samples.decode_headers(bytes.fromhex(sample["headers"])))
    value = json.loads(headers[relays.RELAY_HEADER]) | {"later": {"a": [1]}}
    headers[relays.RELAY_HEADER] = json.dumps(value).encode()
    exchange = samples.make_exchange([])
    exchange.body = bytes.fromhex(sample["body"])
    exchange.target = bytes.fromhex(sample["target"])
    headers[relays.MAC_HEADER] = relays._compute_mac(
        samples.FLEET_KEY, exchange, headers[relays.RELAY_HEADER]
    )
    read = samples.read_sample(
        "relay request",
        sample | {"headers": samples.encode_headers(list(headers.items())).hex()},
    )
    assert read["relay"]["host"] == value["host"]


def test_unknown_fields_of_commands_are_ignored():
    """A replica of this build would stop at a command with a new field."""
    for kind in typing.get_args(commands.AnyCommand):
        command = samples.fill(kind)
        values = msgspec.msgpack.decode(commands.encode_command(command))
        payload = msgspec.msgpack.encode([*values, "later", {"a": 1}])
        assert commands.decode_command(payload) == command


def test_unknown_fields_of_a_snapshot_are_ignored():
    """A replica of this build would stop at a snapshot with a new field."""
    state = samples.fill(state_machine.ControlState)
    values = msgspec.msgpack.decode(state_machine.take_snapshot(state))
    assert state_machine.restore_snapshot(msgspec.msgpack.encode(values | {"new": [1]})) == state


def test_unknown_fields_of_files_are_ignored(tmp_path):
    """A replica of this build would not start on the disk of a later one."""
    replica = ReplicaId("r1", "disk-1")
    entries = [LogEntry(index, 2, "command", b"payload") for index in (6, 7)]
    snapshot = Snapshot(5, 1, data=b"state")
    group = tmp_path / "group-0"
    group.mkdir()
    replace_file(tmp_path / "disk-id", b"disk-1")
    replace_file(tmp_path / "cluster", extend({"cluster": "c", "founders": [replica]}))
    replace_file(group / "vote", extend({"term": 2, "voted_for": replica}))
    replace_file(group / "snapshot", extend(snapshot))
    (group / "segment-00000000000000000001.log").write_bytes(encode_frame(extend(entries)))
    store, recovered = open_store(tmp_path)
    close_store(store)
    assert (recovered.disk, recovered.cluster, recovered.founders) == ("disk-1", "c", (replica,))
    assert recovered.groups == {0: RecoveredGroup(2, replica, snapshot, entries)}


def extend(value):
    """Return the encoded value with an unknown field in each of its structures."""
    return msgspec.msgpack.encode(extend_all(msgspec.to_builtins(value, builtin_types=(bytes,))))


def extend_all(value):
    if isinstance(value, dict):
        return {name: extend_all(item) for name, item in value.items()} | {"later": [{"a": 1}]}
    if isinstance(value, list | tuple):
        return [extend_all(item) for item in value]
    return value


@pytest.mark.parametrize("name", ["settings gateway", "settings replica"])
def test_unknown_settings_of_a_process_are_ignored(name):
    """A build would not start with the template of a later one."""
    encoded = samples.write_samples()[name]["bytes"]
    values = json.loads(bytes.fromhex(encoded["file"]))
    later = values | {"later": {"a": 1}, "bounds": values["bounds"] | {"later": 1.5}}
    read = samples.read_sample(name, {"file": json.dumps(later).encode().hex()})
    assert read == samples.read_sample(name, encoded)
    assert read["host"] == "core-1"
