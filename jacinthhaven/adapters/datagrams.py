"""UDP socket for datagrams between nodes."""

import socket
import typing

from jacinthhaven.adapters import poller

# Largest datagram over IPv4. A smaller buffer would truncate the reports of owners
# with long queues, which then could not be decoded.
MAX_BYTES = 65_507
# Datagrams read in one callback, so that a flood does not starve other
# sockets and timers.
_MAX_BATCH = 64

Address = tuple[str, int]


class DatagramSocket:
    """Owns one UDP socket.

    Attributes:
      on_datagram: Called with the bytes of each received datagram.
      on_error: Called with the error text of a failed send or receive.
    """

    def __init__(self, loop: poller.Poller) -> None:
        """Store the poller; `listen` creates the socket."""
        self.poller = loop
        self.sock: socket.socket | None = None
        self.buffer = bytearray(MAX_BYTES)
        self.on_datagram: typing.Callable[[bytes], None] = _ignore
        self.on_error: typing.Callable[[str], None] = _ignore

    def listen(self, address: Address) -> int:
        """Bind the socket, start to receive and return the port.

        Raises:
          OSError: If the address cannot be bound.
        """
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.sock.setblocking(False)
        self.sock.bind(address)
        self.poller.watch(
            self.sock.fileno(),
            poller.READABLE,
            self._on_ready,
        )
        return self.sock.getsockname()[1]

    def send(self, address: Address, chunk: bytes) -> None:
        """Send one datagram without a delivery guarantee."""
        if self.sock is None:
            return
        try:
            self.sock.sendto(chunk, address)
        except (OSError, OverflowError) as error:
            self.on_error(str(error))

    def close(self) -> None:
        """Close the socket."""
        if self.sock is not None:
            self.poller.forget(self.sock.fileno())
            self.sock.close()
            self.sock = None

    def _on_ready(self, _mask: int) -> None:
        remaining = _MAX_BATCH
        while remaining:
            remaining -= 1
            chunk = self._receive()
            if chunk is None:
                return
            self.on_datagram(chunk)

    def _receive(self) -> bytes | None:
        if self.sock is None:
            return None
        try:
            size = self.sock.recv_into(self.buffer)
        except BlockingIOError:
            return None
        except OSError as error:
            # A send to a peer port without a listener is reported here.
            self.on_error(str(error))
            return None
        return bytes(self.buffer[:size])


def _ignore(_subject: typing.Any) -> None:
    """Do nothing; default of an unset callback."""
