"""Exceptions of settings files."""

from marjorambridge.core.exceptions import MarjorambridgeError


class SettingsError(MarjorambridgeError):
    """The settings can't be used; the message lists every fault with its remedy.

    Attributes
    ----------
    faults : tuple of str
        One sentence for each fault.
    """

    def __init__(self, faults: tuple[str, ...]):
        self.faults = faults
        super().__init__("; ".join(faults))
