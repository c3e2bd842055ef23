"""Store kind `platform`: client of the platform's metadata store."""

import functools
import http
import typing

from jacinthhaven.adapters import (
    http_client,
    http_messages,
    http_store,
    poller,
)
from jacinthhaven.kernel import failures, plugins
from jacinthhaven.platform import kv_answers, kv_requests, peer_wire
from jacinthhaven.records import history, store

# Each poll counts as a call to the store, so a longer wait costs fewer calls.
# But the failure of an unresponsive connection is detected that much later.
_WATCH_WAIT_MS = 1500
# Time for the response after the wait.
_WATCH_MARGIN_MS = 700
_MAX_ANSWER_BYTES = 16_777_216
# Header of all responses: a number that rises when the store is restored.
_ERA_HEADER = 'store-era'


@plugins.register(plugins.STORE_KIND, 'platform')
class PlatformStore(http_store.HttpStore):
    """Owns the connections to the platform's store.

    Attributes:
      watch_wait_ms: How long the store holds a poll if nothing changes.
      through: Address of the node through which new connections are made;
        None if they are made directly.
    """

    watch_wait_ms = _WATCH_WAIT_MS

    def __init__(self, *args: typing.Any) -> None:
        """Create a client that connects directly on the first call."""
        super().__init__(*args)
        self.through: http_store.Address | None = None

    def use_way(self, node: http_store.Address | None) -> None:
        """Make new connections through another node, or directly."""
        if node != self.through:
            self.through = node
            self.close_idle()

    def connect(self) -> http_client.Client:
        """Return a new connection to the store."""
        address = self.through or self.addresses[0]
        client = http_client.Client(self.poller, address)
        client.parser = http_messages.HeaderParser(
            response=True,
            max_body=_MAX_ANSWER_BYTES,
        )
        if self.through is not None:
            client.stream.send(peer_wire.TUNNEL)
        return client

    def era(self, message: http_messages.Message) -> int:
        """Return the era in the header of a response; 0 without one."""
        return _decode_era(message)

    def send(self, client: http_client.Client, request: store.Request) -> None:
        """Send a request to the store."""
        kv_requests.send(client, request)

    def decode(
        self,
        request: store.Request,
        message: http_messages.Message,
    ) -> store.Reply | failures.Failure:
        """Decode the response to a request."""
        status = message.status
        if status == http.HTTPStatus.OK:
            return kv_answers.decode_ok(
                request, message.body, self.era(message)
            )
        if isinstance(request, store.ChangesRequest):
            if status == http.HTTPStatus.GONE:
                return store.HistoryLost()
        if isinstance(request, store.SwapRequest):
            if status in {
                http.HTTPStatus.PRECONDITION_FAILED,
                http.HTTPStatus.NOT_FOUND,
            }:
                return store.SwapReply(False, history.NONE)
        lost = isinstance(
            request, (store.KeepAliveRequest, store.RevokeRequest)
        )
        if lost and status == http.HTTPStatus.NOT_FOUND:
            return store.LeaseReply(history.NONE, 0)
        return failures.STORE_UNAVAILABLE.because(f'status {status}')

    def new_watch(self, client: http_client.Client) -> http_store.Watch:
        """Return a watch that owns a new connection."""
        return _LongPoll(self.poller, client, self.watch_wait_ms)


class _LongPoll(http_store.Watch):
    """Watch by long polling: polls again after each response."""

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
        self.on_events = _ignore
        self.on_lost = _ignore
        self.closed = False
        self.prefix = ''
        self.revision = 0
        self.round = 0
        client.on_reply = self._on_reply
        client.on_lost = functools.partial(
            loop.call_soon,
            functools.partial(self._fail, 'connection lost'),
        )

    def start(self, request: store.WatchRequest, timeout_ms: int) -> None:
        """Send the first poll."""
        self.prefix = kv_requests.quote(request.prefix)
        self.wait_ms = request.wait_ms or self.wait_ms
        # The store takes the last revision already seen, not the first one
        # to report.
        self.revision = kv_requests.number_after(request)
        self._poll()

    def close(self) -> None:
        """End the watch without calling `on_lost`."""
        self.closed = True
        self.client.close()

    def _poll(self) -> None:
        self.round += 1
        self.client.get(
            f'/kv-watch?prefix={self.prefix}&after={self.revision}'
            f'&waitMs={self.wait_ms}',
        )
        self.poller.call_later(
            self.wait_ms + _WATCH_MARGIN_MS,
            functools.partial(self._check_timeout, self.round),
        )

    def _check_timeout(self, expected_round: int) -> None:
        if self.round == expected_round:
            self._fail('no answer in time')

    def _on_reply(self, message: http_messages.Message) -> None:
        # Deferred because the watch's owner may close the connection, which
        # the parser that is delivering this response does not support.
        self.poller.call_soon(functools.partial(self._accept, message))

    def _accept(self, message: http_messages.Message) -> None:
        if self.closed:
            return
        self.round += 1
        era = _decode_era(message)
        if message.status != http.HTTPStatus.OK:
            self._fail(f'status {message.status}', era)
            return
        try:
            answer = kv_answers.decode(kv_answers.Events, message.body)
        except http_store.MalformedAnswerError as error:
            self._fail(str(error), era)
            return
        self.revision = max(self.revision, answer.current_rev)
        self.on_events(kv_answers.watch_events(answer, era), era)
        if not self.closed:
            self._poll()

    def _fail(self, reason: str, era: int = 0) -> None:
        if not self.closed:
            self.close()
            self.on_lost(reason, era)


def _decode_era(message: http_messages.Message) -> int:
    text = message.headers.get(_ERA_HEADER, '')
    return int(text) if text.isdecimal() else 0


def _ignore(*_args: typing.Any) -> None:
    """Do nothing; default of an unset callback."""
