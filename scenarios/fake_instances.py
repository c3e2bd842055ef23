"""Database instances and the connections of the proxies to them.

The rules of an instance are those of the instance model; this module adds
latency, long polls, replication and faults in virtual time.
"""

import dataclasses
import functools
import typing

from jacinthhaven.decide import messages
from jacinthhaven.kernel import failures
from jacinthhaven.records import backend
from jacinthhaven.standins import (
    database_copy,
    instance_faults,
    instance_model,
)
from scenarios import events

HEARTBEAT_MS = 100
_RETRY_MS = 50
# How late a request is executed whose connection was lost meanwhile.
_LATE_MS = 300
BEFORE = 'before'
DURING = 'during'
AFTER = 'after'

Deliver = typing.Callable[[typing.Any], None]


@dataclasses.dataclass(slots=True, eq=False)
class Connection:
    """One database connection of a proxy process."""

    number: int
    instance: 'Instance'
    deliver: Deliver
    there: events.Pipe
    back: events.Pipe
    opened: bool = False

    def answer(self, message: typing.Any) -> None:
        """Send a message of the instance to the proxy."""
        self.back.send(functools.partial(self.deliver, message))

    def lose(self, kind: failures.Kind, reason: str) -> None:
        """Tell the proxy that the connection is gone."""
        self.answer(messages.BackendLost(self.number, kind.because(reason)))


@dataclasses.dataclass(slots=True)
class Executed:
    """One statement or resolve request as an instance executed it."""

    at_ms: int
    instance: str
    request: backend.ExecuteRequest | backend.ResolveRequest


@dataclasses.dataclass(slots=True)
class Poll:
    """One waiting status or pull request."""

    request: typing.Any
    attempt: typing.Callable[[typing.Any, bool], bool]


@dataclasses.dataclass(slots=True)
class Group:
    """Instances of one group and what they share.

    Attributes:
      network: Network between all places.
      open_ms: Time that opening a connection takes.
      instances: Instances by name.
      executed: All executed statements and resolve requests.
      failures: Exceptions of no request; kept for the checker.
    """

    network: events.Network
    open_ms: int
    instances: dict[str, 'Instance'] = dataclasses.field(default_factory=dict)
    executed: list[Executed] = dataclasses.field(default_factory=list)


