"""Tests of the promotion state machine with three simulated instances."""

import itertools
import random

import pytest

from jacinthhaven.decide import (
    builders,
    fence_round,
    messages,
    promotion,
    promotion_rules,
)
from jacinthhaven.kernel import failures
from jacinthhaven.records import backend

_Phase = promotion_rules.Phase
LOST = failures.CONNECTION_LOST.because('reply lost')


class Cluster:
    """Promotion state machines, instances and the orders in flight."""

    def __init__(self, deciders=1, **inputs):
        self.now_ms = 0
        self.group = builders.FakeGroup()
        self.acknowledged = {(1, 3)}
        self.deciders = [
            promotion.DatabasePromotion(builders.DATABASE, seed)
            for seed in range(deciders)
        ]
        self.seen = {index: self.group.views(0) for index in range(deciders)}
        self.inputs = inputs
        self.paused = set()
        self.in_flight = []
        self.holds = []
        self.events = []

    def collect(self, index, out):
        for message in out:
            if isinstance(message, messages.InstanceOrder):
                self.in_flight.append((index, message))
            elif isinstance(message, promotion.HoldWrites):
                self.holds.append(message.held)
            elif isinstance(message, messages.DecisionLine):
                self.events.append(message.event)
        return out

    def tick(self, index, **inputs):
        views = self.group.views(self.now_ms, self.seen[index])
        known = {'slot': index, **self.inputs, **inputs}
        return self.collect(
            index,
            self.deciders[index].tick(
                self.now_ms,
                builders.situation(views, **known),
            ),
        )

    def deliver(self, entry, *, lose=False):
        """Deliver one order and its reply, and check the invariants."""
        self.in_flight.remove(entry)
        index, order = entry
        reply = self.group.apply(order)
        self.check()
        out = self.deciders[index].on_reply(
            order,
            LOST if lose else reply,
            self.now_ms,
        )
        self.collect(index, out)

    def check(self):
        assert all(len(names) == 1 for names in self.group.primaries.values())
        copies = self.group.copies.values()
        newest = max(copy.term for copy in copies)
        for copy in copies:
            if copy.primary and copy.term == newest:
                kept = set(zip(copy.log, itertools.count(1)))
                assert self.acknowledged <= kept

    def advance(self, until_ms, step_ms=20, **inputs):
        """Run with orders delivered at once and without losses."""
        while self.now_ms < until_ms:
            self.now_ms += step_ms
            self.group.replicate(self.now_ms)
            for index in self.seen:
                if index not in self.paused:
                    self.tick(index, **inputs)
            for entry in list(self.in_flight):
                self.deliver(entry)

    def set_reachable(self, name=None, reachable=True):
        """Change one instance, or all of them without a name."""
        for copy in self.group.copies.values():
            if name in {None, copy.name}:
                copy.reachable = reachable

    def run_to_fence(self):
        """Advance until every decider has sent its fences."""
        self.inputs['slot'] = 0
        while len(self.in_flight) < 2 * len(self.deciders):
            self.now_ms += 20
            self.group.replicate(self.now_ms)
            for index in self.seen:
                self.tick(index)

    def copy(self, name):
        return self.group.copies[name]

    def primary(self):
        copies = self.group.copies.values()
        return [copy.name for copy in copies if copy.primary and copy.reachable]

    def assert_healthy(self):
        """Require one primary that all reachable instances follow."""
        assert len(self.primary()) == 1
        primary = self.group.copies[self.primary()[0]]
        self.group.replicate(self.now_ms)
        for copy in self.group.copies.values():
            if copy.reachable:
                assert copy.term == primary.term
                assert copy.log == primary.log

    def promotes(self):
        """Return the promote orders on their way."""
        return [
            entry
            for entry in self.in_flight
            if isinstance(entry[1].request, backend.PromoteRequest)
        ]


@pytest.fixture
def failed_primary():
    """Return a function that builds clusters with an unreachable primary."""

    def build(deciders=1):
        cluster = Cluster(deciders)
        cluster.set_reachable('i1', reachable=False)
        return cluster

    return build


