"""Tests of the commands that set a link up for a statement."""

from jacinthhaven.sql import builders

_WORK_MS = 5


def test_setup_takes_one_round_trip():
    """Guards against a slot that is idle while settings are applied."""
    rig = builders.Rig(members=20)
    number = rig.connect(builders.STRICT)
    for step in range(4):
        rig.ask(number, f'SET v{step} 1', f's{step}')
    rig.ask(number, 'PREPARE q WRITE q1', 'p1')
    before_ms = rig.now_ms
    assert rig.ask(number, 'EXECUTE q k 1', 'w1').code is None
    assert rig.now_ms - before_ms <= 2 * _WORK_MS + 5


def test_statement_does_not_run_after_a_failed_setting():
    """Guards against executing a statement with another session's values."""
    rig = builders.Rig(members=20)
    number = rig.connect(builders.STRICT)
    rig.ask(number, 'SET tz utc', 's1')
    rig.databases.failing.add('SET tz')
    rig.send(number, 'WRITE k 1', 'w1')
    rig.run(100)
    assert not rig.group.committed
    rig.databases.failing.clear()
    rig.run(1500)
    assert rig.group.committed == {'w1': 1}
    for connection in rig.databases.connections.values():
        if any('WRITE' in line for line in connection.handled):
            assert connection.settings == {'tz': 'utc'}


def test_failed_setting_of_a_transaction_runs_nothing():
    """Guards against a transaction that is begun with wrong values."""
    rig = builders.Rig(members=20)
    number = rig.connect(builders.STRICT)
    rig.ask(number, 'SET tz utc', 's1')
    rig.ask(number, 'BEGIN', 'b1')
    rig.databases.failing.add('SET tz')
    rig.send(number, 'WRITE k 1', 'w1')
    rig.run(100)
    rig.databases.failing.clear()
    rig.run(1500)
    rig.ask(number, 'COMMIT', 'c1')
    assert rig.group.committed in ({'w1': 1}, {})
    for connection in rig.databases.connections.values():
        if any('COMMIT' in line for line in connection.handled):
            assert connection.settings == {'tz': 'utc'}


def test_refused_begin_keeps_the_link():
    """Guards against closing a link whose settings were applied."""
    rig = builders.Rig()
    number = rig.connect(builders.STRICT)
    rig.ask(number, 'SET tz utc', 's1')
    rig.group.promote('db-b')
    opened = rig.databases.opened
    rig.ask(number, 'READ k', 'r1')
    assert rig.databases.opened == opened
    applied = [
        connection.settings for connection in rig.databases.connections.values()
    ]
    assert applied.count({'tz': 'utc'}) == 2
