"""Record the outside events of a host, so that its decisions can be replayed."""

import pickle
from collections.abc import Callable, Iterator
from pathlib import Path

from marjorambridge.core.events import Event


def open_recording(path: Path) -> Callable[[Event], None]:
    """Return a function that appends events to a file.

    The file holds pickled objects: only read recordings that you made yourself.
    """
    file = path.open("ab", buffering=0)

    def record(event: Event) -> None:
        pickle.dump(event, file)

    return record


def read_recording(path: Path) -> Iterator[Event]:
    """Yield the events of a recording; an event cut off by a crash ends it."""
    with path.open("rb") as file:
        while True:
            try:
                yield pickle.load(file)
            except EOFError:
                return
