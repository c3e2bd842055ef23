"""Test data and fakes: a gateway connected to a model of a database group."""

import collections
import itertools
import random
import typing

import msgspec

from jacinthhaven.platform import client_wire, instance_wire, reply_reader
from jacinthhaven.sql import (
    commands,
    customer_keys,
    gateway,
    peer_messages,
    peering,
    ports,
    records,
    statements,
)
from jacinthhaven.standins import sql_group

SERVICE = 'ledger'
MEMBERS = ('db-a', 'db-b', 'db-c')
ZONE = 'a'
STRICT = 'strict'
BOUNDED = 'bounded'
OWN = 'own'
# Longer than every timeout of a statement.
_ANSWER_TIMEOUT_MS = 3000

Fields = dict[str, typing.Any]
Source = typing.Callable[[], tuple[int, str]]


def route(
    database: str = OWN,
    mode: records.ConsistencyLevel = records.ConsistencyLevel.OWN_WRITES,
    **changes: typing.Any,
) -> records.Route:
    """Return a route with default limits."""
    fields: Fields = {
        'database': database,
        'service': SERVICE,
        'mode': mode,
        'timeout_ms': 1000,
        'target_ms': 400,
        'priority': 2,
        'max_age_ms': 2500,
    }
    return records.Route(**(fields | changes))


def configuration(version: int = 1, **changes: typing.Any) -> typing.Any:
    """Return a configuration with one route of each mode."""
    routes = (
        route(
            STRICT, records.ConsistencyLevel.PRIMARY, priority=1, target_ms=200
        ),
        route(BOUNDED, records.ConsistencyLevel.BOUNDED, max_age_ms=1500),
        route(OWN, records.ConsistencyLevel.OWN_WRITES),
    )
    fields: Fields = {
        'version': version,
        'routes': {known.database: known for known in routes},
        'services': {SERVICE: records.Service(SERVICE, 21, 0)},
        'transaction_idle_ms': 3000,
    }
    return records.Configuration(**(fields | changes))


def instance(name: str, **changes: typing.Any) -> records.Instance:
    """Return a registry entry."""
    fields: Fields = {
        'name': name,
        'service': SERVICE,
        'address': ('127.0.0.1', 1),
        'zone': name[-1],
        'slots': 3,
        'leaving': False,
        'claims_primary': name == MEMBERS[0],
    }
    return records.Instance(**(fields | changes))


class FakeJournal(ports.Journal):
    """Journal that keeps lines and counts in memory."""

    def __init__(self) -> None:
        """Start empty."""
        self.lines: list[tuple[str, Fields]] = []
        self.counts: collections.Counter[str] = collections.Counter()

    def write(self, event: str, fields: ports.Fields) -> None:
        """Store a line."""
        self.lines.append((event, fields))

    def count(self, name: str, label: str = '') -> None:
        """Increase a counter."""
        self.counts[f'{name}.{label}'] += 1

    def observe(self, name: str, label: str, spent_ms: float) -> None:
        """Ignore a duration."""

    def events(self, name: str) -> list[Fields]:
        """Return the fields of all lines of an event."""
        return [fields for event, fields in self.lines if event == name]


class FakeClients(ports.Clients):
    """Client connections that store what is sent to them."""

    def __init__(self) -> None:
        """Start without connections."""
        self.answers: dict[int, list[statements.Answer]] = (
            collections.defaultdict(list)
        )
        self.lines: dict[int, list[str]] = collections.defaultdict(list)
        self.closed: list[int] = []
        self.refused: dict[int, statements.Code] = {}
        self.accepting = True
        self.unread: set[int] = set()

    def answer(self, number: int, answer: statements.Answer) -> None:
        """Store an answer."""
        self.answers[number].append(answer)

    def send_line(self, number: int, line: str) -> None:
        """Store a line of an owner."""
        self.lines[number].append(line)

    def accept(self, number: int) -> None:
        """Ignore an accepted session."""

    def refuse(self, number: int, code: statements.Code) -> None:
        """Store a refusal."""
        self.refused[number] = code

    def close(self, number: int) -> None:
        """Store a close."""
        self.closed.append(number)

    def has_more(self, number: int) -> bool:
        """Return whether a statement waits to be read."""
        return number in self.unread

    def stop_accepting(self) -> None:
        """Record that no more connections are accepted."""
        self.accepting = False


