"""Tests of sessions that a node relays to an owner."""

import random

import pytest

from jacinthhaven.platform import client_wire
from jacinthhaven.sql import (
    builders,
    customer_keys,
    ownership,
    records,
    relaying,
    statements,
)

_CLIENT = 5
_NOW_MS = 2000
_ZONES = ('a', 'b', 'c')


def _peer(number: int) -> ownership.Peer:
    capacity = 2.0 if number < 6 else 0.5
    return ownership.Peer(('127.0.0.1', number), _ZONES[number % 3], capacity)


def _peers(size: int) -> dict[str, ownership.Peer]:
    return {f'n{number}': _peer(number) for number in range(size)}


class _Setup:
    """Node that owns no service, in a fleet of thirty nodes."""

    def __init__(self) -> None:
        self.rig = builders.Rig()
        self.relays = builders.FakeRelays()
        self.relay = relaying.Relay(
            'n20',
            self.rig.gateway,
            self.relays,
            random.Random(1),
        )
        self.relay.set_members(_peers(30))
        self.now_ms = _NOW_MS

    @property
    def answers(self) -> list[statements.Answer]:
        """Return the answers that this node has sent itself."""
        return self.rig.clients.answers[_CLIENT]

    def start(self) -> None:
        """Open a session that the first owner accepts."""
        self.relay.on_start(_CLIENT, builders.OWN, self.now_ms)
        self.reply('READY I -')

    def send(self, text: str) -> None:
        """Send a statement as the client."""
        statement = client_wire.decode_query(f'QUERY r {text}')
        self.relay.on_statement(_CLIENT, statement, self.now_ms)

    def reply(self, line: str) -> None:
        """Deliver a line from the owner."""
        states = {'I': statements.State.IDLE, 'T': statements.State.OPEN}
        state = states[line[6]] if line.startswith('READY') else None
        number = len(self.relays.opened)
        self.relay.on_line(number, line, state, self.now_ms)

    def lose(self) -> None:
        """Lose the connection to the owner."""
        self.relay.on_lost(len(self.relays.opened), self.now_ms)


def test_every_node_of_a_small_fleet_is_an_owner():
    """Guards against relaying sessions in a small fleet."""
    peers = _peers(8)
    assert ownership.owners('s', peers) == tuple(sorted(peers))


def test_owners_are_few_in_all_zones_and_on_large_vms():
    """Guards against owners on small VMs or in only one zone."""
    peers = _peers(30)
    owners = ownership.owners('s', peers)
    assert len(owners) == 6
    assert {peers[name].zone for name in owners} == set(_ZONES)
    assert {peers[name].capacity for name in owners} == {2.0}


def test_owners_in_the_same_zone_come_first():
    """Guards against avoidable traffic between availability zones."""
    peers = _peers(30)
    names = ownership.split_by_zone('b', 's', peers).order(7)
    assert [peers[name].zone for name in names[:2]] == ['b', 'b']


def test_statements_go_to_the_owner():
    """Guards against executing a relayed session locally."""
    setup = _Setup()
    setup.start()
    setup.send('READ k')
    assert setup.relays.sent[1] == ['READ k']
    setup.reply('DATAROW x')
    setup.reply('READY I 1.1')
    assert setup.rig.clients.lines[_CLIENT] == ['DATAROW x', 'READY I 1.1']


@pytest.mark.parametrize(
    ('texts', 'code'),
    [
        (('READ k',), statements.Code.ABORTED),
        (('WRITE k 1',), statements.Code.OUTCOME_UNKNOWN),
        (('EXECUTE s k',), statements.Code.OUTCOME_UNKNOWN),
        (('BEGIN', 'WRITE k 1'), statements.Code.ABORTED),
        (('BEGIN', 'COMMIT'), statements.Code.OUTCOME_UNKNOWN),
    ],
)
def test_truth_about_a_lost_owner(texts, code):
    """Guards against a wrong error after the loss of an owner.

    A statement that may have taken effect must not be reported as aborted.
    """
    setup = _Setup()
    setup.start()
    for text in texts[:-1]:
        setup.send(text)
        setup.reply('READY T -')
    setup.send(texts[-1])
    setup.lose()
    assert [answer.code for answer in setup.answers] == [code]
    assert setup.rig.clients.closed == [_CLIENT]


