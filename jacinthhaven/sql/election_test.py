"""Tests of primary replacement: votes, lock, choice and fencing tokens."""

import functools

from jacinthhaven.records import store
from jacinthhaven.sql import (
    builders,
    cluster_builders,
    failover,
    leadership,
    ports,
    promotion_lock,
    records,
    scripts,
    store_records,
)


def test_healthy_primary_is_not_replaced():
    """Guards against needless promotions."""
    cluster = cluster_builders.Cluster()
    cluster.run(5000)
    assert not cluster.orders()
    assert cluster.nodes[0].members == ('n0', 'n1', 'n2')


def test_lost_primary_is_replaced_once():
    """Guards against a service without a primary, and against two orders."""
    cluster = cluster_builders.Cluster()
    cluster.silence('db-a', 3)
    cluster.run(4000)
    assert len(cluster.orders()) == 1
    assert cluster.group.primary != 'db-a'
    services = [
        member.gateway.groups[builders.SERVICE] for member in cluster.nodes
    ]
    leaders = {service.leadership.leader for service in services}
    assert leaders == {cluster.group.primary}


def test_suspicion_of_one_node_makes_the_others_check():
    """Guards against a long wait for the votes of nodes without traffic."""
    cluster = cluster_builders.Cluster()
    services = [
        member.gateway.groups[builders.SERVICE] for member in cluster.nodes
    ]
    services[0].primary_check.check_ms = 300
    for service in services[1:]:
        service.primary_check.check_ms = 60_000
    cluster.silence('db-a', 3)
    cluster.run(2600)
    assert len(cluster.orders()) == 1


def test_silent_replica_does_not_delay_a_promotion():
    """Guards against a choice that waits for an instance without an answer."""
    cluster = cluster_builders.Cluster()
    cluster.silence('db-a', 3)
    cluster.silence('db-c', 3)
    cluster.run(3200)
    assert cluster.group.primary == 'db-b'


def test_idle_cluster_sends_few_status_requests():
    """Guards against status requests of every node, which occupy slots."""
    cluster = cluster_builders.Cluster()
    for known in cluster.rigs:
        known.lines.clear()
    cluster.run(10_000)
    lines = [line for rig in cluster.rigs for line in rig.lines]
    assert len(lines) <= 20


def test_one_node_alone_does_not_replace_the_primary():
    """Guards against replacing a primary that most nodes reach."""
    cluster = cluster_builders.Cluster()
    cluster.silence('db-a', 1)
    cluster.run(4000)
    assert not cluster.orders()


def test_replica_that_received_most_is_chosen():
    """Guards against losing commits that some replica has received."""
    cluster = cluster_builders.Cluster()
    cluster.group.instances['db-c'].deaf = True
    cluster.group.commit((('k', '1'),), ('w1',), cluster.now_ms)
    cluster.silence('db-a', 3)
    cluster.run(4000)
    assert cluster.group.primary == 'db-b'
    assert not cluster.group.rolled_back


def test_leaving_primary_is_replaced():
    """Guards against a primary that stops while it leads."""
    cluster = cluster_builders.Cluster()
    cluster.documents.listed = [
        builders.instance(name, leaving=name == 'db-a')
        for name in builders.MEMBERS
    ]
    cluster.run(4000)
    assert len(cluster.orders()) == 1
    assert cluster.group.primary != 'db-a'


def test_primary_missing_from_the_registry_is_replaced_later():
    """Guards against acting on entries that return within two seconds."""
    cluster = cluster_builders.Cluster()
    listed = cluster.documents.listed
    cluster.documents.listed = [
        entry for entry in listed if entry.name != 'db-a'
    ]
    cluster.run(2000)
    assert not cluster.orders()
    cluster.run(6000)
    assert len(cluster.orders()) == 1


def test_suspicions_of_the_old_primary_do_not_count_for_its_successor():
    """Guards against replacing a successor by votes against the old primary."""
    cluster = cluster_builders.Cluster()
    election = cluster.election(0)
    for member in cluster.nodes:
        election.suspects[member.identity.name] = 'db-a'
    election.report.suspect = 'db-a'
    election.report.writing = True
    election.service.tracker.set_leader('db-b', 2, leadership.Source.STATUS)
    election.tick(cluster.nodes[0].members, 1, cluster.now_ms + 5000)
    assert election.runner is None


