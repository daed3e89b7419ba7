"""Apply committed entries to the state of one claims group.

The state depends only on the entries, so that all replicas reach the same state. Its time is the
largest wall time in an entry so far.
"""

import math
from collections.abc import Callable

import msgspec
from msgspec import Struct, field

from marjorambridge.claims.commands import (
    Claim,
    Complete,
    KeyDigest,
    MarkHosts,
    Policy,
    Release,
    decode_batch,
)
from marjorambridge.claims.digests import (
    HOUR_SECONDS,
    PARTITIONS,
    RECORD_BYTES,
    DigestTable,
    add_digest,
    compute_claim_digest,
    has_digest,
    sweep_digests,
)
from marjorambridge.claims.exceptions import ClaimEntryError, ClaimSnapshotError
from marjorambridge.claims.messages import ClaimOperation, ClaimStatus, RecordedAnswer
from marjorambridge.core.identity import AttemptId

# Memory of an answer and of an open claim in addition to their data, rounded up;
# benchmarks/claims_cost.py measures it.
ANSWER_OVERHEAD_BYTES = 350
OPEN_CLAIM_BYTES = 500
# Answers that may expire in one entry in addition to one per command, and partitions of digests
# that are swept in one entry, so that the time to apply an entry is bounded.
SWEEP_RECORDS_PER_ENTRY = 256
SWEEP_PARTITIONS_PER_ENTRY = 8

Claimant = tuple[str, int]


class OpenClaim(Struct):
    """A claim that is neither completed nor released.

    Attributes
    ----------
    date : float
        Time in the key in seconds since the epoch; 0 if it has none.
    claimed : float
        Time of the claim in seconds since the epoch.
    """

    fingerprint: bytes
    claim: AttemptId
    date: float
    claimed: float


class ClaimantState(Struct):
    """The number of open claims of one host process, and whether it is marked as lost."""

    open: int
    lost: bool
    first_claim_at: float


class CompletedClaim(msgspec.Struct, array_like=True, frozen=True):
    """A completed claim in its encoded form; `hour` is the hour of its tombstone."""

    fingerprint: bytes
    hour: int
    host: str
    incarnation: int
    number: int
    answer: bytes


class ClaimsStateMachine(Struct):
    """The replicated state of a claims group.

    Attributes
    ----------
    wall : float
        Largest wall time in an entry, in seconds since the epoch.
    horizon : float
        Time before which tombstones are removed. It never decreases, so that a key whose tombstone
        may have been removed stays expired after the retention of tombstones is extended.
    open : dict
        Open claims by key digest, oldest first.
    open_hour : int
        Hour of the horizon at the last complete search for old open claims.
    claimants : dict
        Host processes with open claims.
    answers : dict
        Encoded `CompletedClaim` by key digest.
    answer_hours : dict
        Digests of `answers` by the hour of completion.
    tombstones : DigestTable
        Keys of completed calls whose answers are no longer stored.
    markers : DigestTable
        Claims that were refused or released and must not be granted later.
    """

    policy: Policy = field(default_factory=Policy)
    wall: float = 0.0
    horizon: float = 0.0
    open: dict[bytes, OpenClaim] = field(default_factory=dict)
    open_hour: int = 0
    claimants: dict[Claimant, ClaimantState] = field(default_factory=dict)
    answers: dict[bytes, bytes] = field(default_factory=dict)
    answer_bytes: int = 0
    answer_hours: dict[int, list[bytes]] = field(default_factory=dict)
    tombstones: DigestTable = field(default_factory=DigestTable)
    markers: DigestTable = field(default_factory=DigestTable)


class CommandResult(Struct):
    """The result of one command."""

    operation: ClaimOperation
    claim: AttemptId
    status: ClaimStatus
    answer: bytes | None = None


_ENCODER = msgspec.msgpack.Encoder()
_COMPLETED_CLAIM_DECODER = msgspec.msgpack.Decoder(CompletedClaim)


