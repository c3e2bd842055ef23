"""Tests of the replacement of a primary: votes, duty, choice and fences."""

import functools

from jacinthhaven.records import store
from jacinthhaven.sql import builders, election, node, ownership, records
from jacinthhaven.standins import sql_group, store_model

_PREFIX = 'ours/'


class _Documents(node.Documents):
    configuration_key = 'op/config'
    own_prefix = _PREFIX
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


class Fleet:
    """Several nodes that share a store model and a database group."""

    def __init__(self, size: int = 3) -> None:
        """Start the nodes and let them settle."""
        self.group = sql_group.SqlGroup(builders.SERVICE, builders.MEMBERS)
        self.model = store_model.StoreModel()
        self.documents = _Documents()
        self.nodes = []
        self.rigs = []
        self.platforms = []
        self.now_ms = 1000
        for index in range(size):
            self._add(f'n{index}')
        self.run(3000)

    def run(self, for_ms: int) -> None:
        """Let time pass for all nodes."""
        until_ms = self.now_ms + for_ms
        while self.now_ms < until_ms:
            self.now_ms += 10
            for index, member in enumerate(self.nodes):
                self.platforms[index].run(self.now_ms)
                rig = self.rigs[index]
                rig.now_ms = self.now_ms
                rig.databases.now_ms = self.now_ms
                rig._deliver()
                member.tick(self.now_ms)

    def orders(self) -> list[tuple[str, str, int]]:
        """Return the promotions that were ordered."""
        return sorted(
            (order for platform in self.platforms for order in platform.orders),
            key=lambda order: order[2],
        )

    def silence(self, name: str, nodes: int) -> None:
        """Let some nodes get no more answers from an instance."""
        for rig in self.rigs[:nodes]:
            rig.databases.silent.add(name)

    def _add(self, name: str) -> None:
        rig = object.__new__(builders.Rig)
        rig.group = self.group
        rig.databases = builders.FakeDatabases(self.group)
        rig.clients = builders.FakeClients()
        rig.journal = builders.FakeJournal()
        rig.lines = []
        platform = builders.FakePlatform(self.model, self.group)
        member = node.Node(
            node.Identity(
                name,
                6000,
                ownership.Peer(('127.0.0.1', 1), builders.ZONE, 1.0),
            ),
            node.Surroundings(
                rig.databases,
                rig.clients,
                builders.FakeBorrowers(),
                builders.FakeRelays(),
                platform,
                rig.journal,
                self.documents,
                builders.seeded(),
            ),
        )
        rig.gateway = member.gateway
        member.on_key('op/config', '{}', 1)
        self.nodes.append(member)
        self.rigs.append(rig)
        self.platforms.append(platform)


def test_calm_fleet_promotes_nobody():
    """Guards against needless promotions."""
    fleet = Fleet()
    fleet.run(5000)
    assert not fleet.orders()
    assert fleet.nodes[0].members == ('n0', 'n1', 'n2')


def test_lost_primary_is_replaced_once():
    """Guards against a service without a primary, and against two orders."""
    fleet = Fleet()
    fleet.silence('db-a', 3)
    fleet.run(4000)
    assert len(fleet.orders()) == 1
    assert fleet.group.primary != 'db-a'
    services = [
        member.gateway.groups[builders.SERVICE] for member in fleet.nodes
    ]
    leaders = {service.leadership.leader for service in services}
    assert leaders == {fleet.group.primary}


def test_doubt_of_one_node_makes_the_others_check():
    """Guards against a long wait for the votes of nodes without traffic."""
    fleet = Fleet()
    services = [
        member.gateway.groups[builders.SERVICE] for member in fleet.nodes
    ]
    services[0].check_ms = 300
    for service in services[1:]:
        service.check_ms = 60_000
    fleet.silence('db-a', 3)
    fleet.run(2600)
    assert len(fleet.orders()) == 1


def test_silent_replica_does_not_hold_up_a_promotion():
    """Guards against a choice that waits for an instance without an answer."""
    fleet = Fleet()
    fleet.silence('db-a', 3)
    fleet.silence('db-c', 3)
    fleet.run(3200)
    assert fleet.group.primary == 'db-b'


