"""Tests of the slot keeper against a store with a lost reply."""

import itertools

import pytest

from jacinthhaven.decide import builders, messages, slot_ranking, slots
from jacinthhaven.kernel import failures
from jacinthhaven.records import store

NO_REPLY = failures.STORE_UNAVAILABLE.because('no reply')


class Cluster:
    """Keepers of some members, one store and a directory without delay."""

    def __init__(self, names, owners=3):
        self.members = [builders.member(name) for name in names]
        self.entries = {}
        self.revision = 1
        self.calls = 0
        self.now_ms = 0
        self.outputs = {name: [] for name in names}
        numbers = itertools.count(1)
        self.keepers = {
            found.name: slots.SlotKeeper(found, numbers)
            for found in self.members
        }
        for lease, keeper in enumerate(self.keepers.values(), start=1):
            keeper.on_groups([builders.group(owners)], 0)
            keeper.on_lease(lease, 0)

    def publish(self):
        directory = [
            slot_ranking.slot_of(entry) for entry in self.entries.values()
        ]
        for name, keeper in self.keepers.items():
            self.outputs[name] += keeper.on_directory(
                directory,
                self.members,
                self.revision,
                self.now_ms,
            )

    def serve(self, request):
        """Execute a request like the store."""
        self.calls += 1
        if isinstance(request, store.ReadRequest):
            found = [
                entry
                for key, entry in self.entries.items()
                if key.startswith(request.prefix)
            ]
            return store.ReadReply(self.revision, tuple(found))
        for compare in request.compares:
            entry = self.entries.get(compare.key)
            found = 0 if entry is None else entry.mod_revision
            if found != compare.mod_revision:
                return store.SwapReply(succeeded=False, revision=self.revision)
        self.revision += 1
        for change in request.changes:
            self.entries.pop(change.key, None)
            if isinstance(change, store.Put):
                self.put(change.key, change.value, change.lease)
        return store.SwapReply(succeeded=True, revision=self.revision)

    def put(self, key, text, lease):
        self.entries[key] = store.KeyValue(
            key,
            text,
            self.revision,
            self.revision,
            lease,
        )

    def step(self, *, lose=False, publish=True):
        for name, keeper in self.keepers.items():
            for call in keeper.tick(self.now_ms):
                reply = self.serve(call.request)
                answer = messages.StoreReply(
                    call.number,
                    NO_REPLY if lose else reply,
                )
                self.outputs[name] += keeper.on_reply(answer, self.now_ms)
        if publish:
            self.publish()

    def run(self, until_ms):
        while self.now_ms < until_ms:
            self.now_ms += 100
            self.step()

    def holders(self):
        return [name for name, keeper in self.keepers.items() if keeper.held]

    def zones(self):
        return {
            keeper.member.zone
            for keeper in self.keepers.values()
            if keeper.held
        }

    def lost(self, name):
        return [
            output.reason
            for output in self.outputs[name]
            if isinstance(output, slots.SlotLost)
        ]

    def fail(self, name):
        """Remove a member and let its lease expire."""
        self.keepers.pop(name)
        self.members = [found for found in self.members if found.name != name]
        self.entries = {
            key: entry
            for key, entry in self.entries.items()
            if name not in entry.value
        }
        self.revision += 1


@pytest.fixture
def cluster():
    """Return six members in three zones that hold all slots of a group."""
    cluster = Cluster(['n1', 'n2', 'n3', 'n4', 'n5', 'n6'])
    cluster.publish()
    cluster.run(1000)
    assert len(cluster.holders()) == 3
    return cluster


def test_slots_are_spread_without_steady_traffic(cluster):
    """Guards against owners in one zone and polling of the store."""
    assert cluster.zones() == set(builders.ZONES)
    assert cluster.calls == 3
    cluster.run(20000)
    assert cluster.calls == 3


def test_best_ranked_member_tries_first(cluster):
    """Guards against all members creating the same absent slot."""
    name = cluster.holders()[0]
    zone = cluster.keepers[name].member.zone
    cluster.keepers[name].drain(cluster.now_ms)
    cluster.members = [found for found in cluster.members if found.name != name]
    calls = cluster.calls
    cluster.run(cluster.now_ms + 10000)
    assert cluster.calls == calls + 2
    assert cluster.keepers[name].calls.idle()
    assert len(cluster.holders()) == 3
    assert cluster.zones() == {*builders.ZONES, zone}


