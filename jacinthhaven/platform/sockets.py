"""TCP connections of client sessions and to instances."""

import functools
import itertools
import socket
import typing

from jacinthhaven.adapters import poller, streams
from jacinthhaven.platform import (
    client_wire,
    instance_wire,
    peer_wire,
    reply_reader,
    words,
)
from jacinthhaven.sql import commands, ports, records, statements

# A connection fails if sent bytes stay unacknowledged this long, as they do
# when the host is down.
_USER_TIMEOUT_MS = 4000
_OnReply = typing.Callable[[int, statements.Reply | None], None]


def limit_silence(stream: streams.Stream) -> None:
    """Let the kernel end a connection whose peer acknowledges nothing."""
    stream.sock.setsockopt(
        socket.IPPROTO_TCP,
        socket.TCP_USER_TIMEOUT,
        _USER_TIMEOUT_MS,
    )


class ClientConnection:
    """Connection of a client or of another node."""

    __slots__ = ('stream', 'reader', 'number', 'started', 'undelivered')

    def __init__(self, stream: streams.Stream, number: int) -> None:
        self.stream = stream
        self.reader = words.LineReader()
        self.number = number
        self.started = False
        # Lines of the last chunk that were not passed on yet.
        self.undelivered = 0


class ClientSockets(ports.Clients):
    """Accepts client connections and sends the answers.

    Attributes:
      on_start: Called with the number and database of a new session, and the
        digest of the client's key.
      on_statement: Called with the number and a statement.
      on_closed: Called with the number of a session that was closed.
      on_malformed: Called for each connection that sends malformed input.
    """

    def __init__(self, loop: poller.Poller) -> None:
        """Create the object without a listener."""
        self.poller = loop
        self.numbers = itertools.count(1)
        self.connections: dict[int, ClientConnection] = {}
        self.listener: streams.Listener | None = None
        self.on_start: typing.Callable[[int, str, str], None] = ignore
        self.on_statement: typing.Callable[
            [int, statements.Statement],
            None,
        ] = ignore
        self.on_closed: typing.Callable[[int], None] = ignore
        self.on_malformed: typing.Callable[[], None] = ignore

    def listen(self, address: tuple[str, int]) -> int:
        """Start to accept connections and return the port."""
        self.listener = streams.Listener(
            self.poller,
            address,
            self._on_stream,
        )
        return self.listener.port

    def adopt(self, stream: streams.Stream) -> int:
        """Add a session that another node relays.

        Args:
          stream: Connection from the node, whose first line was already read.

        Returns:
          Number of the session.
        """
        connection = self._add(stream)
        connection.started = True
        return connection.number

    def send_line(self, number: int, line: str) -> None:
        """Forward a line of the session's owner to the client."""
        self._send(number, words.encode([line]))

    def stop_accepting(self) -> None:
        """Close the listener."""
        if self.listener is not None:
            self.listener.close()

    def accept(self, number: int) -> None:
        """Tell the client that its session is open."""
        self._send(number, words.encode_accept())

    def refuse(self, number: int, code: statements.Code) -> None:
        """Refuse the session and close the connection."""
        connection = self.connections.pop(number, None)
        if connection is not None:
            connection.stream.send(words.encode_refusal(code))
            connection.stream.finish()

    def answer(self, number: int, answer: statements.Answer) -> None:
        """Send the answer to the oldest unanswered statement."""
        self._send(number, client_wire.encode_answer(answer))

    def close(self, number: int) -> None:
        """Close an idle connection once its last answer has been written."""
        connection = self.connections.pop(number, None)
        if connection is not None:
            connection.stream.finish()

    def has_more(self, number: int) -> bool:
        """Return whether received bytes of the client are still unread."""
        connection = self.connections.get(number)
        if connection is None:
            return False
        if connection.undelivered or connection.reader.rest:
            return True
        try:
            waiting = connection.stream.sock.recv(1, socket.MSG_PEEK)
        except OSError:
            # No bytes are available, or the connection has failed.
            return False
        return bool(waiting)

    def _send(self, number: int, chunk: bytes) -> None:
        connection = self.connections.get(number)
        if connection is not None:
            connection.stream.send(chunk)

    def _on_stream(self, stream: streams.Stream) -> None:
        limit_silence(stream)
        self._add(stream)

    def _add(self, stream: streams.Stream) -> ClientConnection:
        number = next(self.numbers)
        connection = ClientConnection(stream, number)
        self.connections[number] = connection
        stream.on_bytes = functools.partial(self._on_bytes, connection)
        stream.on_close = functools.partial(self._on_close, connection)
        return connection

    def _on_bytes(self, connection: ClientConnection, chunk: bytes) -> None:
        try:
            self._on_lines(connection, connection.reader.feed(chunk))
        except words.MalformedLineError:
            self.on_malformed()
            if not connection.stream.closed:
                self.refuse(connection.number, statements.Code.MALFORMED)
                self.on_closed(connection.number)

    def _on_lines(self, connection: ClientConnection, lines: list[str]) -> None:
        connection.undelivered = len(lines)
        for line in lines:
            connection.undelivered -= 1
            self._on_line(connection, line)

    def _on_line(self, connection: ClientConnection, line: str) -> None:
        if connection.number not in self.connections:
            return
        if not connection.started:
            connection.started = True
            self.on_start(connection.number, *client_wire.decode_start(line))
            return
        if line == peer_wire.PING:
            connection.stream.send(words.encode([peer_wire.PONG]))
            return
        statement = client_wire.decode_query(line)
        if statement is None:
            connection.stream.close()
            self._on_close(connection)
        else:
            self.on_statement(connection.number, statement)

    def _on_close(self, connection: ClientConnection) -> None:
        if self.connections.pop(connection.number, None) is not None:
            self.on_closed(connection.number)


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
        limit_silence(stream)
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
