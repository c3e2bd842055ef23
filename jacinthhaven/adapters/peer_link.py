"""Connection to another member: framing and handshake on a stream.

A frame is a 4-byte big-endian length and an encoded payload. Payloads are
accepted only after mutual authentication with the cluster key.
"""

import socket
import typing

from jacinthhaven.adapters import peer_codec, peer_handshake, streams
from jacinthhaven.kernel import failures
from jacinthhaven.records import handshake

_LENGTH_BYTES = 4
# Hellos are far smaller. Limits the buffer of unauthenticated peers.
_MAX_HANDSHAKE_BYTES = 4096
# Two of the largest messages; a receiver this far behind is considered
# faulty.
MAX_QUEUED_BYTES = 2 * peer_codec.MAX_MESSAGE_BYTES
# A host that fails sends no reset, so the kernel closes the connection if
# sent bytes remain unacknowledged for this time.
_ACK_TIMEOUT_MS = 3000
_KEEPALIVE_IDLE_S = 5

BAD_FRAME = failures.Kind('peer_bad_frame', failures.Outcome.NOT_RUN, 0)
EARLY_PAYLOAD = failures.Kind('peer_early_payload', failures.Outcome.NOT_RUN, 0)
OVERFLOW = failures.Kind('peer_overflow', failures.Outcome.NOT_RUN, 0)

OnPayload = typing.Callable[['Link', typing.Any], None]
OnLink = typing.Callable[['Link'], None]
OnClosed = typing.Callable[['Link', failures.Failure | None], None]


class Link:
    """One connection between this process and another member.

    The owner sets `on_payload`, `on_open` and `on_closed`. `on_closed` is
    called once, unless the owner calls `close`.

    Attributes:
      member: Name of the other member; empty while it is not known.
      boot: Boot identifier of the other member; empty until `opened`.
      opened: Whether the handshake is complete.
      used_ms: When the last frame was sent or received.
    """

    __slots__ = (
        'stream',
        'handshake_state',
        'member',
        'boot',
        'opened',
        'used_ms',
        'buffer',
        'waiting',
        'on_payload',
        'on_open',
        'on_closed',
    )

    def __init__(
        self,
        stream: streams.Stream,
        handshake_state: peer_handshake.Handshake,
        member: str = '',
    ) -> None:
        """Start the handshake on a connecting or an accepted stream."""
        self.stream = stream
        self.handshake_state = handshake_state
        self.member = member
        self.boot = ''
        self.opened = False
        self.used_ms = stream.poller.clock.now_ms()
        self.buffer = bytearray()
        self.waiting: list[bytes] = []
        self.on_payload: OnPayload = _ignore
        self.on_open: OnLink = _ignore
        self.on_closed: OnClosed = _ignore
        stream.on_bytes = self._received
        stream.on_close = self._lost
        _detect_dead_host(stream.sock)
        if handshake_state.role == peer_handshake.CONNECTOR:
            self._write(handshake_state.local)

    @property
    def closed(self) -> bool:
        """Return whether the connection is closed."""
        return self.stream.closed

    def send(self, raw: bytes) -> None:
        """Send an encoded payload; queue it until the handshake is complete.

        The connection is closed if more than `MAX_QUEUED_BYTES` are queued.
        """
        queue = self.stream.outgoing if self.opened else self.waiting
        queued = sum(map(len, queue)) if queue else 0
        if queued > MAX_QUEUED_BYTES:
            self.fail(OVERFLOW.because(self.member))
        elif self.opened:
            self._send_frame(raw)
        else:
            self.waiting.append(raw)

    def close(self) -> None:
        """Close the connection; `on_closed` is not called."""
        self.stream.close()

    def fail(self, failure: failures.Failure | None) -> None:
        """Close the connection and pass the failure to `on_closed`."""
        if not self.closed:
            self.stream.close()
            self.on_closed(self, failure)

    def _lost(self) -> None:
        self.on_closed(self, None)

    def _write(self, payload: typing.Any) -> None:
        self._send_frame(peer_codec.encode(payload))

    def _send_frame(self, raw: bytes) -> None:
        self.used_ms = self.stream.poller.clock.now_ms()
        self.stream.send(len(raw).to_bytes(_LENGTH_BYTES, 'big') + raw)

    def _received(self, chunk: bytes) -> None:
        self.buffer += chunk
        while not self.closed:
            raw = self._next_frame()
            if raw is None:
                return
            self._on_frame(raw)

    def _next_frame(self) -> bytes | None:
        if len(self.buffer) < _LENGTH_BYTES:
            return None
        size = int.from_bytes(self.buffer[:_LENGTH_BYTES], 'big')
        limit = _MAX_HANDSHAKE_BYTES
        if self.opened:
            limit = peer_codec.MAX_MESSAGE_BYTES
        if size > limit:
            self.fail(BAD_FRAME.because(f'frame of {size} bytes'))
            return None
        end = _LENGTH_BYTES + size
        if len(self.buffer) < end:
            return None
        raw = bytes(self.buffer[_LENGTH_BYTES:end])
        del self.buffer[:end]  # noqa: WPS420
        return raw

    def _on_frame(self, raw: bytes) -> None:
        try:
            payload = peer_codec.decode(raw)
        except peer_codec.BadPayloadError as error:
            self.fail(BAD_FRAME.because(str(error)))
            return
        if isinstance(payload, handshake.Hello):
            self._on_hello(payload)
        elif isinstance(payload, handshake.Proof):
            self._on_proof(payload)
        elif self.opened:
            self.used_ms = self.stream.poller.clock.now_ms()
            self.on_payload(self, payload)
        else:
            self.fail(EARLY_PAYLOAD.because(type(payload).__name__))

    def _on_hello(self, hello: handshake.Hello) -> None:
        if self.handshake_state.remote is not None:
            self.fail(BAD_FRAME.because('second hello'))
            return
        failure = self.handshake_state.receive_hello(hello, self.member)
        if failure is not None:
            self.fail(failure)
        elif self.handshake_state.role == peer_handshake.ACCEPTOR:
            self._write(self.handshake_state.local)
            self._write(self.handshake_state.prove())

    def _on_proof(self, proof: handshake.Proof) -> None:
        remote = self.handshake_state.remote
        if remote is None or self.opened:
            self.fail(BAD_FRAME.because('unexpected proof'))
            return
        failure = self.handshake_state.verify(proof)
        if failure is not None:
            self.fail(failure)
            return
        if self.handshake_state.role == peer_handshake.CONNECTOR:
            self._write(self.handshake_state.prove())
        self._open(remote)

    def _open(self, remote: handshake.Hello) -> None:
        self.opened = True
        self.member = remote.member
        self.boot = remote.boot
        waiting = self.waiting
        self.waiting = []
        for raw in waiting:
            self._send_frame(raw)
        if not self.closed:
            self.on_open(self)


def _detect_dead_host(sock: socket.socket) -> None:
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    tcp = socket.IPPROTO_TCP
    sock.setsockopt(tcp, socket.TCP_KEEPIDLE, _KEEPALIVE_IDLE_S)
    sock.setsockopt(tcp, socket.TCP_KEEPINTVL, 1)
    sock.setsockopt(tcp, socket.TCP_USER_TIMEOUT, _ACK_TIMEOUT_MS)


def _ignore(*_args: typing.Any) -> None:
    """Do nothing; default of an unset callback."""
