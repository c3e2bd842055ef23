"""Tests of the slot manager with a store that can lose replies."""

import itertools

import pytest

from jacinthhaven.decide import builders, messages, slot_ranking, slots
from jacinthhaven.kernel import failures
from jacinthhaven.records import store

NO_REPLY = failures.STORE_UNAVAILABLE.because('no reply')


class Cluster:
    """Slot managers of some members, a store and an undelayed directory."""

    def __init__(self, names, owners=3):
        self.members = [builders.member(name) for name in names]
        self.entries = {}
        self.revision = 1
        self.calls = 0
        self.now_ms = 0
        self.outputs = {name: [] for name in names}
        numbers = itertools.count(1)
        self.managers = {
            found.name: slots.SlotManager(found, numbers)
            for found in self.members
        }
        for lease, manager in enumerate(self.managers.values(), start=1):
            manager.on_groups([builders.group(owners)], 0)
            manager.on_lease(lease, 0)

    def publish(self):
        directory = [
            slot_ranking.parse_slot(entry) for entry in self.entries.values()
        ]
        for name, manager in self.managers.items():
            self.outputs[name] += manager.on_directory(
                directory,
                self.members,
                self.revision,
                self.now_ms,
            )

    def serve(self, request):
        """Execute a request as the store would."""
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
        for name, manager in self.managers.items():
            for call in manager.tick(self.now_ms):
                reply = self.serve(call.request)
                answer = messages.StoreReply(
                    call.number,
                    NO_REPLY if lose else reply,
                )
                self.outputs[name] += manager.on_reply(answer, self.now_ms)
        if publish:
            self.publish()

    def run(self, until_ms):
        while self.now_ms < until_ms:
            self.now_ms += 100
            self.step()

    def holders(self):
        return [name for name, manager in self.managers.items() if manager.held]

    def zones(self):
        return {
            manager.member.zone
            for manager in self.managers.values()
            if manager.held
        }

    def lost(self, name):
        return [
            output.reason
            for output in self.outputs[name]
            if isinstance(output, slots.SlotLost)
        ]

    def fail(self, name):
        """Remove a member together with its keys, as an expired lease does."""
        self.managers.pop(name)
        self.members = [found for found in self.members if found.name != name]
        self.entries = {
            key: entry
            for key, entry in self.entries.items()
            if name not in entry.value
        }
        self.revision += 1


@pytest.fixture
def cluster():
    """Return six members in three zones, three of which hold the slots."""
    cluster = Cluster(['n1', 'n2', 'n3', 'n4', 'n5', 'n6'])
    cluster.publish()
    cluster.run(1000)
    assert len(cluster.holders()) == 3
    return cluster


def test_slots_are_spread_without_steady_traffic(cluster):
    """Guards against owners that share a zone and against store polling."""
    assert cluster.zones() == set(builders.ZONES)
    assert cluster.calls == 3
    cluster.run(20000)
    assert cluster.calls == 3


def test_best_ranked_member_tries_first(cluster):
    """Guards against all members trying to create the same absent slot."""
    name = cluster.holders()[0]
    zone = cluster.managers[name].member.zone
    cluster.managers[name].drain(cluster.now_ms)
    cluster.members = [found for found in cluster.members if found.name != name]
    calls = cluster.calls
    cluster.run(cluster.now_ms + 10000)
    assert cluster.calls == calls + 2
    assert cluster.managers[name].calls.idle()
    assert len(cluster.holders()) == 3
    assert cluster.zones() == {*builders.ZONES, zone}


def test_next_member_tries_after_the_stagger(cluster):
    """Guards against a slot that stays absent if the first member fails."""
    name = cluster.holders()[0]
    cluster.fail(name)
    order = slot_ranking.candidates(
        builders.group().name,
        cluster.holders(),
        cluster.members,
    )
    cluster.managers.pop(order[0])
    cluster.publish()
    cluster.run(cluster.now_ms + slots.STAGGER_MS - 200)
    assert len(cluster.holders()) == 2
    cluster.run(cluster.now_ms + 500)
    assert order[1] in cluster.holders()


@pytest.mark.parametrize('publish', [False, True])
def test_lost_reply_to_a_successful_creation(publish):
    """Guards against a created slot that its holder does not know about."""
    cluster = Cluster(['n1'])
    cluster.publish()
    for now_ms in range(0, 5000, 100):
        cluster.now_ms = now_ms
        cluster.step(lose=not cluster.calls, publish=publish)
    held = cluster.managers['n1'].held[builders.group().name]
    assert held.epoch == 2
    assert cluster.calls == 2


def test_directory_before_the_reply():
    """Guards against releasing a held slot after a needless check.

    The directory may list a key before the reply to its creation arrives.
    """
    cluster = Cluster(['n1'])
    cluster.publish()
    manager = cluster.managers['n1']
    call = manager.tick(100)[0]
    reply = cluster.serve(call.request)
    cluster.publish()
    manager.on_reply(messages.StoreReply(call.number, reply), 100)
    cluster.run(5000)
    assert manager.held[builders.group().name].epoch == reply.revision
    assert not cluster.lost('n1')


def test_lease_lost_while_creating():
    """Guards against holding a slot whose key has a former lease."""
    cluster = Cluster(['n1'])
    cluster.publish()
    manager = cluster.managers['n1']
    call = manager.tick(100)[0]
    reply = cluster.serve(call.request)
    manager.on_lease(9, 100)
    assert not manager.on_reply(messages.StoreReply(call.number, reply), 100)
    assert not manager.held


def test_zones_without_holder_come_first():
    """Guards against owners that all fail with a single zone."""
    members = [builders.member(f'n{number}') for number in range(12)]
    zones = {found.name: found.zone for found in members}
    for group in ('a', 'b', 'c', 'd'):
        first = slot_ranking.candidates(group, [], members)
        assert len({zones[name] for name in first[:3]}) == 3
        order = slot_ranking.candidates(group, first[:2], members)
        assert zones[order[0]] not in {zones[name] for name in first[:2]}
        assert sorted([*order, *first[:2]]) == sorted(first)


def test_lost_lease(cluster):
    """Guards against connections with the epoch of an expired lease."""
    name = cluster.holders()[0]
    lost = cluster.managers[name].on_lease(0, cluster.now_ms)
    assert [output.reason for output in lost] == ['lease is gone']
    assert not cluster.managers[name].held


def test_lost_key():
    """Guards against using an epoch that other members may replace.

    A directory older than the creation does not prove that the key is gone.
    """
    cluster = Cluster(['n1'], owners=1)
    cluster.publish()
    cluster.now_ms = 100
    cluster.step(publish=False)
    manager = cluster.managers['n1']
    assert not manager.on_directory([], cluster.members, 1, 200)
    lost = manager.on_directory([], cluster.members, 2, 300)
    assert [output.reason for output in lost] == ['store key is gone']


def test_key_of_an_older_boot_expires():
    """Guards against using an epoch whose lease is no longer renewed."""
    cluster = Cluster(['n1'], owners=1)
    key = slot_ranking.SlotId(builders.group().name, 0).key
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


def test_drain_deletes_a_key_created_meanwhile():
    """Guards against a slot key that a stopped member leaves behind."""
    cluster = Cluster(['n1'], owners=1)
    cluster.publish()
    manager = cluster.managers['n1']
    call = manager.tick(100)[0]
    manager.drain(100)
    reply = cluster.serve(call.request)
    assert not manager.on_reply(messages.StoreReply(call.number, reply), 100)
    cluster.now_ms = 100
    cluster.step(lose=True)
    cluster.run(6000)
    assert not cluster.entries
    assert manager.calls.idle()
