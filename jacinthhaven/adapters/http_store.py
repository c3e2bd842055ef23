"""Base class of clients for a key-value store with an HTTP API.

Calls share a small connection pool, one call at a time on each. A watch
has a connection of its own, since it stays open. Calls are not retried
here: only the decision code knows whether a retry is safe.
"""

import abc
import collections
import functools
import typing

from jacinthhaven.adapters import http_client, http_messages, poller
from jacinthhaven.decide import messages
from jacinthhaven.kernel import failures
from jacinthhaven.ports import store as store_port
from jacinthhaven.records import store

CALL_TIMEOUT_MS = 2000
_MAX_CONNECTIONS = 4
# All keys of one prefix arrive in one response. One value may have 1 MB,
# which base64 enlarges by a third.
_MAX_ANSWER_BYTES = 16_777_216

Address = tuple[str, int]


class _Call:
    """Call that is queued or waits for its reply."""

    __slots__ = ('number', 'request', 'connection')

    def __init__(self, message: messages.StoreCall) -> None:
        """Store the call; it has no connection yet."""
        self.number = message.number
        self.request = message.request
        self.connection: _Connection | None = None


class _Connection:
    """Pooled connection and its outstanding call, if any."""

    __slots__ = ('client', 'call')

    def __init__(self, client: http_client.Client) -> None:
        """Store the HTTP client; the connection has no call yet."""
        self.client = client
        self.call: _Call | None = None


class MalformedAnswerError(Exception):
    """A response of the store cannot be decoded."""


class Watch(abc.ABC):
    """Watch that owns its connection.

    Attributes:
      on_events: Called with the changes, and with the era of the store if it
        has one.
      on_lost: Called once with the reason when the watch ends, unless the
        owner closes it; and with the era if the store has ended it.
    """

    on_events: typing.Callable[..., None]
    on_lost: typing.Callable[..., None]

    @abc.abstractmethod
    def start(self, request: store.WatchRequest, timeout_ms: int) -> None:
        """Send the request; it must be confirmed within the timeout."""

    @abc.abstractmethod
    def close(self) -> None:
        """End the watch without calling `on_lost`."""