class FakeDatabases(ports.Databases):
    """Connections to the model; `Rig.run` delivers the replies.

    Attributes:
      silent: Instances that accept statements and never answer.
      cut: Instances that answer on borrowed connections only.
      lost_replies: Texts of statements that run and whose replies are lost.
      failing: Texts of commands that fail without effect.
      before_line: Actions that run once, before a line with a text is handled.
      work_ms: Time that a statement takes.
    """

    def __init__(self, group: sql_group.SqlGroup) -> None:
        """Start without connections to a group."""
        self.group = group
        self.connections: dict[int, sql_group.SqlConnection] = {}
        self.readers: dict[int, reply_reader.ReplyReader] = {}
        self.pending: collections.deque = collections.deque()
        self.silent: set[str] = set()
        self.lost_replies: set[str] = set()
        self.failing: set[str] = set()
        self.before_line: dict[str, typing.Callable[[], None]] = {}
        self.lenders: list[records.Address] = []
        self.borrowed: set[int] = set()
        self.cut: set[str] = set()
        self.opened = 0
        self.work_ms = 5
        self.now_ms = 0

    def open(
        self,
        instance: records.Instance,
        lender: records.Address | None = None,
        customer: str = '',
    ) -> int:
        """Open a connection."""
        if lender is not None:
            self.lenders.append(lender)
            self.borrowed.add(self.opened + 1)
        self.opened += 1
        number = self.opened
        model = self.group.instances[instance.name]
        self.connections[number] = sql_group.SqlConnection(model)
        self.readers[number] = reply_reader.ReplyReader()
        start = instance_wire.encode_start(instance, customer)
        line = start.decode().strip()
        self.pending.append((self.now_ms + 1, number, line, True))
        return number

    def send(self, number: int, command: commands.Command) -> None:
        """Schedule a command."""
        self.readers[number].expect(command)
        at_ms = self.now_ms + self.work_ms
        for line in (
            instance_wire.encode_command(command).decode().split('\r\n')
        ):
            if line:
                self.pending.append((at_ms, number, line, False))

    def send_line(self, number: int, line: str) -> None:
        """Schedule a line of another node."""
        self.pending.append((self.now_ms + self.work_ms, number, line, False))

    def answers(self, number: int) -> bool:
        """Return whether the instance answers on a connection."""
        connection = self.connections.get(number)
        if connection is None:
            return False
        name = connection.instance.name
        cut = name in self.cut and number not in self.borrowed
        return not cut and name not in self.silent

    def loses_reply(self, line: str) -> bool:
        """Return whether the reply to a line is lost."""
        return any(text in line for text in self.lost_replies)

    def handle(self, number: int, line: str) -> list[str]:
        """Return the reply of the instance to a command."""
        connection = self.connections[number]
        if any(text in line for text in self.failing):
            return ['ERROR FAILED -', f'READY {connection.state} -']
        return connection.handle(line, self.now_ms)

    def close(self, number: int) -> None:
        """Close a connection."""
        self.connections.pop(number, None)


class FakeRelays(ports.Relays):
    """Connections to owners that store what is sent."""

    def __init__(self) -> None:
        """Start without connections."""
        self.opened: list[tuple[records.Address, str]] = []
        self.sent: dict[int, list[str]] = collections.defaultdict(list)
        self.closed: set[int] = set()

    def open(
        self,
        address: records.Address,
        database: str,
        version: int,
        key_digest: str = '',
    ) -> int:
        """Store the address and database of a new connection."""
        self.opened.append((address, database))
        return len(self.opened)

    def send(self, number: int, statement: statements.Statement) -> None:
        """Store a statement."""
        self.sent[number].append(statement.text)

    def ping(self, number: int) -> None:
        """Store a ping."""
        self.sent[number].append('ping')

    def close(self, number: int) -> None:
        """Store a close."""
        self.closed.add(number)


class FakeCopies(ports.ConfigurationCopies):
    """Copies of the configurations of the other nodes of one test.

    Attributes:
      sources: What returns the configuration, by the port of a node.
    """

    def __init__(self) -> None:
        """Start without other nodes."""
        self.sources: dict[int, Source] = {}

    def fetch(
        self,
        address: records.Address,
        on_copy: ports.OnCopy,
    ) -> None:
        """Return the copy of a node at once."""
        source = self.sources.get(address[1])
        if source is not None:
            on_copy(*source())


class FakeMessenger(peering.Messenger):
    """Delivers messages between the nodes of one test.

    Attributes:
      network: Nodes by the port of their address.
      lost: Pairs of ports between which no message arrives.
    """

    def __init__(
        self,
        port: int,
        network: dict[int, 'FakeMessenger'],
    ) -> None:
        """Register at a network under a port."""
        self.port = port
        self.network = network
        self.lost: set[tuple[int, int]] = set()
        self.inbox: list[peer_messages.Message] = []
        network[port] = self

    def send(
        self,
        address: records.Address,
        message: peer_messages.Message,
    ) -> None:
        """Put a message into the inbox of the addressed node."""
        target = self.network.get(address[1])
        if target is not None and (self.port, address[1]) not in self.lost:
            # Messages are encoded and decoded so that tests cover the codec.
            chunk = peer_messages.encode(message)
            target.inbox.append(peer_messages.decode(chunk))

    def take(self) -> list[peer_messages.Message]:
        """Return the messages that have arrived and empty the inbox."""
        arrived = self.inbox
        self.inbox = []
        return arrived


