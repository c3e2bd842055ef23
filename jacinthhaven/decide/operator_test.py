"""Tests of changes that operators request."""

import itertools
import random

import pytest

from jacinthhaven.decide import (
    configuration,
    gossip_builders,
    operator,
    operator_changes,
    store_builders,
)
from jacinthhaven.records import operators, presets, store

_NAMES = ('n0', 'n1', 'n2', 'n3', 'n4')
# Revision of the policy at the start of each test.
_INITIAL_REVISION = 8
_CONFIG = '{"presets":{"day":{},"peak":{}}}'


class Setup:
    """Cluster whose members n0 and n1 accept changes.

    Member n0 reads the store. Members in `not_adopting` adopt no policy.
    """

    def __init__(self):
        """Start with the preset `day` in force everywhere."""
        self.store = store_builders.FakeStore()
        for member in map(gossip_builders.member_entry, _NAMES):
            self.store.put(member.key, member.value)
        self.store.put('config', _CONFIG)
        self.store.put('preset', '{"name":"day"}')
        self.cluster = gossip_builders.Cluster(_NAMES)
        self.configurations = {
            name: configuration.PolicyTracker(
                node.directory,
                node.liveness,
                node.gossip,
            )
            for name, node in self.cluster.nodes.items()
        }
        numbers = itertools.count(1)
        self.operators = [
            operator.ChangeCoordinator(self.configurations[name], numbers, rng)
            for name, rng in (
                ('n0', random.Random(1)),
                ('n1', random.Random(2)),
            )
        ]
        self.answers = []
        self.not_adopting = set()
        self.run(6000)

    @property
    def now_ms(self):
        """Return the current time."""
        return self.cluster.now_ms

    def run(self, duration_ms):
        """Let time pass for all components."""
        for _ in range(duration_ms // gossip_builders.STEP_MS):
            self.read()
            self.cluster.run(gossip_builders.STEP_MS)
            for name, target in self.configurations.items():
                if name not in self.not_adopting:
                    target.tick(self.now_ms)
            for index, change_operator in enumerate(self.operators):
                self.collect(index, change_operator.tick(self.now_ms))

    def read(self):
        """Let n0 read the store and prove that it is current."""
        if not self.store.down:
            entries = tuple(self.store.keys.values())
            target = self.cluster.nodes['n0'].directory
            reply = store.ReadReply(self.store.revision, entries)
            target.apply_read(reply, self.now_ms)
            target.record_proof(reply.revision, self.now_ms)

    def collect(self, index, sent):
        """Answer store calls and keep the answers to operators."""
        change_operator = self.operators[index]
        others = self.store.serve(change_operator, sent, self.now_ms)
        self.cluster.send(f'n{index}', others)
        self.answers += [
            message.result
            for message in others
            if isinstance(message, operator_changes.ChangeAnswer)
        ]

    def request(self, body, index=0):
        """Request a change from one of the two operators."""
        request = operator_changes.ChangeRequest(1, body)
        self.collect(index, self.operators[index].handle(request, self.now_ms))

    def switch(self, name='peak', change_id='c1', index=0):
        """Request a preset, expecting the initial revision."""
        body = operators.PresetSwitch(
            name=name,
            expected_revision=_INITIAL_REVISION,
            change_id=change_id,
        )
        self.request(body, index)


@pytest.fixture(name='setup')
def _setup():
    return Setup()


def test_switch_is_in_force_everywhere(setup):
    """Guards against an early answer while a node uses the old preset."""
    setup.switch()
    setup.run(5900)
    assert not setup.answers
    names = {target.policy.name for target in setup.configurations.values()}
    assert names == {'peak'}
    setup.run(400)
    result = setup.answers[0]
    assert (result.outcome, result.revision) == ('done', _INITIAL_REVISION + 1)
    assert result.in_force
    assert not result.unconfirmed


def test_racing_operators(setup):
    """Guards against a change that silently replaces another one."""
    setup.switch(change_id='c1', index=0)
    setup.switch(name='day', change_id='c2', index=1)
    setup.run(200)
    loser = setup.answers[0]
    assert (loser.change_id, loser.error) == ('c2', 'conflict')
    assert loser.revision == _INITIAL_REVISION + 1
    setup.run(7000)
    assert setup.answers[1].change_id == 'c1'


def test_lost_answer_is_read_back(setup):
    """Guards against a resent change that conflicts with itself or repeats."""
    setup.store.lost_reply_types = (store.SwapRequest,)
    setup.switch()
    setup.store.lost_reply_types = ()
    setup.run(8000)
    assert [result.outcome for result in setup.answers] == ['done']
    assert setup.store.keys['preset'].mod_revision == _INITIAL_REVISION + 1


def test_lost_answer_and_a_later_change(setup):
    """Guards against reporting an outcome that cannot be determined."""
    setup.switch()
    change = setup.operators[0].changes[0]
    change.accepted_ms = None
    change.write_sent = True
    change.reply_lost = True
    change.documents = operator_changes.Documents()
    setup.store.put('preset', '{"name":"day","change_id":"c9"}')
    setup.run(100)
    assert setup.answers[0].outcome == 'unknown'
    assert setup.answers[0].revision == _INITIAL_REVISION + 2


def test_minority_is_refused(setup):
    """Guards against a change that the majority would not learn of."""
    setup.cluster.disconnected = {'n2', 'n3', 'n4'}
    setup.run(6000)
    setup.switch()
    setup.run(11_000)
    assert setup.answers[0].error == 'isolated'
    assert setup.store.keys['preset'].mod_revision == _INITIAL_REVISION


def test_store_outage(setup):
    """Guards against an endless wait for a store that is down."""
    setup.store.down = True
    setup.switch()
    setup.run(11_000)
    assert setup.answers[0].error == 'store_unavailable'


def test_silent_member_delays_but_does_not_block(setup):
    """Guards against a change that a dead member delays indefinitely."""
    setup.run(1000)
    setup.cluster.disconnected = {'n4'}
    setup.switch()
    setup.run(6500)
    assert not setup.answers
    setup.run(2000)
    assert setup.answers[0].in_force
    assert setup.answers[0].unconfirmed == 1


def test_live_member_without_the_change(setup):
    """Guards against `in force` while a live member uses the old preset."""
    setup.not_adopting = {'n4'}
    setup.switch()
    setup.run(60_000)
    assert not setup.answers
    setup.not_adopting = set()
    setup.run(4000)
    assert setup.answers[0].in_force


def test_lost_majority_is_not_in_force(setup):
    """Guards against `in force` while a majority uses the old preset."""
    setup.switch()
    setup.cluster.disconnected = {'n2', 'n3', 'n4'}
    setup.cluster.in_flight.clear()
    setup.run(60_000)
    assert not setup.answers
    setup.run(40_000)
    assert setup.answers[0].outcome == 'done'
    assert not setup.answers[0].in_force


def test_all_problems_are_returned(setup):
    """Guards against a report that stops at the first problem."""
    wrong = presets.Preset(queue_limit=0, retry_ratio=float('nan'))
    body = operators.ConfigApply(
        presets={'day': wrong, '': presets.Preset()},
        expected_revision=_INITIAL_REVISION,
        change_id='c1',
    )
    setup.request(body)
    result = setup.answers[0]
    assert result.error == 'bad_request'
    assert [problem.place for problem in result.problems] == [
        'presets.day.queue_limit',
        'presets.day.retry_ratio',
        'presets.',
    ]


def test_preset_in_force_cannot_be_removed(setup):
    """Guards against a configuration without the preset in force."""
    setup.request(
        operators.ConfigApply(
            presets={'peak': presets.Preset()},
            expected_revision=_INITIAL_REVISION,
            change_id='c1',
        ),
    )
    setup.switch(name='night')
    errors = [result.error for result in setup.answers]
    assert errors == ['bad_request', 'bad_request']
    assert setup.store.revision == _INITIAL_REVISION


def test_first_configuration():
    """Guards against a new cluster that accepts no configuration."""
    setup = Setup()
    setup.store.keys.pop('config')
    setup.store.keys.pop('preset')
    first = operators.ConfigApply(
        presets={'day': presets.Preset()},
        expected_revision=0,
        change_id='c1',
    )
    setup.request(first)
    assert setup.store.keys['config'].mod_revision == _INITIAL_REVISION + 1
