"""Stand-in of the platform's metadata store and of its promotion orders."""

import http
import typing
from urllib import parse as urls

import msgspec

from jacinthhaven.adapters import http_messages, http_server, poller
from jacinthhaven.kernel import failures
from jacinthhaven.records import store
from jacinthhaven.standins import control, key_space, store_model

_CHECK_MS = 10
_EMPTY = b'{}'

Handler = typing.Callable[
    [http_server.Exchange, dict[str, list[str]], int],
    None,
]


class Faults(control.Settings):
    """Settable faults; the defaults mean no fault.

    Attributes:
      refuse: Whether every call gets 503.
      silent: Whether no call is answered.
      lose_answers: Number of next writes whose answers are lost.
      forget: Whether watches get 410.
    """

    refuse: bool = False
    silent: bool = False
    lose_answers: int = 0
    forget: bool = False


class _Put(msgspec.Struct):
    key: str
    value: bytes
    lease: int = 0


class _Compare(msgspec.Struct):
    key: str
    revision: int


class _Transaction(msgspec.Struct):
    expect: list[_Compare] = msgspec.field(default_factory=list)
    puts: list[_Put] = msgspec.field(default_factory=list)
    deletes: list[str] = msgspec.field(default_factory=list)


class _Grant(msgspec.Struct, rename='camel'):
    ttl_ms: int


class _Order(msgspec.Struct):
    service: str
    id: str


