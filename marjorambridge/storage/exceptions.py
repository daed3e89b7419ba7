"""Define the errors of the data folder."""

from marjorambridge.core.exceptions import MarjorambridgeError


class StorageError(MarjorambridgeError):
    """Base of the errors of the data folder."""


class FolderLockedError(StorageError):
    """Another process uses the data folder."""


class DamagedDataError(StorageError):
    """Data that was synced cannot be read back."""


class UnreadableDataError(StorageError):
    """Data is whole, but this build does not know its format."""


class DiskFullError(StorageError):
    """The disk has no room for a write; nothing was reported as synced, and it can be repeated."""


def make_damage_error(path: object, problem: str) -> DamagedDataError:
    """Return the error for a damaged file, with the remedy."""
    return DamagedDataError(
        f"{path}: {problem}. Check the disk, move the whole data folder away and start again; the "
        "replica then joins with a new disk id and is repaired from its peers"
    )


def make_unreadable_error(path: object, error: Exception) -> UnreadableDataError:
    """Return the error for a whole file that the decoder of this build refused."""
    return UnreadableDataError(
        f"{path}: {error}. The file is whole, but of another build; start the build that wrote it, "
        "or a later one"
    )