class FakeBorrowers(ports.Borrowers):
    """Connections of borrowers that store what is sent to them."""

    def __init__(self) -> None:
        """Start without connections."""
        self.sent: dict[int, list[str]] = collections.defaultdict(list)

    def grant(self, number: int) -> None:
        """Store a grant."""
        self.sent[number].append('granted')

    def refuse(self, number: int) -> None:
        """Store a refusal."""
        self.sent[number].append('refused')

    def send_line(self, number: int, line: str) -> None:
        """Store a line."""
        self.sent[number].append(line)

    def end(self, number: int) -> None:
        """Store an end."""
        self.sent[number].append('ended')


class Rig:
    """Gateway on a model of a database group, with a manual clock.

    Attributes:
      lines: Instance and text of each line that was run, in order.
    """

    databases_type = FakeDatabases

    def __init__(self, members: int = 8) -> None:
        """Start the gateway and wait until its links are open."""
        self.group = sql_group.SqlGroup(SERVICE, MEMBERS)
        self.databases = self.databases_type(self.group)
        self.clients = FakeClients()
        self.journal = FakeJournal()
        self.gateway = gateway.Gateway(
            ZONE,
            self.databases,
            self.clients,
            self.journal,
        )
        self.now_ms = 1000
        self.lines: list[tuple[str, str]] = []
        self.numbers = itertools.count(1)
        self.gateway.configure(configuration(), self.now_ms)
        self.gateway.set_link_shares(members)
        self.gateway.register(
            [instance(name) for name in MEMBERS],
            self.now_ms,
        )
        self.run(400)

    @property
    def service(self) -> typing.Any:
        """Return the group of the only service."""
        return self.gateway.groups[SERVICE]

    def connect(self, database: str = OWN, key: str = '') -> int:
        """Open a session and return its number."""
        number = next(self.numbers)
        self.gateway.on_start(number, database, customer_keys.digest(key))
        return number

    def send(self, number: int, text: str, request: str = 'r1') -> None:
        """Send a statement of a client."""
        line = f'QUERY {request} {text}'
        statement = client_wire.decode_query(line)
        self.gateway.on_statement(number, statement, self.now_ms)

    def ask(
        self,
        number: int,
        text: str,
        request: str = 'r1',
    ) -> statements.Answer:
        """Send a statement and return its answer.

        Raises:
          AssertionError: If no answer comes in time.
        """
        answers = self.clients.answers[number]
        before = len(answers)
        until_ms = self.now_ms + _ANSWER_TIMEOUT_MS
        self.send(number, text, request)
        while self.now_ms < until_ms:
            if len(answers) > before:
                return answers[before]
            self.run(5)
        raise AssertionError(f'no answer to {text}')

    def run(self, for_ms: int) -> None:
        """Advance the clock in steps of 5 ms."""
        until_ms = self.now_ms + for_ms
        while self.now_ms < until_ms:
            self.now_ms += 5
            self.databases.now_ms = self.now_ms
            self._deliver()
            self.gateway.tick(self.now_ms)

    def lose(self, name: str) -> None:
        """Cut all links to an instance."""
        for number, connection in tuple(self.databases.connections.items()):
            if connection.instance.name == name:
                self.databases.connections.pop(number)
                self.service.on_lost(number, self.now_ms)

    def _deliver(self) -> None:
        ready = [
            entry for entry in self.databases.pending if entry[0] <= self.now_ms
        ]
        for entry in ready:
            self.databases.pending.remove(entry)
            self._run_line(*entry[1:])

    def _run_line(self, number: int, line: str, starts: bool) -> None:
        if not self.databases.answers(number):
            return
        connection = self.databases.connections[number]
        for word, action in tuple(self.databases.before_line.items()):
            if word in line:
                self.databases.before_line.pop(word)
                action()
        if starts:
            lines = connection.start(line, self.now_ms)
        else:
            self.lines.append((connection.instance.name, line))
            lines = self.databases.handle(number, line)
        if self.databases.loses_reply(line):
            return
        reply = None
        for text in lines:
            reply = self.databases.readers[number].feed(text)
        if starts:
            refused = self.databases.readers[number].reply
            self.service.on_open(number, reply or refused, self.now_ms)
        elif reply is not None:
            self.service.on_reply(number, reply, self.now_ms)


def instances_that_ran(rig: Rig, text: str) -> list[str]:
    """Return the instances that ran lines with a text, in order."""
    return [name for name, line in rig.lines if text in line]


def pack(fields: list) -> bytes:
    """Return fields as the payload of a datagram."""
    return msgspec.msgpack.encode(fields)


def unpack(chunk: bytes) -> list:
    """Return the fields in the payload of a datagram."""
    return msgspec.msgpack.decode(chunk)


def seeded_random() -> random.Random:
    """Return a random number generator with a fixed seed."""
    return random.Random(1)
