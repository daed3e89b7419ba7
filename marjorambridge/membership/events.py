"""Define the events between the operators' interface and the membership part of a host."""

from marjorambridge.configuration.commands import OperatorCommand
from marjorambridge.configuration.state import CommandAnswer
from marjorambridge.core.events import Event
from marjorambridge.orders.state_machine import SetTarget


class CommandSubmitted(Event):
    """Deliver an operator command; any host accepts it, and `CommandAnswered` answers."""

    command: OperatorCommand | SetTarget


class CommandAnswered(Event):
    """Answer an operator command.

    Status ``UNAVAILABLE`` means that no committed answer arrived in time; a resend with the same
    identifier gets the first answer if there is one.
    """

    command_id: str
    answer: CommandAnswer