class Instance:
    """One database instance process."""

    def __init__(
        self,
        group: Group,
        model: instance_model.InstanceModel,
    ) -> None:
        """Create an instance that is alive."""
        self.group = group
        self.events = group.network.events
        self.model = model
        self.name = model.name
        model.table.on_closed = _close
        self.gate = instance_faults.Gate()
        self.alive = True
        self.boots = 1
        self.polls: list[Poll] = []
        self.losses: list[str] = []
        self.answer_delay_ms = 0
        self.replicas = [
            Replication(self, database) for database in model.copies
        ]
        group.instances[self.name] = self

    def kill(self) -> None:
        """End the process; its connections are reset."""
        self.alive = False
        self.polls.clear()
        self.gate = instance_faults.Gate()
        self.boots += 1
        self.model.restart(str(self.boots), self.events.now_ms)
        for other in self.group.instances.values():
            for replica in other.replicas:
                replica.reset_from(self.name)
        self.update()

    def restart(self) -> None:
        """Start the process again with the log that it had."""
        self.alive = True
        self.gate.move(closed=False)
        self.update()

    def connect(
        self,
        connection: Connection,
        request: backend.ConnectRequest,
    ) -> None:
        """Accept or refuse a database connection."""
        if not self.alive:
            connection.lose(failures.CONNECTION_REFUSED, 'instance is down')
            return
        self.gate.run(functools.partial(self._connect, connection, request))

    def disconnect(self, connection: Connection) -> None:
        """Forget a connection that the proxy closed."""
        self.gate.run(functools.partial(self.model.close, connection))
        connection.there.close()

    def receive(
        self,
        connection: Connection,
        message: messages.BackendCall,
    ) -> None:
        """Execute a request of a proxy."""
        self.gate.run(functools.partial(self._serve, connection, message))

    def add_poll(self, poll: Poll, wait_ms: int) -> None:
        """Answer a request now, upon a change or after a time."""
        if not poll.attempt(poll.request, False):
            self.polls.append(poll)
            self.events.after(
                wait_ms,
                lambda: self.gate.run(functools.partial(self._expire, poll)),
            )

    def notify(self) -> None:
        """Answer the waiting requests that a change affects."""
        waiting = self.polls
        self.polls = []
        for poll in waiting:
            if not poll.attempt(poll.request, False):
                self.polls.append(poll)

    def notify_soon(self) -> None:
        """Answer waiting requests after the current event."""
        self.events.after(
            0,
            lambda: self.gate.run(self.notify),
        )

    def update(self) -> None:
        """Replicate from the primaries that the copies follow now."""
        for replica in self.replicas:
            replica.update()

    def _connect(
        self,
        connection: Connection,
        request: backend.ConnectRequest,
    ) -> None:
        refusal = self.model.open(connection, request)
        if refusal is not None:
            kind = failures.BY_CODE[refusal.error]
            connection.lose(kind, refusal.detail)
            return
        connection.opened = True
        opened = messages.BackendOpened(connection.number)
        self.events.after(
            self.group.open_ms,
            functools.partial(connection.answer, opened),
        )

    def _serve(
        self,
        connection: Connection,
        message: messages.BackendCall,
    ) -> None:
        if connection not in self.model.table.connections:
            return
        request = message.request
        if isinstance(request, backend.StatusRequest):
            answer = functools.partial(self._try_status, connection, message)
            self.add_poll(Poll(request, answer), request.wait_ms)
        elif self.losses and isinstance(
            request,
            backend.ExecuteRequest | backend.ResolveRequest,
        ):
            self._lose(connection, request, self.losses.pop())
        else:
            reply = self._execute(connection, request)
            answer = functools.partial(
                connection.answer,
                messages.BackendReply(
                    connection.number,
                    message.number,
                    reply,
                ),
            )
            delay_ms = self.events.rng.uniform(0, self.answer_delay_ms)
            self.events.after(delay_ms, answer)

    def _execute(
        self,
        connection: Connection,
        request: backend.Request,
    ) -> backend.Reply | failures.Failure:
        now_ms = self.events.now_ms
        if isinstance(request, backend.ExecuteRequest | backend.ResolveRequest):
            executed = Executed(now_ms, self.name, request)
            self.group.executed.append(executed)
        reply = self.model.call(connection, request, now_ms)
        self.update()
        self.notify_soon()
        if isinstance(reply, backend.ErrorReply):
            return failures.BY_CODE[reply.error].because(reply.detail)
        return reply

    def _lose(
        self,
        connection: Connection,
        request: backend.Request,
        when: str,
    ) -> None:
        """Lose a connection before, during or after a request."""
        if when == DURING:
            self.events.after(
                _LATE_MS,
                functools.partial(self._execute_late, connection, request),
            )
        elif when == AFTER:
            self._execute(connection, request)
        connection.lose(failures.CONNECTION_LOST, f'lost {when}')
        if when != DURING:
            self.model.close(connection)

    def _execute_late(
        self,
        connection: Connection,
        request: backend.Request,
    ) -> None:
        if connection in self.model.table.connections:
            self._execute(connection, request)
            self.model.close(connection)

    def _try_status(
        self,
        connection: Connection,
        message: messages.BackendCall,
        request: backend.StatusRequest,
        due: bool,
    ) -> bool:
        if connection not in self.model.table.connections:
            return True
        if request.seen == self.model.version and not due:
            return False
        reply = self.model.call(connection, request, self.events.now_ms)
        connection.answer(
            messages.BackendReply(connection.number, message.number, reply),
        )
        return True

    def _expire(self, poll: Poll) -> None:
        if poll in self.polls:
            self.polls.remove(poll)
            poll.attempt(poll.request, True)


