"""Tests of the caller and operator servers with bad input."""

import contextlib
import itertools
import json

import pytest

from jacinthhaven.adapters import (
    callers,
    http_messages,
    http_server,
    listeners,
    operators,
    streams,
    tls,
    tls_builders,
)
from jacinthhaven.decide import builders, messages
from jacinthhaven.standins import driver

PATH = '/v1/databases/bids/statements'
OUTCOMES = '/v1/databases/bids/outcomes'


class Client:
    """Raw client connection that collects the received bytes."""

    def __init__(self, loop, port) -> None:
        """Connect to a port of the loopback address."""
        self.received = b''
        self.closed = False
        self.stream = streams.connect(loop, (driver.HOST, port))
        self.stream.on_bytes = self._collect
        self.stream.on_close = self._close

    @property
    def documents(self):
        """Return the received JSON documents."""
        parser = http_messages.Parser(response=True)
        return [json.loads(found.body) for found in parser.feed(self.received)]

    def _collect(self, chunk):
        self.received += chunk

    def _close(self):
        self.closed = True


class Setup:
    """Caller server with an entry whose owner answers on request."""

    def __init__(self, context=None) -> None:
        """Listen on a free port."""
        self.driver = driver.Driver()
        self.harness = builders.EntryHarness()
        self.counts = []
        self.side = callers.HttpCallers(
            self.driver.loop,
            itertools.count(1),
            self.deliver,
        )
        self.side.count = self.counts.append
        address = (driver.HOST, 0)
        self.port = self.side.server.listen(address, context)
        self.other_client = self.connect()

    def deliver(self, message):
        """Pass a message to the entry."""
        handlers = {
            messages.CallerRequest: self.harness.entry.on_request,
            messages.CallerOutcome: self.harness.entry.on_outcome,
        }
        handler = handlers.get(type(message))
        if handler is not None:
            self.send_answers(handler(message, self.harness.now_ms))

    def send_answers(self, out):
        """Send the answers of the entry to the callers."""
        self.harness.collect(out)
        for message in out:
            if isinstance(message, messages.CallerAnswer):
                self.side.answer(message)

    def connect(self):
        """Return a new client connection."""
        return Client(self.driver.loop, self.port)

    def send_and_wait(self, raw, count=1):
        """Send bytes on a new connection and wait for answers."""
        client = self.connect()
        client.stream.send(raw)
        self.driver.run_until(
            lambda: client.received and len(client.documents) >= count
        )
        return client

    def expire_partial_requests(self):
        """Advance the time beyond the timeout of a partial request."""
        self.driver.step()
        self.driver.advance(http_server.REQUEST_TIMEOUT_MS + 1000)
        self.driver.advance(1000)

    def check_other_client(self):
        """Check that another connection still works."""
        raw = http_messages.format_request('/health', b'', '', 'GET')
        self.other_client.stream.send(raw)
        self.driver.run_until(lambda: b'ready' in self.other_client.received)


def request(path=PATH, **fields):
    """Return the bytes of a request."""
    return http_messages.format_request(path, json.dumps(fields).encode())


@pytest.mark.parametrize(
    'raw',
    [
        b'\x16\x03\x01 no HTTP\r\n\r\n',
        http_messages.format_request(PATH, b'{"kind":'),
        http_messages.format_request(PATH, b'{"kind":"\xff"}'),
        http_messages.format_request(
            PATH, b'{"statement":%b' % (b'[' * 200_000)
        ),
        http_messages.format_request(PATH, b' ' * 1_048_577),
        http_messages.format_request('/x' * 20_000, b''),
        http_messages.format_request('/v1/unknown', b'{}'),
    ],
)
def test_malformed_requests(raw):
    """Guards against bad requests without an answer or a count."""
    setup = Setup()
    client = setup.send_and_wait(raw)
    assert client.documents[0]['error'] == 'bad_request'
    assert client.documents[0]['outcome'] == 'not_run'
    assert setup.counts == ['bad_requests']
    assert not setup.harness.forwards
    setup.check_other_client()


def test_malformed_outcome_query():
    """Guards against "not run" for a write whose outcome was asked for."""
    client = Setup().send_and_wait(http_messages.format_request(OUTCOMES, b'{'))
    assert client.documents[0]['outcome'] == 'unknown'


