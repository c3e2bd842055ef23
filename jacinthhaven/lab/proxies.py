"""Proxies of an experiment, and the connections of their clients."""

import collections
import functools
import typing

from jacinthhaven.lab import emulator, schedule
from jacinthhaven.sql import (
    gateway,
    load_sharing,
    peer_messages,
    peering,
    ports,
    records,
    statements,
)

ZONE = 'a'
# Time of a message between two proxies.
_MESSAGE_MS = 1.4


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


class Network(peering.Messenger):
    """Delivers messages between the proxies of an experiment.

    Attributes:
      handlers: Handlers of messages by address.
      messages: Number of messages between different proxies.
    """

    def __init__(self, plan: schedule.Schedule) -> None:
        """Start without proxies."""
        self.plan = plan
        self.handlers: dict[records.Address, peer_messages.Handler] = {}
        self.messages = 0

    def send(
        self,
        address: records.Address,
        message: peer_messages.Message,
    ) -> None:
        """Deliver a message after the time between two proxies."""
        self.messages += 1
        handler = self.handlers[address]
        self.plan.at(
            self.plan.now_ms + _MESSAGE_MS,
            functools.partial(handler, message),
        )


class Proxy:
    """One proxy of an experiment.

    Attributes:
      name: Its name.
      address: Address of its messages.
      databases: Its connections to the instances.
      clients: Connections of its clients.
      gateway: Its decisions.
      load_sharing: What it agrees on with the others.
    """

    def __init__(
        self,
        instances: emulator.Instances,
        clients: Clients,
        network: Network,
        name: str,
        journal: CountingJournal,
    ) -> None:
        """Create a proxy without configuration."""
        self.name = name
        self.address = (name, 1)
        network.handlers[self.address] = self._on_message
        self.databases = emulator.Connections(instances)
        self.plan = instances.plan
        self.gateway = gateway.Gateway(ZONE, self.databases, clients, journal)
        self.load_sharing = load_sharing.LoadSharing(
            name, self.gateway.groups, network
        )

    def configure(
        self,
        configuration: records.Configuration,
        entries: list[records.Instance],
        addresses: dict[str, records.Address],
    ) -> None:
        """Load the configuration, the instances and the other proxies."""
        now_ms = self.plan.now_ms
        self.gateway.configure(configuration, now_ms)
        self.gateway.set_link_shares(len(addresses))
        known = self.gateway.groups[emulator.SERVICE]
        known.owners = tuple(sorted(addresses))
        self.load_sharing.update_owners(addresses)
        self.databases.on_open = self._with_time(known.on_open)
        self.databases.on_reply = self._with_time(known.on_reply)
        self.gateway.register(entries, now_ms, now_ms)

    def tick(self) -> None:
        """Run all timers that are due."""
        self.gateway.tick(self.plan.now_ms)
        self.load_sharing.tick(self.plan.now_ms)

    def _on_message(self, message: peer_messages.Message) -> None:
        self.load_sharing.on_message(message, self.plan.now_ms)

    def _with_time(self, handler: typing.Callable) -> typing.Callable:
        """Return a handler that adds the current time to its arguments."""

        def call(*args: typing.Any) -> None:  # noqa: WPS430
            handler(*args, self.plan.now_ms)

        return call


def _ignore(_number: int, _answer: statements.Answer) -> None:
    """Do nothing; default of an unset callback."""
