"""Backend kind `http_json`: HTTP/1.1 with JSON, one connection each.

A refusal is HTTP 409 with a typed error. Any other reply that cannot be
decoded ends the connection, because its statement may have run and later
replies could be matched to the wrong call.
"""

import collections
import functools
import http
import types
import typing

import msgspec

from jacinthhaven.adapters import http_client, http_messages, poller
from jacinthhaven.decide import messages
from jacinthhaven.kernel import failures, plugins
from jacinthhaven.ports import backends
from jacinthhaven.records import backend, topology

# Path and reply of each request; the reply of `connect` is not read.
_CALLS = types.MappingProxyType(
    {
        backend.ExecuteRequest: ('/execute', backend.ExecuteReply),
        backend.ResolveRequest: ('/resolve', backend.ResolveReply),
        backend.StatusRequest: ('/status', backend.InstanceStatus),
        backend.FenceRequest: ('/fence', backend.FenceReply),
        backend.PromoteRequest: ('/promote', backend.FenceReply),
        backend.FollowRequest: ('/follow', backend.FenceReply),
    },
)
_encoder = msgspec.json.Encoder()
_decoders = types.MappingProxyType(
    {
        record: msgspec.json.Decoder(record)
        for record in (
            *(reply for _path, reply in _CALLS.values()),
            backend.ErrorReply,
        )
    },
)


class _Connection:
    """One connection and its calls that wait for replies."""

    __slots__ = ('number', 'client', 'opened', 'waiting')

    def __init__(self, number: int, client: http_client.Client) -> None:
        """Remember the connection's number and HTTP client."""
        self.number = number
        self.client = client
        self.opened = False
        self.waiting: collections.deque[tuple[int, type]] = collections.deque()


@plugins.register(plugins.BACKEND_KIND, 'http_json')
class HttpBackends(backends.Backends):
    """Task that owns the HTTP connections to the backend servers."""

    def __init__(
        self,
        loop: poller.Poller,
        instances: typing.Iterable[topology.Instance],
        deliver: typing.Callable[[backends.Report], None],
    ) -> None:
        """Start without connections.

        Args:
          loop: Poller of the process.
          instances: Instances that connections can be opened to.
          deliver: Receiver of the reports.
        """
        super().__init__(instances, deliver)
        self.poller = loop
        self.connections: dict[int, _Connection] = {}

    def open(self, message: messages.BackendOpen) -> None:
        """Connect to an instance and name the slot."""
        instance = self.instances.get(message.instance)
        if instance is None:
            self._report_unknown(message)
            return
        client = http_client.Client(
            self.poller,
            (instance.host, instance.port),
        )
        connection = _Connection(message.connection, client)
        self.connections[message.connection] = connection
        client.on_open = functools.partial(
            client.send,
            '/connect',
            _encoder.encode(message.request),
        )
        client.on_reply = functools.partial(self._on_reply, connection)
        # A failed write reports the loss from within `call`.
        client.on_lost = functools.partial(
            self.poller.call_soon,
            functools.partial(
                self._lose,
                connection,
                'the connection was closed',
            ),
        )

    def call(self, message: messages.BackendCall) -> None:
        """Send a request on an open connection."""
        connection = self.connections.get(message.connection)
        if connection is None:
            return
        path, reply = _CALLS[type(message.request)]
        connection.waiting.append((message.number, reply))
        connection.client.send(path, _encoder.encode(message.request))

    def close(self, message: messages.BackendClose) -> None:
        """Close a connection."""
        connection = self.connections.pop(message.connection, None)
        if connection is not None:
            connection.client.close()

    def _report_unknown(self, message: messages.BackendOpen) -> None:
        failure = failures.CONNECTION_REFUSED.because(
            f'no instance {message.instance}',
        )
        self.poller.call_soon(
            functools.partial(
                self.deliver,
                messages.BackendLost(message.connection, failure),
            ),
        )

    def _on_reply(
        self,
        connection: _Connection,
        message: http_messages.Message,
    ) -> None:
        if self.connections.get(connection.number) is not connection:
            return
        if not connection.opened:
            self._on_connected(connection, message)
            return
        if not connection.waiting:
            self._lose(connection, 'a reply without a request arrived')
            return
        number, record = connection.waiting.popleft()
        try:
            reply = _decode(message, record)
        except msgspec.DecodeError as error:
            self._lose(connection, f'malformed reply: {error}')
            return
        self.deliver(
            messages.BackendReply(connection.number, number, reply),
        )

    def _on_connected(
        self,
        connection: _Connection,
        message: http_messages.Message,
    ) -> None:
        if message.status == http.HTTPStatus.OK:
            connection.opened = True
            self.deliver(messages.BackendOpened(connection.number))
            return
        failure = failures.CONNECTION_REFUSED.because('malformed refusal')
        if message.status == http.HTTPStatus.CONFLICT:
            failure = _decode_refusal(message.body) or failure
        self._end(connection, failure)

    def _lose(self, connection: _Connection, reason: str) -> None:
        kind = failures.CONNECTION_LOST
        if not connection.opened:
            kind = failures.CONNECTION_REFUSED
        self._end(connection, kind.because(reason))

    def _end(
        self,
        connection: _Connection,
        failure: failures.Failure,
    ) -> None:
        if self.connections.get(connection.number) is not connection:
            return
        self.connections.pop(connection.number)
        connection.client.close()
        self.deliver(messages.BackendLost(connection.number, failure))


def _decode(
    message: http_messages.Message,
    record: type,
) -> backend.Reply | failures.Failure:
    if message.status == http.HTTPStatus.OK:
        return _decoders[record].decode(message.body)
    if message.status == http.HTTPStatus.CONFLICT:
        return _failure(_decoders[backend.ErrorReply].decode(message.body))
    raise msgspec.DecodeError(f'status {message.status}')


def _decode_refusal(body: bytes) -> failures.Failure | None:
    try:
        refusal = _decoders[backend.ErrorReply].decode(body)
    except msgspec.DecodeError:
        return None
    return _failure(refusal)


def _failure(refusal: backend.ErrorReply) -> failures.Failure:
    kind = failures.BY_CODE.get(refusal.error)
    if kind is None:
        return failures.PROTOCOL_ERROR.because(
            f'unknown error code {refusal.error}',
        )
    return kind.because(refusal.detail)
