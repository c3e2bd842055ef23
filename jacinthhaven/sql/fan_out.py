"""Control command that is sent to several instances."""

import functools
import typing

from jacinthhaven.sql import records, scripts, statements


class FanOut:
    """Sends one command to several instances and collects the replies."""

    def __init__(
        self,
        service: typing.Any,
        call: scripts.Broadcast,
        on_result: typing.Callable[[typing.Any], None],
    ) -> None:
        """Prepare the command.

        Args:
          service: Group of the instances.
          call: Command and names of the instances.
          on_result: Gets the status of each instance, or None without a
            reply, once all replies are known.
        """
        self.service = service
        self.call = call
        self.on_result = on_result
        self.statuses: dict[str, records.InstanceStatus | None] = {}

    def start(self, now_ms: int) -> None:
        """Send the command to all instances."""
        if not self.call.instances:
            self.on_result({})
            return
        for name in self.call.instances:
            self.service.ask(
                name,
                self.call.command,
                functools.partial(self._on_reply, name),
                now_ms,
            )

    def _on_reply(self, name: str, reply: statements.Reply | None) -> None:
        self.statuses[name] = None if reply is None else reply.status
        if len(self.statuses) == len(self.call.instances):
            self.on_result(self.statuses)
