"""Tests of the message delivery between the components of a node."""

import random

from jacinthhaven.decide import builders, messages, node, work
from jacinthhaven.kernel import failures
from jacinthhaven.records import peers

BODY = b'{"kind":"%b","session":"s","transaction":"m1~1"}'


def new_node():
    """Return a node that knows no configuration."""
    return node.Node(
        node.Identity(
            builders.member('m1'),
            (builders.group(),),
            b'key',
            50,
            random.Random(1),
        ),
    )


def forward_failures(target, kind):
    """Return the member and failure code of each answer to a forward."""
    body = BODY % kind.encode()
    forward = peers.StatementForward(7, builders.DATABASE, body, 100)
    sent = receive(target, forward)
    return [(message.member, message.payload.failure) for message in sent]


def receive(target, payload):
    """Deliver a payload of m2 and return the messages to peers."""
    out = target.handle(messages.PeerReceived('m2', payload), 1000)
    return [sent for sent in out if isinstance(sent, messages.PeerSend)]


def test_isolated_owner_refuses_new_work():
    """Guards against decisions under a preset that is not in force."""
    target = new_node()
    assert forward_failures(target, work.WRITE) == [('m2', 'isolated')]
    assert forward_failures(target, work.STATEMENT) == [('m2', 'no_owner')]
    target.entry.refusal = None
    assert forward_failures(target, work.WRITE) == [('m2', 'no_owner')]


def test_entry_leaves_an_isolated_owner():
    """Guards against a refusal when another owner could serve the request."""
    harness = builders.EntryHarness()
    number = harness.request()
    harness.reply(failures.ISOLATED.because('test'))
    assert harness.forwards[-1].member == 'm2'
    harness.reply()
    assert harness.outcomes(number) == ['done']


def test_probe_is_answered():
    """Guards against a healthy owner that is taken for a stalled one."""
    answer = messages.PeerSend('m2', peers.ProbeReply(5))
    assert receive(new_node(), peers.Probe(5)) == [answer]
    assert not receive(new_node(), peers.ProbeReply(5))
