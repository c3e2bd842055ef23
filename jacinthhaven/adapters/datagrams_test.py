"""Tests of datagrams between nodes, including malformed ones."""

import itertools
import os

import pytest

from jacinthhaven.adapters import datagrams
from jacinthhaven.process import node_messenger
from jacinthhaven.scheduling import scheduler
from jacinthhaven.sql import builders, peer_messages
from jacinthhaven.standins import driver

_REQUEST = peer_messages.ConfirmRequest('n1', ('127.0.0.1', 1), 5, ('ledger',))


class _Setup:
    """Message receiver of a node and a socket that sends to it."""

    def __init__(self) -> None:
        """Bind both sockets to free ports."""
        self.driver = driver.Driver()
        self.journal = builders.FakeJournal()
        self.received: list[peer_messages.Message] = []
        loop = self.driver.loop
        messenger = node_messenger.NodeMessenger(loop, self.journal)
        port = messenger.datagrams.listen(('127.0.0.1', 0))
        messenger.on_message = self.received.append
        self.address = ('127.0.0.1', port)
        self.sender = datagrams.DatagramSocket(loop)
        self.sender.listen(('127.0.0.1', 0))

    def send(self, chunk: bytes) -> None:
        """Send a datagram to the node."""
        self.sender.send(self.address, chunk)


@pytest.mark.parametrize(
    'chunk',
    [
        b'',
        b'\x93\xa1q',
        b'{"sender": 1}',
        peer_messages.encode(_REQUEST)[:-1],
        os.urandom(200),
        b'\xc1' * 9000,
        b'\x91' * 4000,
        builders.pack(['q', 'n1', ['127.0.0.1', 99_999], 5, ['ledger']]),
        builders.pack(['q', 'n1', ['no host', 7], 5, ['ledger']]),
    ],
)
def test_malformed_datagram_is_counted_and_skipped(chunk):
    """Guards against a malformed message that stops the receiver."""
    setup = _Setup()
    setup.send(chunk)
    setup.send(peer_messages.encode(_REQUEST))
    setup.driver.run_until(lambda: setup.received)
    assert setup.received == [_REQUEST]
    assert setup.journal.counts['node_messages.malformed'] == 1
    assert setup.journal.events('message_malformed')


def test_flood_of_datagrams_is_read_in_batches():
    """Guards against a flood of datagrams that starves the event loop."""
    setup = _Setup()
    chunk = peer_messages.encode(_REQUEST)
    for copy in itertools.repeat(chunk, 100):
        setup.send(copy)
    setup.driver.run_until(lambda: len(setup.received) >= 64)
    assert len(setup.received) <= 100


def test_address_that_cannot_be_sent_to_is_an_error_of_the_datagram():
    """Guards against an address that ends the caller."""
    setup = _Setup()
    errors = []
    setup.sender.on_error = errors.append
    setup.sender.send(('127.0.0.1', 99_999), b'x')
    assert len(errors) == 1


def test_large_datagram_arrives_whole():
    """Guards against reports of long queues that are cut off."""
    setup = _Setup()
    names = ('i-0123456789',) * 3
    waiting = [
        peer_messages.Waiting(
            number, 2, names, 25, 300, 'customer-1', 500, 100, names[:2]
        )
        for number in range(2 * scheduler.MAX_REPORTED)
    ]
    report = peer_messages.PermitRequest(
        'n1', 'ledger', 1, 1, peer_messages.Load({}, tuple(waiting))
    )
    chunk = peer_messages.encode(report)
    assert 4096 < len(chunk) < datagrams.MAX_BYTES
    setup.send(chunk)
    setup.driver.run_until(lambda: setup.received)
    assert setup.received == [report]
