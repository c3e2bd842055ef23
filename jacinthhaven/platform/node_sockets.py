"""TCP connections between the nodes of the proxy."""

import functools
import itertools
import logging
import typing

from jacinthhaven.adapters import listeners, poller, streams
from jacinthhaven.limits import guard
from jacinthhaven.platform import connections, peer_wire, sockets, words
from jacinthhaven.records import history
from jacinthhaven.sql import ports, records, statements


# Time in which another node must send its configuration.
_COPY_TIMEOUT_MS = 900
# The store holds values of up to 1 MB, which quoting can make twice as long.
_MAX_COPY_BYTES = 2_200_000

_TUNNEL = peer_wire.TUNNEL.removesuffix(words.END).decode()

Copy = typing.Callable[[], tuple[int, str]]


class BorrowerSockets(ports.Borrowers):
    """Accepts connections of nodes that borrow a link to an instance.

    Attributes:
      guard: Limits of the connections of this process.
      on_request: Called with the number and the requested service, customer
        and instance.
      on_line: Called with the number and a command for the instance.
      on_returned: Called with the number when the borrower has closed the
        connection.
      on_relayed: Called with the connection of a relayed session, the
        configuration version of the sending node, the database and the
        digest of the client's key.
      configuration: Returns the revision and the text of this node's
        configuration.
      on_tunnel: Called with the connection of a node that wants to reach the
        store, and the bytes that were received for it.
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
        self.on_request: typing.Callable[[int, str, str, str], None] = (
            sockets.ignore
        )
        self.on_line: typing.Callable[[int, str], None] = sockets.ignore
        self.on_returned: typing.Callable[[int], None] = sockets.ignore
        self.on_relayed: typing.Callable[
            [connections.ClientConnection, int, str, str],
            None,
        ] = sockets.ignore
        self.configuration: Copy = _nothing
        self.on_tunnel: typing.Callable[[streams.Stream, bytes], None] = (
            sockets.ignore
        )

    def listen(self, address: records.Address) -> int:
        """Start to accept connections and return the port."""
        self.listener = listeners.Listener(
            self.poller,
            address,
            self._on_stream,
        )
        return self.listener.port

    def grant(self, number: int) -> None:
        """Tell the borrower that it may use the link."""
        connection = self.connections.get(number)
        if connection is not None:
            connection.stream.send(words.encode_accept())

    def refuse(self, number: int) -> None:
        """Refuse for lack of a free link and close the connection."""
        connection = self._remove(number)
        if connection is not None:
            refusal = words.encode_refusal(statements.Code.CONNECTION_LIMIT)
            connection.stream.send(refusal)
            connection.stream.finish()

    def send_line(self, number: int, line: str) -> None:
        """Forward a line of the instance to the borrower."""
        connection = self.connections.get(number)
        if connection is not None:
            connection.stream.send(words.encode([line]))

    def end(self, number: int) -> None:
        """Close the connection after the link was lost."""
        connection = self._remove(number)
        if connection is not None:
            connection.stream.finish()

    def _on_stream(self, stream: streams.Stream) -> None:
        if not self.guard.admit():
            stream.close()
            return
        connections.limit_silence(stream)
        account = self.guard.open()
        connection = connections.ClientConnection(
            self.guard, stream, account, next(self.numbers)
        )
        self.connections[connection.number] = connection
        connection.on_line = functools.partial(self._on_text, connection)
        connection.on_malformed = functools.partial(self._abandon, connection)
        stream.on_close = functools.partial(self._on_close, connection)
        account.close = connection.on_malformed

    def _on_text(
        self, connection: connections.ClientConnection, line: str
    ) -> None:
        if connection.started:
            self.on_line(connection.number, line)
            return
        connection.start()
        if line == _TUNNEL:
            rest = connection.pass_on()
            self._remove(connection.number)
            self.on_tunnel(connection.stream, rest)
            return
        if line == peer_wire.COPY:
            self._send_copy(connection)
            return
        relayed = peer_wire.decode_relayed(line)
        if relayed is None:
            self.on_request(connection.number, *peer_wire.decode_loan(line))
            return
        self.connections.pop(connection.number)
        self.on_relayed(connection, *relayed)

    def _send_copy(self, connection: connections.ClientConnection) -> None:
        self._remove(connection.number)
        connection.stream.send(peer_wire.encode_copy(*self.configuration()))
        connection.stream.finish()

    def _abandon(self, connection: connections.ClientConnection) -> None:
        connection.stream.close()
        self._on_close(connection)

    def _on_close(self, connection: connections.ClientConnection) -> None:
        if self._remove(connection.number) is not None:
            self.on_returned(connection.number)

    def _remove(self, number: int) -> connections.ClientConnection | None:
        connection = self.connections.pop(number, None)
        if connection is not None:
            connection.end()
        return connection


class CopySockets(ports.ConfigurationCopies):
    """Connections that fetch the configuration of other nodes."""

    def __init__(self, loop: poller.Poller) -> None:
        """Start without connections."""
        self.poller = loop

    def fetch(self, address: records.Address, on_copy: ports.OnCopy) -> None:
        """Request the configuration of another node."""
        stream = streams.connect(self.poller, address)
        received = bytearray()
        stream.on_bytes = functools.partial(
            _on_copy_bytes, stream, received, on_copy
        )
        stream.send(words.encode([peer_wire.COPY]))
        self.poller.call_later(_COPY_TIMEOUT_MS, stream.close)


def _on_copy_bytes(
    stream: streams.Stream,
    received: bytearray,
    on_copy: ports.OnCopy,
    chunk: bytes,
) -> None:
    """Collect the reply, which is one line, and pass it on."""
    received += chunk
    line, end, _rest = received.partition(words.END)
    if not end and len(received) <= _MAX_COPY_BYTES:
        return
    stream.close()
    try:
        copy = peer_wire.decode_copy(bytes(line))
    except words.MalformedLineError:
        logging.getLogger(__name__).exception('copy of the configuration')
        return
    on_copy(*copy)


def _nothing() -> tuple[history.EraNumber, str]:
    """Return that there is no configuration; default of an unset callback."""
    return history.NONE, ''


class _RelayConnection:
    """Connection to an owner."""

    __slots__ = ('stream', 'reader', 'number')

    def __init__(self, stream: streams.Stream, number: int) -> None:
        self.stream = stream
        self.reader = words.LineReader()
        self.number = number


class RelaySockets(ports.Relays):
    """Connections to owners, which execute relayed sessions.

    Attributes:
      guard: Limits of the connections of this process.
      on_line: Called with the number, a line and, if the line ends a reply,
        the transaction state in it.
      on_alive: Called with the number when the owner answers a ping.
      on_lost: Called with the number of a connection that was lost.
    """

    def __init__(
        self, loop: poller.Poller, limits: guard.Guard | None = None
    ) -> None:
        """Start without connections."""
        self.poller = loop
        self.guard = limits or guard.Guard()
        self.numbers = itertools.count(1)
        self.connections: dict[int, _RelayConnection] = {}
        self.on_line: typing.Callable[
            [int, str, statements.State | None],
            None,
        ] = sockets.ignore
        self.on_alive: typing.Callable[[int], None] = sockets.ignore
        self.on_lost: typing.Callable[[int], None] = sockets.ignore

    def open(
        self,
        address: records.Address,
        database: str,
        version: int,
        key_digest: str = '',
    ) -> int:
        """Connect to an owner and ask it to execute a session."""
        number = next(self.numbers)
        stream = streams.connect(self.poller, address)
        connections.limit_silence(stream)
        connection = _RelayConnection(stream, number)
        self.connections[number] = connection
        self.guard.ledger.relays += 1
        stream.on_bytes = functools.partial(self._on_bytes, connection)
        stream.on_close = functools.partial(self._on_close, connection)
        stream.send(peer_wire.encode_relayed(database, version, key_digest))
        return number

    def send(self, number: int, statement: statements.Statement) -> None:
        """Forward a statement to the owner."""
        self._send(number, peer_wire.encode_query(statement))

    def ping(self, number: int) -> None:
        """Send a ping to check that the owner's process is alive."""
        self._send(number, words.encode([peer_wire.PING]))

    def close(self, number: int) -> None:
        """Close a connection; no callback is called for it afterwards."""
        connection = self._remove(number)
        if connection is not None:
            connection.stream.close()

    def _send(self, number: int, chunk: bytes) -> None:
        connection = self.connections.get(number)
        if connection is not None:
            connection.stream.send(chunk)

    def _on_bytes(self, connection: _RelayConnection, chunk: bytes) -> None:
        try:
            lines = connection.reader.feed(chunk)
        except words.MalformedLineError:
            connection.stream.close()
            self._on_close(connection)
            return
        for line in lines:
            if connection.number not in self.connections:
                return
            if line == peer_wire.PONG:
                self.on_alive(connection.number)
            else:
                self.on_line(connection.number, line, words.ready_state(line))

    def _on_close(self, connection: _RelayConnection) -> None:
        if self._remove(connection.number) is not None:
            self.on_lost(connection.number)

    def _remove(self, number: int) -> _RelayConnection | None:
        connection = self.connections.pop(number, None)
        if connection is not None:
            self.guard.ledger.relays -= 1
        return connection
