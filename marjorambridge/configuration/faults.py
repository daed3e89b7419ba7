"""Describe faults of a configuration, a command or a questionnaire, with their remedies."""

import difflib
import itertools
from collections.abc import Iterable

from msgspec import Struct

from marjorambridge.conf import defaults

MAX_KNOWN_NAMES = 200


class Fault(Struct):
    """A fault and its remedy.

    Attributes
    ----------
    path : str
        Where the fault is, such as ``services.geru-model.zones``.
    problem : str
        What is wrong.
    remedy : str
        What the operator can do about it.
    """

    path: str
    problem: str
    remedy: str


def suggest_name(name: str, known: Iterable[str], otherwise: str) -> str:
    """Return a remedy that suggests the most similar known name, or `otherwise` if none is similar.

    No suggestion is made among more than `MAX_KNOWN_NAMES` names, because the comparison of many
    wrong names with many known ones would delay every host that applies the command.

    Examples
    --------
    >>> suggest_name("bhujj", ["anjar", "bhuj"], "add it")
    "use 'bhuj', or add it"
    >>> suggest_name("x", ["anjar"], "add it")
    'add it'
    """
    names = sorted(known)
    if len(names) > MAX_KNOWN_NAMES:
        return otherwise
    nearest = difflib.get_close_matches(name[:64], names, n=1)
    return f"use {nearest[0]!r}, or {otherwise}" if nearest else otherwise


def limit_faults(faults: Iterable[Fault]) -> list[Fault]:
    """Return at most `MAX_LISTED_FAULTS` faults; the last one states if there are further ones.

    `faults` is not consumed further, so that a command with very many faults is cheap.
    """
    listed = list(itertools.islice(faults, defaults.MAX_LISTED_FAULTS + 1))
    if len(listed) > defaults.MAX_LISTED_FAULTS:
        remedy = "correct the listed ones and send the command again"
        listed[-2:] = [Fault("", "further faults are not listed", remedy)]
    return listed
