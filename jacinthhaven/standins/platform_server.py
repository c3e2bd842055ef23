"""Process of the platform: the store's JSON gateway and the list of VMs.

`POST /vms` replaces the list of VMs; `GET /vms` shows it after a settable
lag. The list stays available during an outage of the store.
"""

import collections
import functools
import http
import typing

import msgspec
import typer

from jacinthhaven.adapters import http_server, poller
from jacinthhaven.kernel import failures
from jacinthhaven.records import store
from jacinthhaven.standins import (
    control,
    etcd_replies,
    etcd_requests,
    process,
    store_model,
)

_EXPIRY_CHECK_MS = 50
# A value of 1 MB grows by a third in base64, and a transaction may hold
# several.
_MAX_BODY_BYTES = 8_388_608
_STREAM_HEAD = (
    b'HTTP/1.1 200 OK\r\n'
    b'Content-Type: application/json\r\n'
    b'Transfer-Encoding: chunked\r\n\r\n'
)


class Faults(control.Settings):
    """Settable faults of the platform; the defaults mean no fault.

    Attributes:
      outage: Whether the store closes every connection without an answer.
      slow_ms: Delay of every answer and watch event after its effect.
      lose_answers: Number of next answers to lose after their effect.
      lose_kinds: Kinds of calls whose answers get lost; empty for all.
      vms_lag_ms: Delay until a new list of VMs is visible.
    """

    outage: bool = False
    slow_ms: int = 0
    lose_answers: int = 0
    lose_kinds: list[str] = msgspec.field(default_factory=list)
    vms_lag_ms: int = 0


class Machine(msgspec.Struct, forbid_unknown_fields=True):
    """One VM; `state` is `live` or `leaving`."""

    name: str
    address: str
    zone: str
    state: typing.Literal['live', 'leaving'] = 'live'


class Control(msgspec.Struct):
    """Answer of `/control`: call counts by kind and faults in force."""

    counts: dict[str, int]
    watching: int
    revision: int
    faults: Faults


