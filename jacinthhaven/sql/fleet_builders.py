"""Test data and fakes: a fleet of nodes that share a store."""

import typing

from jacinthhaven.kernel import clock
from jacinthhaven.records import store
from jacinthhaven.sql import (
    builders,
    node,
    node_context,
    ownership,
    platform_builders,
    records,
    registry,
)
from jacinthhaven.standins import key_space, sql_group, store_model

CONFIGURATION_KEY = 'op/config'
APPLY_WITHIN_MS = 3000
_STEP_MS = 20
_START_MS = 1000
_SETTLE_MS = 3000
_GRACE_MS = 6000
_NEVER_MS = 10**9
_ZONES = ('a', 'b', 'c')
# Nodes of each availability zone that are large enough to own services.
_LARGE_PER_ZONE = 2
LARGE_NODES = _LARGE_PER_ZONE * len(_ZONES)
_LARGE_CAPACITY = 2


class VersionDocuments(registry.Documents):
    """Documents that consist of nothing but the version."""

    configuration_key = CONFIGURATION_KEY
    own_prefix = 'ours/'
    watched_prefix = 'o'
    registry_prefix = 'servers/'
    member_prefix = 'nodes/'

    def configuration(self, text: str) -> records.Configuration | str:
        """Return a configuration of the version in a document."""
        version = int(text)
        name = f'database-{version}'
        added = builders.route(name)
        known = builders.configuration().routes
        return builders.configuration(version, routes={**known, name: added})

    def instances(self, entries, on_unusable) -> list[records.Instance]:
        """Return no instance: nothing is executed in these tests."""
        return []


class Fleet:
    """Nodes on a manual clock, and the changes of their configuration.

    Attributes:
      nodes: Nodes by their index.
      platforms: Access of each node to the store.
      network: Messengers by port; the port of a node is its index plus 1.
      frozen: Indexes of nodes that stand still.
      changes: Time and version of each change; `_NEVER_MS` for a version that
        the store has lost and not got again.
    """

    def __init__(self, size: int) -> None:
        """Start the nodes and run them until they know each other."""
        self.now_ms = _START_MS
        self.clock = clock.ManualClock(_START_MS)
        self.model = store_model.StoreModel()
        self.network: dict[int, builders.FakeMessenger] = {}
        self.nodes: list[node.Node] = []
        self.platforms: list[platform_builders.FakePlatform] = []
        self.journals: list[builders.FakeJournal] = []
        self.clients: list[builders.FakeClients] = []
        self.copies: list[builders.FakeCopies] = []
        self.frozen: set[int] = set()
        self.changes: list[tuple[int, int]] = []
        self.change()
        for index in range(size):
            self._add(index)
        self.heal_messages()
        self.run(_SETTLE_MS)

    @property
    def versions(self) -> list[int]:
        """Return the version of each node's configuration."""
        return [member.gateway.configuration.version for member in self.nodes]

    @property
    def required(self) -> int:
        """Return the version that must be in force now."""
        until_ms = self.now_ms - APPLY_WITHIN_MS
        return max(
            (version for at_ms, version in self.changes if at_ms <= until_ms),
            default=0,
        )

    @property
    def calls(self) -> list[store.Request]:
        """Return the calls of all nodes to the store."""
        return [call for platform in self.platforms for call in platform.calls]

    def clear_calls(self) -> None:
        """Forget the calls so far."""
        for platform in self.platforms:
            platform.calls.clear()

    def change(self) -> None:
        """Write the next version."""
        version = len(self.changes) + 1
        self.put(CONFIGURATION_KEY, str(version))
        self.changes.append((self.now_ms, version))
        self._acknowledge()

    def put(self, key: str, text: str) -> None:
        """Write a key of the store."""
        swap = store.SwapRequest((), (store.Put(key, text),))
        self.model.call(swap, self.now_ms)

    def restore(self, copy: key_space.KeySpace) -> None:
        """Bring the store back from a copy."""
        self.model.restore(copy)
        kept = int(copy.keys[CONFIGURATION_KEY].value)
        self.changes = [
            (at_ms if version <= kept else _NEVER_MS, version)
            for at_ms, version in self.changes
        ]

    def write_again(self) -> None:
        """Write the newest version again, as the operator does."""
        self.put(CONFIGURATION_KEY, str(len(self.changes)))
        self._acknowledge()

    def restart(self, index: int) -> None:
        """Kill a node and start it again; it has forgotten everything."""
        self._add(index)
        self.heal_messages()

    def run(self, for_ms: int) -> None:
        """Advance the clock of all nodes."""
        until_ms = self.now_ms + for_ms
        while self.now_ms < until_ms:
            self.step()

    def step(self) -> None:
        """Advance the clock of all nodes by one tick."""
        self.now_ms += _STEP_MS
        self.clock.advance(_STEP_MS)
        for index, member in enumerate(self.nodes):
            if index in self.frozen:
                continue
            self.platforms[index].run(self.now_ms)
            for message in self.network[index + 1].take():
                member.on_message(message, self.now_ms)
            member.tick(self.now_ms)

    def cut_messages(self, index: int) -> None:
        """Lose all messages and copies from and to a node."""
        for port, messenger in self.network.items():
            if port == index + 1:
                messenger.lost = {(port, other) for other in self.network}
            else:
                messenger.lost.add((port, index + 1))
        self.copies[index].sources = {}
        for known in self.copies:
            known.sources.pop(index + 1, None)

    def heal_messages(self) -> None:
        """Deliver all messages and copies again."""
        for messenger in self.network.values():
            messenger.lost = set()
        for known in self.copies:
            known.sources = {
                port: self._source(port - 1) for port in self.network
            }

    def _acknowledge(self) -> None:
        """Note that the store has all versions, also those that it had lost."""
        self.changes = [
            (min(at_ms, self.now_ms), version)
            for at_ms, version in self.changes
        ]

    def _source(self, index: int) -> builders.Source:
        return lambda: self.nodes[index].sync.copy

    def _add(self, index: int) -> None:
        group = sql_group.SqlGroup(builders.SERVICE, builders.MEMBERS)
        platform = platform_builders.FakePlatform(self.model, group)
        journal = builders.FakeJournal()
        clients = builders.FakeClients()
        copies = builders.FakeCopies()
        adapters = node_context.Adapters(
            builders.FakeDatabases(group),
            clients,
            builders.FakeBorrowers(),
            builders.FakeRelays(),
            copies,
            builders.FakeMessenger(index + 1, self.network),
            self.clock,
            platform,
            journal,
            VersionDocuments(),
            builders.seeded_random(),
        )
        identity = node_context.Identity(
            f'n{index}',
            _GRACE_MS,
            _peer(index),
            apply_within_ms=APPLY_WITHIN_MS,
        )
        put_entry(self.nodes, index, node.Node(identity, adapters))
        put_entry(self.platforms, index, platform)
        put_entry(self.journals, index, journal)
        put_entry(self.clients, index, clients)
        put_entry(self.copies, index, copies)


def put_entry(known: list, index: int, added: typing.Any) -> None:
    """Append an entry, or replace that of a node before its restart."""
    if index < len(known):
        known[index] = added
    else:
        known.append(added)


def _peer(index: int) -> ownership.Peer:
    """Return the member entry of a node."""
    large = index < LARGE_NODES
    return ownership.Peer(
        ('127.0.0.1', index + 1),
        _ZONES[index % len(_ZONES)],
        _LARGE_CAPACITY if large else 1,
    )
