"""Apply committed entries of log group 0 to the control state.

Every replica and every host applies the same entries, so nothing here depends on the host, on time
or on the order of sets.

A resent command receives its first answer while that answer is stored: among the last
`MAX_STORED_ANSWERS` commands and the last `MAX_STORED_ANSWER_ITEMS` items of answers, and for
`ANSWER_RETENTION_SECONDS` by the wall times in the commands. After that, no resend is applied a
second time. A command with a base version was accepted under that version only, and versions are
never reused, so its resend is a conflict. A command without a base version is refused as expired if
its wall time is not later than that of such a command whose answer was deleted. A new command from
a host whose clock is behind can be refused for the same reason; giving the base version avoids it.
"""

import itertools

import msgspec
import xxhash
from msgspec import Struct
from msgspec.structs import replace

from marjorambridge.conf import defaults
from marjorambridge.configuration.codec import decode_entry, encode_entry
from marjorambridge.configuration.commands import (
    Change,
    DeleteService,
    DeleteWorkspace,
    DeleteZone,
    HostJoined,
    HostLeaving,
    HostRemoved,
    OperatorCommand,
    PutService,
    PutWorkspace,
    PutZone,
    SetZoneIn,
    SetZoneOut,
    describe_change,
    list_command_changes,
)
from marjorambridge.configuration.exceptions import EntryDecodeError, SnapshotDecodeError
from marjorambridge.configuration.faults import Fault, limit_faults, suggest_name
from marjorambridge.configuration.models import AvailabilityZone, Configuration
from marjorambridge.configuration.state import (
    AnswerStatus,
    ChangeRecord,
    CommandAnswer,
    ControlState,
    StoredAnswer,
)
from marjorambridge.configuration.validation import iterate_faults
from marjorambridge.core.view import HostState, View
from marjorambridge.orders.exceptions import OrderEntryError
from marjorambridge.orders.state_machine import (
    OrderResult,
    apply_order_entry,
    is_order_payload,
)

MAX_IDENTIFIER_LENGTH = 128
MAX_SUMMARY_LENGTH = 200
SNAPSHOT_FORMAT = "control-state-1"


class AppliedEntry(Struct):
    """Effect of an applied entry.

    Attributes
    ----------
    answer : CommandAnswer or None
        Answer of an operator command; None for other entries.
    """

    answer: CommandAnswer | None = None
    configuration_changed: bool = False
    view_changed: bool = False
    targets_changed: bool = False


def apply_entry(state: ControlState, index: int, payload: bytes) -> AppliedEntry:
    """Apply the committed entry at `index`; an entry that was applied before has no effect.

    An empty payload belongs to an entry of the log itself and only advances the index.

    Raises
    ------
    EntryDecodeError
        If the payload cannot be read. The state is unchanged, and the caller must apply nothing
        further, because skipping the entry would make its state differ from that of the others.
    """
    if index <= state.index:
        return AppliedEntry()
    if is_order_payload(payload):
        return _apply_order(state, index, payload)
    entry = decode_entry(payload) if payload else None
    state.index = index
    version = state.configuration.version
    view = state.view
    answer = None
    match entry:
        case OperatorCommand():
            answer = _apply_command(state, index, entry)
        case HostJoined():
            _apply_host_joined(state, index, entry)
        case HostLeaving(host, incarnation):
            present = state.view.hosts.get(host)
            if (
                present is not None
                and present.incarnation == incarnation
                and present.state is HostState.LIVE
            ):
                leaving = replace(present, state=HostState.LEAVING)
                state.view = View(index, {**state.view.hosts, host: leaving})
        case HostRemoved(host, incarnation):
            present = state.view.hosts.get(host)
            if present is not None and present.incarnation == incarnation:
                hosts = {name: item for name, item in state.view.hosts.items() if name != host}
                state.view = View(index, hosts)
    return AppliedEntry(
        answer, state.configuration.version != version, state.view.index != view.index
    )


def _apply_order(state: ControlState, index: int, payload: bytes) -> AppliedEntry:
    try:
        result = apply_order_entry(state.targets, payload)
    except OrderEntryError as error:
        raise EntryDecodeError(str(error)) from error
    state.index = index
    return AppliedEntry(result and make_target_answer(result), targets_changed=True)


def make_target_answer(result: OrderResult) -> CommandAnswer:
    """Return the answer to a command that set a target; its version is that of the target state."""
    if result.accepted:
        status, message = AnswerStatus.ACCEPTED, f"target state {result.version}"
    else:
        status, message = AnswerStatus.CONFLICT, result.message
    return CommandAnswer(result.command, status, result.version, message)