def test_idle_session_is_closed_without_an_error():
    """Guards against sending an error without a pending statement."""
    setup = _Setup()
    setup.start()
    setup.lose()
    assert not setup.answers
    assert setup.rig.clients.closed == [_CLIENT]


def test_owner_that_cannot_be_reached_is_replaced():
    """Guards against a session that waits for an unreachable owner."""
    setup = _Setup()
    setup.relay.on_start(_CLIENT, builders.OWN, setup.now_ms)
    setup.now_ms += 200
    setup.relay.tick(setup.now_ms)
    assert len(setup.relays.opened) == 2
    assert setup.relays.opened[0] != setup.relays.opened[1]


def test_session_is_executed_locally_when_no_owner_is_left():
    """Guards against refusing a session that this node can execute."""
    setup = _Setup()
    setup.relay.on_start(_CLIENT, builders.OWN, setup.now_ms)
    while setup.relay.sessions:
        setup.lose()
    assert _CLIENT in setup.rig.gateway.sessions


def test_silent_owner_is_asked_before_it_is_given_up():
    """Guards against mistaking a slow statement for a failed owner."""
    setup = _Setup()
    setup.start()
    setup.send('READ k')
    setup.now_ms += 350
    setup.relay.tick(setup.now_ms)
    assert setup.relays.sent[1] == ['READ k', 'ping']
    setup.relay.on_alive(1)
    setup.now_ms += 350
    setup.relay.tick(setup.now_ms)
    assert not setup.answers
    setup.now_ms += 350
    setup.relay.tick(setup.now_ms)
    assert [answer.code for answer in setup.answers] == [
        statements.Code.ABORTED,
    ]


def test_removed_route_is_refused_locally():
    """Guards against executing a removed route on an outdated owner."""
    setup = _Setup()
    setup.start()
    setup.rig.gateway.configure(builders.configuration(2, routes={}), 1)
    setup.send('READ k')
    assert [answer.code for answer in setup.answers] == [
        statements.Code.UNKNOWN_DATABASE,
    ]


def test_owner_with_an_older_configuration_refuses():
    """Guards against executing a session with an older configuration."""
    rig = builders.Rig()
    rig.gateway.on_relayed(_CLIENT, builders.OWN, 9)
    assert rig.clients.refused == {_CLIENT: statements.Code.BUSY}


def test_sessions_wait_until_the_members_are_known():
    """Guards against executing sessions on a node that is not an owner.

    After a power loss all clients reconnect before the members are read.
    """
    setup = _Setup()
    peers = setup.relay.peers
    setup.relay.set_members({})
    setup.relay.on_start(_CLIENT, builders.OWN, setup.now_ms)
    assert _CLIENT not in setup.rig.gateway.sessions
    setup.relay.set_members(peers)
    setup.relay.tick(setup.now_ms + 20)
    assert len(setup.relays.opened) == 1


def test_sessions_start_without_members_after_a_timeout():
    """Guards against clients that wait while the store is unreachable."""
    setup = _Setup()
    setup.relay.set_members({})
    setup.relay.tick(setup.now_ms)
    setup.relay.on_start(_CLIENT, builders.OWN, setup.now_ms)
    setup.relay.tick(setup.now_ms + 1100)
    assert _CLIENT in setup.rig.gateway.sessions


def test_session_executed_here_returns_to_the_owners():
    """Guards against local sessions that hold connections forever.

    The owners need these connections to the instances.
    """
    setup = _Setup()
    setup.rig.gateway.on_start(_CLIENT, builders.OWN)
    setup.rig.run(1000)
    setup.relay.tick(setup.rig.now_ms)
    assert setup.rig.clients.closed == [_CLIENT]


def test_sessions_are_spread_over_the_owners_of_the_zone():
    """Guards against sending all sessions of a node to one owner."""
    setup = _Setup()
    for number in range(10, 20):
        setup.relay.on_start(number, builders.OWN, setup.now_ms)
    tried = [address for address, _database in setup.relays.opened]
    counts = [tried.count(address) for address in set(tried)]
    assert counts == [5, 5]


