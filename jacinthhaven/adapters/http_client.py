"""HTTP/1.1 client connection with one outstanding request at a time."""

import typing

from jacinthhaven.adapters import http_messages, poller, streams

OnReply = typing.Callable[[http_messages.Message], None]


class Client:
    """One client connection.

    The owner sets the callbacks `on_open()`, `on_reply(message)` and
    `on_lost()`.
    """

    __slots__ = ('stream', 'parser', 'on_open', 'on_reply', 'on_lost', 'opened')

    def __init__(
        self,
        loop: poller.Poller,
        address: tuple[str, int],
        tls: streams.TlsContext | None = None,
    ) -> None:
        """Start to connect to an IP address and TCP port."""
        self.stream = streams.connect(loop, address, tls)
        self.parser = http_messages.Parser(response=True)
        self.on_open: typing.Callable[[], None] = _ignore
        self.on_reply: OnReply = _ignore
        self.on_lost: typing.Callable[[], None] = _ignore
        self.opened = False
        self.stream.on_open = self._opened
        self.stream.on_bytes = self._received
        self.stream.on_close = self._closed

    def send(self, path: str, body: bytes, headers: str = '') -> None:
        """Send a POST request.

        The caller must wait for the reply before it sends the next request.
        """
        self.stream.send(http_messages.format_request(path, body, headers))

    def get(self, path: str, headers: str = '') -> None:
        """Send a GET request; as for `send`, one at a time."""
        self.stream.send(
            http_messages.format_request(path, b'', headers, 'GET'),
        )

    def delete(self, path: str) -> None:
        """Send a DELETE request; as for `send`, one at a time."""
        self.stream.send(http_messages.format_request(path, b'', '', 'DELETE'))

    def close(self) -> None:
        """Close the connection; `on_lost` is not called."""
        self.stream.close()

    def _opened(self) -> None:
        self.opened = True
        self.on_open()

    def _received(self, chunk: bytes) -> None:
        try:
            messages = self.parser.feed(chunk)
        except http_messages.BadMessageError:
            self.close()
            self._closed()
            return
        for message in messages:
            self.on_reply(message)
            if not message.keep_alive:
                self.close()
                self._closed()
                return

    def _closed(self) -> None:
        self.on_lost()


def _ignore(*_args: typing.Any) -> None:
    """Do nothing; default of an unset callback."""
