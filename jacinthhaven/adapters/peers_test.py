"""Tests of the peer transport on loopback."""

import random
import socket
import types

import pytest

from jacinthhaven.adapters import (
    peer_codec,
    peer_handshake,
    peer_link,
    peers,
    poller,
    streams,
    tls,
    tls_builders,
)
from jacinthhaven.decide import messages
from jacinthhaven.records import gossip, handshake, topology
from jacinthhaven.records import peers as records

_KEY = b'k' * 32
_CANCEL = records.ForwardCancel(7)


class Node:
    """Transport whose deliveries and failures are collected."""

    def __init__(self, loop, name, key=_KEY, contexts=None, **fields):
        """Listen on a free loopback port."""
        hello = handshake.Hello('c', 1, name, 'b', b'')
        for field, setting in fields.items():
            setattr(hello, field, setting)
        rng = random.Random(1)
        self.task = peers.Peers(loop, hello, key, rng, contexts)
        self.delivered = []
        self.failed = []
        self.task.deliver = self.delivered.append
        self.task.on_failure = lambda found: self.failed.append(found.kind)
        port = self.task.listen(('127.0.0.1', 0))
        self.member = topology.Member(name, 'b', '127.0.0.1', port, 'z')

    def send(self, other, payload=_CANCEL):
        """Send a payload to another node."""
        self.task.know([other.member])
        self.task.send(messages.PeerSend(other.member.name, payload))


@pytest.fixture(name='loop')
def _loop():
    return poller.Poller()


def run(loop, done):
    """Run the poller until a condition holds."""
    for _ in range(500):
        if done():
            return
        event = types.SimpleNamespace(stop=lambda: None, time_left=0.01)
        loop._on_generate_events(event)
    raise AssertionError('condition was not reached')


def test_both_directions_on_one_connection(loop):
    """Guards against payloads lost in the handshake or sent elsewhere."""
    left, right = Node(loop, 'left'), Node(loop, 'right')
    exchange = gossip.Exchange(complete=3)
    left.send(right)
    left.send(right, exchange)
    run(loop, lambda: len(right.delivered) == 2)
    assert right.delivered == [
        messages.PeerReceived('left', _CANCEL),
        messages.PeerReceived('left', exchange),
    ]
    right.task.send(messages.PeerSend('left', _CANCEL))
    run(loop, lambda: left.delivered)
    assert left.delivered == [messages.PeerReceived('right', _CANCEL)]


@pytest.mark.parametrize(
    ('fields', 'kind'),
    [
        ({'cluster': 'other'}, peer_handshake.WRONG_CLUSTER),
        ({'version': 0}, peer_handshake.UNSUPPORTED_VERSION),
        ({'member': 'right'}, peer_handshake.WRONG_MEMBER),
        ({'key': b'x'}, peer_handshake.BAD_PROOF),
    ],
)
def test_unauthenticated_peer_is_refused(loop, fields, kind):
    """Guards against accepting such a peer or closing other connections."""
    left, right = Node(loop, 'left'), Node(loop, 'right')
    left.send(right)
    run(loop, lambda: right.delivered)
    stranger = Node(loop, 'stranger', **fields)
    stranger.send(right)
    run(loop, lambda: stranger.delivered)
    assert stranger.delivered == [messages.PeerLost('right')]
    assert kind in {*right.failed, *stranger.failed}
    left.send(right)
    run(loop, lambda: len(right.delivered) == 2)
    assert not left.delivered


def _frame(payload):
    body = peer_codec.encode(payload)
    return b''.join((len(body).to_bytes(4, 'big'), body))


@pytest.mark.parametrize(
    ('raw', 'kind'),
    [
        (b'\0\0\x10\x01', peer_link.BAD_FRAME),
        (b'\0\0\0\x03abc', peer_link.BAD_FRAME),
        (_frame(_CANCEL), peer_link.EARLY_PAYLOAD),
    ],
)
def test_bad_bytes_before_the_handshake(loop, raw, kind):
    """Guards against payloads or large buffers without a handshake."""
    node = Node(loop, 'right')
    stream = streams.connect(loop, ('127.0.0.1', node.member.port))
    closed = []
    stream.on_close = lambda: closed.append(True)
    stream.send(raw)
    run(loop, lambda: closed)
    assert node.failed == [kind]
    assert not node.delivered


