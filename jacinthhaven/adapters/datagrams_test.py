"""Tests of datagrams between nodes, with what a broken sender may send."""

import itertools
import os

import pytest

from jacinthhaven.adapters import datagrams
from jacinthhaven.process import sql_proxy
from jacinthhaven.sql import builders, peer_messages
from jacinthhaven.standins import driver

_QUESTION = peer_messages.ConfirmRequest('n1', ('127.0.0.1', 1), 5, ('ledger',))


class _Rig:
    """Messenger of a node and a socket that sends to it."""

    def __init__(self) -> None:
        """Listen on free ports."""
        self.driver = driver.Driver()
        self.journal = builders.FakeJournal()
        self.arrived: list[peer_messages.Message] = []
        loop = self.driver.loop
        messenger = sql_proxy.NodeMessenger(loop, self.journal)
        port = messenger.datagrams.listen(('127.0.0.1', 0))
        messenger.on_message = self.arrived.append
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
        peer_messages.encode(_QUESTION)[:-1],
        os.urandom(200),
        b'\xc1' * 9000,
    ],
)
def test_malformed_datagram_is_counted_and_passed_over(chunk):
    """Guards against one malformed message that takes the process down."""
    rig = _Rig()
    rig.send(chunk)
    rig.send(peer_messages.encode(_QUESTION))
    rig.driver.run_until(lambda: rig.arrived)
    assert rig.arrived == [_QUESTION]
    assert rig.journal.counts['node_messages.malformed'] == 1
    assert rig.journal.events('message_malformed')


def test_flood_of_datagrams_is_read_in_portions():
    """Guards against a flood that stops everything else."""
    rig = _Rig()
    chunk = peer_messages.encode(_QUESTION)
    for copy in itertools.repeat(chunk, 100):
        rig.send(copy)
    rig.driver.run_until(lambda: len(rig.arrived) >= 64)
    assert len(rig.arrived) <= 100
