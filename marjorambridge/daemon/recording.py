"""Record the external events of a host with digests of their effects, and replay them."""

import hashlib
import pickle
from collections.abc import Callable, Iterator
from pathlib import Path

import msgspec
from msgspec import Struct

from marjorambridge.core import reducer
from marjorambridge.core.effects import Effect
from marjorambridge.core.events import Event
from marjorambridge.core.records import make_record
from marjorambridge.node.composition import NodeSettings, compose_node
from marjorambridge.replication.models import RecoveredReplica


class RecordingHeader(Struct):
    """Arguments from which a node was composed."""

    settings: NodeSettings
    recovered: RecoveredReplica | None
    now: float


class RecordedStep(Struct):
    """An external event and the digest of its effects."""

    event: Event
    digest: bytes


def compute_digest(effects: list[Effect]) -> bytes:
    """Return a digest of effects that depends on every field and on their order."""
    return hashlib.blake2b(msgspec.json.encode(make_record(effects)), digest_size=16).digest()


def open_recording(path: Path, header: RecordingHeader) -> Callable[[Event, list[Effect]], None]:
    """Create a recording and return the function that appends a step.

    The file contains pickled objects: replay only recordings that you made yourself.
    """
    file = path.open("wb", buffering=0)
    file.write(pickle.dumps(header))

    def record(event: Event, effects: list[Effect]) -> None:
        file.write(pickle.dumps(RecordedStep(event, compute_digest(effects))))

    return record


def read_recording(path: Path) -> Iterator[RecordingHeader | RecordedStep]:
    """Yield the header and the steps of a recording, up to a step that a crash truncated."""
    with path.open("rb") as file:
        while True:
            try:
                yield pickle.load(file)
            except (EOFError, pickle.UnpicklingError):
                return


def replay_recording(path: Path) -> tuple[int, int | None]:
    """Apply the recorded events to a new node and compare the effects.

    Returns
    -------
    tuple of int and (int or None)
        Number of steps, and the first step whose effects differ, or None.
    """
    items = read_recording(path)
    header = next(items)
    assert isinstance(header, RecordingHeader)
    node, _ = compose_node(header.settings, header.recovered, header.now)
    count = 0
    for item in items:
        assert isinstance(item, RecordedStep)
        if compute_digest(reducer.step(node, item.event)) != item.digest:
            return count, count
        count += 1
    return count, None