def test_node_count_decreases_late():
    """Guards against links that exceed the limit after leases have expired.

    The nodes without a lease may still use their share of the connections.
    """
    cluster = cluster_builders.Cluster()
    for key in ('nodes/n1', 'nodes/n2'):
        cluster.model.call(store.SwapRequest((), (store.Delete(key),)), 0)
    cluster.nodes = cluster.nodes[:1]
    cluster.run(5000)
    gateway = cluster.nodes[0].gateway
    assert gateway.shares.owner_count == 3


def test_each_attempt_has_a_higher_fencing_token():
    """Guards against a fencing token that is used twice."""
    cluster = cluster_builders.Cluster()
    cluster.silence('db-a', 3)
    cluster.run(4000)
    cluster.silence(cluster.group.primary, 3)
    cluster.run(9000)
    fences = [order[2] for order in cluster.orders()]
    assert len(fences) >= 2
    assert len(set(fences)) == len(fences)
    assert fences == sorted(fences)


def test_lock_of_a_stalled_holder_passes_to_another_node():
    """Guards against a promotion lock that is not acquired again."""
    cluster = cluster_builders.Cluster()
    cluster.silence('db-a', 3)
    unanswered = functools.partial(_ignore_order)
    cluster.platforms[0].promote = unanswered
    cluster.run(600)
    cluster.run(9000)
    assert cluster.group.primary != 'db-a'


def _cluster_with_acknowledging_replicas() -> cluster_builders.Cluster:
    cluster = cluster_builders.Cluster()
    for running in cluster.elections():
        running.failover.acknowledging = 1
    return cluster


def _instances_sent(cluster: cluster_builders.Cluster, word: str) -> set[str]:
    """Return the instances that were sent a command."""
    return {
        name
        for rig in cluster.rigs
        for name, line in rig.lines
        if f' {word}' in line
    }


def test_acknowledging_replicas_are_paused_before_the_choice():
    """Guards against acknowledged commits that the successor lacks."""
    cluster = _cluster_with_acknowledging_replicas()
    cluster.silence('db-a', 3)
    cluster.run(4000)
    assert cluster.orders()
    assert _instances_sent(cluster, 'PAUSE') == {'db-b', 'db-c'}


def test_planned_replacement_keeps_what_another_replica_acknowledged():
    """Guards against a successor that lacks an acknowledged commit."""
    cluster = _cluster_with_acknowledging_replicas()
    cluster.group.instances['db-c'].deaf = True
    cluster.group.commit((('k', '1'),), ('w1',), cluster.now_ms)
    cluster.documents.listed = [
        builders.instance(name, leaving=name == 'db-a')
        for name in builders.MEMBERS
    ]
    cluster.run(4000)
    assert cluster.group.primary == 'db-b'
    assert _instances_sent(cluster, 'PAUSE') == {'db-c'}
    assert not cluster.group.rolled_back


def test_replicas_are_resumed_when_a_promotion_is_abandoned():
    """Guards against replicas that stay paused forever."""
    cluster = _cluster_with_acknowledging_replicas()
    cluster.silence('db-a', 3)
    cluster.silence('db-c', 3)
    cluster.run(3000)
    assert not cluster.orders()
    assert 'db-b' in _instances_sent(cluster, 'RESUME')


def test_keys_do_not_overlap():
    """Guards against two kinds of records under one key."""
    keys = store_records.Keys(cluster_builders.PREFIX)
    names = {
        keys.suspicion('x', 'x'),
        keys.promotion_lock('x'),
        keys.leader('x'),
    }
    assert len(names) == 3


def _ignore_order(*_args: object) -> None:
    """Accept an order and never answer."""


def test_node_without_services_watches_the_configuration_only():
    """Guards against an event to every node for each key of the owners."""
    cluster = cluster_builders.Cluster()
    member, platform = cluster.nodes[0], cluster.platforms[0]
    member.coordination.update_ownership(False)
    platform.calls.clear()
    cluster.run(1000)
    watches = [
        call for call in platform.calls if isinstance(call, store.WatchRequest)
    ]
    assert [watch.prefix for watch in watches] == ['op/config']
    assert len(platform.watches) == 1


def _simulate_read_overload(
    cluster: cluster_builders.Cluster, lagging: tuple[str, ...]
) -> None:
    """Mark reads of all nodes as refused for lack of replicas and slots."""
    for member in cluster.nodes:
        service = member.gateway.groups[builders.SERVICE]
        service.backlog.overloaded_ms = cluster.now_ms
        for name in lagging:
            state = service.pool.states[name]
            state.behind_ms = state.behind_ms or cluster.now_ms