def test_sessions_of_a_customer_go_to_one_owner():
    """Guards against links that each owner opens again for each customer."""
    keys = [f'k{number}' for number in range(12)]
    tried: dict[str, set] = {}
    for setup in (_Setup(), _Setup()):
        customers = {
            customer_keys.digest(key): records.Customer(key) for key in keys
        }
        setup.rig.gateway.configure(
            builders.configuration(2, customers=customers), setup.now_ms
        )
        for number, key in enumerate(keys * 2):
            digest = customer_keys.digest(key)
            setup.relay.on_start(number, builders.OWN, setup.now_ms, digest)
            tried.setdefault(key, set()).add(setup.relays.opened[-1][0])
    assert all(len(addresses) == 1 for addresses in tried.values())
    assert len(set.union(*tried.values())) > 2


def _measure(setup: _Setup, spent_ms: dict[str, float]) -> None:
    """Let the node measure the owners of each zone."""
    setup.relay.choice.may_leave = True
    for name, peer in _peers(6).items():
        setup.relay.choice.times.sample(name, spent_ms[peer.zone], setup.now_ms)


def _zones(setup: _Setup, sessions: int) -> list[str]:
    """Open sessions and return the zones of the owners that they try."""
    begin = len(setup.relays.opened)
    for number in range(sessions):
        setup.relay.on_start(100 + number, builders.OWN, setup.now_ms)
    opened = setup.relays.opened[begin:]
    return [_ZONES[address[1] % 3] for address, _database in opened]


def _pass_time(setup: _Setup, for_ms: int, spent_ms: dict[str, float]) -> None:
    """Open a session every 250 ms while the owners take some times."""
    until_ms = setup.now_ms + for_ms
    while setup.now_ms < until_ms:
        _measure(setup, spent_ms)
        setup.now_ms += 250
        _zones(setup, 1)


def _crowd(setup: _Setup) -> None:
    """Make the own zone slow until a share of the sessions leaves it."""
    _pass_time(setup, 5000, {'a': 400, 'b': 3, 'c': 3})


def test_share_of_the_sessions_leaves_a_slow_zone():
    """Guards against callers that wait for owners while others are idle.

    Some sessions stay, so that the node sees when its own zone is fast again.
    """
    setup = _Setup()
    _crowd(setup)
    zones = _zones(setup, 100)
    assert zones.count('a') >= 30
    assert zones.count('b') >= 15
    assert zones.count('c') >= 15
    # The average of the slow times and then the share take some seconds to fall.
    _pass_time(setup, 10000, {'a': 1, 'b': 3, 'c': 3})
    assert set(_zones(setup, 50)) == {'a'}
    changes = setup.rig.journal.events('zone_outflow')
    assert changes[0]['share'] and not changes[-1]['share']


def test_owners_that_cannot_be_reached_are_left_out_before_the_share():
    """Guards against sending sessions to a lost owner because it was fast."""
    setup = _Setup()
    _crowd(setup)
    for name, peer in _peers(6).items():
        if peer.zone == 'b':
            setup.relay.choice.back_off(name, setup.now_ms)
    assert 'b' not in _zones(setup, 100)


def test_relaying_node_measures_owners_without_their_databases():
    """Guards against leaving a zone because its statements take long.

    All owners use the same databases, so that leaving would change nothing.
    """
    setup = _Setup()
    setup.relay.on_start(_CLIENT, builders.OWN, setup.now_ms)
    setup.now_ms += 4
    setup.reply('READY I -')
    times = setup.relay.choice.times
    owner = next(iter(times.by_owner))
    assert times.expected_ms(owner, setup.now_ms) == 4
    for text, answer, spent_ms in (
        ('READ k', 'READY I -', 300),
        ('BEGIN', 'READY T -', 4),
        ('COMMIT', 'READY I -', 300),
    ):
        setup.send(text)
        setup.now_ms += spent_ms
        setup.reply(answer)
    assert times.expected_ms(owner, setup.now_ms) == 4
    setup.send('SET a 1')
    setup.now_ms += 300
    setup.reply('READY I -')
    assert times.expected_ms(owner, setup.now_ms) > 4


def test_unresponsive_owners_are_tried_less_often():
    """Guards against a delay of half a second for each new session.

    It occurs on a node that is cut off from all owners.
    """
    setup = _Setup()
    tried = []
    for step in range(40):
        before = len(setup.relays.opened)
        setup.relay.on_start(100 + step, builders.OWN, setup.now_ms)
        until_ms = setup.now_ms + 500
        while setup.now_ms < until_ms:
            setup.now_ms += 10
            setup.relay.tick(setup.now_ms)
        tried.append(len(setup.relays.opened) - before)
    assert sum(tried[20:]) <= sum(tried[:20]) / 2


