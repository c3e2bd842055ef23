"""Database group with slots, queues and faults, in virtual time.

It speaks the lines of the real instances through the same codec, so that the
decisions of a proxy cannot tell it from one. Several proxies share a group,
each through connections of its own.
"""

import collections
import functools
import itertools
import random
import typing

from jacinthhaven.lab import experiment, schedule
from jacinthhaven.platform import instance_wire, reply_reader
from jacinthhaven.sql import commands, ports, records, statements
from jacinthhaven.standins import sql_group

SERVICE = 'ledger'
# One way between a proxy and an instance.
_WAY_MS = 0.5
# Commands that the instance executes without a slot.
_INSTANT_MS = 0.2

OnReply = typing.Callable[[int, statements.Reply | None], None]


class Slots:
    """Slots and queue of one instance.

    Attributes:
      free_ms: When each slot is free.
      begins_ms: When the waiting statements begin.
      factor: How many times as long work takes as usual.
    """

    __slots__ = ('free_ms', 'begins_ms', 'factor', 'queue')

    def __init__(self, count: int, queue: int) -> None:
        """Start with free slots."""
        self.free_ms = list(itertools.repeat(float(0), count))
        self.begins_ms: list[float] = []
        self.factor = 1.0
        self.queue = queue

    def occupy(self, work_ms: float, now_ms: float) -> float | None:
        """Return when work is over, or None if the queue is full."""
        self.begins_ms = [at_ms for at_ms in self.begins_ms if at_ms > now_ms]
        if len(self.begins_ms) >= self.queue:
            return None
        begin_ms = max(min(self.free_ms), now_ms)
        slot = self.free_ms.index(min(self.free_ms))
        self.free_ms[slot] = begin_ms + work_ms * self.factor
        self.begins_ms.append(begin_ms)
        return self.free_ms[slot]


class Instances:
    """Instances of one group, shared by all proxies.

    Attributes:
      group: Model of the copies of the data.
      slots: Execution slots by name of the instance.
      open_count: Number of open connections by name of the instance.
      silent: Instances that answer nothing.
      lossy: Part of the answers that an instance loses, by name.
      work_ms: Time for which each statement occupies a slot, by request.
      slot_ms: Time for which a request has occupied slots so far.
      handshake_slot_ms: Time for which handshakes have occupied slots.
    """

    def __init__(
        self,
        described: experiment.Group,
        plan: schedule.Schedule,
        rng: random.Random,
    ) -> None:
        """Start the instances; the first one leads."""
        self.described = described
        self.plan = plan
        self.rng = rng
        self.group = sql_group.SqlGroup(SERVICE, tuple(described.instances))
        for instance in self.group.instances.values():
            instance.lag_ms = described.lag_ms
        self.slots = {
            name: Slots(described.slots, described.queue)
            for name in described.instances
        }
        self.open_count: collections.Counter[str] = collections.Counter()
        self.silent: set[str] = set()
        self.lossy: dict[str, float] = {}
        self.work_ms: dict[str, float] = {}
        self.slot_ms: dict[str, float] = collections.defaultdict(float)
        self.handshake_slot_ms: float = 0

    def run(
        self, name: str, request_id: str, arrives_ms: float
    ) -> float | None:
        """Return when an instance ends a statement, or None if it refuses."""
        work_ms = self.work_ms.get(request_id, _INSTANT_MS)
        if work_ms <= _INSTANT_MS:
            return arrives_ms + work_ms
        slots = self.slots[name]
        over_ms = slots.occupy(work_ms, arrives_ms)
        if over_ms is not None:
            self.slot_ms[request_id] += work_ms * slots.factor
        return over_ms

    def shake_hands(self, name: str, arrives_ms: float) -> float | None:
        """Return when a new connection is open, or None if it is refused."""
        slots = self.slots[name]
        handshake_ms = self.described.handshake_ms
        self.handshake_slot_ms += handshake_ms * slots.factor
        return slots.occupy(handshake_ms, arrives_ms)