class HttpStore(store_port.Store):
    """Client that owns the connections to a store."""

    def __init__(
        self,
        loop: poller.Poller,
        addresses: typing.Iterable[Address],
        deliver: typing.Callable[[messages.StoreReply], None],
        call_timeout_ms: int = CALL_TIMEOUT_MS,
    ) -> None:
        """Create a client that connects on the first call.

        Args:
          loop: Poller of the process.
          addresses: IP address and port of each member of the store;
            after a failed connection the next member is used.
          deliver: Called with each reply.
          call_timeout_ms: Time until a call without a reply fails.
        """
        super().__init__(deliver)
        self.poller = loop
        self.addresses = collections.deque(addresses)
        self.call_timeout_ms = call_timeout_ms
        self.calls: dict[int, _Call] = {}
        self.queue: collections.deque[_Call] = collections.deque()
        self.connections: set[_Connection] = set()
        self.idle: list[_Connection] = []
        self.watches: dict[int, Watch] = {}

    def call(self, message: messages.StoreCall) -> None:
        """Send a call, or queue it until a connection is free."""
        if isinstance(message.request, store.WatchRequest):
            self._open_watch(message)
            return
        call = _Call(message)
        self.calls[call.number] = call
        self.queue.append(call)
        self.poller.call_later(
            self.call_timeout_ms,
            functools.partial(self._expire, call),
        )
        self._dispatch()

    def cancel(self, message: messages.StoreCancel) -> None:
        """End a watch."""
        watch = self.watches.pop(message.number, None)
        if watch is not None:
            watch.close()

    @abc.abstractmethod
    def send(self, client: http_client.Client, request: store.Request) -> None:
        """Encode a request and send it on a connection."""

    @abc.abstractmethod
    def decode(
        self,
        request: store.Request,
        message: http_messages.Message,
    ) -> store.Reply | failures.Failure:
        """Decode an HTTP response to the reply of the store.

        Raises:
          MalformedAnswerError: If the response cannot be decoded.
        """

    @abc.abstractmethod
    def new_watch(self, client: http_client.Client) -> Watch:
        """Return a watch that takes ownership of a new connection."""

    def era(self, _message: http_messages.Message) -> int:
        """Return the era of the store in a response; 0 if it has none."""
        return 0

    def connect(self) -> http_client.Client:
        """Return a new connection to the store."""
        client = http_client.Client(self.poller, self.addresses[0])
        client.parser.max_body = _MAX_ANSWER_BYTES
        return client

    def close_idle(self) -> None:
        """Close the connections that have no call."""
        for connection in self.idle:
            self.connections.discard(connection)
            connection.client.close()
        self.idle.clear()

    def _dispatch(self) -> None:
        while self.queue:
            connection = self._free_connection()
            if connection is None:
                return
            call = self.queue.popleft()
            call.connection = connection
            connection.call = call
            self.send(connection.client, call.request)

    def _free_connection(self) -> _Connection | None:
        if self.idle:
            return self.idle.pop()
        if len(self.connections) >= _MAX_CONNECTIONS:
            return None
        client = self.connect()
        connection = _Connection(client)
        client.on_reply = functools.partial(self._on_reply, connection)
        client.on_lost = functools.partial(
            self.poller.call_soon,
            functools.partial(
                self._drop_connection,
                connection,
                'the connection was lost',
            ),
        )
        self.connections.add(connection)
        return connection

    def _on_reply(
        self,
        connection: _Connection,
        message: http_messages.Message,
    ) -> None:
        call = connection.call
        if call is None:
            self._drop_connection(connection, 'response without a pending call')
            return
        try:
            reply = self.decode(call.request, message)
        except MalformedAnswerError as error:
            self._drop_connection(connection, f'malformed response: {error}')
            return
        connection.call = None
        if message.keep_alive:
            self.idle.append(connection)
        else:
            self.connections.discard(connection)
        self._finish(call, reply, self.era(message))
        self._dispatch()

    def _drop_connection(self, connection: _Connection, reason: str) -> None:
        if connection not in self.connections:
            return
        self.connections.discard(connection)
        if connection in self.idle:
            self.idle.remove(connection)
        connection.client.close()
        self.addresses.rotate(-1)
        if connection.call is not None:
            self._finish(
                connection.call,
                failures.STORE_UNAVAILABLE.because(reason),
            )
        self._dispatch()

    def _expire(self, call: _Call) -> None:
        if self.calls.get(call.number) is not call:
            return
        if call.connection is None:
            self.queue.remove(call)
            self._finish(
                call,
                failures.STORE_UNAVAILABLE.because('no connection was free'),
            )
        else:
            self._drop_connection(
                call.connection, 'no response within the timeout'
            )

    def _finish(
        self,
        call: _Call,
        reply: store.Reply | failures.Failure,
        era: int = 0,
    ) -> None:
        self.calls.pop(call.number)
        self._report(call.number, reply, era)

    def _open_watch(self, message: messages.StoreCall) -> None:
        watch = self.new_watch(self.connect())
        self.watches[message.number] = watch
        watch.on_events = functools.partial(self._report, message.number)
        watch.on_lost = functools.partial(self._fail_watch, message.number)
        watch.start(message.request, self.call_timeout_ms)

    def _fail_watch(self, number: int, reason: str, era: int = 0) -> None:
        self.watches.pop(number)
        self.addresses.rotate(-1)
        lost = failures.STORE_UNAVAILABLE.because(reason)
        self._report(number, lost, era)

    def _report(
        self,
        number: int,
        reply: store.Reply | failures.Failure,
        era: int = 0,
    ) -> None:
        self.deliver(messages.StoreReply(number, reply, era))
