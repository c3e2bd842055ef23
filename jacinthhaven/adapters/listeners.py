"""Listening TCP sockets on the poller."""

import contextlib
import errno
import socket
import typing

from jacinthhaven.adapters import poller, streams

_BACKLOG = 1024
# Pause of a listener after an error, such as no free descriptor. Without it,
# the connection that still waits would cause a busy loop.
_ACCEPT_PAUSE_MS = 100
# Bytes of the kernel's buffer that were not yet sent to the peer. Otherwise
# the kernel would keep up to several MB for each peer that does not read.
_UNSENT_BYTES = 65_536
_EXHAUSTED = frozenset(
    (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)
)


class Listener:
    """Listening TCP socket that passes each accepted stream to its owner."""

    __slots__ = ('poller', 'sock', 'on_stream', 'tls', 'port')

    def __init__(
        self,
        loop: poller.Poller,
        address: tuple[str, int],
        on_stream: typing.Callable[[streams.Stream], None],
        tls: streams.TlsContext | None = None,
        *,
        share_port: bool = False,
    ) -> None:
        """Bind and listen.

        Args:
          loop: Poller that will watch the socket.
          address: IP address and port; port 0 takes any free port.
          on_stream: Called with each accepted stream.
          tls: Context for TLS, or None for plain TCP.
          share_port: Whether several processes of one VM may listen on the
            port; the kernel then distributes new connections over them.

        Raises:
          OSError: If the address cannot be bound.
        """
        self.poller = loop
        self.on_stream = on_stream
        self.tls = tls
        self.sock = streams.tcp_socket(address[0])
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        if share_port:
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        self.sock.bind(address)
        self.sock.listen(_BACKLOG)
        self.port = self.sock.getsockname()[1]
        loop.watch(self.sock.fileno(), poller.READABLE, self._on_ready)

    def close(self) -> None:
        """Stop accepting connections."""
        if self.sock.fileno() >= 0:
            self.poller.forget(self.sock.fileno())
            self.sock.close()

    def _on_ready(self, mask: int) -> None:
        try:
            accepted, _address = self.sock.accept()
        except OSError as error:
            if error.errno in _EXHAUSTED:
                self._pause()
            return
        accepted.setblocking(False)
        accepted.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        # Without it, the limits of a connection still hold for the bytes that
        # this process queues.
        with contextlib.suppress(OSError):
            accepted.setsockopt(
                socket.IPPROTO_TCP, socket.TCP_NOTSENT_LOWAT, _UNSENT_BYTES
            )
        if self.tls is not None:
            try:
                accepted = self.tls.wrap_socket(
                    accepted,
                    server_side=True,
                    do_handshake_on_connect=False,
                )
            except OSError:
                # The client has already reset the connection.
                accepted.close()
                return
        self.on_stream(streams.Stream(self.poller, accepted))

    def _pause(self) -> None:
        self.poller.forget(self.sock.fileno())
        self.poller.call_later(_ACCEPT_PAUSE_MS, self._resume)

    def _resume(self) -> None:
        if self.sock.fileno() >= 0:
            self.poller.watch(
                self.sock.fileno(), poller.READABLE, self._on_ready
            )