class Connections(ports.Databases):
    """Connections of one proxy to the instances of a group.

    Attributes:
      instances: Instances of the group.
      connections: Open connections by number.
      on_open: Called with the number and the reply of a new connection.
      on_reply: Called with the number and the reply to a command.
    """

    def __init__(self, instances: Instances) -> None:
        """Start without connections."""
        self.instances = instances
        self.plan = instances.plan
        self.numbers = itertools.count(1)
        self.connections: dict[int, sql_group.SqlConnection] = {}
        self.readers: dict[int, reply_reader.ReplyReader] = {}
        self.on_open: OnReply = _ignore
        self.on_reply: OnReply = _ignore

    def open(
        self,
        instance: records.Instance,
        lender: records.Address | None = None,
        customer: str = '',
    ) -> int:
        """Start to connect; the handshake occupies a slot."""
        number = next(self.numbers)
        name = instance.name
        model = self.instances.group.instances[name]
        self.connections[number] = sql_group.SqlConnection(model)
        self.readers[number] = reply_reader.ReplyReader()
        line = _text(instance_wire.encode_start(instance, customer))
        now_ms = self.plan.now_ms
        full = (
            self.instances.open_count[name]
            >= self.instances.described.connections
        )
        self.instances.open_count[name] += 1
        if full:
            self._later(now_ms, self._refuse, number)
            return number
        ready_ms = self.instances.shake_hands(name, now_ms + _WAY_MS)
        begin = functools.partial(self._start, number, line)
        self.plan.at((ready_ms or now_ms) + _WAY_MS, begin)
        return number

    def send(self, number: int, command: commands.Command) -> None:
        """Send a command."""
        self.readers[number].expect(command)
        lines = _text(instance_wire.encode_command(command)).split('\r\n')
        arrives_ms = self.plan.now_ms + _WAY_MS
        over_ms: float | None = arrives_ms + _INSTANT_MS
        if isinstance(command, commands.Run):
            name = self.connections[number].instance.name
            over_ms = self.instances.run(
                name, command.statement.request_id, arrives_ms
            )
        if over_ms is None:
            self._later(arrives_ms, self._overflow, number)
            return
        self.plan.at(over_ms, functools.partial(self._execute, number, lines))

    def send_line(self, number: int, line: str) -> None:
        """Refuse lines of other nodes; experiments lend no links."""
        raise NotImplementedError(line)

    def close(self, number: int) -> None:
        """Close a connection, which rolls back what is open on it."""
        connection = self.connections.pop(number, None)
        if connection is not None:
            self.instances.open_count[connection.instance.name] -= 1

    def _later(
        self,
        at_ms: float,
        action: typing.Callable[[int], None],
        number: int,
    ) -> None:
        self.plan.at(at_ms + _WAY_MS, functools.partial(action, number))

    def _start(self, number: int, line: str) -> None:
        connection = self._reachable(number)
        if connection is None:
            return
        reply = None
        for text in connection.start(line, self.plan.now_ms):
            reply = self.readers[number].feed(text)
        self.on_open(number, reply)

    def _refuse(self, number: int) -> None:
        if number in self.connections:
            code = statements.Code.CONNECTION_LIMIT
            self.on_open(number, statements.Reply(code=code))

    def _overflow(self, number: int) -> None:
        connection = self._reachable(number)
        if connection is not None:
            position = connection.instance.position(self.plan.now_ms)
            busy = statements.Code.BUSY
            self.on_reply(
                number,
                statements.Reply(code=busy, position=position),
            )

    def _execute(self, number: int, lines: list[str]) -> None:
        connection = self._reachable(number)
        if connection is None:
            return
        reply = None
        for line in lines:
            for text in connection.handle(line, self.plan.now_ms):
                reply = self.readers[number].feed(text)
        lost = self.instances.lossy.get(connection.instance.name, 0)
        if not lost or self.instances.rng.random() >= lost:
            answer = functools.partial(self._answer, reply)
            self._later(self.plan.now_ms, answer, number)

    def _answer(self, reply: statements.Reply | None, number: int) -> None:
        if self._reachable(number) is not None:
            self.on_reply(number, reply)

    def _reachable(self, number: int) -> sql_group.SqlConnection | None:
        connection = self.connections.get(number)
        if connection is None:
            return None
        if connection.instance.name in self.instances.silent:
            return None
        return connection


def _text(line: bytes) -> str:
    return line.decode().strip()


def _ignore(_number: int, _reply: statements.Reply | None) -> None:
    """Do nothing; default of an unset callback."""