class Replication:
    """Replication of one database copy from the primary that it follows."""

    def __init__(self, instance: Instance, database: str) -> None:
        """Create a task that follows nobody yet."""
        self.instance = instance
        self.model = instance.model
        self.database = database
        self.target = ''
        self.pipes: list[events.Pipe] = []

    def update(self) -> None:
        """Connect to the primary that the copy follows now."""
        upstream = self.model.copies[self.database].upstream
        target = upstream if self.instance.alive else ''
        if target != self.target:
            self.target = target
            self._connect()

    def reset_from(self, primary: str) -> None:
        """Lose the connection to a primary whose process ended."""
        if self.target == primary:
            self.pipes[1].send(self._retry)

    def _connect(self) -> None:
        for pipe in self.pipes:
            pipe.close()
        self.pipes = []
        if self.target:
            network = self.instance.group.network
            there = network.pipe(self.instance.name, self.target)
            back = network.pipe(self.target, self.instance.name)
            self.pipes = [there, back]
            self._pull(there, back)

    def _pull(self, there: events.Pipe, back: events.Pipe) -> None:
        request = self.model.pull_request(self.database)
        if request is None:
            return
        primary = self.instance.group.instances[self.target]
        poll = Poll(
            request,
            functools.partial(self._serve, primary, there, back),
        )
        arrived = functools.partial(primary.add_poll, poll, HEARTBEAT_MS)
        there.send(lambda: self._arrive(primary, arrived, back))

    def _arrive(
        self,
        primary: Instance,
        action: events.Action,
        back: events.Pipe,
    ) -> None:
        if primary.alive:
            primary.gate.run(action)
        else:
            back.send(self._retry)

    def _serve(
        self,
        primary: Instance,
        there: events.Pipe,
        back: events.Pipe,
        request: database_copy.PullRequest,
        due: bool,
    ) -> bool:
        reply = primary.model.serve_pull(request)
        current = (
            isinstance(reply, database_copy.PullReply)
            and not reply.entries
            and reply.term == request.term
        )
        if current and not due:
            return False
        back.send(
            lambda: self.instance.gate.run(
                functools.partial(self._accept, there, back, reply),
            ),
        )
        return True

    def _accept(
        self,
        there: events.Pipe,
        back: events.Pipe,
        reply: database_copy.PullReply | backend.ErrorReply,
    ) -> None:
        if back.closed or not self.instance.alive:
            return
        now_ms = self.instance.events.now_ms
        if isinstance(
            reply,
            database_copy.PullReply,
        ) and self.model.accept_pull(self.database, reply, now_ms):
            self._show_later()
            self._pull(there, back)
        else:
            self._retry()

    def _show_later(self) -> None:
        instance = self.instance
        instance.notify_soon()
        due_ms = self.model.next_due_ms()
        if due_ms is not None:
            instance.events.after(
                due_ms - instance.events.now_ms,
                lambda: instance.gate.run(self._show),
            )

    def _show(self) -> None:
        self.model.advance(self.instance.events.now_ms)
        self.instance.notify()

    def _retry(self) -> None:
        self.target = ''
        self.instance.events.after(_RETRY_MS, self.update)


def _close(connection: Connection) -> None:
    """Tell the proxy that the instance closed a connection."""
    kind = failures.CONNECTION_LOST
    if not connection.opened:
        kind = failures.CONNECTION_REFUSED
    connection.lose(kind, 'closed by the instance')
    connection.there.close()


class Backends:
    """Backend task of one proxy process."""

    def __init__(self, place: str, group: Group, deliver: Deliver) -> None:
        """Start without connections."""
        self.place = place
        self.group = group
        self.deliver = deliver
        self.connections: dict[int, Connection] = {}

    def open(self, message: messages.BackendOpen) -> None:
        """Connect to an instance."""
        network = self.group.network
        connection = Connection(
            message.connection,
            self.group.instances[message.instance],
            self._report,
            network.pipe(self.place, message.instance),
            network.pipe(message.instance, self.place),
        )
        self.connections[connection.number] = connection
        connection.there.send(
            functools.partial(
                connection.instance.connect,
                connection,
                message.request,
            ),
        )

    def call(self, message: messages.BackendCall) -> None:
        """Send a request on an open connection."""
        connection = self.connections.get(message.connection)
        if connection is not None:
            receive = connection.instance.receive
            connection.there.send(
                functools.partial(receive, connection, message),
            )

    def close(self, message: messages.BackendClose) -> None:
        """Close a connection; what was sent still arrives."""
        connection = self.connections.pop(message.connection, None)
        if connection is not None:
            connection.back.close()
            connection.there.send(
                functools.partial(connection.instance.disconnect, connection),
            )

    def close_all(self) -> None:
        """Close all connections, as the end of the process does."""
        for number in tuple(self.connections):
            self.close(messages.BackendClose(number))

    def _report(self, message: typing.Any) -> None:
        if isinstance(message, messages.BackendLost):
            connection = self.connections.pop(message.connection, None)
            if connection is None:
                return
            connection.back.close()
        self.deliver(message)