def test_sessions_and_tokens():
    """Guards against sessions and tokens that were not issued here."""
    setup = Setup()
    signer = setup.harness.signer
    session = setup.harness.session
    other = signer.sign(builders.tokens.Token(signer.new_session()))
    for fields in (
        {'session': 'unknown'},
        {'session': f'{session}!'},
        {'session': session, 'token': other.swapcase()},
        {'session': session, 'token': other},
        {'token': other},
    ):
        client = setup.send_and_wait(request(**fields))
        assert client.documents[0]['error'] == 'bad_token'
    assert not setup.harness.forwards


def test_pipelined_answers_keep_the_order():
    """Guards against pipelined answers in the wrong order."""
    setup = Setup()
    parts = (request(request_id='a'), request(request_id='b'), b'no HTTP\r\n')
    client = setup.connect()
    client.stream.send(b''.join(parts))
    setup.driver.run_until(lambda: len(setup.harness.forwards) == 2)
    setup.side.drain()
    first, second = setup.harness.forwards
    for sent in (second, first):
        setup.harness.forwards.append(sent)
        answer = builders.peers.ForwardAnswer(
            sent.payload.number,
            sent.payload.attempt,
            b'{"outcome":"done"}',
        )
        setup.send_answers(
            setup.harness.entry.on_answer(sent.member, answer, 1000)
        )
    setup.driver.run_until(lambda: client.closed)
    found = client.documents
    assert [document.get('request_id') for document in found] == [
        'a',
        'b',
        None,
    ]
    assert client.received.count(b'Connection: close') == 1
    assert found[2]['error'] == 'bad_request'


def test_slow_and_flooding_clients():
    """Guards against connections and memory held by unfinished requests."""
    setup = Setup()
    slow = setup.connect()
    slow.stream.send(request()[:-1])
    setup.driver.run_until(lambda: len(setup.side.server.connections) == 2)
    setup.expire_partial_requests()
    setup.driver.run_until(lambda: slow.closed)
    flooding = setup.connect()
    flooding.stream.send(request() * 65)
    setup.driver.run_until(lambda: flooding.closed)
    assert setup.counts == ['bad_requests', 'bad_requests']
    assert setup.side.busy == 0
    setup.check_other_client()


def test_bytes_after_the_last_request_are_ignored():
    """Guards against requests that are executed but cannot be answered."""
    setup = Setup()
    closing = request().replace(b'Host', b'Connection: close\r\nHost')
    client = setup.connect()
    client.stream.send(closing + request())
    setup.driver.run_until(lambda: setup.harness.forwards)
    client.stream.send(request() * 3)
    setup.driver.step()
    assert len(setup.harness.forwards) == setup.side.busy == 1
    setup.harness.now_ms += 60_000
    setup.send_answers(setup.harness.entry.tick(setup.harness.now_ms))
    setup.driver.run_until(lambda: client.closed)
    assert len(client.documents) == 1


def test_unfinished_tls_handshake(tmp_path):
    """Guards against connections held by clients that never finish TLS."""
    context = tls.server_context(tls_builders.tls_files(tmp_path))
    setup = Setup(context)
    setup.driver.run_until(lambda: setup.side.server.connections)
    setup.expire_partial_requests()
    setup.driver.run_until(lambda: setup.other_client.closed)
    assert setup.counts == ['bad_requests']
    assert not setup.side.server.connections


def test_wrong_operator_key():
    """Guards against an operator request without the key."""
    setup = Setup()
    side = operators.HttpOperators(setup.driver.loop, b'right', setup.deliver)
    side.count = setup.counts.append
    setup.port = side.server.listen((driver.HOST, 0))
    for wrong in ('', 'Authorization: Bearer wrong\r\n'):
        raw = http_messages.format_request('/v1/drain', b'', wrong)
        assert setup.send_and_wait(raw).documents[0]['error'] == 'unauthorized'
    header = 'Authorization: Bearer right\r\n'
    nested = http_messages.format_request('/v1/preset', b'[' * 99_999, header)
    assert setup.send_and_wait(nested).documents[0]['error'] == 'bad_request'
    assert setup.counts == [
        'operators_unauthorized',
        'operators_unauthorized',
    ]


def test_only_the_caller_port_can_be_shared():
    """Guards against two processes that each get half of the connections."""
    setup = Setup()
    for shared in (True, False):
        first = listeners.Listener(
            setup.driver.loop,
            (driver.HOST, 0),
            print,
            share_port=shared,
        )
        expected = (
            contextlib.nullcontext() if shared else pytest.raises(OSError)
        )
        with expected:
            listeners.Listener(
                setup.driver.loop,
                (driver.HOST, first.port),
                print,
                share_port=shared,
            )