def _listed(fleet: dict[str, ownership.Peer]) -> set[str]:
    """Return the nodes that stay listed if all are listed at first."""
    known = dict(fleet)
    for name in sorted(fleet):
        if not ownership.is_announced(name, fleet[name], known):
            known.pop(name)
    return set(known)


def test_small_fleet_is_listed_as_a_whole():
    """Guards against owners that are missing from the member list."""
    fleet = _peers(8)
    assert _listed(fleet) == set(fleet)


def _mixed(large: int) -> dict[str, ownership.Peer]:
    """Return 195 nodes in three zones, the first `large` on larger VMs."""
    return {
        f'n{number}': ownership.Peer(
            ('127.0.0.1', number),
            _ZONES[number % 3],
            2.0 if number < large else 0.5,
        )
        for number in range(195)
    }


def test_small_vms_of_a_large_fleet_are_not_listed():
    """Guards against store calls of nodes that never become owners."""
    fleet = _mixed(15)
    listed = _listed(fleet)
    assert listed == {f'n{number}' for number in range(15)}
    known = {name: fleet[name] for name in listed}
    assert ownership.owners(builders.SERVICE, known) == ownership.owners(
        builders.SERVICE,
        fleet,
    )


def test_vms_of_one_size_share_the_services():
    """Guards against too few owners when all VMs have the same size."""
    fleet = _mixed(0)
    assert _listed(fleet) == set(fleet)


def test_few_larger_vms_do_not_replace_the_others():
    """Guards against too few owners when only a few VMs are larger."""
    fleet = _mixed(9)
    assert _listed(fleet) == set(fleet)


def test_each_zone_of_a_large_fleet_has_listed_nodes():
    """Guards against a zone that sends all its statements to another."""
    fleet = _mixed(15)
    small = ownership.Peer(('127.0.0.1', 1), 'far', 0.5)
    assert ownership.is_announced('m1', small, fleet)


def test_lost_nodes_are_replaced_in_the_list():
    """Guards against a fleet without owners when the largest VMs fail."""
    fleet = _mixed(15)
    left = {name: peer for name, peer in fleet.items() if peer.capacity < 2}
    assert _listed(left) == set(left)


def test_planned_stop_ends_relayed_sessions_that_stay_active():
    """Guards against statements that are lost when the process exits."""
    setup = _Setup()
    setup.start()
    setup.send('READ k')
    clients = setup.rig.clients
    setup.rig.gateway.close_after_answer = True
    setup.reply('COMPLETE x')
    assert _CLIENT not in clients.closed
    setup.reply('READY I 1.1')
    assert clients.closed == [_CLIENT]
    assert clients.lines[_CLIENT][-1] == 'READY I 1.1'


def test_relayed_transaction_ends_at_half_of_the_grace():
    """Guards against a relayed transaction that outlives the relaying node."""
    setup = _Setup()
    setup.start()
    setup.send('BEGIN')
    setup.reply('READY T -')
    setup.relay.abort_transactions(_NOW_MS)
    assert setup.relays.closed == {1}
    setup.relay.on_statement(
        _CLIENT, client_wire.decode_query('QUERY c COMMIT'), _NOW_MS
    )
    assert setup.answers[-1].code is statements.Code.ABORTED


def test_exit_answers_all_relayed_statements():
    """Guards against pipelined statements of which only the first is answered."""
    setup = _Setup()
    setup.start()
    for text in ('READ k', 'WRITE k 1', 'READ k'):
        setup.send(text)
    setup.relay.end_sessions()
    codes = [answer.code for answer in setup.answers]
    assert codes == [statements.Code.OUTCOME_UNKNOWN for _ in range(3)]
    assert setup.rig.clients.closed == [_CLIENT]


def test_refusal_keeps_the_order_of_relayed_answers():
    """Guards against an answer that is taken for that of another statement."""
    setup = _Setup()
    setup.start()
    setup.send('READ k')
    setup.rig.gateway.refused_verbs = frozenset(statements.Verb)
    setup.send('WRITE k 1')
    assert not setup.answers
    setup.reply('READY I -')
    codes = [answer.code for answer in setup.answers]
    assert codes == [statements.Code.BUSY]
    assert setup.rig.clients.closed == [_CLIENT]