def test_replayed_proof_is_refused():
    """Guards against a proof that is valid for more than one nonce."""
    hellos = [handshake.Hello('c', 1, name, 'b', b'') for name in 'ab']
    connector = peer_handshake.Handshake('connector', _KEY, hellos[0])
    proofs = []
    for _ in range(2):
        acceptor = peer_handshake.Handshake('acceptor', _KEY, hellos[1])
        assert acceptor.receive_hello(connector.local) is None
        assert connector.receive_hello(acceptor.local, 'b') is None
        proofs.append(acceptor.prove())
    assert connector.verify(proofs[1]) is None
    assert connector.verify(proofs[0]).kind is peer_handshake.BAD_PROOF
    # A reflected proof covers the wrong role.
    assert connector.verify(connector.prove()) is not None


def test_lost_member_and_backoff(loop):
    """Guards against an unreported loss and against a reconnect storm."""
    left, right = Node(loop, 'left'), Node(loop, 'right')
    left.send(right)
    run(loop, lambda: right.delivered)
    right.task.close()
    run(loop, lambda: left.delivered)
    left.send(right)
    run(loop, lambda: len(left.delivered) == 2)
    assert left.task.backoffs['right'].retry_ms > 0
    left.send(right)
    assert not left.task.links
    run(loop, lambda: len(left.delivered) == 3)
    assert set(map(repr, left.delivered)) == {repr(messages.PeerLost('right'))}


def test_queue_limit(loop):
    """Guards against unbounded memory for a member that reads nothing."""
    left = Node(loop, 'left')
    silent = socket.create_server(('127.0.0.1', 0))
    port = silent.getsockname()[1]
    member = topology.Member('right', 'b', '127.0.0.1', port, 'z')
    right = types.SimpleNamespace(member=member)
    payload = records.StatementForward(1, 'd', b'x' * 4_000_000, 1)
    for _ in range(4):
        left.send(right, payload)
    run(loop, lambda: left.delivered)
    assert left.failed == [peer_link.OVERFLOW]
    assert left.delivered[0] == messages.PeerLost('right')
    silent.close()


@pytest.mark.parametrize(
    ('payload', 'kind'),
    [
        (records.ForwardCancel(-1), peers.BAD_PAYLOAD),
        (records.ForwardAnswer(1, 1, b'x' * 5_000_000), peers.TOO_LARGE),
    ],
)
def test_unsendable_payload(loop, payload, kind):
    """Guards against a request that waits after its payload was rejected."""
    left, right = Node(loop, 'left'), Node(loop, 'right')
    left.send(right, payload)
    assert not left.delivered
    run(loop, lambda: left.delivered)
    assert left.failed == [kind]
    left.send(right)
    run(loop, lambda: right.delivered)


def test_restarted_member_replaces_its_connections(loop):
    """Guards against payloads sent to the previous boot of a member."""
    right, old = Node(loop, 'right'), Node(loop, 'left')
    old.send(right)
    run(loop, lambda: right.delivered)
    fresh = Node(loop, 'left', boot='b2')
    fresh.send(right)
    run(loop, lambda: len(right.delivered) == 3)
    assert messages.PeerLost('left') in right.delivered
    right.send(fresh)
    run(loop, lambda: fresh.delivered)


def test_mutual_tls(loop, tmp_path):
    """Guards against frames left in TLS buffers and against plain TCP peers."""
    contexts = tls.peer_contexts(tls_builders.tls_files(tmp_path))
    left = Node(loop, 'left', contexts=contexts)
    right = Node(loop, 'right', contexts=contexts)
    plain = Node(loop, 'plain')
    plain.send(right)
    payload = records.StatementForward(1, 'd', b'x' * 200_000, 1)
    left.send(right, payload)
    left.send(right)
    run(loop, lambda: len(right.delivered) == 2)
    assert [found.payload for found in right.delivered] == [payload, _CANCEL]
    run(loop, lambda: plain.delivered)
    assert plain.delivered == [messages.PeerLost('right')]


def test_silent_client_does_not_spin(loop, tmp_path):
    """Guards against a busy loop while a TLS client sends nothing."""
    contexts = tls.peer_contexts(tls_builders.tls_files(tmp_path))
    right = Node(loop, 'right', contexts=contexts)
    client = socket.create_connection(('127.0.0.1', right.member.port))
    run(loop, lambda: right.task.links)
    link = next(iter(right.task.links))
    run(loop, lambda: not link.stream.mask & poller.WRITABLE)
    client.close()
    right.task.close()