def test_dead_primary_is_replaced_within_a_second(failed_primary):
    """Guards against a failover gap above the exchange's limit of 2 s."""
    cluster = failed_primary()
    cluster.advance(1000)
    cluster.assert_healthy()
    assert cluster.deciders[0].phase == _Phase.IDLE
    assert cluster.events == ['fence', 'promote', 'promoted']


@pytest.mark.parametrize('late_promote', [False, True])
def test_two_deciders_race(failed_primary, late_promote):
    """Guards against two primaries in a term, for any order of fences."""
    for order in itertools.permutations(range(6)):
        cluster = failed_primary(deciders=2)
        cluster.run_to_fence()
        cluster.set_reachable('i1', reachable=True)
        fences = list(cluster.in_flight)
        assert len(fences) == 6
        for number in order:
            cluster.deliver(fences[number])
            prompt = [] if late_promote else cluster.promotes()
            for promote in prompt:
                cluster.deliver(promote)
        cluster.advance(cluster.now_ms + 2000, step_ms=50)
        cluster.assert_healthy()


def test_lost_fence_answers(failed_primary):
    """Guards against counting a fence whose reply was lost."""
    cluster = failed_primary()
    cluster.run_to_fence()
    for entry in list(cluster.in_flight):
        cluster.deliver(entry, lose=True)
    assert cluster.deciders[0].phase == _Phase.WAITING
    assert cluster.group.primaries == {1: {'i1'}}
    cluster.advance(cluster.now_ms + 500)
    cluster.assert_healthy()
    assert cluster.copy('i2').term == 3


def test_lost_promote_answer(failed_primary):
    """Guards against a second promotion when a promote reply was lost."""
    cluster = failed_primary()
    cluster.run_to_fence()
    for entry in list(cluster.in_flight):
        cluster.deliver(entry)
    cluster.deliver(cluster.promotes()[0], lose=True)
    assert cluster.deciders[0].phase == _Phase.PROMOTING
    cluster.advance(cluster.now_ms + 500)
    cluster.assert_healthy()
    assert cluster.events == ['fence', 'promote', 'promoted']


def test_chosen_instance_dies_after_its_promotion(failed_primary):
    """Guards against a second primary in the term of the promotion."""
    cluster = failed_primary()
    cluster.run_to_fence()
    cluster.set_reachable()
    for entry in list(cluster.in_flight):
        cluster.deliver(entry)
    cluster.deliver(cluster.promotes()[0], lose=True)
    cluster.set_reachable('i2', reachable=False)
    cluster.advance(cluster.now_ms + 2000)
    cluster.assert_healthy()
    assert cluster.primary() == ['i1']


def test_late_reply_to_an_older_promote(failed_primary):
    """Guards against accepting a reply of an earlier promotion."""
    cluster = failed_primary()
    cluster.run_to_fence()
    for entry in list(cluster.in_flight):
        cluster.deliver(entry)
    late = cluster.promotes()[0]
    cluster.in_flight.clear()
    decider = cluster.deciders[0]
    while cluster.events.count('fence') == 1:
        cluster.now_ms += 20
        cluster.tick(0)
    for entry in list(cluster.in_flight):
        if isinstance(entry[1].request, backend.FenceRequest):
            cluster.deliver(entry)
    assert decider.phase == _Phase.PROMOTING
    decider.on_reply(late[1], None, cluster.now_ms)
    assert decider.phase == _Phase.PROMOTING


def test_retry_with_stale_status(failed_primary):
    """Guards against using a term again while the status is outdated."""
    cluster = failed_primary()
    cluster.run_to_fence()
    stale = cluster.seen[0]
    for entry in list(cluster.in_flight):
        cluster.deliver(entry, lose=True)
    out = []
    for now_ms in range(cluster.now_ms, cluster.now_ms + 400, 20):
        out += cluster.deciders[0].tick(now_ms, builders.situation(stale))
    orders = [
        message.request.term
        for message in out
        if isinstance(message, messages.InstanceOrder)
    ]
    assert set(orders) == {3}


