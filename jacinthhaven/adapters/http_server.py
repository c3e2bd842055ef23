"""HTTP/1.1 server on the poller that answers in request order.

Handlers may answer at once or later and in any order; the server sends
the answers of one connection in the order of its requests, as HTTP/1.1
requires, and never on another connection.
"""

import collections
import typing

import msgspec

from jacinthhaven.adapters import http_messages, poller, streams

_IDLE_CHECK_MS = 1000
# A caller that sends a partial request must finish it within this time.
REQUEST_TIMEOUT_MS = 10_000
# Pipelined requests of one connection that may wait for answers.
_MAX_PIPELINED = 64


class Exchange:
    """One request and the place of its answer in the connection's order."""

    __slots__ = ('connection', 'message', 'answer', 'number')

    def __init__(
        self,
        connection: 'ServerConnection',
        message: http_messages.Message,
    ) -> None:
        """Remember the request and the connection that it arrived on."""
        self.connection = connection
        self.message = message
        self.answer: bytes | None = None
        self.number = 0

    @property
    def abandoned(self) -> bool:
        """Return whether the caller closed its connection."""
        return self.connection.stream.closed

    def respond(self, status: int, body: bytes) -> None:
        """Answer the request; only the first answer counts."""
        if self.answer is None:
            self.answer = http_messages.format_response(
                status,
                body,
                self.message.keep_alive and not self.connection.draining,
            )
            self.connection.send_ready()

    def respond_json(self, status: int, document: typing.Any) -> None:
        """Answer the request with a document encoded as JSON."""
        self.respond(status, msgspec.json.encode(document))


Handler = typing.Callable[[Exchange], None]


class ServerConnection:
    """One connection of a client to the server."""

    __slots__ = (
        'stream',
        'server',
        'parser',
        'exchanges',
        'draining',
        'partial_since_ms',
        'context',
    )

    def __init__(self, server: 'Server', stream: streams.Stream) -> None:
        """Start to read requests from an accepted stream."""
        self.server = server
        self.stream = stream
        self.parser = server.new_parser(False, server.max_body)
        self.exchanges: collections.deque[Exchange] = collections.deque()
        self.draining = server.draining
        self.partial_since_ms = 0
        self.context: typing.Any = None
        stream.on_bytes = self.on_bytes
        stream.on_close = self.on_close

    def on_bytes(self, chunk: bytes) -> None:
        """Parse received bytes and hand complete requests to the handler."""
        try:
            messages = self.parser.feed(chunk)
        except http_messages.BadMessageError as error:
            self._refuse(error)
            return
        if len(self.exchanges) + len(messages) > _MAX_PIPELINED:
            self.close()
            return
        self._mark_partial()
        for message in messages:
            exchange = Exchange(self, message)
            self.exchanges.append(exchange)
            self.server.handler(exchange)

    def on_close(self) -> None:
        """Drop the waiting exchanges of a closed connection."""
        self.server.connections.discard(self)
        self.server.on_disconnect(self)

    def close(self) -> None:
        """Close the connection now."""
        self.stream.close()
        self.on_close()

    def send_ready(self) -> None:
        """Send the answers that are next in order."""
        while self.exchanges and self.exchanges[0].answer is not None:
            exchange = self.exchanges.popleft()
            self.stream.send(exchange.answer)
            if not exchange.message.keep_alive or self.draining:
                self.finish_when_idle(exchange.message.keep_alive)

    def finish_when_idle(self, keep_alive: bool = True) -> None:
        """Close once nothing is waiting for an answer."""
        if keep_alive and self.exchanges:
            return
        self.stream.finish()
        self.server.connections.discard(self)

    def _mark_partial(self) -> None:
        if self.parser.idle:
            self.partial_since_ms = 0
        elif not self.partial_since_ms:
            self.partial_since_ms = self.server.poller.clock.now_ms()

    def _refuse(self, error: http_messages.BadMessageError) -> None:
        self.server.on_bad_message(error)
        message = http_messages.Message(keep_alive=False)
        exchange = Exchange(self, message)
        self.exchanges.append(exchange)
        exchange.respond_json(
            error.status,
            {
                'outcome': 'not_run',
                'error': 'bad_request',
                'detail': error.reason,
            },
        )


class Server:
    """Listener and its connections."""

    def __init__(
        self,
        loop: poller.Poller,
        handler: Handler,
        max_body: int = http_messages.MAX_BODY_BYTES,
    ) -> None:
        """Create a server that does not listen yet.

        Args:
          loop: Poller that watches the sockets.
          handler: Called with each complete request.
          max_body: Largest accepted body in bytes.
        """
        self.poller = loop
        self.handler = handler
        self.max_body = max_body
        self.new_parser: type[http_messages.Parser] = http_messages.Parser
        self.connections: set[ServerConnection] = set()
        self.listener: streams.Listener | None = None
        self.draining = False
        self.on_disconnect: typing.Callable[[ServerConnection], None] = _ignore
        self.on_bad_message: typing.Callable[
            [http_messages.BadMessageError],
            None,
        ] = _ignore

    def listen(self, address: tuple[str, int], tls: typing.Any = None) -> int:
        """Start to accept connections.

        Args:
          address: IP address and TCP port.
          tls: TLS context, or None.

        Returns:
          The bound TCP port.

        Raises:
          OSError: If the address cannot be bound.
        """
        self.listener = streams.Listener(
            self.poller,
            address,
            self._on_stream,
            tls,
        )
        self.poller.call_later(_IDLE_CHECK_MS, self._close_slow)
        return self.listener.port

    def stop_accepting(self) -> None:
        """Close the listening socket; open connections stay."""
        if self.listener is not None:
            self.listener.close()

    def drain(self) -> None:
        """Close each connection after its next answer."""
        self.draining = True
        for connection in self.connections:
            connection.draining = True

    def close_idle(self) -> None:
        """Close the connections without a request."""
        for connection in tuple(self.connections):
            connection.finish_when_idle()

    def _on_stream(self, stream: streams.Stream) -> None:
        self.connections.add(ServerConnection(self, stream))

    def _close_slow(self) -> None:
        limit_ms = self.poller.clock.now_ms() - REQUEST_TIMEOUT_MS
        for connection in tuple(self.connections):
            if 0 < connection.partial_since_ms < limit_ms:
                connection.close()
        self.poller.call_later(_IDLE_CHECK_MS, self._close_slow)


def _ignore(_subject: typing.Any) -> None:
    """Do nothing; default of an unset callback."""
