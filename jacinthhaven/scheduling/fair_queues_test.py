"""Tests of fair shares, and of statements that have missed their target."""

import itertools
import types

import msgspec

from jacinthhaven.scheduling import backlog, builders, queue_order, shares
from jacinthhaven.sql import builders as sql_builders
from jacinthhaven.sql import peer_messages, records, sessions, statements

_FIRST, _SECOND, _THIRD = builders.OWNERS
_PRIMARY_ONLY = (builders.PRIMARY,)
_LONG = types.MappingProxyType({'left_ms': 1000, 'in_time_ms': 400})


def _numbered(count: int, **changes):
    return [
        builders.waiting(number, _PRIMARY_ONLY, **(dict(_LONG) | changes))
        for number in range(count)
    ]


def _full_rig(slots: int = 1) -> builders.DispatcherRig:
    """Return a rig whose primary is busy with statements of the first owner."""
    rig = builders.DispatcherRig(slots)
    rig.report(_FIRST, running={builders.PRIMARY: slots + 1})
    return rig


def _work(database: str, now_ms: int) -> sessions.Work:
    session = sessions.Session(1, database, now_ms)
    statement = statements.Statement('r1', statements.Verb.READ, 'READ k')
    route = sql_builders.configuration().routes[database]
    return sessions.Work(session, statement, records.Routing(route, 1), now_ms)


def test_customer_with_one_statement_goes_before_the_rest_of_another():
    """Guards against a customer whose queue makes all others wait."""
    rig = _full_rig()
    rig.report(_SECOND, *_numbered(3, customer='a', waited_ms=30))
    rig.report(_THIRD, *_numbered(1, customer='b'))
    order = rig.dispatcher._queue(rig.now_ms)
    customers = [entry.waiting.customer for entry in order]
    assert customers == ['a', 'b', 'a', 'a']


def test_arrival_decides_without_customers():
    """Guards against a change for configurations that know no customers."""
    rig = _full_rig()
    rig.report(_SECOND, *_numbered(2, waited_ms=10))
    rig.report(_THIRD, *_numbered(1, waited_ms=15))
    order = rig.dispatcher._queue(rig.now_ms)
    assert [entry.owner for entry in order] == [_THIRD, _SECOND, _SECOND]
    assert not rig.dispatcher.shares.groups


def test_inactive_customers_leave_no_state():
    """Guards against memory that grows with the customers ever seen."""
    known = shares.Shares()
    for number in range(1000):
        known.advance(known.charge(f'customer-{number}', 10))
        known.advance(known.charge('busy', 10))
    assert len(known.finished_ms) <= 2


def test_late_statement_waits_behind_one_in_time():
    """Guards against refusing what its client still has a use for."""
    rig = _full_rig()
    late = builders.waiting(
        1, _PRIMARY_ONLY, waited_ms=410, left_ms=590, in_time_ms=-10
    )
    rig.report(_SECOND, late)
    rig.report(_THIRD, builders.waiting(1, _PRIMARY_ONLY, **_LONG))
    rig.report(_FIRST)
    assert list(rig.granted()) == [(_THIRD, 1)]
    rig.report(_THIRD)
    assert (_SECOND, 1) in rig.granted()
    assert not rig.refused()


def test_statement_beyond_the_limit_waits_if_its_timeout_allows_it():
    """Guards against refusals before a short queue has drained."""
    rig = builders.DispatcherRig()
    rig.report(_FIRST, *_numbered(12))
    assert not rig.refused()
    rig = builders.DispatcherRig()
    rig.report(_FIRST, *_numbered(12, left_ms=410))
    assert rig.refused()


def test_statement_that_would_miss_its_timeout_is_refused_at_once():
    """Guards against holding what cannot be served until its timeout."""
    rig = builders.DispatcherRig()
    rig.report(_FIRST, *_numbered(60))
    assert (_FIRST, 59) in rig.refused()
    assert (_FIRST, 0) not in rig.refused()


def test_permit_waits_for_a_free_link():
    """Guards against slots that are kept for a statement without a link."""
    rig = builders.DispatcherRig()
    rig.report(_FIRST, *_numbered(1, linked=()))
    assert not rig.granted()
    order = rig.dispatcher._queue(rig.now_ms)
    assert [entry.standing for entry in order] == [queue_order.Standing.IN_TIME]


def test_report_of_an_older_build_is_decoded():
    """Guards against owners that cannot share slots while a build is replaced."""
    raw = ('p', 'n', 's', 1, 0, ({}, ((7, 2, ('db-a',), 30, 5),)))
    message = peer_messages.decode(msgspec.msgpack.encode(raw))
    waiting = message.load.waiting[0]
    assert (waiting.customer, waiting.left_ms, waiting.linked) == ('', -1, None)


def test_owner_keeps_late_statements_until_their_timeout():
    """Guards against refusing late ones, and serving them before others."""
    queue = backlog.Backlog()
    late = _work(sql_builders.OWN, 0)
    queue.add(late)
    now_ms = late.route.target_ms
    queue.add(_work(sql_builders.OWN, now_ms))
    queue.defer_late(now_ms, lambda _work: True)
    assert queue.waiting[1] is late
    assert not queue.expired(now_ms, None, lambda _work: True)
    assert late in queue.expired(
        late.deadline_ms - 60, None, lambda _work: True
    )


def test_service_times_are_measured_by_route():
    """Guards against routes of one mode that share an expected time."""
    queue = backlog.Backlog()
    for spent_ms in itertools.repeat(100, 50):
        queue.sample('slow', spent_ms)
        queue.sample('fast', spent_ms // 20)
    assert queue.service_ms['slow'] > 90
    assert queue.service_ms['fast'] < 10
    queue.retain({'fast'})
    assert list(queue.service_ms) == ['fast']