class KvServer:
    """HTTP server on a store model.

    Attributes:
      model: Keys, leases and history.
      faults: Faults in force.
      orders: Accepted promotions as (service, instance, fence).
      on_order: Called with the service and instance of an accepted order.
    """

    def __init__(self, loop: poller.Poller) -> None:
        """Create a server that does not listen yet."""
        self.poller = loop
        self.model = store_model.StoreModel()
        self.faults = Faults()
        self.orders: list[tuple[str, str, int]] = []
        self.on_order: typing.Callable[[str, str], None] = _ignore
        self.server = http_server.Server(loop, self._on_request)
        self.server.new_parser = http_messages.HeaderParser
        self._announce_era()
        self.watches: list[_Watch] = []
        self.handlers: dict[str, Handler] = {
            '/kv-range': self._on_range,
            '/kv-watch': self._on_watch,
            '/kv-txn': self._on_transaction,
            '/kv-lease': self._on_lease,
            '/failover': self._on_failover,
        }
        loop.call_later(_CHECK_MS, self._check_watches)

    def restore(self, copy: key_space.KeySpace) -> None:
        """Bring the store back from a copy, which cuts all connections."""
        self.model.restore(copy)
        self.watches.clear()
        for connection in tuple(self.server.connections):
            connection.close()
        self._announce_era()

    def _announce_era(self) -> None:
        era = self.model.era
        self.server.headers = f'Store-Era: {era}\r\n'

    def _now_ms(self) -> int:
        return self.poller.clock.now_ms()

    def _on_request(self, exchange: http_server.Exchange) -> None:
        parts = urls.urlsplit(exchange.message.path)
        if self.faults.silent:
            return
        if self.faults.refuse:
            exchange.respond(http.HTTPStatus.SERVICE_UNAVAILABLE, _EMPTY)
            return
        self.model.advance(self._now_ms())
        handler = self.handlers.get(parts.path)
        query = urls.parse_qs(parts.query)
        if handler is None:
            self._on_lease_path(exchange, parts.path)
        else:
            handler(exchange, query, self._now_ms())

    def _on_range(
        self,
        exchange: http_server.Exchange,
        query: dict[str, list[str]],
        now_ms: int,
    ) -> None:
        request = store.ReadRequest(_first(query, 'prefix'))
        reply = self.model.call(request, now_ms)
        listed = [_document(entry) for entry in reply.entries]
        answer = {'items': listed, 'currentRev': reply.revision}
        exchange.respond_json(http.HTTPStatus.OK, answer)

    def _on_watch(
        self,
        exchange: http_server.Exchange,
        query: dict[str, list[str]],
        now_ms: int,
    ) -> None:
        if self.faults.forget:
            exchange.respond(http.HTTPStatus.GONE, _EMPTY)
            return
        after = int(_first(query, 'after'))
        request = store.WatchRequest(_first(query, 'prefix'), after + 1)
        wait_ms = int(_first(query, 'waitMs'))
        watch = _Watch(exchange, now_ms + wait_ms)
        known = after <= self.model.space.revision
        if known and self.model.open_watch(watch, request) is None:
            self.watches.append(watch)
        else:
            exchange.respond(http.HTTPStatus.GONE, _EMPTY)

    def _on_transaction(
        self,
        exchange: http_server.Exchange,
        _query: dict[str, list[str]],
        now_ms: int,
    ) -> None:
        body = msgspec.json.decode(exchange.message.body, type=_Transaction)
        puts = [
            store.Put(put.key, put.value.decode(), put.lease)
            for put in body.puts
        ]
        deletes = [store.Delete(key) for key in body.deletes]
        compares = [
            store.Compare(compare.key, compare.revision)
            for compare in body.expect
        ]
        reply = self.model.call(
            store.SwapRequest(tuple(compares), (*puts, *deletes)),
            now_ms,
        )
        if self.faults.lose_answers:
            self.faults.lose_answers -= 1
        elif isinstance(reply, failures.Failure) or not reply.succeeded:
            exchange.respond(http.HTTPStatus.PRECONDITION_FAILED, _EMPTY)
        else:
            exchange.respond_json(
                http.HTTPStatus.OK,
                {'revision': reply.revision},
            )

    def _on_lease(
        self,
        exchange: http_server.Exchange,
        _query: dict[str, list[str]],
        now_ms: int,
    ) -> None:
        body = msgspec.json.decode(exchange.message.body, type=_Grant)
        reply = self.model.call(store.LeaseRequest(body.ttl_ms), now_ms)
        exchange.respond_json(
            http.HTTPStatus.OK,
            {'lease': reply.lease, 'ttlMs': reply.ttl_ms},
        )

    def _on_lease_path(
        self,
        exchange: http_server.Exchange,
        path: str,
    ) -> None:
        kind, _, number = path.strip('/').partition('/')
        if kind == 'kv-keep':
            request: typing.Any = store.KeepAliveRequest(int(number))
        elif kind == 'kv-lease-end':
            request = store.RevokeRequest(int(number))
        else:
            exchange.respond(http.HTTPStatus.NOT_FOUND, _EMPTY)
            return
        reply = self.model.call(request, self._now_ms())
        if kind == 'kv-keep' and not reply.ttl_ms:
            exchange.respond(http.HTTPStatus.NOT_FOUND, _EMPTY)
        else:
            exchange.respond_json(
                http.HTTPStatus.OK,
                {'ttlMs': getattr(reply, 'ttl_ms', 0)},
            )

    def _on_failover(
        self,
        exchange: http_server.Exchange,
        _query: dict[str, list[str]],
        _now_ms: int,
    ) -> None:
        body = msgspec.json.decode(exchange.message.body, type=_Order)
        fence = int(exchange.message.headers['x-fence-token'])
        newest = max((order[2] for order in self.orders), default=0)
        if fence < newest:
            exchange.respond(http.HTTPStatus.CONFLICT, _EMPTY)
            return
        self.orders.append((body.service, body.id, fence))
        self.on_order(body.service, body.id)
        exchange.respond(http.HTTPStatus.OK, _EMPTY)

    def _check_watches(self) -> None:
        self.poller.call_later(_CHECK_MS, self._check_watches)
        self.model.advance(self._now_ms())
        for watch in tuple(self.watches):
            changes = self.model.take_events(watch)
            if changes or self._now_ms() >= watch.until_ms:
                self.watches.remove(watch)
                self.model.close_watch(watch)
                self._answer_watch(watch, changes)

    def _answer_watch(
        self,
        watch: '_Watch',
        changes: list[store.WatchEvents],
    ) -> None:
        events = []
        for change in changes:
            events.extend(_document(entry) for entry in change.changed)
            events.extend(
                {'key': key, 'revision': change.revision, 'removed': True}
                for key in change.deleted
            )
        watch.exchange.respond_json(
            http.HTTPStatus.OK,
            {'events': events, 'currentRev': self.model.space.revision},
        )


class _Watch:
    """Watch that waits for changes."""

    def __init__(self, exchange: http_server.Exchange, until_ms: int) -> None:
        self.exchange = exchange
        self.until_ms = until_ms


def _first(query: dict[str, list[str]], name: str) -> str:
    return query[name][0]


def _document(entry: store.KeyValue) -> dict[str, typing.Any]:
    return {
        'key': entry.key,
        'value': entry.value.encode(),
        'revision': entry.mod_revision,
        'created': entry.create_revision,
        'lease': entry.lease,
    }


def _ignore(*_args: typing.Any) -> None:
    """Do nothing; default of an unset callback."""