def find_stored_answer(state: ControlState, command: OperatorCommand) -> CommandAnswer | None:
    """Return the stored answer to a command with this identifier, or None if there is none."""
    stored = state.answers.get(command.command_id)
    if stored is None:
        return None
    if stored.digest == _compute_digest(command):
        return stored.answer
    fault = Fault(
        "command_id",
        "the identifier was already used for another command",
        "send the command with a new identifier",
    )
    return _make_invalid_answer(state, command, [fault])


def check_envelope(command: OperatorCommand) -> list[Fault]:
    """Return the faults of a command's identifier, operator and base version."""
    faults = []
    for path, text in (("command_id", command.command_id), ("operator", command.operator)):
        if not 1 <= len(text) <= MAX_IDENTIFIER_LENGTH:
            problem = f"has {len(text)} characters"
            remedy = f"use 1 to {MAX_IDENTIFIER_LENGTH} characters"
            faults.append(Fault(path, problem, remedy))
    if command.base_version is None and not isinstance(command.change, SetZoneOut):
        faults.append(
            Fault(
                "base_version",
                "is missing",
                "give the version of the configuration that the change is based on; only taking a "
                "zone out of service needs none",
            )
        )
    return faults


def take_snapshot(state: ControlState) -> bytes:
    """Return the bytes of the whole state; equal states have equal bytes.

    The size is bounded by `MAX_CONFIGURATION_BYTES`, `MAX_HOSTS`, `MAX_STORED_ANSWER_ITEMS` and
    `MAX_CHANGE_RECORDS`.
    """
    return msgspec.msgpack.encode((SNAPSHOT_FORMAT, state))


def restore_snapshot(data: bytes) -> ControlState:
    """Return the state that `take_snapshot` encoded.

    Raises
    ------
    SnapshotDecodeError
        If the bytes are malformed or of another format.
    """
    try:
        name, body = msgspec.msgpack.decode(data, type=tuple[str, msgspec.Raw])
        if name != SNAPSHOT_FORMAT:
            raise SnapshotDecodeError(
                f"the snapshot has the unknown format {name[:64]!r}; update this host"
            )
        return msgspec.msgpack.decode(body, type=ControlState)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        raise SnapshotDecodeError(
            f"the snapshot is malformed ({error}); load it from another replica"
        ) from error


def apply_changes(
    configuration: Configuration, changes: tuple[Change, ...]
) -> tuple[Configuration, list[Fault]]:
    """Return the configuration after `changes`, with every fault of the result.

    The version is not advanced, and `configuration`, which must be valid, is not changed.
    """
    result = Configuration(
        configuration.version,
        dict(configuration.services),
        dict(configuration.workspaces),
        dict(configuration.zones),
    )
    faults: list[Fault] = []
    for change in changes:
        match change:
            case PutService(service):
                result.services[service.name] = service
            case PutWorkspace(workspace):
                result.workspaces[workspace.name] = workspace
            case PutZone(name, region):
                present = result.zones.get(name)
                result.zones[name] = AvailabilityZone(name, region, bool(present and present.out))
            case DeleteService(name):
                faults += _delete_item(result.services, "services", name)
            case DeleteWorkspace(name):
                faults += _delete_item(result.workspaces, "workspaces", name)
            case DeleteZone(name):
                faults += _delete_item(result.zones, "availability_zones", name)
            case SetZoneOut(name) | SetZoneIn(name):
                present = result.zones.get(name)
                if present is None:
                    faults += _make_unknown_item_faults(result.zones, "availability_zones", name)
                else:
                    result.zones[name] = replace(present, out=isinstance(change, SetZoneOut))
    return result, limit_faults(itertools.chain(faults, iterate_faults(result, configuration)))


def _delete_item(items: dict, section: str, name: str) -> list[Fault]:
    if items.pop(name, None) is None:
        return _make_unknown_item_faults(items, section, name)
    return []


def _make_unknown_item_faults(items: dict, section: str, name: str) -> list[Fault]:
    remedy = suggest_name(name, items, "leave the change out")
    return [Fault(f"{section}.{name[:64]}", "does not exist", remedy)]