def _run_under_read_overload(
    cluster: cluster_builders.Cluster, lagging: tuple[str, ...]
) -> None:
    until_ms = cluster.now_ms + 3000
    while cluster.now_ms < until_ms:
        _simulate_read_overload(cluster, lagging)
        cluster.run(100)


def test_primary_is_replaced_when_no_replica_can_serve_reads():
    """Guards against a service with one usable instance out of three."""
    cluster = cluster_builders.Cluster()
    _run_under_read_overload(cluster, ('db-b', 'db-c'))
    assert len(cluster.orders()) == 1
    assert cluster.group.primary != 'db-a'
    assert not cluster.group.rolled_back


def test_primary_stays_while_one_replica_can_serve_reads():
    """Guards against a replacement that brings no capacity for reads."""
    cluster = cluster_builders.Cluster()
    _run_under_read_overload(cluster, ('db-b',))
    assert not cluster.orders()


def test_primary_stays_while_the_replicas_lack_commits():
    """Guards against a planned replacement that loses acknowledged commits."""
    cluster = cluster_builders.Cluster()
    for replica in ('db-b', 'db-c'):
        cluster.group.instances[replica].deaf = True
    cluster.group.commit((('k', '1'),), ('w1',), cluster.now_ms)
    _run_under_read_overload(cluster, ('db-b', 'db-c'))
    assert not cluster.orders()


def test_primary_is_not_replaced_repeatedly_for_lag():
    """Guards against a service that changes its primary continuously."""
    cluster = cluster_builders.Cluster()
    _run_under_read_overload(cluster, ('db-b', 'db-c'))
    _run_under_read_overload(cluster, tuple(builders.MEMBERS))
    assert len(cluster.orders()) == 1


def _partitioned_cluster(isolated: set[int]) -> cluster_builders.Cluster:
    """Return a cluster in which only the isolated nodes reach the primary."""
    cluster = cluster_builders.Cluster(5, fenced=False)
    cluster.isolate(isolated)
    for index, rig in enumerate(cluster.rigs):
        if index in isolated:
            rig.databases.silent |= {'db-b', 'db-c'}
            cluster.platforms[index].down = True
        else:
            rig.databases.silent.add('db-a')
    return cluster


