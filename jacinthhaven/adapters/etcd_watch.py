"""Watch on the etcd v3 JSON gateway: a response of JSON lines."""

import functools
import http
import typing

from jacinthhaven.adapters import (
    etcd_answers,
    etcd_calls,
    http_client,
    http_messages,
    http_store,
    poller,
)
from jacinthhaven.records import store

# One line holds the changes of one or several transactions, with values
# of up to 1 MB each.
MAX_LINE_BYTES = 16_777_216


class Watch(http_store.Watch):
    """Watch that owns its connection.

    Attributes:
      on_events: Called with the changes of each revision.
      on_lost: Called once with the reason when the watch ends, unless the
        owner closes it.
    """

    def __init__(self, loop: poller.Poller, client: http_client.Client) -> None:
        """Take ownership of a new connection and set its callbacks."""
        self.poller = loop
        self.client = client
        self.on_events: typing.Callable[[store.WatchEvents], None] = _ignore
        self.on_lost: typing.Callable[[str], None] = _ignore
        self.created = False
        self.closed = False
        self.buffer = bytearray()
        client.parser.on_part = self._on_part
        client.on_reply = self._on_end
        client.on_lost = functools.partial(
            loop.call_soon,
            functools.partial(self._fail, 'the connection was lost'),
        )

    def start(self, request: store.WatchRequest, timeout_ms: int) -> None:
        """Send the request.

        Args:
          request: Watched prefix and first revision.
          timeout_ms: Time within which the store must confirm the watch.
        """
        self.client.send(*etcd_calls.encode(request))
        self.poller.call_later(timeout_ms, self._check_created)

    def close(self) -> None:
        """End the watch without calling `on_lost`."""
        self.closed = True
        self.client.close()

    def _check_created(self) -> None:
        if not self.created:
            self._fail('the watch was not confirmed in time')

    def _on_part(self, status: int, chunk: bytes) -> None:
        if status != http.HTTPStatus.OK:
            self._fail_soon(f'status {status}')
            return
        self.buffer += chunk
        if len(self.buffer) > MAX_LINE_BYTES:
            self._fail_soon('line exceeds the size limit')
        elif b'\n' in chunk:
            # Deferred: `on_events` may close the connection, which is not
            # allowed inside the callback of its parser.
            self.poller.call_soon(self._read_lines)

    def _on_end(self, _message: http_messages.Message) -> None:
        self._fail_soon('the store ended the stream')

    def _read_lines(self) -> None:
        *lines, rest = self.buffer.split(b'\n')
        self.buffer = rest
        for line in lines:
            self._read_line(line)

    def _read_line(self, line: bytearray) -> None:
        if self.closed or not line:
            return
        try:
            answer = etcd_answers.decode_watch(line)
            revisions = etcd_answers.watch_events(answer)
        except etcd_answers.MALFORMED as error:
            self._fail(f'malformed response: {error}')
            return
        self.created = self.created or answer.created
        for events in revisions:
            if not self.closed:
                self.on_events(events)
        if answer.canceled:
            self._fail('the store cancelled the watch')

    def _fail_soon(self, reason: str) -> None:
        self.poller.call_soon(functools.partial(self._fail, reason))

    def _fail(self, reason: str) -> None:
        if not self.closed:
            self.close()
            self.on_lost(reason)


def _ignore(_subject: typing.Any) -> None:
    """Do nothing; default of an unset callback."""