def _apply_host_joined(state: ControlState, index: int, entry: HostJoined) -> None:
    host = entry.entry.host
    texts = (host, entry.entry.address, entry.entry.zone, entry.entry.region)
    if max(map(len, texts)) > MAX_IDENTIFIER_LENGTH:
        return
    present = state.view.hosts.get(host)
    # A repeated entry of the same process must not change a leaving host back to live.
    if present is not None and present.incarnation >= entry.entry.incarnation:
        return
    if present is None and len(state.view.hosts) >= defaults.MAX_HOSTS:
        return
    state.view = View(index, {**state.view.hosts, host: entry.entry})


def _apply_command(state: ControlState, index: int, command: OperatorCommand) -> CommandAnswer:
    faults = check_envelope(command)
    if faults:
        return _make_invalid_answer(state, command, faults)
    stored = find_stored_answer(state, command)
    if stored is not None:
        return stored
    if command.base_version is None and command.wall <= state.forgotten_wall:
        return CommandAnswer(
            command.command_id,
            AnswerStatus.EXPIRED,
            state.configuration.version,
            "the command is too old to tell whether it was applied before; look at the present "
            "state and, if the change is still wanted, send it with a new identifier and the "
            "present version as base version",
        )
    answer = _apply_new_command(state, index, command)
    _store_answer(state, command, answer)
    return answer


def _apply_new_command(state: ControlState, index: int, command: OperatorCommand) -> CommandAnswer:
    present = state.configuration
    if command.base_version is not None and command.base_version != present.version:
        return _make_conflict_answer(state, command)
    result, faults = apply_changes(present, list_command_changes(command))
    if faults:
        return _make_invalid_answer(state, command, faults)
    if result == present:
        # The version is not advanced, so that taking a zone out again does not make the commands
        # of other operators conflict. A resend finds the same configuration as long as its base
        # version is the present one.
        return CommandAnswer(
            command.command_id, AnswerStatus.ACCEPTED, present.version, "nothing to change"
        )
    result.version = present.version + 1
    state.configuration = result
    state.configuration_index = index
    summary = describe_change(command.change)[:MAX_SUMMARY_LENGTH]
    state.history.append(
        ChangeRecord(result.version, command.operator, command.command_id, command.wall, summary)
    )
    del state.history[: -defaults.MAX_CHANGE_RECORDS]
    return CommandAnswer(command.command_id, AnswerStatus.ACCEPTED, result.version, summary)


def _make_conflict_answer(state: ControlState, command: OperatorCommand) -> CommandAnswer:
    version = state.configuration.version
    base = command.base_version
    if base > version:
        message = (
            f"the base version {base} is later than the present version {version}; check that the "
            "command is for this fleet, and read the configuration again"
        )
        return CommandAnswer(command.command_id, AnswerStatus.CONFLICT, version, message)
    since = [record for record in state.history if record.version > base]
    changes = tuple(since[-defaults.MAX_CONFLICT_CHANGES :])
    latest = "; ".join(f"{item.operator}: {item.summary}" for item in changes[-3:])
    message = (
        f"the command is based on version {base}, but the present version is {version}: "
        f"{version - base} changes since then, the last by {latest}; read the configuration again "
        "and send a new command based on it"
    )
    return CommandAnswer(
        command.command_id, AnswerStatus.CONFLICT, version, message, changes=changes
    )


def _make_invalid_answer(
    state: ControlState, command: OperatorCommand, faults: list[Fault]
) -> CommandAnswer:
    return CommandAnswer(
        command.command_id[:MAX_IDENTIFIER_LENGTH],
        AnswerStatus.INVALID,
        state.configuration.version,
        "correct the listed faults and send the command with a new identifier",
        faults=tuple(faults),
    )


def _store_answer(state: ControlState, command: OperatorCommand, answer: CommandAnswer) -> None:
    state.wall = max(state.wall, command.wall)
    items = 1 + len(answer.faults) + len(answer.changes)
    state.answers[command.command_id] = StoredAnswer(
        answer,
        _compute_digest(command),
        command.wall,
        state.wall,
        items,
        command.base_version is not None,
    )
    state.answer_items += items
    while len(state.answers) > 1:
        identifier, oldest = next(iter(state.answers.items()))
        if (
            len(state.answers) <= defaults.MAX_STORED_ANSWERS
            and state.answer_items <= defaults.MAX_STORED_ANSWER_ITEMS
            and oldest.kept_since >= state.wall - defaults.ANSWER_RETENTION_SECONDS
        ):
            break
        del state.answers[identifier]
        state.answer_items -= oldest.items
        if not oldest.based:
            state.forgotten_wall = max(state.forgotten_wall, oldest.wall)


def _compute_digest(command: OperatorCommand) -> str:
    return xxhash.xxh3_128_hexdigest(encode_entry(command))