def test_next_member_tries_after_the_stagger(cluster):
    """Guards against a slot that stays absent if the best member fails."""
    name = cluster.holders()[0]
    cluster.fail(name)
    order = slot_ranking.candidates(
        builders.group().name,
        cluster.holders(),
        cluster.members,
    )
    cluster.keepers.pop(order[0])
    cluster.publish()
    cluster.run(cluster.now_ms + slots.STAGGER_MS - 200)
    assert len(cluster.holders()) == 2
    cluster.run(cluster.now_ms + 500)
    assert order[1] in cluster.holders()


@pytest.mark.parametrize('publish', [False, True])
def test_lost_reply_after_effect(publish):
    """Guards against a created slot that nobody uses."""
    cluster = Cluster(['n1'])
    cluster.publish()
    for now_ms in range(0, 5000, 100):
        cluster.now_ms = now_ms
        cluster.step(lose=not cluster.calls, publish=publish)
    held = cluster.keepers['n1'].held[builders.group().name]
    assert held.epoch == 2
    assert cluster.calls == 2


def test_directory_before_the_reply():
    """Guards against releasing a held slot after a needless check."""
    cluster = Cluster(['n1'])
    cluster.publish()
    keeper = cluster.keepers['n1']
    call = keeper.tick(100)[0]
    reply = cluster.serve(call.request)
    cluster.publish()
    keeper.on_reply(messages.StoreReply(call.number, reply), 100)
    cluster.run(5000)
    assert keeper.held[builders.group().name].epoch == reply.revision
    assert not cluster.lost('n1')


def test_lease_lost_while_creating():
    """Guards against holding a slot that is bound to a former lease."""
    cluster = Cluster(['n1'])
    cluster.publish()
    keeper = cluster.keepers['n1']
    call = keeper.tick(100)[0]
    reply = cluster.serve(call.request)
    keeper.on_lease(9, 100)
    assert not keeper.on_reply(messages.StoreReply(call.number, reply), 100)
    assert not keeper.held


def test_zones_without_holder_come_first():
    """Guards against owners that fail together with one zone."""
    members = [builders.member(f'n{number}') for number in range(12)]
    zones = {found.name: found.zone for found in members}
    for group in ('a', 'b', 'c', 'd'):
        first = slot_ranking.candidates(group, [], members)
        assert len({zones[name] for name in first[:3]}) == 3
        order = slot_ranking.candidates(group, first[:2], members)
        assert zones[order[0]] not in {zones[name] for name in first[:2]}
        assert sorted([*order, *first[:2]]) == sorted(first)


def test_lost_lease(cluster):
    """Guards against connections under the epoch of an expired lease."""
    name = cluster.holders()[0]
    lost = cluster.keepers[name].on_lease(0, cluster.now_ms)
    assert [output.reason for output in lost] == ['lease is gone']
    assert not cluster.keepers[name].held


def test_lost_key():
    """Guards against an epoch that others may replace, and late news."""
    cluster = Cluster(['n1'], owners=1)
    cluster.publish()
    cluster.now_ms = 100
    cluster.step(publish=False)
    keeper = cluster.keepers['n1']
    assert not keeper.on_directory([], cluster.members, 1, 200)
    lost = keeper.on_directory([], cluster.members, 2, 300)
    assert [output.reason for output in lost] == ['store key is gone']


def test_key_of_an_older_boot_expires():
    """Guards against the use of an epoch whose lease nobody renews."""
    cluster = Cluster(['n1'], owners=1)
    key = slot_ranking.Place(builders.group().name, 0).key
    cluster.put(key, '{"holder":"n1","boot":"older"}', lease=77)
    cluster.publish()
    cluster.run(5000)
    assert not cluster.holders()
    assert cluster.calls == 1
    cluster.entries.clear()
    cluster.revision += 1
    cluster.publish()
    cluster.run(6000)
    assert cluster.holders() == ['n1']


def test_drain_releases_a_key_created_meanwhile():
    """Guards against a slot that a stopped member leaves behind."""
    cluster = Cluster(['n1'], owners=1)
    cluster.publish()
    keeper = cluster.keepers['n1']
    call = keeper.tick(100)[0]
    keeper.drain(100)
    reply = cluster.serve(call.request)
    assert not keeper.on_reply(messages.StoreReply(call.number, reply), 100)
    cluster.now_ms = 100
    cluster.step(lose=True)
    cluster.run(6000)
    assert not cluster.entries
    assert keeper.calls.idle()