def _run_with_writes(cluster: cluster_builders.Cluster, for_ms: int) -> None:
    for step in range(for_ms // 50):
        for index, _member in enumerate(cluster.nodes):
            cluster.write(index, step * 10 + index + 1)
        cluster.run(50)


def test_isolated_nodes_acknowledge_no_write_of_the_old_primary():
    """Guards against writes at two primaries without fencing token checks."""
    cluster = _partitioned_cluster({3, 4})
    _run_with_writes(cluster, 5000)
    assert cluster.group.primary != 'db-a'
    assert not cluster.successes() & set(cluster.group.split_commits)
    assert cluster.successes()


def test_isolated_nodes_send_almost_nothing_to_the_old_primary():
    """Guards against writes that are rolled back later."""
    cluster = _partitioned_cluster({3, 4})
    _run_with_writes(cluster, 5000)
    assert len(cluster.group.split_commits) <= 2


def test_majority_keeps_using_the_old_primary():
    """Guards against a promotion by the isolated nodes."""
    cluster = cluster_builders.Cluster(5, fenced=False)
    cluster.isolate({3, 4})
    for rig in cluster.rigs[3:]:
        rig.databases.silent.add('db-a')
    _run_with_writes(cluster, 4000)
    assert not cluster.orders()
    assert len(cluster.successes()) >= 200


def test_lost_primary_is_replaced_as_fast_without_fencing():
    """Guards against waiting for rights to expire though all nodes answer."""
    waited = []
    for fenced in (True, False):
        cluster = cluster_builders.Cluster(5, fenced=fenced)
        cluster.silence('db-a', 5)
        since_ms = cluster.now_ms
        while not cluster.orders():
            cluster.run(10)
        waited.append(cluster.now_ms - since_ms)
    assert waited[1] <= waited[0] + 100


def test_old_primary_is_demoted():
    """Guards against an old primary that stays unused for a long time."""
    cluster = cluster_builders.Cluster(3, fenced=False)
    cluster.documents.listed = [
        builders.instance(name, leaving=name == 'db-a')
        for name in builders.MEMBERS
    ]
    cluster.run(4000)
    assert cluster.group.primary != 'db-a'
    assert not cluster.group.instances['db-a'].replaced_term


def test_refused_order_lets_all_nodes_use_the_primary_again():
    """Guards against a primary that stays unused after a failed attempt."""
    cluster = cluster_builders.Cluster(3, fenced=False)
    for platform in cluster.platforms:
        platform.promote = _refuse_order
    cluster.silence('db-a', 3)
    cluster.run(2500)
    for rig in cluster.rigs:
        rig.databases.silent.clear()
    cluster.run(4000)
    for member in cluster.nodes:
        right = member.gateway.groups[builders.SERVICE].right
        assert right.may_send(cluster.now_ms)


def _refuse_order(_service, _instance, _fence, on_result) -> None:
    """Refuse an order."""
    on_result(ports.OrderResult(False, True, 'status 409'))


def test_attempt_of_a_holder_that_ended_is_finished():
    """Guards against a service that stays stopped after its holder died."""
    cluster = cluster_builders.Cluster(3, fenced=False)
    granted = cluster.model.call(
        store.LeaseRequest(promotion_lock.LOCK_TTL_MS),
        cluster.now_ms,
    )
    key = cluster.keys.promotion_lock(builders.SERVICE)
    taken = cluster.model.call(
        store.SwapRequest((), (store.Put(key, 'n9', granted.lease),)),
        cluster.now_ms,
    )
    cluster.nodes[0].peering.withdraw(
        builders.SERVICE,
        1,
        taken.revision,
        cluster.now_ms,
    )
    cluster.run(200)
    rights = [
        member.gateway.groups[builders.SERVICE].right
        for member in cluster.nodes
    ]
    assert not any(right.may_send(cluster.now_ms) for right in rights)
    cluster.run(6000)
    assert all(right.may_send(cluster.now_ms) for right in rights)


def test_successor_of_an_unanswered_order_is_ordered_again():
    """Guards against two orders that may both be carried out."""
    cluster = cluster_builders.Cluster(3, fenced=False)
    ordered = []
    for platform in cluster.platforms:
        platform.promote = functools.partial(_lose_order, ordered)
    cluster.silence('db-a', 3)
    cluster.run(10_000)
    assert len(ordered) >= 2
    assert len(set(ordered)) == 1


def _lose_order(ordered, _service, instance, _fence, on_result) -> None:
    """Accept an order and lose its answer."""
    ordered.append(instance)
    on_result(ports.OrderResult(False, False, 'no answer in time'))


def test_paused_holder_sends_no_order():
    """Guards against an order after the lock has passed to another node."""
    cluster = cluster_builders.Cluster(3)
    cluster.clock.advance(promotion_lock.LOCK_TTL_MS)
    cluster.silence('db-a', 3)
    cluster.run(2500)
    assert not cluster.orders()
    refused = [
        fields['reason']
        for rig in cluster.rigs
        for fields in rig.journal.events('promote_result')
    ]
    assert 'duty expired' in refused


def test_holder_that_lost_the_lock_writes_no_record():
    """Guards against an order that other nodes do not know of."""
    cluster = cluster_builders.Cluster(3, fenced=False)
    election = cluster.election(0)
    record = store_records.LeaderRecord('db-b', 2, moving=True, fence=1)
    request = store_records.write_request(
        election.keys, builders.SERVICE, record
    )
    reply = cluster.model.call(request, cluster.now_ms)
    assert not reply.succeeded


def test_isolated_node_is_not_ready():
    """Guards against clients that stay at a node that cannot write."""
    cluster = cluster_builders.Cluster(5, fenced=False)
    assert all(member.ready for member in cluster.nodes)
    cluster.isolate({4})
    cluster.run(3500)
    ready = [member.identity.name for member in cluster.nodes if member.ready]
    assert ready == ['n0', 'n1', 'n2', 'n3']
    cluster.isolate(set())
    cluster.run(500)
    assert cluster.nodes[4].ready


def test_store_outage_withdraws_no_right():
    """Guards against a store outage that stops all writes."""
    cluster = cluster_builders.Cluster(5, fenced=False)
    cluster.model.outage = True
    _run_with_writes(cluster, 8000)
    late = {f'w{number}' for number in range(1401, 1581, 10)}
    assert late <= cluster.successes()


def test_malformed_leader_record_is_skipped():
    """Guards against keys that are lost after one that cannot be decoded."""
    cluster = cluster_builders.Cluster()
    key = cluster.keys.leader(builders.SERVICE)
    for text in ('{', '[]', '{"instance": 1}', ''):
        cluster.model.call(store.SwapRequest((), (store.Put(key, text),)), 0)
    cluster.run(500)
    assert cluster.rigs[0].journal.events('note_unusable')
    cluster.silence('db-a', 3)
    cluster.run(4000)
    assert len(cluster.orders()) == 1


def test_starting_nodes_obtain_the_right_with_the_leader():
    """Guards against a start that takes longer where rights are required."""
    cluster = cluster_builders.Cluster(5, fenced=False, settle_ms=0)
    services = [
        member.gateway.groups[builders.SERVICE] for member in cluster.nodes
    ]
    while not all(service.leadership.term for service in services):
        cluster.run(10)
    cluster.run(50)
    assert all(service.right.held(cluster.now_ms) for service in services)


def test_starting_node_refuses_nothing_before_it_has_the_right():
    """Guards against refusing clients that would only have to wait briefly."""
    cluster = cluster_builders.Cluster(5, fenced=False, settle_ms=0)
    for index, _member in enumerate(cluster.nodes):
        cluster.write(index, index + 1)
    cluster.run(1000)
    assert len(cluster.successes()) == 5


def test_holder_that_lost_the_lock_keeps_its_own_fencing_token():
    """Guards against two holders that use the same fencing token."""
    cluster = cluster_builders.Cluster(3, fenced=False)
    election = cluster.election(0)
    script = election.failover.replace('db-a', failover.Cause.UNREACHABLE)
    call = next(script)
    while not isinstance(call, scripts.Broadcast):
        reply = None
        if isinstance(call, (store.LeaseRequest, store.SwapRequest)):
            reply = cluster.model.call(call, cluster.now_ms)
        cluster.run(10)
        call = script.send(reply)
    own = election.lock.fence
    election.lock.on_holder('n1', own + 1)
    status = records.InstanceStatus(
        is_primary=False,
        term=1,
        received=records.Position(1, 0),
    )
    call = script.send({'db-b': status, 'db-c': status})
    assert isinstance(call, store.SwapRequest)
    assert [compare.mod_revision for compare in call.compares] == [own]


def test_minority_with_the_store_does_not_replace_the_primary():
    """Guards against two groups of nodes that both count as the majority.

    The leases of the nodes that do not reach the store expire meanwhile.
    Found by seed 1005092456656 of the small deployment without fencing.
    """
    cluster = cluster_builders.Cluster(5, fenced=False)
    cluster.isolate({3, 4})
    for index, rig in enumerate(cluster.rigs):
        if index in {3, 4}:
            rig.databases.silent.add('db-a')
        else:
            cluster.platforms[index].down = True
    _run_with_writes(cluster, 10_000)
    assert cluster.nodes[3].members == ('n3', 'n4')
    assert not cluster.orders()
    late = {f'w{number}' for number in range(1801, 1981, 10)}
    assert late <= cluster.successes()


def _restarted_without_store(refused: int) -> cluster_builders.Cluster:
    """Return a cluster of six nodes that has just been restarted.

    Args:
      refused: Number of nodes that the store refuses.
    """
    cluster = cluster_builders.Cluster(6, fenced=False, settle_ms=0)
    addresses = [member.identity.peer.address for member in cluster.nodes]
    for index, member in enumerate(cluster.nodes):
        platform = cluster.platforms[index]
        platform.down = index < refused
        platform.reaching = set(addresses[refused:])
        others = tuple(addresses[:index] + addresses[index + 1 :])
        member.coordination.access.routes.update_nodes(others)
    return cluster


def test_restarted_nodes_that_the_store_refuses_confirm_terms():
    """Guards against a service that stops because half of its owners know
    nothing after a restart, while the others reach the store.
    """
    cluster = _restarted_without_store(3)
    cluster.run(800)
    rights = [
        member.gateway.groups[builders.SERVICE].right
        for member in cluster.nodes
    ]
    assert all(right.may_send(cluster.now_ms) for right in rights)
    assert {len(member.members) for member in cluster.nodes} == {6}


def test_restarted_nodes_confirm_nothing_while_no_node_reaches_the_store():
    """Guards against terms that are confirmed without any knowledge."""
    cluster = _restarted_without_store(6)
    cluster.run(3000)
    for member in cluster.nodes:
        right = member.gateway.groups[builders.SERVICE].right
        assert not right.knows_promotions
        assert not right.may_send(cluster.now_ms)
