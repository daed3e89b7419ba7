"""Define the errors of the configuration package."""

from marjorambridge.core.exceptions import MarjorambridgeError


class EntryDecodeError(MarjorambridgeError):
    """An entry of log group 0 cannot be decoded by this version."""


class SnapshotDecodeError(MarjorambridgeError):
    """A snapshot of the control state cannot be decoded by this version."""


class QuestionnaireError(MarjorambridgeError):
    """A questionnaire has faults; the error lists all of them.

    Attributes
    ----------
    faults : tuple of marjorambridge.configuration.faults.Fault
        All faults, each with its remedy.
    """

    def __init__(self, faults):
        self.faults = tuple(faults)
        super().__init__("; ".join(f"{f.path}: {f.problem}; {f.remedy}" for f in self.faults))
