"""Proxies of an experiment, and the connections of their clients."""

import collections
import typing

from jacinthhaven.lab import emulator
from jacinthhaven.sql import gateway, ports, records, statements

ZONE = 'a'


class CountingJournal(ports.Journal):
    """Counts decisions and writes nothing."""

    def __init__(self) -> None:
        """Start without decisions."""
        self.events: collections.Counter[str] = collections.Counter()

    def write(self, event: str, fields: ports.Fields) -> None:
        """Count a decision."""
        self.events[event] += 1

    def count(self, name: str, label: str = '') -> None:
        """Ignore a counter of the process."""

    def observe(self, name: str, label: str, spent_ms: float) -> None:
        """Ignore a time of the process."""


class Clients(ports.Clients):
    """Clients that send one statement on each connection.

    Attributes:
      on_answer: Called with the number of the connection and its answer.
    """

    def __init__(self) -> None:
        """Start without connections."""
        self.on_answer: typing.Callable[[int, statements.Answer], None] = (
            _ignore
        )

    def answer(self, number: int, answer: statements.Answer) -> None:
        """Pass an answer on."""
        self.on_answer(number, answer)

    def send_line(self, number: int, line: str) -> None:
        """Refuse lines of other nodes; an experiment has one proxy."""
        raise NotImplementedError(line)

    def accept(self, number: int) -> None:
        """Accept a session."""

    def refuse(self, number: int, code: statements.Code) -> None:
        """Pass a refusal on."""
        self.on_answer(number, statements.Answer(code=code))

    def close(self, number: int) -> None:
        """Accept the end of a connection."""

    def has_more(self, number: int) -> bool:
        """Return that a client sends nothing further."""
        return False

    def stop_accepting(self) -> None:
        """Do nothing; the proxy of an experiment does not stop."""


class Proxy:
    """One proxy of an experiment.

    Attributes:
      databases: Its connections to the instances.
      clients: Connections of its clients.
      gateway: Its decisions.
    """

    def __init__(
        self,
        instances: emulator.Instances,
        clients: Clients,
        journal: CountingJournal,
    ) -> None:
        """Create a proxy without configuration."""
        self.databases = emulator.Connections(instances)
        self.plan = instances.plan
        self.gateway = gateway.Gateway(ZONE, self.databases, clients, journal)

    def configure(
        self,
        configuration: records.Configuration,
        entries: list[records.Instance],
        proxies: int,
    ) -> None:
        """Load the configuration and the list of instances."""
        now_ms = self.plan.now_ms
        self.gateway.configure(configuration, now_ms)
        self.gateway.set_link_shares(proxies)
        known = self.gateway.groups[emulator.SERVICE]
        self.databases.on_open = self._with_time(known.on_open)
        self.databases.on_reply = self._with_time(known.on_reply)
        self.gateway.register(entries, now_ms)

    def _with_time(self, handler: typing.Callable) -> typing.Callable:
        """Return a handler that adds the current time to its arguments."""

        def call(*args: typing.Any) -> None:  # noqa: WPS430
            handler(*args, self.plan.now_ms)

        return call


def _ignore(_number: int, _answer: statements.Answer) -> None:
    """Do nothing; default of an unset callback."""
