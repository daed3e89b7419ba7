"""Find out how much memory a process may use, and divide it."""

import os
import resource
from pathlib import Path

from loguru import logger
from msgspec import Struct

CGROUP_FILE = Path("/proc/self/cgroup")
CGROUP_FOLDER = Path("/sys/fs/cgroup")
BYTES_PER_MEGABYTE = 1_000_000
# Parts of the memory for bodies of callers, for buffered answers, and of the latter for answers
# that have begun; without it, many answers at the same time could exhaust the memory, and none
# could be completed. Other parts are for what the kernel holds of answers that callers, and other
# hosts, have not received. The rest is for the program, connections and work in progress.
BODY_RATIO = 0.2
ANSWER_RATIO = 0.16
STARTED_ANSWER_RATIO = 1 / 3
DELIVERY_RATIO = 0.1
RELAY_DELIVERY_RATIO = 0.05


class MemoryShares(Struct):
    """Divide the memory of a process, in bytes.

    Attributes
    ----------
    bodies : int
        Bodies of callers.
    answers, started_answers : int
        Buffered answers, and the part of it for those that have begun.
    deliveries, relay_deliveries : int
        Answers in the kernel that callers, and other hosts, have not received.
    """

    bodies: int
    answers: int
    started_answers: int
    deliveries: int
    relay_deliveries: int


def divide_memory(megabytes: int | None) -> MemoryShares:
    """Divide the memory that a setting names, or the memory that the process may use.

    Examples
    --------
    >>> shares = divide_memory(300)
    >>> shares.bodies, shares.answers, shares.started_answers
    (60000000, 48000000, 16000000)
    >>> shares.deliveries, shares.relay_deliveries
    (30000000, 15000000)
    """
    size = min(find_limits()) if megabytes is None else megabytes * BYTES_PER_MEGABYTE
    answers = int(size * ANSWER_RATIO)
    return MemoryShares(
        bodies=int(size * BODY_RATIO),
        answers=answers,
        started_answers=int(answers * STARTED_ANSWER_RATIO),
        deliveries=int(size * DELIVERY_RATIO),
        relay_deliveries=int(size * RELAY_DELIVERY_RATIO),
    )


def find_limits() -> list[int]:
    """Return the memory of the machine, and the limits of this process and of its control group.

    All are numbers of bytes; limits that are not set are left out.
    """
    found = [os.sysconf("SC_PAGE_SIZE") * os.sysconf("SC_PHYS_PAGES")]
    for kind in (resource.RLIMIT_AS, resource.RLIMIT_DATA):
        limit, _ = resource.getrlimit(kind)
        if limit != resource.RLIM_INFINITY:
            found.append(limit)
    return found + _read_group_limits()


def _read_group_limits() -> list[int]:
    """Return the limits of the control group of this process and of those that contain it."""
    found = []
    try:
        # The only line of the unified hierarchy begins with an empty list of controllers.
        line = CGROUP_FILE.read_text().partition("0::/")[2].partition("\n")[0]
        group = CGROUP_FOLDER / line
        for folder in (group, *group.parents):
            if not folder.is_relative_to(CGROUP_FOLDER):
                break
            path = folder / "memory.max"
            text = path.read_text().strip() if path.exists() else ""
            if text.isdecimal():
                found.append(int(text))
    except OSError as error:
        logger.bind(error=repr(error)).info("the limit of the control group can't be read")
    return found
