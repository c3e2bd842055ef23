"""Store kind `platform`: client of the platform's metadata store."""

import functools
import http
import types
import typing
import urllib.parse

import msgspec

from jacinthhaven.adapters import (
    http_client,
    http_messages,
    http_store,
    poller,
)
from jacinthhaven.kernel import failures, plugins
from jacinthhaven.records import store

# One waiting watch counts as a call, so a longer wait is cheaper; a watch
# whose connection went silent is noticed that much later.
_WATCH_WAIT_MS = 1500
# Time for an answer beyond the wait.
_WATCH_SLACK_MS = 700
_MAX_ANSWER_BYTES = 4_194_304


class _Item(msgspec.Struct, rename='camel'):
    key: str
    # `revision` is the one of the last change, `created` the first one.
    revision: int
    created: int = 0
    value: bytes = b''
    lease: int = 0
    removed: bool = False


class _Range(msgspec.Struct, rename='camel'):
    items: list[_Item]
    # Revision of the whole store when it answered.
    current_rev: int


class _Events(msgspec.Struct, rename='camel'):
    events: list[_Item]
    current_rev: int


class _Swapped(msgspec.Struct):
    revision: int


class _Lease(msgspec.Struct, rename='camel'):
    ttl_ms: int
    lease: int = 0


_DECODERS = types.MappingProxyType(
    {
        kind: msgspec.json.Decoder(kind)
        for kind in (_Range, _Events, _Swapped, _Lease)
    },
)


def _decode(kind: type, body: bytes) -> typing.Any:
    try:
        return _DECODERS[kind].decode(body)
    except msgspec.DecodeError as error:
        raise http_store.MalformedAnswerError(str(error)) from error


def _entry(item: _Item) -> store.KeyValue:
    # Values of other writers may be any bytes; documents that are not text
    # fail when they are decoded.
    text = item.value.decode(errors='replace')
    return store.KeyValue(
        item.key,
        text,
        item.created,
        item.revision,
        item.lease,
    )


def _send_read(client: http_client.Client, request: typing.Any) -> None:
    prefix = urllib.parse.quote(request.prefix, safe='/')
    stale = '&allowStale=1' if request.may_be_stale else ''
    client.get(f'/kv-range?prefix={prefix}{stale}')


def _send_swap(client: http_client.Client, request: typing.Any) -> None:
    puts = []
    deletes = []
    for change in request.changes:
        if isinstance(change, store.Delete):
            deletes.append(change.key)
        else:
            puts.append(
                {
                    'key': change.key,
                    'value': change.value.encode(),
                    'lease': change.lease,
                },
            )
    expect = [
        {'key': compare.key, 'revision': compare.mod_revision}
        for compare in request.compares
    ]
    document = {'expect': expect, 'puts': puts, 'deletes': deletes}
    client.send('/kv-txn', msgspec.json.encode(document))


def _send_lease(client: http_client.Client, request: typing.Any) -> None:
    document = {'ttlMs': request.ttl_ms}
    client.send('/kv-lease', msgspec.json.encode(document))


def _send_keep(client: http_client.Client, request: typing.Any) -> None:
    client.send(f'/kv-keep/{request.lease}', b'')


def _send_revoke(client: http_client.Client, request: typing.Any) -> None:
    client.delete(f'/kv-lease-end/{request.lease}')


_SENDERS = types.MappingProxyType(
    {
        store.ReadRequest: _send_read,
        store.SwapRequest: _send_swap,
        store.LeaseRequest: _send_lease,
        store.KeepAliveRequest: _send_keep,
        store.RevokeRequest: _send_revoke,
    },
)


def _decode_ok(request: store.Request, body: bytes) -> store.Reply:
    match request:
        case store.ReadRequest():
            answer = _decode(_Range, body)
            entries = tuple(_entry(item) for item in answer.items)
            return store.ReadReply(answer.current_rev, entries)
        case store.SwapRequest():
            return store.SwapReply(True, _decode(_Swapped, body).revision)
        case store.LeaseRequest():
            lease = _decode(_Lease, body)
            return store.LeaseReply(lease.lease, lease.ttl_ms)
        case store.KeepAliveRequest(lease=number):
            return store.LeaseReply(number, _decode(_Lease, body).ttl_ms)
    return store.LeaseReply(0, 0)


