"""Datagrams between the nodes."""

import typing

from jacinthhaven.adapters import datagrams, poller
from jacinthhaven.sql import peer_messages, peering, ports, records

# Distinct decoding errors that are logged; every malformed message is counted.
_MAX_LOGGED_REASONS = 20


class NodeMessenger(peering.Messenger):
    """Sends and receives the messages between nodes as UDP datagrams.

    Attributes:
      on_message: Called with each received message.
    """

    def __init__(self, loop: poller.Poller, journal: ports.Journal) -> None:
        """Create the socket."""
        self.journal = journal
        self.reasons: set[str] = set()
        self.datagrams = datagrams.DatagramSocket(loop)
        self.datagrams.on_datagram = self._on_datagram
        self.datagrams.on_error = self._on_error
        self.on_message: typing.Callable[[peer_messages.Message], None] = (
            _ignore
        )

    def send(
        self,
        address: records.Address,
        message: peer_messages.Message,
    ) -> None:
        """Send one message to a node."""
        self.datagrams.send(address, peer_messages.encode(message))

    def _on_datagram(self, chunk: bytes) -> None:
        try:
            message = peer_messages.decode(chunk)
        except peer_messages.MALFORMED as error:
            self._on_malformed(str(error))
            return
        self.journal.count('node_messages', type(message).__name__)
        self.on_message(message)

    def _on_malformed(self, reason: str) -> None:
        """Count a malformed message, and log each decoding error once."""
        self.journal.count('node_messages', 'malformed')
        if reason in self.reasons or len(self.reasons) >= _MAX_LOGGED_REASONS:
            return
        self.reasons.add(reason)
        self.journal.write('message_malformed', {'reason': reason})

    def _on_error(self, _reason: str) -> None:
        self.journal.count('node_messages', 'not_sent')


def _ignore(_message: peer_messages.Message) -> None:
    """Do nothing; default of an unset callback."""
