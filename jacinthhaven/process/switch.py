"""Delivery of messages between the decision code and the tasks.

Messages are delivered by direct calls, because a circuits event takes about
10 us and one statement takes about ten messages. Events are used only for
start and stop of the process.
"""

import typing

from jacinthhaven.decide import messages
from jacinthhaven.kernel import clock

Handler = typing.Callable[[typing.Any], None]


class Decider(typing.Protocol):
    """Interface of the decision code that the switch uses."""

    def handle(self, message: typing.Any, now_ms: int) -> list[typing.Any]:
        """Process a message and return the messages to deliver."""

    def tick(self, now_ms: int) -> list[typing.Any]:
        """Run expired timers and return the messages to deliver."""


class Switch:
    """Delivers messages from tasks to the decision code and back."""

    def __init__(self, decider: Decider, time: clock.Clock) -> None:
        """Create a switch without connected tasks.

        Args:
          decider: Decision code.
          time: Clock of the process.
        """
        self.decider = decider
        self.clock = time
        self.handlers: dict[type, Handler] = {}

    def connect(self, message_type: type, handler: Handler) -> None:
        """Register the handler of messages of a type."""
        self.handlers[message_type] = handler

    def deliver(self, message: typing.Any) -> None:
        """Pass a message to the decision code and send its results."""
        self.send(self.decider.handle(message, self.clock.now_ms()))

    def tick(self) -> None:
        """Run expired timers of the decision code and send the results."""
        self.send(self.decider.tick(self.clock.now_ms()))

    def send(self, out: list[typing.Any]) -> None:
        """Pass messages of the decision code to their handlers."""
        handlers = self.handlers
        for message in out:
            handlers[type(message)](message)


def connect_backends(switch: Switch, backends: typing.Any) -> None:
    """Register the handlers of messages to backend servers."""
    switch.connect(messages.BackendOpen, backends.open)
    switch.connect(messages.BackendCall, backends.call)
    switch.connect(messages.BackendClose, backends.close)
