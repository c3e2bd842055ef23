"""Parsing and formatting of HTTP/1.1 messages with `httptools`.

The parser buffers each message up to a size limit, so that servers and
clients only handle complete requests and responses.
"""

import http
import types
import typing

import httptools
import msgspec

MAX_BODY_BYTES = 1_048_576
_MAX_HEAD_BYTES = 16_384

_REASONS = types.MappingProxyType(
    {status.value: status.phrase for status in http.HTTPStatus},
)

OnPart = typing.Callable[[int, bytes], None]


class Message(msgspec.Struct):
    """One complete HTTP request or response.

    Attributes:
      method: Request method; empty for a response.
      path: Request target; empty for a response.
      status: Status code; 0 for a request.
      headers: Header values by lower-case name; filled by `HeaderParser` only.
      body: Decoded body.
      keep_alive: Whether the connection stays open after this message.
    """

    method: str = ''
    path: str = ''
    status: int = 0
    headers: dict[str, str] = msgspec.field(default_factory=dict)
    body: bytes = b''
    keep_alive: bool = True


class BadMessageError(Exception):
    """The received bytes are malformed HTTP or exceed a size limit.

    Attributes:
      status: Status code that a server responds with.
      complete: Messages that were completed before the error.
    """

    def __init__(self, status: http.HTTPStatus, reason: str) -> None:
        """Store the status code and the reason."""
        super().__init__(reason)
        self.status = status
        self.reason = reason
        self.complete: list[Message] = []


class Parser:
    """Incremental parser that returns complete messages.

    `httptools` calls the `on_*` methods.

    Attributes:
      max_body: Largest accepted body in bytes.
      on_part: Called with the status code and each part of a body as it
        arrives; the body is then not collected and has no size limit.
    """

    def __init__(self, response: bool, max_body: int = MAX_BODY_BYTES) -> None:
        """Create a parser for responses or for requests.

        Args:
          response: Whether to parse responses.
          max_body: Largest accepted body in bytes.
        """
        self.max_body = max_body
        self.on_part: OnPart | None = None
        self.messages: list[Message] = []
        self.current = Message()
        self.chunks: list[bytes] = []
        self.head_bytes = 0
        self.body_bytes = 0
        self.in_body = False
        self.rejection: BadMessageError | None = None
        if response:
            self.parser = httptools.HttpResponseParser(self)
        else:
            self.parser = httptools.HttpRequestParser(self)

    @property
    def idle(self) -> bool:
        """Return whether no message is partially received."""
        return not (self.head_bytes or self.in_body or self.current.path)

    def feed(self, chunk: bytes) -> list[Message]:
        """Parse received bytes.

        Returns:
          The messages that are complete now, oldest first.

        Raises:
          BadMessageError: If the bytes are malformed or too large.
        """
        try:
            self.parser.feed_data(chunk)
        except httptools.HttpParserUpgrade as error:
            raise self._malformed(
                'protocol upgrade is not supported'
            ) from error
        except httptools.HttpParserError as error:
            raise self.rejection or self._malformed(str(error)) from error
        complete = self.messages
        self.messages = []
        if not self.in_body:
            self._check_head_size(len(chunk), bool(complete))
        return complete

    def on_url(self, url: bytes) -> None:
        """Append to the request target, which may arrive in parts."""
        self.current.path += url.decode('latin-1')

    def on_headers_complete(self) -> None:
        """Mark the end of the head and of its size limit."""
        self.in_body = True

    def on_body(self, body: bytes) -> None:
        """Buffer one part of the body, or pass it to `on_part` if set."""
        if self.on_part is not None:
            self.on_part(self.parser.get_status_code(), body)
            return
        self.body_bytes += len(body)
        if self.body_bytes > self.max_body:
            self._reject('body is too large')
        self.chunks.append(body)

    def on_message_complete(self) -> None:
        """Complete the current message and reset the state for the next."""
        message = self.current
        message.body = b''.join(self.chunks)
        message.keep_alive = self.parser.should_keep_alive()
        if isinstance(self.parser, httptools.HttpRequestParser):
            message.method = self.parser.get_method().decode('ascii')
        else:
            message.status = self.parser.get_status_code()
        self.messages.append(message)
        self.current = Message()
        self.chunks = []
        self.head_bytes = 0
        self.body_bytes = 0
        self.in_body = False

    def _check_head_size(self, received: int, completed: bool) -> None:
        """Enforce the size limit of a partially received head.

        After a complete message only the rest of the chunk belongs to the
        next head. Its size is unknown and counts as one byte.
        """
        if completed:
            self.head_bytes = int(bool(self.current.path))
            return
        self.head_bytes += received
        if self.head_bytes > _MAX_HEAD_BYTES:
            self._reject('head is too large')

    def _malformed(self, reason: str) -> BadMessageError:
        error = BadMessageError(http.HTTPStatus.BAD_REQUEST, reason)
        error.complete = self.messages
        return error

    def _reject(self, reason: str) -> typing.NoReturn:
        self.rejection = BadMessageError(
            http.HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
            reason,
        )
        self.rejection.complete = self.messages
        raise self.rejection


class HeaderParser(Parser):
    """Parser that also collects the headers.

    The header callbacks take about as long as the rest of the parsing, so
    this class is only for servers that need a header.
    """

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store one header under its lower-case name."""
        headers = self.current.headers
        headers[name.decode('latin-1').lower()] = value.decode('latin-1')


def format_response(
    status: int,
    body: bytes,
    keep_alive: bool = True,
    headers: str = '',
) -> bytes:
    """Return the bytes of a response with a JSON body.

    Args:
      status: Status code.
      body: JSON document.
      keep_alive: Whether the connection stays open.
      headers: Further header lines, each ending in CR LF.
    """
    close = '' if keep_alive else 'Connection: close\r\n'
    head = (
        f'HTTP/1.1 {status} {_REASONS.get(status, "")}\r\n'
        f'Content-Type: application/json\r\n{headers}{close}'
        f'Content-Length: {len(body)}\r\n\r\n'
    )
    return head.encode('ascii') + body


def format_request(
    path: str,
    body: bytes,
    headers: str = '',
    method: str = 'POST',
) -> bytes:
    """Return the bytes of a request with a JSON body.

    Args:
      path: Request target.
      body: JSON document.
      headers: Further header lines, each ending in CR LF.
      method: Request method.
    """
    head = (
        f'{method} {path} HTTP/1.1\r\nHost: jacinthhaven\r\n{headers}'
        f'Content-Type: application/json\r\n'
        f'Content-Length: {len(body)}\r\n\r\n'
    )
    return head.encode('ascii') + body
