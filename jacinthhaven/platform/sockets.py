"""TCP connections of client sessions and to instances."""

import functools
import itertools
import socket
import typing

from jacinthhaven.adapters import listeners, poller, streams
from jacinthhaven.limits import accounts, guard
from jacinthhaven.platform import (
    client_wire,
    connections,
    instance_wire,
    peer_wire,
    reply_reader,
    words,
)
from jacinthhaven.sql import commands, ports, records, statements

_OnReply = typing.Callable[[int, statements.Reply | None], None]


class ClientSockets(ports.Clients):
    """Accepts client connections and sends the answers.

    Attributes:
      guard: Limits of the connections of this process.
      on_start: Called with the number and database of a new session, and the
        digest of the client's key.
      on_statement: Called with the number and a statement.
      on_closed: Called with the number of a session that was closed.
      on_malformed: Called for each connection that sends malformed input.
    """

    def __init__(
        self, loop: poller.Poller, limits: guard.Guard | None = None
    ) -> None:
        """Create the object without a listener."""
        self.poller = loop
        self.guard = limits or guard.Guard()
        self.numbers = itertools.count(1)
        self.connections: dict[int, connections.ClientConnection] = {}
        self.listener: listeners.Listener | None = None
        self.on_start: typing.Callable[[int, str, str], None] = ignore
        self.on_statement: typing.Callable[
            [int, statements.Statement],
            None,
        ] = ignore
        self.on_closed: typing.Callable[[int], None] = ignore
        self.on_malformed: typing.Callable[[], None] = ignore

    def listen(self, address: tuple[str, int]) -> int:
        """Start to accept connections and return the port."""
        self.listener = listeners.Listener(
            self.poller,
            address,
            self._on_stream,
        )
        return self.listener.port

    def adopt(
        self,
        stream: streams.Stream,
        account: accounts.Account | None = None,
        rest: bytes = b'',
    ) -> int:
        """Add a session that another node relays.

        Args:
          stream: Connection from the node, whose first line was already read.
          account: What is held for the connection; None for a new account.
          rest: Received bytes after the first line. They are delivered after
            the caller has opened the session.

        Returns:
          Number of the session.
        """
        if account is None:
            account = self.guard.open()
        connection = self._add(stream, account)
        connection.relayed = True
        connection.start()
        if rest:
            connection.reader.add(rest)
            self.poller.call_soon(connection.deliver)
        return connection.number

    def send_line(self, number: int, line: str) -> None:
        """Forward a line of the session's owner to the client."""
        state = words.ready_state(line)
        self._send(number, words.encode([line]), state)

    def stop_accepting(self) -> None:
        """Close the listener."""
        if self.listener is not None:
            self.listener.close()

    def accept(self, number: int) -> None:
        """Tell the client that its session is open."""
        self._send(number, words.encode_accept())
        connection = self.connections.get(number)
        if connection is not None:
            connection.open()

    def refuse(self, number: int, code: statements.Code) -> None:
        """Refuse the session and close the connection."""
        connection = self._remove(number)
        if connection is not None:
            connection.stream.send(words.encode_refusal(code))
            connection.stream.finish()

    def answer(self, number: int, answer: statements.Answer) -> None:
        """Send the answer to the oldest unanswered statement."""
        self._send(number, client_wire.encode_answer(answer), answer.state)

    def close(self, number: int) -> None:
        """Close an idle connection once its last answer has been written."""
        connection = self._remove(number)
        if connection is not None:
            connection.stream.finish()

    def has_more(self, number: int) -> bool:
        """Return whether received bytes of the client are still unread."""
        connection = self.connections.get(number)
        if connection is None:
            return False
        if connection.reader.size:
            return True
        try:
            waiting = connection.stream.sock.recv(1, socket.MSG_PEEK)
        except OSError:
            # No bytes are available, or the connection has failed.
            return False
        return bool(waiting)

    def set_kept(self, number: int, size: int) -> None:
        """Record the bytes of settings and prepared statements of a session."""
        connection = self.connections.get(number)
        if connection is not None:
            connection.account.record_kept(size)

    def _send(
        self,
        number: int,
        chunk: bytes,
        state: statements.State | None = None,
    ) -> None:
        """Send bytes; the state is given if they end an answer."""
        connection = self.connections.get(number)
        if connection is not None:
            connection.send(chunk, state)

    def _on_stream(self, stream: streams.Stream) -> None:
        if not self.guard.admit():
            stream.close()
            return
        connections.limit_silence(stream)
        self._add(stream, self.guard.open())

    def _add(
        self, stream: streams.Stream, account: accounts.Account
    ) -> connections.ClientConnection:
        number = next(self.numbers)
        connection = connections.ClientConnection(
            self.guard, stream, account, number
        )
        self.connections[number] = connection
        connection.on_line = functools.partial(self._on_line, connection)
        connection.on_malformed = functools.partial(
            self._on_malformed, connection
        )
        stream.on_close = functools.partial(self._on_close, connection)
        account.close = functools.partial(self._abandon, connection)
        return connection

    def _on_malformed(self, connection: connections.ClientConnection) -> None:
        self.on_malformed()
        if not connection.stream.closed:
            self.refuse(connection.number, statements.Code.MALFORMED)
            self.on_closed(connection.number)

    def _on_line(
        self, connection: connections.ClientConnection, line: str
    ) -> None:
        if not connection.started:
            connection.begin_start()
            self.on_start(connection.number, *client_wire.decode_start(line))
            return
        if line == peer_wire.PING:
            connection.stream.send(words.encode([peer_wire.PONG]))
            return
        statement = client_wire.decode_query(line)
        if statement is None:
            self._abandon(connection)
        else:
            connection.account.add_statement(len(line), self.guard.now_ms)
            self.on_statement(connection.number, statement)

    def _abandon(self, connection: connections.ClientConnection) -> None:
        """Close a connection now, without its remaining answers."""
        connection.stream.close()
        self._on_close(connection)

    def _on_close(self, connection: connections.ClientConnection) -> None:
        if self._remove(connection.number) is not None:
            self.on_closed(connection.number)

    def _remove(self, number: int) -> connections.ClientConnection | None:
        connection = self.connections.pop(number, None)
        if connection is not None:
            connection.end()
        return connection


