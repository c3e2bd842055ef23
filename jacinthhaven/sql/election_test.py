"""Tests of the replacement of a primary: votes, duty, choice and fences."""

import functools

from jacinthhaven.kernel import clock
from jacinthhaven.platform import client_wire
from jacinthhaven.records import store
from jacinthhaven.sql import (
    builders,
    duty,
    node,
    notes,
    ownership,
    ports,
    records,
    registry,
    scripts,
    succession,
)
from jacinthhaven.standins import sql_group, store_model

_PREFIX = 'ours/'


class _Documents(registry.Documents):
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

    def __init__(
        self,
        size: int = 3,
        *,
        fenced: bool = True,
        settle_ms: int = 3000,
    ) -> None:
        """Start the nodes and let them settle."""
        self.fenced = fenced
        self.network: dict[int, builders.FakeMessenger] = {}
        self.clock = clock.ManualClock(1000)
        self.group = sql_group.SqlGroup(
            builders.SERVICE,
            builders.MEMBERS,
            fenced=fenced,
        )
        self.model = store_model.StoreModel()
        self.documents = _Documents()
        self.nodes = []
        self.rigs = []
        self.platforms = []
        self.now_ms = 1000
        for index in range(size):
            self._add(f'n{index}')
        if not settle_ms:
            self._list_members()
        self.run(settle_ms)

    def run(self, for_ms: int) -> None:
        """Let time pass for all nodes."""
        until_ms = self.now_ms + for_ms
        while self.now_ms < until_ms:
            self.now_ms += 10
            self.clock.advance(10)
            for index, member in enumerate(self.nodes):
                self.platforms[index].run(self.now_ms)
                rig = self.rigs[index]
                rig.now_ms = self.now_ms
                rig.databases.now_ms = self.now_ms
                rig._deliver()
                for message in member.adapters.messenger.take():
                    member.on_message(message, self.now_ms)
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

    def isolate(self, apart: set[int]) -> None:
        """Let no message pass between some nodes and the others."""
        for port, messenger in self.network.items():
            messenger.lost = {
                (port, other)
                for other in self.network
                if (port - 1 in apart) != (other - 1 in apart)
            }

    def write(self, index: int, number: int) -> None:
        """Let a client of one node write."""
        rig = self.rigs[index]
        request = f'w{number}'
        rig.gateway.on_start(number, builders.STRICT)
        statement = client_wire.decode_query(
            f'QUERY {request} WRITE k {request}'
        )
        rig.gateway.on_statement(number, statement, self.now_ms)

    def successes(self) -> set[str]:
        """Return the writes that clients were told to have succeeded."""
        found = set()
        for rig in self.rigs:
            for number, answers in rig.clients.answers.items():
                if any(answer.code is None for answer in answers):
                    found.add(f'w{number}')
        return found

    def _list_members(self) -> None:
        """Leave the keys of an earlier run of the same nodes in the store."""
        for member in self.nodes:
            keeper = member.coordination.keeper
            put = store.Put(keeper.member_key, keeper.member_text)
            self.model.call(store.SwapRequest((), (put,)), self.now_ms)

    def _add(self, name: str) -> None:
        rig = object.__new__(builders.Rig)
        rig.group = self.group
        rig.databases = builders.FakeDatabases(self.group)
        rig.clients = builders.FakeClients()
        rig.journal = builders.FakeJournal()
        rig.lines = []
        platform = builders.FakePlatform(self.model, self.group)
        port = len(self.nodes) + 1
        member = node.Node(
            node.Identity(
                name,
                6000,
                ownership.Peer(('127.0.0.1', port), builders.ZONE, 1.0),
                self.fenced,
            ),
            node.Adapters(
                rig.databases,
                rig.clients,
                builders.FakeBorrowers(),
                builders.FakeRelays(),
                builders.FakeMessenger(port, self.network),
                self.clock,
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
    assert fleet.nodes[0].gateway.owner_count == 3


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
        member.elections[builders.SERVICE].succession.acknowledging = 1
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
    keys = notes.Keys(_PREFIX)
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
    member.coordination.update_ownership(False)
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
        service.backlog.overloaded_ms = fleet.now_ms
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


def _split(nodes_apart: set[int]) -> Fleet:
    """Return a fleet in which some nodes alone reach the old primary."""
    fleet = Fleet(5, fenced=False)
    fleet.isolate(nodes_apart)
    for index, rig in enumerate(fleet.rigs):
        if index in nodes_apart:
            rig.databases.silent |= {'db-b', 'db-c'}
            fleet.platforms[index].down = True
        else:
            rig.databases.silent.add('db-a')
    return fleet


def _write_all_the_time(fleet: Fleet, for_ms: int) -> None:
    for step in range(for_ms // 50):
        for index, _member in enumerate(fleet.nodes):
            fleet.write(index, step * 10 + index + 1)
        fleet.run(50)


def test_nodes_apart_acknowledge_nothing_of_the_old_primary():
    """Guards against writes at two primaries where no fence is checked."""
    fleet = _split({3, 4})
    _write_all_the_time(fleet, 5000)
    assert fleet.group.primary != 'db-a'
    assert not fleet.successes() & set(fleet.group.split_commits)
    assert fleet.successes()


def test_nodes_apart_send_nothing_to_the_old_primary():
    """Guards against work that is rolled back later."""
    fleet = _split({3, 4})
    _write_all_the_time(fleet, 5000)
    assert len(fleet.group.split_commits) <= 2


def test_majority_with_the_old_primary_goes_on():
    """Guards against a promotion by the nodes that are apart."""
    fleet = Fleet(5, fenced=False)
    fleet.isolate({3, 4})
    for rig in fleet.rigs[3:]:
        rig.databases.silent.add('db-a')
    _write_all_the_time(fleet, 4000)
    assert not fleet.orders()
    assert len(fleet.successes()) >= 200


def test_all_nodes_in_touch_replace_a_lost_primary_as_fast():
    """Guards against waiting for rights to expire on ordinary days."""
    waited = []
    for fenced in (True, False):
        fleet = Fleet(5, fenced=fenced)
        fleet.silence('db-a', 5)
        since_ms = fleet.now_ms
        while not fleet.orders():
            fleet.run(10)
        waited.append(fleet.now_ms - since_ms)
    assert waited[1] <= waited[0] + 100


def test_old_primary_is_demoted():
    """Guards against an old primary that serves nobody for a long time."""
    fleet = Fleet(3, fenced=False)
    fleet.documents.listed = [
        builders.instance(name, leaving=name == 'db-a')
        for name in builders.MEMBERS
    ]
    fleet.run(4000)
    assert fleet.group.primary != 'db-a'
    assert not fleet.group.instances['db-a'].replaced_term


def test_refused_order_lets_all_use_the_primary_again():
    """Guards against a primary that nobody uses after a failed attempt."""
    fleet = Fleet(3, fenced=False)
    for platform in fleet.platforms:
        platform.promote = _refuse_order
    fleet.silence('db-a', 3)
    fleet.run(2500)
    for rig in fleet.rigs:
        rig.databases.silent.clear()
    fleet.run(4000)
    for member in fleet.nodes:
        right = member.gateway.groups[builders.SERVICE].right
        assert right.may_send(fleet.now_ms)


def _refuse_order(_service, _instance, _fence, on_result) -> None:
    """Refuse an order."""
    on_result(ports.OrderResult(False, True, 'status 409'))


def test_attempt_of_a_holder_that_ended_is_finished():
    """Guards against a service that is stopped for ever."""
    fleet = Fleet(3, fenced=False)
    granted = fleet.model.call(
        store.LeaseRequest(duty.DUTY_MS),
        fleet.now_ms,
    )
    key = fleet.nodes[0].keys.duty(builders.SERVICE)
    taken = fleet.model.call(
        store.SwapRequest((), (store.Put(key, 'n9', granted.lease),)),
        fleet.now_ms,
    )
    fleet.nodes[0].peering.withdraw(
        builders.SERVICE,
        1,
        taken.revision,
        fleet.now_ms,
    )
    fleet.run(200)
    rights = [
        member.gateway.groups[builders.SERVICE].right for member in fleet.nodes
    ]
    assert not any(right.may_send(fleet.now_ms) for right in rights)
    fleet.run(6000)
    assert all(right.may_send(fleet.now_ms) for right in rights)


def test_successor_of_an_unanswered_order_is_ordered_again():
    """Guards against two orders that may both be carried out."""
    fleet = Fleet(3, fenced=False)
    named = []
    for platform in fleet.platforms:
        platform.promote = functools.partial(_lose_order, named)
    fleet.silence('db-a', 3)
    fleet.run(10_000)
    assert len(named) >= 2
    assert len(set(named)) == 1


def _lose_order(named, _service, instance, _fence, on_result) -> None:
    """Take an order and lose its answer."""
    named.append(instance)
    on_result(ports.OrderResult(False, False, 'no answer in time'))


def test_holder_that_stood_still_sends_no_order():
    """Guards against an order after the duty has passed to another node."""
    fleet = Fleet(3)
    fleet.clock.advance(duty.DUTY_MS)
    fleet.silence('db-a', 3)
    fleet.run(2500)
    assert not fleet.orders()
    refused = [
        fields['reason']
        for rig in fleet.rigs
        for fields in rig.journal.events('promote_result')
    ]
    assert 'duty expired' in refused


def test_note_of_a_holder_that_lost_the_duty_is_not_written():
    """Guards against an order that nobody knows of."""
    fleet = Fleet(3, fenced=False)
    vote = fleet.nodes[0].elections[builders.SERVICE]
    lead = notes.Lead('db-b', 2, moving=True, fence=1)
    request = notes.write(vote.keys, builders.SERVICE, lead)
    reply = fleet.model.call(request, fleet.now_ms)
    assert not reply.succeeded


def test_isolated_node_is_not_ready():
    """Guards against clients that stay where nothing can be written."""
    fleet = Fleet(5, fenced=False)
    assert all(member.ready for member in fleet.nodes)
    fleet.isolate({4})
    fleet.run(3500)
    ready = [member.identity.name for member in fleet.nodes if member.ready]
    assert ready == ['n0', 'n1', 'n2', 'n3']
    fleet.isolate(set())
    fleet.run(500)
    assert fleet.nodes[4].ready


def test_store_outage_takes_no_right():
    """Guards against a store whose outage stops all writes."""
    fleet = Fleet(5, fenced=False)
    fleet.model.outage = True
    _write_all_the_time(fleet, 8000)
    late = {f'w{number}' for number in range(1401, 1581, 10)}
    assert late <= fleet.successes()


def test_malformed_note_takes_nothing_down():
    """Guards against keys that are lost after one that cannot be read."""
    fleet = Fleet()
    key = fleet.nodes[0].keys.lead(builders.SERVICE)
    for text in ('{', '[]', '{"instance": 1}', ''):
        fleet.model.call(store.SwapRequest((), (store.Put(key, text),)), 0)
    fleet.run(500)
    assert fleet.rigs[0].journal.events('note_unusable')
    fleet.silence('db-a', 3)
    fleet.run(4000)
    assert len(fleet.orders()) == 1


def test_starting_nodes_get_the_right_with_the_leader():
    """Guards against a start that is longer than without rights."""
    fleet = Fleet(5, fenced=False, settle_ms=0)
    services = [
        member.gateway.groups[builders.SERVICE] for member in fleet.nodes
    ]
    while not all(service.leadership.term for service in services):
        fleet.run(10)
    fleet.run(50)
    assert all(service.right.held(fleet.now_ms) for service in services)


def test_starting_node_refuses_nothing_before_it_has_the_right():
    """Guards against clients that are sent away for a moment's wait."""
    fleet = Fleet(5, fenced=False, settle_ms=0)
    for index, _member in enumerate(fleet.nodes):
        fleet.write(index, index + 1)
    fleet.run(1000)
    assert len(fleet.successes()) == 5


def test_holder_that_lost_the_duty_does_not_use_the_number_of_another():
    """Guards against two holders that order with one fencing number."""
    fleet = Fleet(3, fenced=False)
    vote = fleet.nodes[0].elections[builders.SERVICE]
    script = vote.succession.replace('db-a', succession.Cause.UNREACHABLE)
    call = next(script)
    while not isinstance(call, scripts.Broadcast):
        reply = None
        if isinstance(call, (store.LeaseRequest, store.SwapRequest)):
            reply = fleet.model.call(call, fleet.now_ms)
        fleet.run(10)
        call = script.send(reply)
    own = vote.duty.fence
    vote.duty.learn('n1', own + 1)
    status = records.InstanceStatus(
        is_primary=False,
        term=1,
        received=records.Position(1, 0),
    )
    call = script.send({'db-b': status, 'db-c': status})
    assert isinstance(call, store.SwapRequest)
    assert [compare.mod_revision for compare in call.compares] == [own]


def test_minority_with_the_store_does_not_replace_the_primary_of_the_others():
    """Guards against two groups that both believe to be the majority.

    The leases of the nodes that the store cannot reach lapse meanwhile. Seed
    1005092456656 of the small deployment without fencing.
    """
    fleet = Fleet(5, fenced=False)
    fleet.isolate({3, 4})
    for index, rig in enumerate(fleet.rigs):
        if index in {3, 4}:
            rig.databases.silent.add('db-a')
        else:
            fleet.platforms[index].down = True
    _write_all_the_time(fleet, 10_000)
    assert fleet.nodes[3].members == ('n3', 'n4')
    assert not fleet.orders()
    late = {f'w{number}' for number in range(1801, 1981, 10)}
    assert late <= fleet.successes()
