"""Compare the replicated state of a claims group with a dictionary with a lock."""

import random

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from marjorambridge.claims import digests
from marjorambridge.claims import state_machine as machines
from marjorambridge.claims.commands import (
    Batch,
    Claim,
    Complete,
    MarkHosts,
    Policy,
    Release,
    encode_batch,
)
from marjorambridge.claims.exceptions import ClaimEntryError, ClaimSnapshotError
from marjorambridge.claims.messages import RecordedAnswer
from tests.claims.naive import DAY, NaiveClaims

EPOCH = 1_700_000_000.0
HOUR = 3600.0
# The reference never removes markers of refused and released claims, so they outlast every test.
POLICY = Policy(marker_seconds=9_000 * DAY)


def make_digest(number):
    return digests.compute_key_digest("w", str(number))


def make_answer(number):
    return machines.encode_answer(RecordedAnswer(200, (), b"answer %d" % number))


def apply(machine, wall, *commands, policy=None):
    return machines.apply_entry(machine, encode_batch(Batch(wall, commands, policy)))


def claim(machine, wall, key, number, fingerprint=b"f" * 8, date=0.0, host="h"):
    command = Claim(make_digest(key), fingerprint, date, host, 1, number)
    result = apply(machine, wall, command)[0]
    if result.answer is None:
        return result.status.value
    return result.status.value, machines.decode_answer(result.answer)


def complete(machine, wall, key, number, host="h"):
    command = Complete(make_digest(key), host, 1, number, make_answer(number))
    return apply(machine, wall, command)[0].status.value


def release(machine, wall, key, number, host="h"):
    return apply(machine, wall, Release(make_digest(key), host, 1, number))[0].status.value


# Key 0 has no date; the date of key 1 is the start and that of key 2 is ten hours later.
DATES = (0.0, EPOCH, EPOCH + 10 * HOUR)
NAMES = ["claim"] * 5 + ["complete"] * 2 + ["release"] * 2 + ["wait", "restore", "mark"]
OPERATION = st.tuples(
    st.sampled_from(NAMES), st.integers(0, 2), st.integers(1, 3), st.integers(0, 1)
)


@settings(max_examples=200)
@given(st.lists(OPERATION, max_size=60), st.booleans())
def test_generated_commands_agree_with_reference(operations, require_dated):
    """Guard against decisions that differ from those of a dictionary with a lock."""
    compare_with_reference(operations, require_dated)