class _LinkConnection:
    __slots__ = ('stream', 'lines', 'replies', 'number', 'opened')

    def __init__(self, stream: streams.Stream, number: int) -> None:
        self.stream = stream
        self.lines = words.LineReader()
        self.replies = reply_reader.ReplyReader()
        self.number = number
        self.opened = False


class DatabaseSockets(ports.Databases):
    """Connections to instances.

    Attributes:
      on_open: Called with the number and the reply to the start, or None.
      on_reply: Called with the number and the reply to a command.
      on_lost: Called with the number of a connection that was lost.
      on_line: Called with the number, each line of a reply before it is
        parsed and, if the line ends a reply, the transaction state in it.
        Returns whether the line was forwarded to a borrowing node.
    """

    def __init__(self, loop: poller.Poller) -> None:
        """Start without connections."""
        self.poller = loop
        self.numbers = itertools.count(1)
        self.connections: dict[int, _LinkConnection] = {}
        self.on_open: _OnReply = ignore
        self.on_reply: _OnReply = ignore
        self.on_lost: typing.Callable[[int], None] = ignore
        self.on_line: typing.Callable[
            [int, str, statements.State | None],
            bool | None,
        ] = ignore

    def open(
        self,
        instance: records.Instance,
        lender: records.Address | None = None,
        customer: str = '',
    ) -> int:
        """Start to connect and return the number of the connection.

        Args:
          instance: Instance to reach.
          lender: Node that lends its link to the instance; None connects to
            the instance itself.
          customer: Name of the customer that the link belongs to, or ''.
        """
        number = next(self.numbers)
        stream = streams.connect(self.poller, lender or instance.address)
        connections.limit_silence(stream)
        connection = _LinkConnection(stream, number)
        self.connections[number] = connection
        stream.on_bytes = functools.partial(self._on_bytes, connection)
        stream.on_close = functools.partial(self._on_close, connection)
        stream.send(instance_wire.encode_start(instance, customer))
        return number

    def send(self, number: int, command: commands.Command) -> None:
        """Send a command; `on_reply` is called with its reply."""
        connection = self.connections.get(number)
        if connection is None:
            return
        connection.replies.expect(command)
        connection.stream.send(instance_wire.encode_command(command))

    def send_line(self, number: int, line: str) -> None:
        """Forward a command of a borrowing node unchanged."""
        connection = self.connections.get(number)
        if connection is not None:
            connection.stream.send(words.encode([line]))

    def close(self, number: int) -> None:
        """Close a connection; no callback is called for it afterwards."""
        connection = self.connections.pop(number, None)
        if connection is not None:
            connection.stream.close()

    def _on_bytes(self, connection: _LinkConnection, chunk: bytes) -> None:
        try:
            for line in connection.lines.feed(chunk):
                self._on_line(connection, line)
        except words.MalformedLineError:
            connection.stream.close()
            self._on_close(connection)

    def _on_line(self, connection: _LinkConnection, line: str) -> None:
        number = connection.number
        if number not in self.connections:
            return
        if self.on_line(number, line, words.ready_state(line)):
            return
        reply = connection.replies.feed(line)
        if connection.opened:
            if reply is not None:
                self.on_reply(connection.number, reply)
            return
        refused = connection.replies.reply
        if reply is None and refused.code is None:
            return
        # After a refusal the instance closes the connection and sends no READY.
        connection.opened = True
        self.on_open(connection.number, reply or refused)

    def _on_close(self, connection: _LinkConnection) -> None:
        if self.connections.pop(connection.number, None) is not None:
            self.on_lost(connection.number)


def ignore(*_args: typing.Any) -> None:
    """Do nothing; default of an unset callback."""
