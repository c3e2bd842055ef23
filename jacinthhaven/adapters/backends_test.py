"""Tests of HTTP backends with a simulated instance and a faulty server."""

import pytest

from jacinthhaven.adapters import backends, http_server
from jacinthhaven.decide import messages
from jacinthhaven.kernel import failures
from jacinthhaven.records import backend, topology
from jacinthhaven.standins import (
    builders,
    driver,
    instance_faults,
    instance_model,
    instance_server,
)


class Setup:
    """Backend task with one instance and the reports that it delivered."""

    def __init__(self, handler=None) -> None:
        """Listen on a free port; `handler` replaces the simulated instance."""
        self.driver = driver.Driver()
        loop = self.driver.loop
        self.model = instance_model.InstanceModel('a', ['lots'], 2)
        self.model.start_as({'lots': 'a'}, 0)
        self.instance = instance_server.InstanceServer(
            loop,
            self.model,
            {},
            instance_faults.Faults(),
        )
        server = self.instance.server
        if handler is not None:
            server = http_server.Server(loop, handler)
        port = server.listen((driver.HOST, 0))
        self.reports = []
        self.task = backends.HttpBackends(
            loop,
            [topology.Instance('a', driver.HOST, port, 'z')],
            self.reports.append,
        )

    def next_report(self):
        """Run until a report arrives and return it."""
        self.driver.run_until(lambda: self.reports)
        return self.reports.pop(0)

    def open(self, number=1, epoch=1, instance='a'):
        """Open a connection and return the report about it."""
        request = backend.ConnectRequest('g/0', epoch)
        self.task.open(messages.BackendOpen(number, instance, request))
        return self.next_report()

    def call(self, request, number=7):
        """Send a request on connection 1 and return the report about it."""
        self.task.call(messages.BackendCall(1, number, request))
        return self.next_report()


def answer_calls(status, body):
    """Return a handler that accepts connections and answers calls."""

    def handle(exchange):
        if exchange.message.path == '/connect':
            exchange.respond(200, b'{}')
        else:
            exchange.respond(status, body)

    return handle


def test_typed_replies():
    """Guards against decoding a reply as the type of another request."""
    setup = Setup()
    assert setup.open() == messages.BackendOpened(1)
    written = setup.call(builders.add('key'))
    assert (written.number, written.reply.position) == (7, 2)
    resolved = setup.call(backend.ResolveRequest('lots', 1, 'key'))
    assert resolved.reply.done
    status = setup.call(backend.StatusRequest(0, 0))
    assert status.reply.databases[0].position == 2
    fenced = setup.call(backend.FenceRequest('lots', 2))
    assert fenced.reply == backend.FenceReply(2, 1, 2)


def test_refusal_keeps_the_connection():
    """Guards against closing a connection because a call was refused."""
    setup = Setup()
    setup.open()
    refused = setup.call(builders.add('key', term=9))
    assert refused.reply.kind is failures.STALE_TERM
    assert setup.call(builders.add('key')).reply.position == 2


def test_refused_connections_are_typed():
    """Guards against a former slot holder that does not learn of its loss."""
    setup = Setup()
    assert setup.open(1, epoch=2) == messages.BackendOpened(1)
    stale = setup.open(2, epoch=1)
    assert (stale.connection, stale.failure.kind) == (
        2,
        failures.STALE_EPOCH,
    )
    assert setup.open(3, instance='x').failure.kind is (
        failures.CONNECTION_REFUSED
    )
    setup.instance.server.stop_accepting()
    assert setup.open(4).failure.kind is failures.CONNECTION_REFUSED


def test_higher_epoch_ends_the_connection():
    """Guards against an unreported loss when the slot has a new holder."""
    setup = Setup()
    setup.open(1, epoch=1)
    reports = [setup.open(2, epoch=2), setup.next_report()]
    lost = [found for found in reports if found.connection == 1]
    assert lost[0].failure.kind is failures.CONNECTION_LOST


def test_lost_answer_is_reported_once():
    """Guards against reporting an executed write as refused."""
    setup = Setup()
    setup.open()
    setup.instance.faults.drop_answers = 1
    lost = setup.call(builders.add('key'))
    assert lost.failure.outcome is failures.Outcome.UNKNOWN
    setup.task.call(messages.BackendCall(1, 8, builders.add('key')))
    setup.driver.run_until(lambda: not setup.model.table.connections)
    assert not setup.reports


def test_closed_connection_reports_nothing():
    """Guards against reporting a late reply on a closed connection."""
    setup = Setup()
    setup.open()
    setup.task.call(messages.BackendCall(1, 7, builders.add()))
    setup.task.close(messages.BackendClose(1))
    setup.driver.run_until(lambda: not setup.model.table.connections)
    assert not setup.reports


@pytest.mark.parametrize(
    ('status', 'body'),
    [
        (200, b'{"position":1}'),
        (200, b'not json'),
        (409, b'[]'),
        (500, b'{}'),
    ],
)
def test_malformed_reply_ends_the_connection(status, body):
    """Guards against treating a malformed reply as a refusal."""
    setup = Setup(answer_calls(status, body))
    setup.open()
    lost = setup.call(builders.add())
    assert isinstance(lost, messages.BackendLost)
    assert lost.failure.kind is failures.CONNECTION_LOST


def test_unknown_error_code():
    """Guards against treating an unknown error code as "not executed"."""
    setup = Setup(answer_calls(409, b'{"error":"novel"}'))
    setup.open()
    reply = setup.call(builders.add()).reply
    assert reply.kind is failures.PROTOCOL_ERROR
