"""Backend kind `http_json`: HTTP/1.1 with JSON, one TCP connection each.

A backend server refuses a request with HTTP 409 and an error code. Any other
reply that cannot be decoded closes the connection, because the statement may
have been executed and later replies could be matched to the wrong request.
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

# Path and reply type by request type; the body of a successful reply to
# `/connect` is not read.
_ENDPOINTS = types.MappingProxyType(
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
        reply_type: msgspec.json.Decoder(reply_type)
        for reply_type in (
            *(reply for _path, reply in _ENDPOINTS.values()),
            backend.ErrorReply,
        )
    },
)


class _Connection:
    """One connection and its pending calls.

    Attributes:
      number: Connection number given by the decision code.
      client: HTTP client of the connection.
      opened: Whether the instance has accepted the connection.
      pending: Call number and reply type of each pending call, in order.
    """

    __slots__ = ('number', 'client', 'opened', 'pending')

    def __init__(self, number: int, client: http_client.Client) -> None:
        """Create a connection that the instance has not accepted yet."""
        self.number = number
        self.client = client
        self.opened = False
        self.pending: collections.deque[tuple[int, type]] = collections.deque()


@plugins.register(plugins.BACKEND_KIND, 'http_json')
class HttpBackends(backends.Backends):
    """HTTP connections of this process to the backend servers."""

    def __init__(
        self,
        loop: poller.Poller,
        instances: typing.Iterable[topology.Instance],
        deliver: typing.Callable[[backends.Report], None],
    ) -> None:
        """Create the task without connections.

        Args:
          loop: Poller of the process.
          instances: Instances that connections can be opened to.
          deliver: Called with each report for the decision code.
        """
        super().__init__(instances, deliver)
        self.poller = loop
        self.connections: dict[int, _Connection] = {}

    def open(self, message: messages.BackendOpen) -> None:
        """Connect to an instance and request the connection's slot."""
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
        # Deferred, because a failed write calls `on_lost` from within `call`.
        client.on_lost = functools.partial(
            self.poller.call_soon,
            functools.partial(
                self._handle_loss,
                connection,
                'the connection was closed',
            ),
        )

    def call(self, message: messages.BackendCall) -> None:
        """Send a request on an open connection."""
        connection = self.connections.get(message.connection)
        if connection is None:
            return
        path, reply_type = _ENDPOINTS[type(message.request)]
        connection.pending.append((message.number, reply_type))
        connection.client.send(path, _encoder.encode(message.request))

    def close(self, message: messages.BackendClose) -> None:
        """Close a connection."""
        connection = self.connections.pop(message.connection, None)
        if connection is not None:
            connection.client.close()

    def _report_unknown(self, message: messages.BackendOpen) -> None:
        failure = failures.CONNECTION_REFUSED.because(
            f'no configured instance {message.instance}',
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
            self._on_connect_reply(connection, message)
            return
        if not connection.pending:
            self._handle_loss(
                connection,
                'reply received without a pending request',
            )
            return
        number, reply_type = connection.pending.popleft()
        try:
            reply = _decode(message, reply_type)
        except msgspec.DecodeError as error:
            self._handle_loss(connection, f'malformed reply: {error}')
            return
        self.deliver(
            messages.BackendReply(connection.number, number, reply),
        )

    def _on_connect_reply(
        self,
        connection: _Connection,
        message: http_messages.Message,
    ) -> None:
        if message.status == http.HTTPStatus.OK:
            connection.opened = True
            self.deliver(messages.BackendOpened(connection.number))
            return
        failure = failures.CONNECTION_REFUSED.because('malformed error reply')
        if message.status == http.HTTPStatus.CONFLICT:
            failure = _decode_error_reply(message.body) or failure
        self._close_and_report(connection, failure)

    def _handle_loss(self, connection: _Connection, reason: str) -> None:
        kind = failures.CONNECTION_LOST
        if not connection.opened:
            kind = failures.CONNECTION_REFUSED
        self._close_and_report(connection, kind.because(reason))

    def _close_and_report(
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
    reply_type: type,
) -> backend.Reply | failures.Failure:
    if message.status == http.HTTPStatus.OK:
        return _decoders[reply_type].decode(message.body)
    if message.status == http.HTTPStatus.CONFLICT:
        return _to_failure(_decoders[backend.ErrorReply].decode(message.body))
    raise msgspec.DecodeError(f'unexpected HTTP status {message.status}')


def _decode_error_reply(body: bytes) -> failures.Failure | None:
    try:
        error_reply = _decoders[backend.ErrorReply].decode(body)
    except msgspec.DecodeError:
        return None
    return _to_failure(error_reply)


def _to_failure(error_reply: backend.ErrorReply) -> failures.Failure:
    kind = failures.BY_CODE.get(error_reply.error)
    if kind is None:
        return failures.PROTOCOL_ERROR.because(
            f'unknown error code {error_reply.error}',
        )
    return kind.because(error_reply.detail)