def test_idle_fleet_asks_little():
    """Guards against questions of every node, which occupy slots."""
    fleet = Fleet()
    for known in fleet.rigs:
        known.lines.clear()
    fleet.run(10_000)
    lines = [line for rig in fleet.rigs for line in rig.lines]
    assert len(lines) <= 20


def test_one_node_without_contact_does_not_promote():
    """Guards against replacing a primary that most nodes reach."""
    fleet = Fleet()
    fleet.silence('db-a', 1)
    fleet.run(4000)
    assert not fleet.orders()


def test_replica_that_received_most_is_chosen():
    """Guards against losing commits that some replica holds."""
    fleet = Fleet()
    fleet.group.instances['db-c'].deaf = True
    fleet.group.commit((('k', '1'),), ('w1',), fleet.now_ms)
    fleet.silence('db-a', 3)
    fleet.run(4000)
    assert fleet.group.primary == 'db-b'
    assert not fleet.group.rolled_back


def test_leaving_primary_is_replaced():
    """Guards against a primary that stops while it leads."""
    fleet = Fleet()
    fleet.documents.listed = [
        builders.instance(name, leaving=name == 'db-a')
        for name in builders.MEMBERS
    ]
    fleet.run(4000)
    assert len(fleet.orders()) == 1
    assert fleet.group.primary != 'db-a'


def test_primary_missing_from_the_registry_is_replaced_later():
    """Guards against acting on entries that are back in two seconds."""
    fleet = Fleet()
    listed = fleet.documents.listed
    fleet.documents.listed = [entry for entry in listed if entry.name != 'db-a']
    fleet.run(2000)
    assert not fleet.orders()
    fleet.run(6000)
    assert len(fleet.orders()) == 1


def test_doubts_about_the_old_primary_spare_its_successor():
    """Guards against replacing a successor by votes against another."""
    fleet = Fleet()
    vote = fleet.nodes[0].elections[builders.SERVICE]
    for member in fleet.nodes:
        vote.doubts[member.identity.name] = 'db-a'
    vote.opinion.said = 'db-a'
    vote.opinion.saying = True
    vote.service.evidence.follow('db-b', 2, 'test')
    vote.tick(fleet.nodes[0].members, 1, fleet.now_ms + 5000)
    assert vote.runner is None


def test_shares_shrink_late():
    """Guards against links that exceed the limit while leases are gone."""
    fleet = Fleet()
    for key in ('nodes/n1', 'nodes/n2'):
        fleet.model.call(store.SwapRequest((), (store.Delete(key),)), 0)
    fleet.nodes = fleet.nodes[:1]
    fleet.run(5000)
    assert fleet.nodes[0].gateway.members == 3


def test_each_attempt_has_a_higher_fence():
    """Guards against a fencing number that is used twice."""
    fleet = Fleet()
    fleet.silence('db-a', 3)
    fleet.run(4000)
    fleet.silence(fleet.group.primary, 3)
    fleet.run(9000)
    fences = [order[2] for order in fleet.orders()]
    assert len(fences) >= 2
    assert len(set(fences)) == len(fences)
    assert fences == sorted(fences)


def test_holder_that_stops_is_followed_by_another():
    """Guards against a duty that nobody takes over."""
    fleet = Fleet()
    fleet.silence('db-a', 3)
    broken = functools.partial(_ignore_order)
    fleet.platforms[0].promote = broken
    fleet.run(600)
    fleet.run(9000)
    assert fleet.group.primary != 'db-a'


def _acknowledging() -> Fleet:
    fleet = Fleet()
    for member in fleet.nodes:
        member.elections[builders.SERVICE].acknowledging = 1
    return fleet


def _sent(fleet: Fleet, word: str) -> set[str]:
    """Return the instances that were sent a command."""
    return {
        name
        for rig in fleet.rigs
        for name, line in rig.lines
        if f' {word}' in line
    }


