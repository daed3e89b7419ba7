"""Define the errors of the configuration package."""

from marjorambridge.core.exceptions import MarjorambridgeError


class EntryDecodeError(MarjorambridgeError):
    """Report an entry of log group 0 that this version cannot read."""


class SnapshotDecodeError(MarjorambridgeError):
    """Report a snapshot of the control state that this version cannot read."""


class QuestionnaireError(MarjorambridgeError):
    """Report every fault of a questionnaire.

    Attributes
    ----------
    faults : tuple of marjorambridge.configuration.faults.Fault
        All faults, each with its remedy.
    """

    def __init__(self, faults):
        self.faults = tuple(faults)
        super().__init__("; ".join(f"{f.path}: {f.problem}; {f.remedy}" for f in self.faults))
