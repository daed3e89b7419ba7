"""Hold the replicated control state: configuration, view and answers to recent commands."""

from enum import StrEnum

from msgspec import Struct, field

from marjorambridge.configuration.faults import Fault
from marjorambridge.configuration.models import Configuration
from marjorambridge.core.view import View
from marjorambridge.orders.state_machine import TargetState


class AnswerStatus(StrEnum):
    """Result of an operator command.

    The state machine never returns ``UNAVAILABLE``; it means that no committed answer arrived in
    time, so that the command may or may not take effect.
    """

    ACCEPTED = "accepted"
    CONFLICT = "conflict"
    INVALID = "invalid"
    EXPIRED = "expired"
    UNAVAILABLE = "unavailable"


class ChangeRecord(Struct):
    """Record an accepted change and its operator.

    Attributes
    ----------
    version : int
        Version of the configuration after the change.
    wall : float
        Unix time in seconds from the command.
    """

    version: int
    operator: str
    command_id: str
    wall: float
    summary: str


class CommandAnswer(Struct):
    """Answer to an operator command.

    Attributes
    ----------
    version : int
        Version of the configuration after the command; 0 for ``UNAVAILABLE``.
    message : str
        Text for the operator; contains the remedy if the command was not accepted.
    faults : tuple of Fault
        For ``INVALID``: every fault.
    changes : tuple of ChangeRecord
        For ``CONFLICT``: the changes since the base version, newest last, as far as stored.
    """

    command_id: str
    status: AnswerStatus
    version: int
    message: str
    faults: tuple[Fault, ...] = ()
    changes: tuple[ChangeRecord, ...] = ()


class StoredAnswer(Struct):
    """First answer to a command, stored for resends of the command.

    Attributes
    ----------
    digest : str
        Digest of the whole command; a different command under the same identifier is refused.
    wall : float
        Wall time of the command.
    kept_since : float
        Greatest wall time of all commands up to this one.
    items : int
        One plus the number of faults and changes in the answer. Each has a bounded length; unlike
        bytes, their number does not depend on the texts of one version of this software.
    based : bool
        Whether the command had a base version, so that it cannot be accepted twice.
    """

    answer: CommandAnswer
    digest: str
    wall: float
    kept_since: float
    items: int
    based: bool


class ControlState(Struct):
    """Hold the state that every replica and every host derives from log group 0.

    `configuration` and `view` are replaced, never changed in place, so that receivers may store
    references to them.

    Attributes
    ----------
    index : int
        Index of the last applied entry.
    configuration_index : int
        Index of the last entry that changed the configuration.
    answers : dict of str to StoredAnswer
        Answers by command identifier, in the order of application.
    answer_items : int
        Sum of the items of `answers`.
    history : list of ChangeRecord
        The last `MAX_CHANGE_RECORDS` accepted changes, newest last.
    wall : float
        Greatest wall time of all commands.
    forgotten_wall : float
        Greatest wall time of the commands without a base version whose answers were deleted.
    targets : TargetState
        Target state of the endpoints; changed in place.
    """

    index: int = 0
    configuration: Configuration = field(default_factory=Configuration)
    configuration_index: int = 0
    view: View = field(default_factory=View)
    answers: dict[str, StoredAnswer] = field(default_factory=dict)
    answer_items: int = 0
    history: list[ChangeRecord] = field(default_factory=list)
    wall: float = 0.0
    forgotten_wall: float = 0.0
    targets: TargetState = field(default_factory=TargetState)
