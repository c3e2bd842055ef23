"""Tests of the permits that a dispatcher hands out when slots are short."""

import collections

from jacinthhaven.scheduling import builders

_FIRST, _SECOND, _THIRD = builders.OWNERS
_PRIMARY_ONLY = (builders.PRIMARY,)


def _numbered(count: int, *args, **changes):
    return [
        builders.waiting(number, *args, **changes) for number in range(count)
    ]


def test_all_owners_together_hardly_exceed_the_slots():
    """Guards against a queue at the instances that grows with the owners."""
    rig = builders.DispatcherRig()
    for owner in builders.OWNERS:
        rig.report(owner, *_numbered(10))
    used = collections.Counter(rig.granted().values())
    assert used[builders.PRIMARY] <= 2
    assert all(used[name] <= 3 for name in builders.REPLICAS)
    assert used.total() >= 6


def test_slots_of_reported_statements_are_taken():
    """Guards against sending to an instance that others have filled."""
    rig = builders.DispatcherRig()
    rig.report(_FIRST, running={'db-b': 3})
    rig.report(_SECOND, builders.waiting(1, ('db-b',)))
    assert not rig.granted()
    rig.report(_FIRST, running={'db-b': 1})
    assert rig.granted() == {(_SECOND, 1): 'db-b'}


def test_higher_priority_of_another_owner_goes_first():
    """Guards against priorities that hold within one owner only."""
    rig = builders.DispatcherRig()
    rig.report(_FIRST, running={builders.PRIMARY: 2})
    rig.report(_SECOND, builders.waiting(1, _PRIMARY_ONLY))
    urgent = builders.waiting(1, _PRIMARY_ONLY, priority=builders.URGENT)
    rig.report(_THIRD, urgent)
    rig.report(_FIRST, running={builders.PRIMARY: 1})
    assert (_THIRD, 1) in rig.granted()
    assert (_SECOND, 1) not in rig.granted()


def test_equal_priorities_keep_the_order_of_arrival():
    """Guards against routes of one priority of which one never gets a slot."""
    rig = builders.DispatcherRig()
    rig.report(_FIRST, running={'db-b': 3})
    rig.report(_SECOND, builders.waiting(1, ('db-b',), service_ms=10))
    first = builders.waiting(2, ('db-b',), service_ms=90, waited_ms=15)
    rig.report(_THIRD, first)
    rig.report(_FIRST, running={'db-b': 2})
    assert list(rig.granted()) == [(_THIRD, 2)]


def test_reads_leave_the_primary_to_statements_that_need_it():
    """Guards against reads in front of writes at the only place for them."""
    rig = builders.DispatcherRig()
    rig.report(_FIRST, running={builders.PRIMARY: 2, 'db-b': 3, 'db-c': 3})
    rig.report(_SECOND, builders.waiting(1))
    rig.report(_THIRD, builders.waiting(1, _PRIMARY_ONLY))
    rig.report(_FIRST, running={builders.PRIMARY: 1, 'db-b': 3, 'db-c': 3})
    assert rig.granted() == {(_THIRD, 1): builders.PRIMARY}


def test_only_urgent_statements_queue_at_the_primary():
    """Guards against urgent statements behind others that were sent ahead."""
    rig = builders.DispatcherRig()
    rig.report(_FIRST, running={builders.PRIMARY: 2})
    rig.report(_SECOND, builders.waiting(1, _PRIMARY_ONLY))
    assert not rig.granted()
    urgent = builders.waiting(1, _PRIMARY_ONLY, priority=builders.URGENT)
    rig.report(_THIRD, urgent)
    assert rig.granted() == {(_THIRD, 1): builders.PRIMARY}


def test_statement_that_would_wait_too_long_is_refused_at_once():
    """Guards against holding what cannot be served until it is late."""
    rig = builders.DispatcherRig()
    rig.report(_FIRST, *_numbered(40))
    accepted = 40 - len(rig.refused())
    # Four slots of replicas, 120 ms of expected wait, 30 ms a statement.
    assert 12 <= accepted <= 24
    rig.report(_SECOND, *_numbered(20))
    assert (_SECOND, 0) not in rig.refused()
    assert (_SECOND, 19) in rig.refused()


