"""HTTP/1.1 server with pipelining that responds in request order.

Handlers may respond at once or later and in any order. The server sends
the responses of one connection in the order of its requests, as HTTP/1.1
requires, and never on another connection.
"""

import collections
import http
import typing

import msgspec

from jacinthhaven.adapters import http_messages, listeners, poller, streams

_IDLE_CHECK_MS = 1000
# Time within which a client must complete a partially sent request.
REQUEST_TIMEOUT_MS = 10_000
# Most pipelined requests of one connection that wait for a response or
# whose response the client has not read yet.
_MAX_PIPELINED = 64


class Exchange:
    """One request and its response, queued in the order of the requests.

    Attributes:
      answer: Encoded response, or None until the handler responds.
      closes: Whether the connection is closed after the response.
    """

    __slots__ = ('connection', 'message', 'answer', 'closes', 'number')

    def __init__(
        self,
        connection: 'ServerConnection',
        message: http_messages.Message,
    ) -> None:
        """Store the request and the connection that it arrived on."""
        self.connection = connection
        self.message = message
        self.answer: bytes | None = None
        self.closes = not message.keep_alive
        self.number = 0

    @property
    def abandoned(self) -> bool:
        """Return whether the connection of the request is closed."""
        return self.connection.stream.closed

    def respond(self, status: int, body: bytes) -> None:
        """Respond to the request; later calls have no effect."""
        if self.answer is None:
            connection = self.connection
            if connection.draining and connection.is_last(self):
                # Only the last response may carry `Connection: close`,
                # since clients discard what follows it.
                self.closes = True
                connection.ended = True
            self.answer = http_messages.format_response(
                status,
                body,
                not self.closes,
                connection.server.headers,
            )
            connection.send_ready()

    def respond_json(self, status: int, document: typing.Any) -> None:
        """Respond to the request with a document encoded as JSON."""
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
        'ended',
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
        # Whether further received bytes are ignored.
        self.ended = False
        self.partial_since_ms = 0
        self.context: typing.Any = None
        if stream.handshaking:
            self.partial_since_ms = server.poller.clock.now_ms()
            stream.on_open = self.on_open
        stream.on_bytes = self.on_bytes
        stream.on_close = self.on_close

    def on_open(self) -> None:
        """Clear the timeout when the TLS handshake is complete."""
        self.partial_since_ms = 0

    def on_bytes(self, chunk: bytes) -> None:
        """Parse received bytes and pass complete requests to the handler."""
        if self.ended:
            return
        error = None
        try:
            messages = self.parser.feed(chunk)
        except http_messages.BadMessageError as bad:
            error = bad
            messages = bad.complete
        waiting = len(self.exchanges) + len(self.stream.outgoing)
        if waiting + len(messages) > _MAX_PIPELINED:
            self.reject(http.HTTPStatus.TOO_MANY_REQUESTS)
            return
        self._track_partial(bool(messages))
        for message in messages:
            self._handle(message)
        if error is not None and not self.ended:
            self._refuse(error)

    def on_close(self) -> None:
        """Remove a closed connection from the server."""
        self.server.connections.discard(self)
        self.server.on_disconnect(self)

    def close(self) -> None:
        """Close the connection now."""
        self.ended = True
        self.stream.close()
        self.on_close()

    def reject(self, status: http.HTTPStatus) -> None:
        """Report a client that exceeds a limit and close its connection."""
        bad = http_messages.BadMessageError(status, status.phrase)
        self.server.on_bad_message(bad)
        self.close()

    def is_last(self, exchange: Exchange) -> bool:
        """Return whether no later request waits for a response."""
        return not self.exchanges or self.exchanges[-1] is exchange

    def send_ready(self) -> None:
        """Send the responses that are next in request order."""
        while self.exchanges and self.exchanges[0].answer is not None:
            exchange = self.exchanges.popleft()
            self.stream.send(exchange.answer)
            if exchange.closes:
                self._finish()

    def finish_when_idle(self) -> None:
        """Close the connection if no request waits for a response."""
        if not self.exchanges:
            self._finish()

    def _finish(self) -> None:
        self.ended = True
        self.stream.finish()
        # The request timeout also limits the time that the client may take
        # to read its last response.
        self.partial_since_ms = self.server.poller.clock.now_ms()
        if self.stream.closed:
            self.server.connections.discard(self)

    def _handle(self, message: http_messages.Message) -> None:
        if self.ended:
            return
        exchange = Exchange(self, message)
        self.exchanges.append(exchange)
        self.ended = exchange.closes
        self.server.handler(exchange)

    def _track_partial(self, completed: bool) -> None:
        if self.parser.idle:
            self.partial_since_ms = 0
        elif completed or not self.partial_since_ms:
            self.partial_since_ms = self.server.poller.clock.now_ms()

    def _refuse(self, error: http_messages.BadMessageError) -> None:
        self.server.on_bad_message(error)
        self.ended = True
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
    """HTTP server: a listener and its connections.

    Attributes:
      headers: Further header lines of all responses, each ending in CR LF.
    """

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
        self.listener: listeners.Listener | None = None
        self.draining = False
        self.headers = ''
        self.on_disconnect: typing.Callable[[ServerConnection], None] = _ignore
        self.on_bad_message: typing.Callable[
            [http_messages.BadMessageError],
            None,
        ] = _ignore

    def listen(
        self,
        address: tuple[str, int],
        tls: typing.Any = None,
        *,
        share_port: bool = False,
    ) -> int:
        """Start to accept connections.

        Args:
          address: IP address and TCP port.
          tls: TLS context, or None.
          share_port: Whether other processes may listen on the same port.

        Returns:
          The bound TCP port.

        Raises:
          OSError: If the address cannot be bound.
        """
        self.listener = listeners.Listener(
            self.poller,
            address,
            self._on_stream,
            tls,
            share_port=share_port,
        )
        self.poller.call_later(_IDLE_CHECK_MS, self._close_timed_out)
        return self.listener.port

    def stop_accepting(self) -> None:
        """Close the listening socket and keep the open connections."""
        if self.listener is not None:
            self.listener.close()

    def drain(self) -> None:
        """Close each connection after its last pending response."""
        self.draining = True
        for connection in self.connections:
            connection.draining = True

    def close_idle(self) -> None:
        """Close the connections that have no pending request."""
        for connection in tuple(self.connections):
            connection.finish_when_idle()

    def _on_stream(self, stream: streams.Stream) -> None:
        self.connections.add(ServerConnection(self, stream))

    def _close_timed_out(self) -> None:
        limit_ms = self.poller.clock.now_ms() - REQUEST_TIMEOUT_MS
        for connection in tuple(self.connections):
            if not 0 < connection.partial_since_ms < limit_ms:
                continue
            if connection.ended:
                connection.close()
            else:
                connection.reject(http.HTTPStatus.REQUEST_TIMEOUT)
        self.poller.call_later(_IDLE_CHECK_MS, self._close_timed_out)


def _ignore(_subject: typing.Any) -> None:
    """Do nothing; default of an unset callback."""
