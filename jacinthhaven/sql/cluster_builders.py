"""Test data and fakes: owners of one service that may promote."""

from jacinthhaven.kernel import clock
from jacinthhaven.platform import client_wire
from jacinthhaven.records import history, store
from jacinthhaven.sql import (
    builders,
    election,
    fleet_builders,
    leadership,
    node,
    node_context,
    ownership,
    platform_builders,
    records,
    registry,
    relaying,
    store_records,
)
from jacinthhaven.standins import sql_group, store_model

PREFIX = 'ours/'
_GRACE_MS = 6000


class OneConfiguration(registry.Documents):
    """Documents of one configuration and of the same instances."""

    configuration_key = 'op/config'
    own_prefix = PREFIX
    watched_prefix = 'o'
    registry_prefix = 'servers/'
    member_prefix = 'nodes/'

    def __init__(self) -> None:
        self.listed = [builders.instance(name) for name in builders.MEMBERS]

    def configuration(self, text: str) -> records.Configuration | str:
        """Return the only configuration."""
        return builders.configuration()

    def instances(self, entries, on_unusable) -> list[records.Instance]:
        """Return the registry."""
        return self.listed


class Cluster:
    """Several nodes that share a store model and a database group."""

    def __init__(
        self,
        size: int = 3,
        *,
        fenced: bool = True,
        settle_ms: int = 3000,
        documents: registry.Documents | None = None,
    ) -> None:
        """Start the nodes and run them for a while.

        Args:
          size: Number of nodes.
          fenced: Whether the platform checks fencing tokens.
          settle_ms: Time to run. If it is 0, the nodes are listed in the
            store as after an earlier run, and do not run yet.
          documents: Formats of the documents in the store.
        """
        self.fenced = fenced
        self.network: dict[int, builders.FakeMessenger] = {}
        self.clock = clock.ManualClock(1000)
        self.group = sql_group.SqlGroup(
            builders.SERVICE,
            builders.MEMBERS,
            fenced=fenced,
        )
        self.model = store_model.StoreModel()
        self.documents = documents or OneConfiguration()
        self.nodes = []
        self.rigs = []
        self.platforms = []
        self.frozen: set[int] = set()
        self.sent: list[tuple[history.EraNumber, int]] = []
        self.now_ms = 1000
        for index in range(size):
            self._add(index)
        if not settle_ms:
            self._list_members()
        self.run(settle_ms)

    def run(self, for_ms: int) -> None:
        """Advance the clock of all nodes in steps of 10 ms."""
        until_ms = self.now_ms + for_ms
        while self.now_ms < until_ms:
            self.now_ms += 10
            self.clock.advance(10)
            for index, member in enumerate(self.nodes):
                if index in self.frozen:
                    continue
                self.platforms[index].run(self.now_ms)
                rig = self.rigs[index]
                rig.now_ms = self.now_ms
                rig.databases.now_ms = self.now_ms
                rig._deliver()
                for message in member.adapters.messenger.take():
                    member.on_message(message, self.now_ms)
                member.tick(self.now_ms)

    def put(self, key: str, text: str) -> None:
        """Write a key of the store."""
        put = store.Put(key, text)
        self.model.call(store.SwapRequest((), (put,)), self.now_ms)

    def restart(self, index: int) -> None:
        """Kill a node and start it again; it has forgotten everything."""
        self.network[index + 1].inbox.clear()
        orders = self.platforms[index].orders
        self._add(index)
        self.platforms[index].orders = orders

    def orders(self) -> list[tuple[str, str, int]]:
        """Return the promotion orders of all nodes by fencing token."""
        return sorted(
            (order for platform in self.platforms for order in platform.orders),
            key=lambda order: order[2],
        )

    def silence(self, name: str, nodes: int) -> None:
        """Let the first nodes get no more answers from an instance."""
        for rig in self.rigs[:nodes]:
            rig.databases.silent.add(name)

    def isolate(self, isolated: set[int]) -> None:
        """Cut the messages between some nodes and the others."""
        for port, messenger in self.network.items():
            messenger.lost = {
                (port, other)
                for other in self.network
                if (port - 1 in isolated) != (other - 1 in isolated)
            }

    def write(self, index: int, number: int) -> None:
        """Send a write of a new client of one node."""
        rig = self.rigs[index]
        request = f'w{number}'
        rig.gateway.on_start(number, builders.STRICT)
        statement = client_wire.decode_query(
            f'QUERY {request} WRITE k {request}'
        )
        rig.gateway.on_statement(number, statement, self.now_ms)

    def leadership(self, index: int) -> leadership.Leadership:
        """Return what a node knows about the primary."""
        return self.election(index).service.leadership

    def clients(self, index: int) -> builders.FakeClients:
        """Return the client connections of a node."""
        return self.rigs[index].clients

    def relay(self, index: int) -> relaying.Relay:
        """Return what gets the statements of the clients of a node."""
        return self.nodes[index].relay

    @property
    def keys(self) -> store_records.Keys:
        """Return the names of the keys that owners write."""
        return store_records.Keys(PREFIX)

    def elections(self) -> list[election.Election]:
        """Return the election of the only service at each node."""
        known = [member.elections for member in self.nodes]
        return [found.by_service[builders.SERVICE] for found in known]

    def election(self, index: int) -> election.Election:
        """Return the election of the only service at a node."""
        return self.elections()[index]

    def stored(self, key: str) -> str:
        """Return the value of a key of the store, or '' without one."""
        entry = self.model.space.keys.get(key)
        return entry.value if entry else ''

    def successes(self) -> set[str]:
        """Return the writes that were acknowledged to clients."""
        found = set()
        for rig in self.rigs:
            for number, answers in rig.clients.answers.items():
                if any(answer.code is None for answer in answers):
                    found.add(f'w{number}')
        return found

    def _list_members(self) -> None:
        """Write the member keys of an earlier run of the same nodes."""
        for member in self.nodes:
            keeper = member.coordination.keeper
            put = store.Put(keeper.member_key, keeper.member_value)
            self.model.call(store.SwapRequest((), (put,)), self.now_ms)

    def _add(self, index: int) -> None:
        rig = object.__new__(builders.Rig)
        rig.group = self.group
        rig.databases = builders.FakeDatabases(self.group)
        rig.clients = builders.FakeClients()
        rig.journal = builders.FakeJournal()
        rig.lines = []
        platform = platform_builders.FakePlatform(self.model, self.group)
        platform.sent = self.sent
        platform.fenced = self.fenced
        port = index + 1
        member = node.Node(
            node_context.Identity(
                f'n{index}',
                _GRACE_MS,
                ownership.Peer(('127.0.0.1', port), builders.ZONE, 1.0),
                self.fenced,
            ),
            node_context.Adapters(
                rig.databases,
                rig.clients,
                builders.FakeBorrowers(),
                builders.FakeRelays(),
                builders.FakeCopies(),
                builders.FakeMessenger(port, self.network),
                self.clock,
                platform,
                rig.journal,
                self.documents,
                builders.seeded_random(),
            ),
        )
        calls = member.coordination.access.calls
        platform.known_era = lambda: calls.era
        rig.gateway = member.gateway
        member.on_key('op/config', '{}', history.EraNumber(1))
        fleet_builders.put_entry(self.nodes, index, member)
        fleet_builders.put_entry(self.rigs, index, rig)
        fleet_builders.put_entry(self.platforms, index, platform)
