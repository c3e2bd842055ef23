"""Delivery of messages between the decision code and the tasks.

Messages are delivered by direct calls. An event of circuits costs about
10 us, and one statement takes about ten messages, so events are kept for
the life cycle of the process.
"""

import typing

from jacinthhaven.decide import messages
from jacinthhaven.kernel import clock

Handler = typing.Callable[[typing.Any], None]


class Decider(typing.Protocol):
    """Decision code as seen by the switch."""

    def handle(self, message: typing.Any, now_ms: int) -> list[typing.Any]:
        """Accept a message and return the messages to deliver."""

    def tick(self, now_ms: int) -> list[typing.Any]:
        """Advance timers and return the messages to deliver."""


class Switch:
    """Hands the messages of the tasks to the decision code and back."""

    def __init__(self, decider: Decider, time: clock.Clock) -> None:
        """Create a switch without tasks.

        Args:
          decider: Decision code.
          time: Clock of the process.
        """
        self.decider = decider
        self.clock = time
        self.handlers: dict[type, Handler] = {}

    def connect(self, message_type: type, handler: Handler) -> None:
        """Deliver messages of a type to a task."""
        self.handlers[message_type] = handler

    def deliver(self, message: typing.Any) -> None:
        """Hand a task's message to the decision code."""
        self.send(self.decider.handle(message, self.clock.now_ms()))

    def tick(self) -> None:
        """Advance the timers of the decision code."""
        self.send(self.decider.tick(self.clock.now_ms()))

    def send(self, out: list[typing.Any]) -> None:
        """Hand messages of the decision code to the tasks."""
        handlers = self.handlers
        for message in out:
            handlers[type(message)](message)


def connect_backends(switch: Switch, backends: typing.Any) -> None:
    """Deliver the backend messages to a backend task."""
    switch.connect(messages.BackendOpen, backends.open)
    switch.connect(messages.BackendCall, backends.call)
    switch.connect(messages.BackendClose, backends.close)