@plugins.register(plugins.STORE_KIND, 'platform')
class PlatformStore(http_store.HttpStore):
    """Task that owns the connections to the platform's store.

    Attributes:
      watch_wait_ms: How long a watch without changes waits.
    """

    watch_wait_ms = _WATCH_WAIT_MS

    def send(self, client: http_client.Client, request: store.Request) -> None:
        """Send the request of a call."""
        _SENDERS[type(request)](client, request)

    def decode(
        self,
        request: store.Request,
        status: int,
        body: bytes,
    ) -> store.Reply | failures.Failure:
        """Return the reply in an answer."""
        if status == http.HTTPStatus.OK:
            return _decode_ok(request, body)
        if isinstance(request, store.SwapRequest):
            if status in {
                http.HTTPStatus.PRECONDITION_FAILED,
                http.HTTPStatus.NOT_FOUND,
            }:
                return store.SwapReply(False, 0)
        if status == http.HTTPStatus.NOT_FOUND:
            return store.LeaseReply(0, 0)
        return failures.STORE_UNAVAILABLE.because(f'status {status}')

    def new_watch(self, client: http_client.Client) -> http_store.Watch:
        """Return a watch that owns a new connection."""
        return _LongPoll(self.poller, client, self.watch_wait_ms)


class _LongPoll(http_store.Watch):
    """Watch that asks again after each answer."""

    def __init__(
        self,
        loop: poller.Poller,
        client: http_client.Client,
        wait_ms: int,
    ) -> None:
        """Take ownership of a new connection."""
        self.poller = loop
        self.wait_ms = wait_ms
        self.client = client
        client.parser.max_body = _MAX_ANSWER_BYTES
        self.on_events = _ignore
        self.on_lost = _ignore
        self.closed = False
        self.prefix = ''
        self.revision = 0
        self.round = 0
        client.on_reply = self._on_reply
        client.on_lost = functools.partial(
            loop.call_soon,
            functools.partial(self._lose, 'the connection was lost'),
        )

    def start(self, request: store.WatchRequest, timeout_ms: int) -> None:
        """Send the request."""
        self.prefix = urllib.parse.quote(request.prefix, safe='/')
        # The store reports what comes after a revision, not from it on.
        self.revision = request.start_revision - 1
        self._ask()

    def close(self) -> None:
        """End the watch without a report."""
        self.closed = True
        self.client.close()

    def _ask(self) -> None:
        self.round += 1
        self.client.get(
            f'/kv-watch?prefix={self.prefix}&after={self.revision}'
            f'&waitMs={self.wait_ms}',
        )
        self.poller.call_later(
            self.wait_ms + _WATCH_SLACK_MS,
            functools.partial(self._check, self.round),
        )

    def _check(self, expected_round: int) -> None:
        if self.round == expected_round:
            self._lose('no answer in time')

    def _on_reply(self, message: http_messages.Message) -> None:
        # The owner may close the connection, which the parser that delivers
        # this answer does not expect.
        self.poller.call_soon(functools.partial(self._accept, message))

    def _accept(self, message: http_messages.Message) -> None:
        if self.closed:
            return
        self.round += 1
        if message.status != http.HTTPStatus.OK:
            self._lose(f'status {message.status}')
            return
        try:
            answer = _decode(_Events, message.body)
        except http_store.MalformedAnswerError as error:
            self._lose(str(error))
            return
        self.revision = max(self.revision, answer.current_rev)
        self.on_events(_watch_events(answer))
        if not self.closed:
            self._ask()

    def _lose(self, reason: str) -> None:
        if not self.closed:
            self.close()
            self.on_lost(reason)


def _watch_events(answer: _Events) -> store.WatchEvents:
    # Of several changes of one key only the last one counts.
    last = {item.key: item for item in answer.events}
    return store.WatchEvents(
        answer.current_rev,
        tuple(_entry(item) for item in last.values() if not item.removed),
        tuple(item.key for item in last.values() if item.removed),
    )


def _ignore(_subject: typing.Any) -> None:
    """Do nothing; default of an unset callback."""