def test_random_commands_agree_with_reference():
    """Guard against differences that occur only in longer sequences than hypothesis generates."""
    generator = random.Random(7)
    for seed in range(300):
        operations = [
            (generator.choice(NAMES), selector % 3, selector // 3 % 3 + 1, selector // 9)
            for selector in generator.choices(range(18), k=60)
        ]
        compare_with_reference(operations, seed % 4 == 0)


def compare_with_reference(operations, require_dated):
    machine = machines.ClaimsStateMachine()
    naive = NaiveClaims(now=EPOCH)
    policy = msgspec.structs.replace(POLICY, require_dated_keys=require_dated)
    apply(machine, EPOCH, policy=policy)
    for name, key, number, choice in operations:
        host = f"h{number}"
        if name == "wait":
            # The state retains records for up to an hour longer; no age may fall into that hour.
            naive.now += (10 * DAY, 5 * HOUR)[choice] + 60 * number
            ends = [record["at"] + DAY for record in naive.records.values()]
            ends += [max(r["at"], DATES[k]) + 30 * DAY for k, r in naive.records.items()]
            while any(0 <= naive.now - end <= 26 * HOUR for end in ends):
                naive.now += 10 * HOUR
            for each in range(len(DATES)):
                naive.get_record(each)
        elif name == "restore":
            data = machines.take_snapshot(machine)
            machine = machines.restore_snapshot(data)
            assert machines.take_snapshot(machine) == data
        elif name == "mark":
            marks = MarkHosts(((host, 1),), ()) if choice else MarkHosts((), ((host, 1),))
            held = {r["claim"] for r in naive.records.values() if r["answer"] is None}
            apply(machine, naive.now, marks)
            if (host, number) in held:
                (naive.lost.add if choice else naive.lost.discard)((host, number))
        elif name == "claim":
            fingerprint = bytes([choice]) * 8
            got = claim(machine, naive.now, key, number, fingerprint, DATES[key], host)
            status, detail = naive.claim(
                key, fingerprint, (host, number), DATES[key], require_dated
            )
            if status == "completed":
                assert got[0] == "completed"
                expected = b"" if detail == "tombstone" else b"answer %d" % detail
                assert (got[1].body, got[1].kept) == (expected, detail != "tombstone")
            else:
                assert got == status
        elif name == "complete":
            record = naive.records.get(key)
            old = record and record["answer"] and naive.now - record["at"] > DAY
            expected = naive.complete(key, (host, number), number)
            granted = complete(machine, naive.now, key, number, host) == "granted"
            # A tombstone does not identify the claim that was completed.
            assert granted == (expected and not old)
        elif name == "release":
            expected = naive.release(key, (host, number))
            assert (release(machine, naive.now, key, number, host) == "granted") == expected


def test_answer_becomes_tombstone_and_is_removed():
    """Guard against answers and tombstones that are removed too early or never."""
    machine = machines.ClaimsStateMachine()
    claim(machine, EPOCH, 1, 1)
    complete(machine, EPOCH, 1, 1)
    assert claim(machine, EPOCH + 24 * HOUR - 1, 1, 2)[1].body == b"answer 1"
    assert claim(machine, EPOCH + 25 * HOUR, 1, 3)[1] == RecordedAnswer(0, kept=False)
    assert not machine.answers and machine.tombstones.count == 1
    assert release(machine, EPOCH + 25 * HOUR, 1, 1) == "completed"
    assert claim(machine, EPOCH + 30 * DAY - 1, 1, 4)[0] == "completed"
    assert claim(machine, EPOCH + 30 * DAY + HOUR, 1, 5) == "granted"


def test_lost_claim_stays_and_can_be_completed():
    """Guard against an open claim that expires, and a refused completion by a lost host."""
    machine = machines.ClaimsStateMachine()
    claim(machine, EPOCH, 1, 1)
    apply(machine, EPOCH, MarkHosts((("h", 1),), ()))
    assert claim(machine, EPOCH + 30 * DAY, 1, 2, host="other") == "claimant_lost"
    assert complete(machine, EPOCH + 30 * DAY, 1, 1) == "granted"
    assert claim(machine, EPOCH + 30 * DAY, 1, 3)[1].body == b"answer 1"


def test_time_never_decreases():
    """Guard against an expired key that counts as new at a leader with a slow clock."""
    machine = machines.ClaimsStateMachine()
    apply(machine, EPOCH + 31 * DAY)
    assert claim(machine, EPOCH, 1, 1, date=EPOCH) == "expired"


def test_dated_key_stays_expired_after_tombstone_time_grows():
    """Guard against a key without tombstone that counts as new after the setting grows."""
    machine = machines.ClaimsStateMachine()
    apply(machine, EPOCH, policy=Policy(tombstone_seconds=2 * DAY))
    claim(machine, EPOCH, 1, 1, date=EPOCH)
    complete(machine, EPOCH, 1, 1)
    apply(machine, EPOCH + 4 * DAY)
    apply(machine, EPOCH + 4 * DAY, policy=Policy())
    assert claim(machine, EPOCH + 4 * DAY, 1, 2, date=EPOCH) == "expired"


def test_key_dated_ahead_is_not_removed_before_it_expires():
    """Guard against a gap between the removal of the tombstone and the expiry of the key."""
    machine = machines.ClaimsStateMachine()
    date = EPOCH + 20 * HOUR
    claim(machine, EPOCH, 1, 1, date=date)
    complete(machine, EPOCH, 1, 1)
    for hour in range(30 * 24 - 5, 30 * 24 + 30):
        assert claim(machine, EPOCH + hour * HOUR, 1, 2, date=date) != "granted"


def test_late_copy_of_refused_or_released_claim_is_not_granted():
    """Guard against granted claims whose sender no longer waits and that block their key."""
    machine = machines.ClaimsStateMachine()
    claim(machine, EPOCH, 1, 1)
    assert claim(machine, EPOCH, 1, 2) == "in_progress"
    assert release(machine, EPOCH, 1, 1) == "granted"
    assert [claim(machine, EPOCH, 1, number) for number in (1, 2)] == ["in_progress"] * 2
    assert release(machine, EPOCH, 2, 7) == "granted"
    assert claim(machine, EPOCH, 2, 7) == "in_progress"
    assert claim(machine, EPOCH, 1, 3) == "granted"


def test_full_state_refuses_new_claims_only():
    """Guard against unbounded memory, and against answers that are removed to save memory."""
    machine = machines.ClaimsStateMachine(policy=Policy(state_bytes=700))
    claim(machine, EPOCH, 1, 1)
    claim(machine, EPOCH, 2, 2)
    assert claim(machine, EPOCH, 3, 3) == "unavailable"
    assert complete(machine, EPOCH, 1, 1) == "granted"
    assert claim(machine, EPOCH, 1, 4)[1].body == b"answer 1"


@settings(max_examples=200)
@given(st.binary(max_size=60))
def test_malformed_entry_raises_typed_error(payload):
    """Guard against untyped errors and partly applied entries from malformed bytes."""
    machine = machines.ClaimsStateMachine()
    before = machines.take_snapshot(machine)
    for prefix in (b"", encode_batch(Batch(EPOCH, (Release(b"d" * 16, "h", 1, 1),)))[:-3]):
        try:
            machines.apply_entry(machine, prefix + payload)
        except ClaimEntryError:
            assert machines.take_snapshot(machine) == before
        else:
            machine = machines.ClaimsStateMachine()
    with pytest.raises(ClaimSnapshotError):
        machines.restore_snapshot(payload)


@settings(max_examples=60)
@given(st.lists(st.tuples(st.integers(0, 40), st.integers(0, 9)), max_size=80), st.integers(0, 9))
def test_digest_table_agrees_with_set(items, first):
    """Guard against lookups that miss a digest and sweeps that remove a current one."""
    table = digests.DigestTable()
    for number, hour in items:
        digests.add_digest(table, make_digest(number), 470_000 + hour)
    for _ in range(2):
        for number in range(41):
            expected = any(n == number and hour >= first for n, hour in items)
            found = digests.has_digest(table, make_digest(number), 470_000 + first)
            assert found == expected
        digests.sweep_digests(table, 470_000 + first, digests.PARTITIONS)
    assert table.count == sum(hour >= first for _, hour in items)


def test_workspaces_are_separate():
    """Guard against a key of one workspace that is taken for a key of another."""
    assert digests.compute_key_digest("a", "bc") != digests.compute_key_digest("ab", "c")