def test_decider_paused_before_its_promote(failed_primary):
    """Guards against a late promote order that replaces a newer primary."""
    cluster = failed_primary(deciders=2)
    cluster.paused = {1}
    cluster.run_to_fence()
    for entry in list(cluster.in_flight):
        if entry[0] == 0:
            cluster.deliver(entry)
    late = cluster.promotes()[0]
    cluster.in_flight.clear()
    cluster.paused = {0}
    cluster.advance(cluster.now_ms + 2000)
    cluster.in_flight.append(late)
    cluster.deliver(late)
    cluster.paused = set()
    cluster.advance(cluster.now_ms + 1000)
    cluster.assert_healthy()
    assert cluster.copy('i2').term == 3
    assert cluster.events[-1] == 'promotion_abandoned'


@pytest.mark.parametrize('upstream', ['i1', ''])
def test_slow_primary_is_kept(upstream):
    """Guards against replacing a primary that has contact with a replica."""
    cluster = Cluster(live_owners=3)
    cluster.copy('i3').upstream = upstream
    for now_ms in range(0, 5000, 20):
        cluster.now_ms = now_ms
        cluster.group.replicate(now_ms)
        cluster.set_reachable('i1', reachable=False)
        assert not cluster.tick(0)
        cluster.set_reachable('i1', reachable=True)
    cluster.tick(0)
    assert cluster.deciders[0].false_starts == 1


def test_new_primary_dies_as_the_old_one_returns(failed_primary):
    """Guards against a returning primary that hides a second failure."""
    cluster = failed_primary()
    cluster.advance(1000)
    cluster.inputs['live_owners'] = 3
    cluster.set_reachable()
    cluster.set_reachable('i2', reachable=False)
    cluster.seen[0]['i2'].heard_ms = 0
    cluster.advance(2500)
    cluster.assert_healthy()


@pytest.mark.parametrize(
    ('received_ms', 'silent_ms', 'promoted'),
    [(1600, 1600, True), (1600, 1400, False), (400, 1600, False)],
)
def test_primary_unreachable_for_owners_only(received_ms, silent_ms, promoted):
    """Guards against a lasting outage that only the owners see.

    Also guards against a promotion on short or outdated silence reports.
    """
    cluster = Cluster(
        live_owners=3,
        reports={'n2': builders.silence(received_ms, i1=silent_ms)},
    )
    for now_ms in range(0, 1640, 20):
        cluster.now_ms = now_ms
        cluster.group.replicate(now_ms)
        cluster.set_reachable('i1', reachable=False)
        cluster.tick(0)
        cluster.set_reachable('i1', reachable=True)
    assert ('fence' in cluster.events) == promoted


def test_no_promotion_without_majority():
    """Guards against a promotion that may lose acknowledged writes."""
    cluster = Cluster()
    cluster.set_reachable('i1', reachable=False)
    cluster.set_reachable('i3', reachable=False)
    cluster.advance(8000)
    assert not cluster.events
    cluster.set_reachable('i3', reachable=True)
    cluster.advance(8200)
    cluster.assert_healthy()


def test_longer_log_of_an_older_term_loses(failed_primary):
    """Guards against choosing by position without the log term."""
    cluster = failed_primary()
    cluster.copy('i2').log = [1, 1, 1, 1, 1, 1]
    cluster.copy('i3').log = [1, 1, 1, 2]
    for copy in cluster.group.copies.values():
        copy.term = 2
        copy.upstream = ''
    cluster.acknowledged = {(2, 4)}
    cluster.advance(1500)
    assert cluster.primary() == ['i3']


def test_old_primary_that_returns_follows(failed_primary):
    """Guards against a returning primary that stays in its old term."""
    cluster = failed_primary()
    cluster.advance(2000)
    cluster.copy('i1').log.append(1)
    cluster.set_reachable('i1', reachable=True)
    cluster.advance(2100)
    cluster.assert_healthy()


