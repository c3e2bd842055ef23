"""Tests of the permits of one owner: whom it asks, and when it needs none."""

from jacinthhaven.scheduling import builders

_STATEMENT = builders.waiting(1)


def test_nothing_is_sent_while_nothing_waits():
    """Guards against messages under light load."""
    rig = builders.PermitsRig()
    rig.wait(200)
    assert not rig.sent
    assert not rig.permits.required(rig.now_ms)


def test_permits_are_required_while_the_dispatcher_says_so():
    """Guards against staying in this state without a dispatcher."""
    rig = builders.PermitsRig()
    rig.report(_STATEMENT)
    rig.reply('node-a')
    assert rig.permits.required(rig.now_ms)
    rig.now_ms += 300
    assert not rig.permits.required(rig.now_ms)
    rig.reply('node-a')
    rig.reply('node-a', required=False)
    assert not rig.permits.required(rig.now_ms)


def test_silent_dispatcher_is_replaced():
    """Guards against waiting for a dispatcher that has died."""
    rig = builders.PermitsRig()
    rig.wait(100, _STATEMENT)
    assert rig.sent[0][0] == 'node-a'
    assert rig.sent[-1][0] == 'node-b'
    rig.wait(100, _STATEMENT)
    assert rig.sent[-1][0] == 'node-c'


def test_dispatcher_is_asked_again_later():
    """Guards against leaving the common dispatcher for good."""
    rig = builders.PermitsRig()
    rig.wait(100, _STATEMENT)
    rig.now_ms += 3000
    rig.report()
    rig.report(_STATEMENT)
    assert rig.sent[-1][0] == 'node-a'


def test_reports_without_waiting_statements_need_no_answer():
    """Guards against replacing a dispatcher that had nothing to say."""
    rig = builders.PermitsRig()
    rig.report(_STATEMENT)
    rig.reply('node-a')
    rig.wait(200)
    assert {name for name, _request in rig.sent} == {'node-a'}


def test_reply_of_another_dispatcher_is_ignored():
    """Guards against following two dispatchers at a time."""
    rig = builders.PermitsRig()
    rig.report(_STATEMENT)
    rig.reply('node-b', granted={1: 'db-b'})
    assert not rig.permits.granted


def test_older_reply_is_ignored():
    """Guards against replies that overtake each other."""
    rig = builders.PermitsRig()
    rig.report(_STATEMENT)
    rig.reply('node-a', number=2, granted={1: 'db-b', 2: 'db-c'})
    rig.reply('node-a', number=1, granted={1: 'db-b'})
    assert rig.permits.granted == {1: 'db-b', 2: 'db-c'}


def test_report_is_repeated_only_after_a_change():
    """Guards against a message for each statement that waits longer."""
    rig = builders.PermitsRig()
    rig.report(_STATEMENT)
    rig.reply('node-a', number=0)
    rig.now_ms += 5
    rig.report(builders.waiting(1, waited_ms=5))
    assert len(rig.sent) == 1
    rig.report(builders.waiting(1), builders.waiting(2))
    assert len(rig.sent) == 2


def test_unanswered_report_is_repeated():
    """Guards against reports that are lost with a datagram."""
    rig = builders.PermitsRig()
    rig.wait(40, _STATEMENT)
    assert len(rig.sent) == 2
