"""Test that a data folder is closed only between two writes."""

import os
import time

import anyio
import pytest

from marjorambridge.replication import effects as ef
from marjorambridge.replication import events as ev
from marjorambridge.storage import segments, worker
from marjorambridge.storage.exceptions import FolderLockedError
from marjorambridge.storage.stores import open_store
from tests.storage.test_stores import list_positions, make_entries

pytestmark = pytest.mark.anyio
SLOW_SYNC_SECONDS = 0.3


@pytest.fixture
def anyio_backend():
    return "asyncio"


def sync_slowly(descriptor):
    time.sleep(SLOW_SYNC_SECONDS)
    os.fsync(descriptor)


async def write_and_close(folder):
    """Close a store while a write is under way, and return the completion events."""
    events = []
    storage = worker.StorageWorker(open_store(folder)[0], events.append)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(worker.run, storage)
        worker.enqueue_effect(storage, ef.SaveEntries(0, make_entries(1, 1)))
        worker.enqueue_effect(storage, ef.SyncStorage(1))
        await anyio.sleep(SLOW_SYNC_SECONDS / 3)
        await worker.close(storage)
        tasks.cancel_scope.cancel()
    return events


async def test_a_stop_waits_for_the_write_that_is_under_way(tmp_path, monkeypatch):
    """Guard against a write to a descriptor that was closed, or belongs to another file by then."""
    monkeypatch.setattr(segments, "sync_descriptor", sync_slowly)
    events = await write_and_close(tmp_path)
    assert [type(event) for event in events] in ([], [ev.StorageSynced])
    monkeypatch.undo()
    assert list_positions(open_store(tmp_path)[1]) == [(1, 1)]


async def test_a_stop_gives_up_a_write_that_hangs(tmp_path, monkeypatch):
    """Guard against a process that never ends because its disk does not answer."""
    monkeypatch.setattr(segments, "sync_descriptor", sync_slowly)
    monkeypatch.setattr(worker, "CLOSE_TIMEOUT_SECONDS", 0.1)
    await write_and_close(tmp_path)
    monkeypatch.undo()
    with pytest.raises(FolderLockedError):
        open_store(tmp_path)