def test_half_done_promotion_is_finished():
    """Guards against a group without primary after the promoter stopped."""
    cluster = Cluster(slot=1)
    request = backend.FenceRequest(builders.DATABASE, 5)
    for name in ('i1', 'i2'):
        cluster.group.apply(messages.InstanceOrder(name, request))
    cluster.advance(700)
    assert not cluster.events
    cluster.advance(1000)
    cluster.assert_healthy()


def random_step(cluster, rng):
    """Take one random step: a failure, a write, a tick or a delivery."""
    cluster.now_ms += rng.randint(1, 40)
    if rng.randrange(50) == 0:
        cluster.set_reachable()
        cluster.set_reachable(rng.choice(builders.INSTANCES), False)
    if rng.randrange(3) == 0:
        cluster.group.write()
    names = rng.sample(builders.INSTANCES, rng.randrange(4))
    cluster.group.replicate(cluster.now_ms, names)
    cluster.acknowledged |= cluster.group.committed()
    cluster.check()
    cluster.tick(rng.randrange(2))
    if cluster.in_flight and rng.randrange(10) < 8:
        entry = rng.choice(cluster.in_flight)
        cluster.deliver(entry, lose=rng.randrange(10) < 3)


def test_random_losses_and_delays():
    """Guards against sequences of events that no other test covers."""
    for seed in range(150):
        rng = random.Random(seed)
        cluster = Cluster(deciders=2)
        for _ in range(400):
            random_step(cluster, rng)
        cluster.set_reachable()
        cluster.advance(cluster.now_ms + 6000)
        cluster.assert_healthy()


def test_handover_counts_the_old_primary():
    """Guards against choosing before the old primary's log is known."""
    inputs = builders.situation(builders.FakeGroup().views(0))
    cause = fence_round.Cause('', 'i1', planned=True)
    replies = fence_round.FenceRound(2, cause, set(builders.INSTANCES))
    replies.record('i2', backend.FenceReply(2, 1, 3))
    replies.record('i3', backend.FenceReply(2, 1, 3))
    assert replies.count(inputs, final=False) == fence_round.RoundResult()
    assert replies.count(inputs, final=True).chosen == 'i2'
    replies.record('i1', backend.FenceReply(2, 1, 4))
    assert replies.count(inputs, final=False).chosen == 'i1'


def hand_over(cluster, rounds=100, **inputs):
    for _ in range(rounds):
        leaving = cluster.primary() == ['i1']
        cluster.advance(
            cluster.now_ms + 20,
            primary_leaving=leaving,
            **inputs,
        )


def test_leaving_primary_is_handed_over():
    """Guards against writes that remain held after a planned handover."""
    cluster = Cluster()
    cluster.seen[0]['i1'].leaving = True
    hand_over(cluster, rounds=10, writes_finished=True)
    assert cluster.primary() == ['i2']
    assert cluster.holds == [True, False]
    cluster.assert_healthy()


def test_handover_without_caught_up_replica():
    """Guards against handing over to a replica that lacks writes."""
    cluster = Cluster()
    cluster.seen[0]['i1'].leaving = True
    cluster.copy('i1').log.append(1)
    for name in ('i2', 'i3'):
        # The replicas lack an entry but stay in contact, since a primary
        # without contact to its replicas is replaced anyway.
        cluster.copy(name).upstream = ''
        cluster.copy(name).heard_ms = cluster.now_ms + 2000
    hand_over(cluster, writes_finished=True)
    assert cluster.holds == [True, False]
    assert cluster.primary() == ['i1']
    assert cluster.events == ['handover', 'handover_stopped']


def test_unfinished_statement_does_not_block_the_handover():
    """Guards against a transaction that delays a handover indefinitely."""
    cluster = Cluster()
    cluster.seen[0]['i1'].leaving = True
    hand_over(cluster, writes_finished=False)
    assert cluster.primary() == ['i2']
    assert cluster.holds == [True, False]
