"""Events between the operator interface and the membership component of a host."""

from marjorambridge.configuration.commands import OperatorCommand
from marjorambridge.configuration.state import CommandAnswer
from marjorambridge.core.events import Event
from marjorambridge.orders.state_machine import SetTarget


class CommandSubmitted(Event):
    """An operator submitted a command at this host; `CommandAnswered` answers it."""

    command: OperatorCommand | SetTarget


class CommandAnswered(Event):
    """The answer to an operator command.

    Status ``UNAVAILABLE`` means that no committed answer arrived in time. A command that is
    submitted again with the same identifier gets the first committed answer, if there is one.
    """

    command_id: str
    answer: CommandAnswer