def test_acknowledging_replicas_are_paused_before_the_choice():
    """Guards against acknowledgements that the chosen one lacks."""
    fleet = _acknowledging()
    fleet.silence('db-a', 3)
    fleet.run(4000)
    assert fleet.orders()
    assert _sent(fleet, 'PAUSE') == {'db-b', 'db-c'}


def test_planned_replacement_keeps_what_another_replica_acknowledged():
    """Guards against a successor that lacks an acknowledged commit."""
    fleet = _acknowledging()
    fleet.group.instances['db-c'].deaf = True
    fleet.group.commit((('k', '1'),), ('w1',), fleet.now_ms)
    fleet.documents.listed = [
        builders.instance(name, leaving=name == 'db-a')
        for name in builders.MEMBERS
    ]
    fleet.run(4000)
    assert fleet.group.primary == 'db-b'
    assert _sent(fleet, 'PAUSE') == {'db-c'}
    assert not fleet.group.rolled_back


def test_replicas_are_resumed_when_a_promotion_is_given_up():
    """Guards against replicas that stay paused for ever."""
    fleet = _acknowledging()
    fleet.silence('db-a', 3)
    fleet.silence('db-c', 3)
    fleet.run(3000)
    assert not fleet.orders()
    assert 'db-b' in _sent(fleet, 'RESUME')


def test_keys_do_not_overlap():
    """Guards against two kinds of notes under one key."""
    keys = election.Keys(_PREFIX)
    names = {
        keys.doubt('x', 'x'),
        keys.duty('x'),
        keys.lead('x'),
    }
    assert len(names) == 3


def _ignore_order(*_args: object) -> None:
    """Take an order and never answer."""


def test_node_without_services_watches_the_configuration_only():
    """Guards against a call of every node for each note of the owners."""
    fleet = Fleet()
    member, platform = fleet.nodes[0], fleet.platforms[0]
    member.coordination.own_services(False)
    platform.calls.clear()
    fleet.run(1000)
    watches = [
        call for call in platform.calls if isinstance(call, store.WatchRequest)
    ]
    assert [watch.prefix for watch in watches] == ['op/config']
    assert len(platform.watches) == 1


def _press(fleet: Fleet, lagging: tuple[str, ...]) -> None:
    """Let reads of all nodes be refused for lack of replicas and slots."""
    for member in fleet.nodes:
        service = member.gateway.groups[builders.SERVICE]
        service.backlog.pressed_ms = fleet.now_ms
        for name in lagging:
            state = service.pool.states[name]
            state.behind_ms = state.behind_ms or fleet.now_ms


def _keep_pressing(fleet: Fleet, lagging: tuple[str, ...]) -> None:
    until_ms = fleet.now_ms + 3000
    while fleet.now_ms < until_ms:
        _press(fleet, lagging)
        fleet.run(100)


def test_lead_is_handed_over_when_no_replica_can_read():
    """Guards against a service with one usable instance out of three."""
    fleet = Fleet()
    _keep_pressing(fleet, ('db-b', 'db-c'))
    assert len(fleet.orders()) == 1
    assert fleet.group.primary != 'db-a'
    assert not fleet.group.rolled_back


def test_lead_stays_while_one_replica_can_read():
    """Guards against handing over a lead that helps nobody."""
    fleet = Fleet()
    _keep_pressing(fleet, ('db-b',))
    assert not fleet.orders()


def test_lead_stays_where_the_replicas_lack_commits():
    """Guards against losing acknowledged commits by a handover."""
    fleet = Fleet()
    for replica in ('db-b', 'db-c'):
        fleet.group.instances[replica].deaf = True
    fleet.group.commit((('k', '1'),), ('w1',), fleet.now_ms)
    _keep_pressing(fleet, ('db-b', 'db-c'))
    assert not fleet.orders()


def test_lead_is_not_handed_over_again_and_again():
    """Guards against a service that changes its primary all the time."""
    fleet = Fleet()
    _keep_pressing(fleet, ('db-b', 'db-c'))
    _keep_pressing(fleet, tuple(builders.MEMBERS))
    assert len(fleet.orders()) == 1