def encode_answer(answer: RecordedAnswer) -> bytes:
    """Return the encoded form of an answer, for commands and the state."""
    return _ENCODER.encode((answer.status, answer.headers, answer.body, answer.kept, answer.digest))


class _EncodedAnswer(msgspec.Struct, array_like=True):
    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes
    kept: bool
    digest: str


_ANSWER_DECODER = msgspec.msgpack.Decoder(_EncodedAnswer)


def decode_answer(data: bytes) -> RecordedAnswer:
    """Decode an answer.

    Raises
    ------
    ClaimEntryError
        If the data is not an encoded answer.
    """
    try:
        answer = _ANSWER_DECODER.decode(data)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise ClaimEntryError(
            f"a recorded answer is malformed ({error}); "
            "check that all replicas run the same version"
        ) from error
    return RecordedAnswer(answer.status, answer.headers, answer.body, answer.kept, answer.digest)


TOMBSTONE_ANSWER = encode_answer(RecordedAnswer(0, kept=False))


def apply_entry(machine: ClaimsStateMachine, payload: bytes) -> list[CommandResult]:
    """Apply a committed entry and return one result for each claim, completion and release.

    Raises
    ------
    ClaimEntryError
        If the payload is malformed; the state is unchanged.
    """
    batch = decode_batch(payload)
    if not math.isfinite(batch.wall):
        raise ClaimEntryError("the wall time of a claims entry is not finite; check the clock")
    if batch.policy is not None:
        machine.policy = batch.policy
    machine.wall = max(machine.wall, batch.wall)
    machine.horizon = max(machine.horizon, machine.wall - machine.policy.tombstone_seconds)
    sweep_records(machine, SWEEP_RECORDS_PER_ENTRY + len(batch.commands))
    results = []
    for command in batch.commands:
        if isinstance(command, MarkHosts):
            apply_marks(machine, command)
        else:
            results.append(COMMAND_HANDLERS[type(command)](machine, command))
    return results


def apply_claim(machine: ClaimsStateMachine, command: Claim) -> CommandResult:
    """Grant a claim unless its key is held, used or expired, or the claim has ended before."""
    claim = AttemptId(command.host, command.incarnation, command.number)
    result = CommandResult(ClaimOperation.CLAIM, claim, ClaimStatus.GRANTED)
    holder = machine.open.get(command.digest)
    if holder is not None:
        if holder.claim == claim:
            return result
        if holder.fingerprint != command.fingerprint:
            result.status = ClaimStatus.MISMATCH
        elif machine.claimants[holder.claim.host, holder.claim.incarnation].lost:
            result.status = ClaimStatus.CLAIMANT_LOST
        else:
            result.status = ClaimStatus.IN_PROGRESS
        # Otherwise a late copy of this request could be granted after the holder's release, when
        # its sender no longer waits for the answer, and would block the key.
        _add_marker(machine, command)
        return result
    data = machine.answers.get(command.digest)
    if data is not None:
        completed = _COMPLETED_CLAIM_DECODER.decode(data)
        if AttemptId(completed.host, completed.incarnation, completed.number) == claim:
            return result
        if completed.fingerprint != command.fingerprint:
            result.status = ClaimStatus.MISMATCH
        else:
            result.status = ClaimStatus.COMPLETED
            result.answer = completed.answer
        return result
    if has_digest(machine.tombstones, command.digest, _compute_horizon_hour(machine)):
        result.status = ClaimStatus.COMPLETED
        result.answer = TOMBSTONE_ANSWER
        return result
    if _has_marker(machine, command):
        # The caller may retry with a new claim identity.
        result.status = ClaimStatus.IN_PROGRESS
        return result
    date = command.date if command.date <= machine.wall + machine.policy.key_skew_seconds else 0.0
    if (date and date < machine.horizon) or (not date and machine.policy.require_dated_keys):
        result.status = ClaimStatus.EXPIRED
        return result
    if estimate_state_bytes(machine) >= machine.policy.state_bytes:
        result.status = ClaimStatus.UNAVAILABLE
        return result
    machine.open[command.digest] = OpenClaim(command.fingerprint, claim, date, machine.wall)
    claimant = machine.claimants.get((claim.host, claim.incarnation))
    if claimant is None:
        machine.claimants[claim.host, claim.incarnation] = ClaimantState(1, False, machine.wall)
    else:
        claimant.open += 1
    return result


