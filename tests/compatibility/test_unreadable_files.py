"""Guard the disk of a replica that is started with a build which can't read it."""

import msgspec
import pytest

from marjorambridge.storage.exceptions import (
    DamagedDataError,
    StorageError,
    UnreadableDataError,
)
from marjorambridge.storage.files import replace_file
from marjorambridge.storage.frames import encode_frame
from marjorambridge.storage.stores import close_store, open_store
from tests.compatibility.golden_files import read_last

REPLICA = {"host": "r1", "disk": "d"}
MEMBERSHIP = {"members": [{"replica": REPLICA, "role": "later"}]}
SEGMENT = "group-0/segment-00000000000000000001.log"
# Records of a later build, by file.
LATER_RECORDS = {
    "cluster": {"cluster": "c", "founders": "later"},
    "group-0/vote": {"term": 2, "voted_for": "later"},
    "group-0/snapshot": {"index": 5, "term": 1, "membership": MEMBERSHIP, "data": b""},
    SEGMENT: [{"index": 9, "term": 2, "kind": "later", "payload": b""}],
}


def write_folder(folder):
    """Write the data folder that the last landing wrote."""
    for name, data in read_last()["samples"]["data folder"]["bytes"].items():
        (folder / name).parent.mkdir(exist_ok=True)
        (folder / name).write_bytes(bytes.fromhex(data))


def read_folder(folder):
    return {path: path.read_bytes() for path in folder.rglob("*") if path.is_file()}


LATER_ENTRY = {"index": 9, "term": 2, "kind": "membership"}
LATER_ENTRY["payload"] = msgspec.json.encode(MEMBERSHIP)


@pytest.mark.parametrize(
    ("name", "record"), [*LATER_RECORDS.items(), (SEGMENT, [LATER_ENTRY])], ids=repr
)
def test_a_record_of_a_later_build_is_a_clear_error_and_stays(tmp_path, name, record):
    """The process would end with a traceback, or an operator be told to remove whole data."""
    write_folder(tmp_path)
    payload = msgspec.msgpack.encode(record)
    if name == SEGMENT:
        with (tmp_path / name).open("ab") as file:
            file.write(encode_frame(payload))
    else:
        replace_file(tmp_path / name, payload)
    (tmp_path / "lock").touch()
    before = read_folder(tmp_path)
    for _ in range(2):
        with pytest.raises(UnreadableDataError, match="start the build that wrote it") as caught:
            open_store(tmp_path)
        assert str(tmp_path / name) in str(caught.value)
        assert "move" not in str(caught.value)
        assert isinstance(caught.value, StorageError)
        assert read_folder(tmp_path) == before


def test_a_damaged_file_is_not_taken_for_one_of_a_later_build(tmp_path):
    """A damaged disk would be kept, and the replica never be repaired."""
    write_folder(tmp_path)
    path = tmp_path / "group-0" / "vote"
    data = bytearray(path.read_bytes())
    data[-1] ^= 1
    path.write_bytes(data)
    with pytest.raises(DamagedDataError):
        open_store(tmp_path)


def test_a_start_changes_no_file_of_the_last_landing(tmp_path):
    """A start with this build would change the files, so that the way back is closed."""
    write_folder(tmp_path)
    before = read_folder(tmp_path)
    store, recovered = open_store(tmp_path)
    close_store(store)
    after = read_folder(tmp_path)
    del after[tmp_path / "lock"]
    assert after == before
    assert open_and_close(tmp_path) == recovered


def open_and_close(folder):
    store, recovered = open_store(folder)
    close_store(store)
    return recovered
