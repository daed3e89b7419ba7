"""Check the files and folders that a settings file names, on the host that will use them."""

import os
import stat
from collections.abc import Iterator
from pathlib import Path

from marjorambridge.conf.exceptions import SettingsError
from marjorambridge.conf.settings import HostSettings
from marjorambridge.daemon.identity import is_replica, read_fleet_key


def check_files(settings: HostSettings) -> list[str]:
    """Return one sentence for each file or folder that the daemon could not use."""
    faults = []
    try:
        read_fleet_key(Path(settings.fleet_key_file))
    except SettingsError as error:
        faults += error.faults
    if settings.data_folder and is_replica(settings):
        faults += _check_data_folder(Path(settings.data_folder))
    if settings.log.file:
        faults += _check_output_file("log.file", Path(settings.log.file), creates_folder=True)
    for label, value in (
        ("log.trace_file", settings.log.trace_file),
        ("record_file", settings.record_file),
    ):
        if value:
            faults += _check_output_file(label, Path(value), creates_folder=False)
    return faults


def list_warnings(path: Path) -> list[str]:
    """Return warnings about the settings file itself."""
    try:
        mode = path.stat().st_mode
    except OSError:
        return []
    if mode & (stat.S_IWGRP | stat.S_IWOTH):
        return [
            f"other users can write {path}, and so give themselves an operator token; run "
            f"chmod go-w {path}"
        ]
    return []


def _check_data_folder(folder: Path) -> Iterator[str]:
    # The daemon creates the folder, so the nearest existing folder must be writable.
    nearest = _find_nearest(folder)
    if not nearest.is_dir():
        yield f"data_folder {folder}: {nearest} is not a folder; name another one"
    elif not os.access(nearest, os.W_OK | os.X_OK):
        yield f"data_folder {folder}: {nearest} is not writable; change its owner or mode"


def _find_nearest(path: Path) -> Path:
    """Return the path, or else the nearest folder above it that exists."""
    while not path.exists() and path != path.parent:
        path = path.parent
    return path


def _check_output_file(label: str, path: Path, creates_folder: bool) -> Iterator[str]:
    # The log library creates missing folders; the other files need an existing folder.
    target = _find_nearest(path)
    usable = target.is_dir() if target != path else not path.is_dir()
    if not usable or (target not in (path, path.parent) and not creates_folder):
        yield f"{label} {path} can't be written; name a file in a folder that exists"
    elif not os.access(target, os.W_OK):
        yield f"{label} {path} is not writable; change the owner or mode of {target}"
