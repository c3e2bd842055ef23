"""Database group with slots, queues and faults, in virtual time.

It speaks the lines of the real instances through the same codec, so that the
decisions of a proxy cannot tell it from one.
"""

import functools
import itertools
import random
import typing

from jacinthhaven.lab import experiment, schedule
from jacinthhaven.platform import instance_wire
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


class Emulator(ports.Databases):
    """Connections to the instances of one group.

    Attributes:
      group: Model of the copies of the data.
      silent: Instances that answer nothing.
      lossy: Part of the answers that an instance loses, by name.
      on_open: Called with the number and the reply of a new connection.
      on_reply: Called with the number and the reply to a command.
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
        self.silent: set[str] = set()
        self.lossy: dict[str, float] = {}
        self.work_ms: dict[str, float] = {}
        self.numbers = itertools.count(1)
        self.connections: dict[int, sql_group.SqlConnection] = {}
        self.readers: dict[int, instance_wire.ReplyReader] = {}
        self.on_open: OnReply = _ignore
        self.on_reply: OnReply = _ignore

    def open(
        self,
        instance: records.Instance,
        lender: records.Address | None = None,
    ) -> int:
        """Start to connect; the handshake occupies a slot."""
        number = next(self.numbers)
        name = instance.name
        open_now = sum(
            known.instance.name == name for known in self.connections.values()
        )
        connection = sql_group.SqlConnection(self.group.instances[name])
        self.connections[number] = connection
        self.readers[number] = instance_wire.ReplyReader()
        line = _text(instance_wire.encode_start(instance))
        if open_now >= self.described.connections:
            self._later(self.plan.now_ms, self._refuse, number)
            return number
        ready_ms = self.slots[name].occupy(
            self.described.handshake_ms,
            self.plan.now_ms + _WAY_MS,
        )
        begin = functools.partial(self._start, number, line)
        self.plan.at((ready_ms or self.plan.now_ms) + _WAY_MS, begin)
        return number

    def send(self, number: int, command: commands.Command) -> None:
        """Send a command."""
        self.readers[number].wants_status = isinstance(
            command,
            commands.STATUS_COMMANDS,
        )
        line = _text(instance_wire.encode_command(command))
        arrives_ms = self.plan.now_ms + _WAY_MS
        work_ms = _INSTANT_MS
        if isinstance(command, commands.Run):
            work_ms = self.work_ms.pop(command.statement.request_id, work_ms)
        name = self.connections[number].instance.name
        over_ms: float | None = arrives_ms + work_ms
        if work_ms > _INSTANT_MS:
            over_ms = self.slots[name].occupy(work_ms, arrives_ms)
        if over_ms is None:
            self._later(arrives_ms, self._overflow, number)
            return
        self.plan.at(over_ms, functools.partial(self._execute, number, line))

    def send_line(self, number: int, line: str) -> None:
        """Refuse lines of other nodes; an experiment has one proxy."""
        raise NotImplementedError(line)

    def close(self, number: int) -> None:
        """Close a connection, which rolls back what is open on it."""
        self.connections.pop(number, None)

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

    def _execute(self, number: int, line: str) -> None:
        connection = self._reachable(number)
        if connection is None:
            return
        reply = None
        for text in connection.handle(line, self.plan.now_ms):
            reply = self.readers[number].feed(text)
        lost = self.lossy.get(connection.instance.name, 0)
        if not lost or self.rng.random() >= lost:
            answer = functools.partial(self._answer, reply)
            self._later(self.plan.now_ms, answer, number)

    def _answer(self, reply: statements.Reply | None, number: int) -> None:
        if self._reachable(number) is not None:
            self.on_reply(number, reply)

    def _reachable(self, number: int) -> sql_group.SqlConnection | None:
        connection = self.connections.get(number)
        if connection is None or connection.instance.name in self.silent:
            return None
        return connection


def _text(line: bytes) -> str:
    return line.decode().strip()


def _ignore(_number: int, _reply: statements.Reply | None) -> None:
    """Do nothing; default of an unset callback."""