def apply_complete(machine: ClaimsStateMachine, command: Complete) -> CommandResult:
    """Record an answer if the claim holds the key, even if its host is marked as lost."""
    claim = AttemptId(command.host, command.incarnation, command.number)
    result = CommandResult(ClaimOperation.COMPLETE, claim, ClaimStatus.GRANTED)
    holder = machine.open.get(command.digest)
    if holder is not None:
        if holder.claim != claim:
            result.status = ClaimStatus.IN_PROGRESS
            return result
        _remove_open_claim(machine, command.digest)
        hour = int(machine.wall // HOUR_SECONDS)
        # The date of a key may be in the future. Its tombstone must not be removed before the key
        # itself expires, or the key would count as new in between.
        kept_hour = max(hour, int(holder.date // HOUR_SECONDS))
        data = _ENCODER.encode(
            CompletedClaim(
                holder.fingerprint,
                kept_hour,
                claim.host,
                claim.incarnation,
                claim.number,
                command.answer,
            )
        )
        machine.answers[command.digest] = data
        machine.answer_bytes += len(data)
        machine.answer_hours.setdefault(hour, []).append(command.digest)
        return result
    data = machine.answers.get(command.digest)
    if data is not None:
        completed = _COMPLETED_CLAIM_DECODER.decode(data)
        if AttemptId(completed.host, completed.incarnation, completed.number) != claim:
            result.status = ClaimStatus.COMPLETED
    elif has_digest(machine.tombstones, command.digest, _compute_horizon_hour(machine)):
        result.status = ClaimStatus.COMPLETED
    else:
        result.status = ClaimStatus.EXPIRED
    return result


def apply_release(machine: ClaimsStateMachine, command: Release) -> CommandResult:
    """End a claim that is not completed; it cannot be granted afterwards."""
    claim = AttemptId(command.host, command.incarnation, command.number)
    result = CommandResult(ClaimOperation.RELEASE, claim, ClaimStatus.GRANTED)
    holder = machine.open.get(command.digest)
    data = machine.answers.get(command.digest)
    if holder is not None and holder.claim == claim:
        _remove_open_claim(machine, command.digest)
    elif data is not None:
        completed = _COMPLETED_CLAIM_DECODER.decode(data)
        if AttemptId(completed.host, completed.incarnation, completed.number) == claim:
            result.status = ClaimStatus.COMPLETED
            return result
    elif has_digest(machine.tombstones, command.digest, _compute_horizon_hour(machine)):
        # The tombstone does not identify the claim that was completed.
        result.status = ClaimStatus.COMPLETED
        return result
    _add_marker(machine, command)
    return result


def apply_marks(machine: ClaimsStateMachine, command: MarkHosts) -> None:
    """Mark the host processes that have open claims as lost or live."""
    for names, lost in ((command.lost, True), (command.live, False)):
        for name in names:
            claimant = machine.claimants.get(name)
            if claimant is not None:
                claimant.lost = lost


COMMAND_HANDLERS: dict[type, Callable[..., CommandResult]] = {
    Claim: apply_claim,
    Complete: apply_complete,
    Release: apply_release,
}


def sweep_records(machine: ClaimsStateMachine, limit: int) -> None:
    """Replace up to `limit` expired answers by tombstones and remove expired claims and digests."""
    for _ in range(limit):
        hour = next(iter(machine.answer_hours), None)
        if hour is None or not _is_answer_expired(machine, hour):
            break
        digests = machine.answer_hours[hour]
        digest = digests.pop()
        if not digests:
            del machine.answer_hours[hour]
        data = machine.answers.pop(digest)
        machine.answer_bytes -= len(data)
        add_digest(machine.tombstones, digest, _COMPLETED_CLAIM_DECODER.decode(data).hour)
    if _compute_horizon_hour(machine) > machine.open_hour:
        _sweep_open_claims(machine, limit)
    sweep_digests(machine.tombstones, _compute_horizon_hour(machine), SWEEP_PARTITIONS_PER_ENTRY)
    sweep_digests(machine.markers, _compute_first_marker_hour(machine), SWEEP_PARTITIONS_PER_ENTRY)


def _sweep_open_claims(machine: ClaimsStateMachine, limit: int) -> None:
    """Remove up to `limit` open claims from before the horizon.

    This is done once per hour, because finding the first item of a dictionary whose first items
    were removed takes time in proportion to their number.
    """
    for _ in range(limit):
        digest = next(iter(machine.open), None)
        if digest is None or not _is_open_claim_expired(machine, machine.open[digest]):
            machine.open_hour = _compute_horizon_hour(machine)
            return
        _remove_open_claim(machine, digest)


def is_sweep_due(machine: ClaimsStateMachine, wall: float) -> bool:
    """Return whether an entry with this wall time would remove answers or open claims."""
    policy = machine.policy
    hour = next(iter(machine.answer_hours), None)
    if hour is not None and (hour + 1) * HOUR_SECONDS + policy.answer_seconds <= wall:
        return True
    digest = next(iter(machine.open), None)
    if digest is None:
        return False
    end = machine.open[digest].claimed + policy.key_skew_seconds + policy.tombstone_seconds
    return end + HOUR_SECONDS < wall


def estimate_state_bytes(machine: ClaimsStateMachine) -> int:
    """Return an estimate of the memory of the state in bytes."""
    digests = machine.tombstones.count + machine.markers.count
    return (
        machine.answer_bytes
        + len(machine.answers) * ANSWER_OVERHEAD_BYTES
        + len(machine.open) * OPEN_CLAIM_BYTES
        + digests * RECORD_BYTES
    )


def _remove_open_claim(machine: ClaimsStateMachine, digest: bytes) -> None:
    claim = machine.open.pop(digest).claim
    claimant = machine.claimants[claim.host, claim.incarnation]
    claimant.open -= 1
    if claimant.open == 0:
        del machine.claimants[claim.host, claim.incarnation]


def _add_marker(machine: ClaimsStateMachine, command: Claim | Release) -> None:
    if not _has_marker(machine, command):
        digest = compute_claim_digest(
            command.digest, command.host, command.incarnation, command.number
        )
        add_digest(machine.markers, digest, int(machine.wall // HOUR_SECONDS))


def _has_marker(machine: ClaimsStateMachine, command: Claim | Release) -> bool:
    digest = compute_claim_digest(command.digest, command.host, command.incarnation, command.number)
    return has_digest(machine.markers, digest, _compute_first_marker_hour(machine))


def _compute_horizon_hour(machine: ClaimsStateMachine) -> int:
    return int(machine.horizon // HOUR_SECONDS)


def _compute_first_marker_hour(machine: ClaimsStateMachine) -> int:
    return int((machine.wall - machine.policy.marker_seconds) // HOUR_SECONDS)


def _is_answer_expired(machine: ClaimsStateMachine, hour: int) -> bool:
    return (hour + 1) * HOUR_SECONDS + machine.policy.answer_seconds <= machine.wall


def _is_open_claim_expired(machine: ClaimsStateMachine, holder: OpenClaim) -> bool:
    # The date of a key may be later than its claim by the skew; see `apply_complete`.
    return holder.claimed + machine.policy.key_skew_seconds < machine.horizon


class _OpenRecord(msgspec.Struct, array_like=True):
    digest: KeyDigest
    fingerprint: bytes
    date: float
    claimed: float
    host: str
    incarnation: int
    number: int


class _TableRecord(msgspec.Struct, array_like=True):
    cursor: int
    cycle_hour: int
    partitions: dict[int, bytes]


class _Snapshot(msgspec.Struct, array_like=True, tag="claims-1"):
    policy: Policy
    wall: float
    horizon: float
    open: list[_OpenRecord]
    open_hour: int
    claimants: list[tuple[str, int, bool, float]]
    answers: list[tuple[int, list[tuple[KeyDigest, bytes]]]]
    tombstones: _TableRecord
    markers: _TableRecord


_SNAPSHOT_DECODER = msgspec.msgpack.Decoder(_Snapshot)


def take_snapshot(machine: ClaimsStateMachine) -> bytes:
    """Return the encoded state."""
    return _ENCODER.encode(
        _Snapshot(
            machine.policy,
            machine.wall,
            machine.horizon,
            [
                _OpenRecord(
                    digest,
                    record.fingerprint,
                    record.date,
                    record.claimed,
                    record.claim.host,
                    record.claim.incarnation,
                    record.claim.number,
                )
                for digest, record in machine.open.items()
            ],
            machine.open_hour,
            [
                (host, incarnation, claimant.lost, claimant.first_claim_at)
                for (host, incarnation), claimant in machine.claimants.items()
            ],
            [
                (hour, [(digest, machine.answers[digest]) for digest in digests])
                for hour, digests in machine.answer_hours.items()
            ],
            _pack_table(machine.tombstones),
            _pack_table(machine.markers),
        )
    )


def restore_snapshot(data: bytes) -> ClaimsStateMachine:
    """Return the state that a snapshot contains.

    Raises
    ------
    ClaimSnapshotError
        If the data is not a snapshot of a claims group.
    """
    try:
        snapshot = _SNAPSHOT_DECODER.decode(data)
        machine = ClaimsStateMachine(snapshot.policy, snapshot.wall, snapshot.horizon)
        machine.open_hour = snapshot.open_hour
        machine.claimants = {
            (host, incarnation): ClaimantState(0, lost, first_claim_at)
            for host, incarnation, lost, first_claim_at in snapshot.claimants
        }
        for record in snapshot.open:
            claim = AttemptId(record.host, record.incarnation, record.number)
            machine.open[record.digest] = OpenClaim(
                record.fingerprint, claim, record.date, record.claimed
            )
            machine.claimants[record.host, record.incarnation].open += 1
        for hour, answers in snapshot.answers:
            machine.answer_hours[hour] = [digest for digest, _ in answers]
            for digest, answer in answers:
                _COMPLETED_CLAIM_DECODER.decode(answer)
                machine.answers[digest] = answer
                machine.answer_bytes += len(answer)
        machine.tombstones = _unpack_table(snapshot.tombstones)
        machine.markers = _unpack_table(snapshot.markers)
    except (msgspec.DecodeError, UnicodeDecodeError, KeyError, ValueError) as error:
        raise ClaimSnapshotError(
            f"a snapshot of a claims group is malformed ({error}); "
            "remove this replica's data folder and let it be repaired"
        ) from error
    return machine


def _pack_table(table: DigestTable) -> _TableRecord:
    partitions = {index: bytes(table.partitions[index]) for index in sorted(table.partitions)}
    return _TableRecord(table.cursor, table.cycle_hour, partitions)


def _unpack_table(record: _TableRecord) -> DigestTable:
    table = DigestTable(cursor=record.cursor, cycle_hour=record.cycle_hour)
    for index, data in record.partitions.items():
        if not 0 <= index < PARTITIONS or len(data) % RECORD_BYTES:
            raise ValueError("a partition of digests has the wrong size")
        table.partitions[index] = bytearray(data)
        table.count += len(data) // RECORD_BYTES
    return table