def test_routes_of_one_priority_are_refused_alike():
    """Guards against refusing only the route with the shorter statements."""
    rig = builders.DispatcherRig()
    kinds = [
        builders.waiting(number, service_ms=60 if number % 2 else 20)
        for number in range(80)
    ]
    rig.report(_FIRST, *kinds)
    refused = collections.Counter(number % 2 for _name, number in rig.refused())
    assert abs(refused[0] - refused[1]) <= 2


def test_reads_do_not_wait_behind_a_queue_for_the_primary():
    """Guards against refusing reads because writes are too many."""
    rig = builders.DispatcherRig()
    rig.report(_FIRST, *_numbered(40, _PRIMARY_ONLY))
    rig.report(_SECOND, builders.waiting(1))
    assert (_SECOND, 1) in rig.granted()


def test_lost_reply_is_sent_again_and_counted_once():
    """Guards against permits that are lost with a datagram."""
    rig = builders.DispatcherRig()
    statement = builders.waiting(1)
    rig.report(_FIRST, statement)
    granted = rig.granted()
    rig.wait(20)
    rig.report(_FIRST, statement, answered=0)
    rig.wait(20)
    assert rig.granted() == granted
    assert len(rig.dispatcher.owners[_FIRST].grants) == 1


def test_permit_that_was_not_used_is_free_again():
    """Guards against slots that are kept for a client that has left."""
    rig = builders.DispatcherRig(slots=1)
    rig.report(_FIRST, *_numbered(2, ('db-b',)))
    rig.report(_SECOND, builders.waiting(1, ('db-b',)))
    assert (_SECOND, 1) not in rig.granted()
    rig.report(_FIRST)
    assert (_SECOND, 1) in rig.granted()


def test_statements_of_a_silent_owner_do_not_hold_slots():
    """Guards against slots that stay taken after a node was lost."""
    rig = builders.DispatcherRig()
    rig.report(_FIRST, running={'db-b': 3})
    rig.report(_SECOND, builders.waiting(1, ('db-b',)))
    assert not rig.granted()
    silent_until_ms = rig.now_ms + 320
    while rig.now_ms < silent_until_ms:
        rig.wait(20)
        rig.report(_SECOND, builders.waiting(1, ('db-b',)))
    assert (_SECOND, 1) in rig.granted()


def test_restarted_owner_is_heard():
    """Guards against ignoring an owner whose reports start to count anew."""
    rig = builders.DispatcherRig()
    rig.numbers[_FIRST] = 5
    rig.report(_FIRST, running={'db-b': 1})
    rig.wait(320)
    rig.numbers[_FIRST] = 0
    rig.report(_FIRST, builders.waiting(1), answered=0)
    assert (_FIRST, 1) in rig.granted()


def test_reordered_reports_are_ignored():
    """Guards against an older report that replaces a newer one."""
    rig = builders.DispatcherRig()
    rig.report(_FIRST, running={'db-b': 3})
    rig.numbers[_FIRST] -= 1
    rig.report(_FIRST)
    rig.report(_SECOND, builders.waiting(1, ('db-b',)))
    assert not rig.granted()


def test_all_owners_learn_that_permits_are_required_and_when_no_longer():
    """Guards against owners that go on without permits, or ask for ever."""
    rig = builders.DispatcherRig()
    rig.report(_FIRST, builders.waiting(1))
    told = [name for name, reply in rig.replies.items() if reply.required]
    assert sorted(told) == list(builders.OWNERS)
    rig.report(_FIRST)
    rig.wait(300)
    assert not any(reply.required for reply in rig.replies.values())


def test_owner_that_left_is_forgotten():
    """Guards against slots that are kept for nodes that were removed."""
    rig = builders.DispatcherRig()
    rig.report(_FIRST, running={'db-b': 3})
    rig.report(_SECOND, builders.waiting(1, ('db-b',)))
    rig.dispatcher.update_owners({_SECOND, _THIRD})
    rig.send_replies()
    assert (_SECOND, 1) in rig.granted()