class PlatformServer:
    """Task that serves the store model and the list of VMs over HTTP."""

    def __init__(self, loop: poller.Poller) -> None:
        """Create the task; `server.listen` starts it."""
        self.poller = loop
        self.model = store_model.StoreModel()
        self.faults = Faults()
        self.server = http_server.Server(
            loop,
            self._on_request,
            _MAX_BODY_BYTES,
        )
        self.server.on_disconnect = self.model.close_watch
        self.machines: list[Machine] = []
        self.delayed: collections.deque[typing.Callable[[], None]] = (
            collections.deque()
        )
        self.paths = {
            '/control': self._control,
            '/vms': self._list_machines,
        }
        loop.call_later(_EXPIRY_CHECK_MS, self._expire)

    def change_faults(self, document: bytes) -> None:
        """Change some of the faults.

        Args:
          document: JSON object with values of `Faults`.

        Raises:
          msgspec.DecodeError: If the document is not valid.
        """
        faults = self.faults.changed(document)
        begins = faults.outage and not self.faults.outage
        ends = self.faults.outage and not faults.outage
        self.faults = faults
        if begins:
            for connection in tuple(self.model.watches):
                connection.close()
            self.model.begin_outage()
        elif ends:
            self.model.end_outage(self.poller.clock.now_ms())

    def _on_request(self, exchange: http_server.Exchange) -> None:
        handler = self.paths.get(exchange.message.path, self._call)
        handler(exchange)

    def _call(self, exchange: http_server.Exchange) -> None:
        if self.faults.outage:
            exchange.connection.close()
            return
        message = exchange.message
        try:
            request = etcd_requests.decode(message.path, message.body)
        except etcd_requests.ErrorStatus as refused:
            exchange.respond_json(refused.status, refused.document)
            return
        if isinstance(request, store.WatchRequest):
            self._watch(exchange, request)
            return
        status, document = self._run(request)
        self._push_events()
        if self._loses(request):
            exchange.connection.close()
        else:
            self._send(
                functools.partial(exchange.respond_json, status, document),
            )

    def _run(self, request: store.Request) -> tuple[int, typing.Any]:
        known = self.model.leases.keys()
        missing = (
            isinstance(request, store.RevokeRequest)
            and request.lease not in known
        )
        reply = self.model.call(request, self.poller.clock.now_ms())
        try:
            if missing:
                raise etcd_requests.lease_not_found()
            document = etcd_replies.encode(request, reply, self.model.space)
        except etcd_requests.ErrorStatus as refused:
            return refused.status, refused.document
        return http.HTTPStatus.OK, document

    def _loses(self, request: store.Request) -> bool:
        kinds = self.faults.lose_kinds
        if not self.faults.lose_answers:
            return False
        if kinds and store_model.kind(request) not in kinds:
            return False
        self.faults.lose_answers -= 1
        return True

    def _watch(
        self,
        exchange: http_server.Exchange,
        request: store.WatchRequest,
    ) -> None:
        # The exchange stays unanswered, so the stream owns its connection.
        connection = exchange.connection
        refusal = self.model.open_watch(connection, request)
        created: dict[str, typing.Any] = {
            **etcd_replies.header(self.model.space.revision),
            'created': True,
        }
        if refusal is not None:
            created['canceled'] = True
            created['compact_revision'] = str(self.model.space.compacted)
        self._send(functools.partial(connection.stream.send, _STREAM_HEAD))
        self._send_chunk(connection, {'result': created})
        self._push_events()

    def _push_events(self) -> None:
        for connection in tuple(self.model.watches):
            for events in self.model.take_events(connection):
                document = etcd_replies.encode_events(events)
                self._send_chunk(connection, document)

    def _send_chunk(
        self,
        connection: http_server.ServerConnection,
        document: typing.Any,
    ) -> None:
        body = msgspec.json.encode(document)
        # The size includes the line feed after each document.
        size = format(len(body) + 1, 'x').encode()
        self._send(
            functools.partial(
                connection.stream.send,
                b''.join((size, b'\r\n', body, b'\n\r\n')),
            ),
        )

    def _send(self, action: typing.Callable[[], None]) -> None:
        # Delayed actions run in order, also when the delay gets shorter.
        if self.faults.slow_ms or self.delayed:
            self.delayed.append(action)
            self.poller.call_later(self.faults.slow_ms, self._send_next)
        else:
            action()

    def _send_next(self) -> None:
        self.delayed.popleft()()

    def _expire(self) -> None:
        self.model.advance(self.poller.clock.now_ms())
        self._push_events()
        self.poller.call_later(_EXPIRY_CHECK_MS, self._expire)

    def _control(self, exchange: http_server.Exchange) -> None:
        if exchange.message.method == 'POST':
            try:
                self.change_faults(exchange.message.body)
            except msgspec.DecodeError as error:
                _refuse(exchange, error)
                return
        exchange.respond_json(
            http.HTTPStatus.OK,
            Control(
                counts=self.model.counts,
                watching=len(self.model.watches),
                revision=self.model.space.revision,
                faults=self.faults,
            ),
        )

    def _list_machines(self, exchange: http_server.Exchange) -> None:
        if exchange.message.method == 'POST':
            try:
                machines = msgspec.json.decode(
                    exchange.message.body,
                    type=list[Machine],
                )
            except msgspec.DecodeError as error:
                _refuse(exchange, error)
                return
            self._replace_machines(machines)
        exchange.respond_json(http.HTTPStatus.OK, self.machines)

    def _replace_machines(self, machines: list[Machine]) -> None:
        # The visible list is replaced as a whole, as the platform does.
        replace = functools.partial(setattr, self, 'machines', machines)
        if self.faults.vms_lag_ms:
            self.poller.call_later(self.faults.vms_lag_ms, replace)
        else:
            replace()


def _refuse(
    exchange: http_server.Exchange,
    error: msgspec.DecodeError,
) -> None:
    exchange.respond_json(
        http.HTTPStatus.BAD_REQUEST,
        {'error': failures.BAD_REQUEST.code, 'detail': str(error)},
    )


app = typer.Typer(add_completion=False)


@app.command()
def main(port: int = 0) -> None:
    """Run the platform until SIGTERM; port 0 takes any free port."""
    task = PlatformServer(poller.Poller())
    process.run(task.server, port)


if __name__ == '__main__':
    app()
