"""Tests of sessions: settings, prepared statements and transactions."""

from jacinthhaven.sql import builders, statements


def test_settings_of_one_session_do_not_reach_another():
    """Guards against reusing a pooled link with another client's settings."""
    rig = builders.Rig(members=20)
    first = rig.connect()
    second = rig.connect()
    rig.ask(first, 'SET tz utc')
    rig.ask(first, 'READ a')
    rig.ask(second, 'READ b')
    for connection in rig.databases.connections.values():
        handled = [line.split(' ', 2)[2] for line in connection.handled]
        for index, text in enumerate(handled):
            if 'READ b' in text and 'SET tz utc' in handled[:index]:
                assert 'RESET' in handled[:index]


def test_settings_follow_the_session():
    """Guards against executing a statement without its session's settings."""
    rig = builders.Rig()
    number = rig.connect()
    rig.ask(number, 'SET tz utc')
    for step in range(6):
        rig.ask(number, f'READ a{step}', f'q{step}')
    for connection in rig.databases.connections.values():
        if any('READ a' in line for line in connection.handled):
            assert connection.settings == {'tz': 'utc'}


def test_prepared_names_of_two_sessions_do_not_collide():
    """Guards against running another client's prepared statement."""
    rig = builders.Rig(members=20)
    first = rig.connect()
    second = rig.connect()
    rig.ask(first, 'PREPARE s WRITE q1')
    rig.ask(second, 'PREPARE s READ q2')
    rig.ask(first, 'EXECUTE s k v1', 'w1')
    answer = rig.ask(second, 'EXECUTE s k', 'w2')
    assert answer.code is None
    assert rig.group.committed == {'w1': 1}


def test_unknown_prepared_statement_is_refused():
    """Guards against executing a statement that was never prepared."""
    rig = builders.Rig()
    answer = rig.ask(rig.connect(), 'EXECUTE s k')
    assert answer.code is statements.Code.UNKNOWN_STATEMENT


def test_transaction_keeps_its_link():
    """Guards against spreading one transaction over two links."""
    rig = builders.Rig()
    number = rig.connect(builders.STRICT)
    rig.ask(number, 'BEGIN')
    rig.ask(number, 'WRITE k 1', 'w1')
    other = rig.connect(builders.STRICT)
    rig.ask(other, 'READ k', 'x')
    rig.ask(number, 'WRITE k 2', 'w2')
    answer = rig.ask(number, 'COMMIT', 'c')
    assert answer.code is None
    assert answer.state is statements.State.IDLE
    used = [
        connection
        for connection in rig.databases.connections.values()
        if any('WRITE' in line for line in connection.handled)
    ]
    assert len(used) == 1
    assert not any('QUERY x' in line for line in used[0].handled)


def test_write_whose_reply_was_lost_is_not_retried():
    """Guards against a write that takes effect twice."""
    rig = builders.Rig()
    number = rig.connect()
    rig.databases.lost_replies.add('WRITE k')
    answer = rig.ask(number, 'WRITE k 1', 'w1')
    assert answer.code is statements.Code.OUTCOME_UNKNOWN
    assert rig.group.committed == {'w1': 1}


def test_lost_link_before_the_commit_aborts():
    """Guards against a hang or a wrong outcome when an instance is lost."""
    rig = builders.Rig()
    number = rig.connect()
    rig.ask(number, 'BEGIN')
    rig.ask(number, 'WRITE k 1', 'w1')
    rig.lose('db-a')
    answer = rig.ask(number, 'WRITE k 2', 'w2')
    assert answer.code is statements.Code.ABORTED
    assert answer.state is statements.State.FAILED
    ended = rig.ask(number, 'ROLLBACK')
    assert ended.state is statements.State.IDLE
    assert not rig.group.committed


def test_lost_link_during_the_commit_is_in_doubt():
    """Guards against claiming an outcome for a commit without a reply."""
    rig = builders.Rig()
    number = rig.connect()
    rig.ask(number, 'BEGIN')
    rig.ask(number, 'WRITE k 1', 'w1')
    rig.databases.lost_replies.add('COMMIT')
    rig.send(number, 'COMMIT', 'c')
    rig.run(20)
    rig.lose('db-a')
    answer = rig.clients.answers[number][-1]
    assert answer.code is statements.Code.OUTCOME_UNKNOWN
    assert answer.state is statements.State.IDLE


def test_commit_at_a_replaced_primary_aborts():
    """Guards against acknowledging a commit at a primary that was replaced."""
    rig = builders.Rig()
    number = rig.connect()
    rig.ask(number, 'BEGIN')
    rig.ask(number, 'WRITE k 1', 'w1')
    rig.group.promote('db-b')
    answer = rig.ask(number, 'COMMIT', 'c')
    assert answer.code is statements.Code.ABORTED
    assert not rig.group.committed


def test_write_refused_by_a_replica_finds_the_new_primary():
    """Guards against failing a write that was refused and can be retried."""
    rig = builders.Rig()
    rig.group.promote('db-c')
    answer = rig.ask(rig.connect(), 'WRITE k 1', 'w1')
    assert answer.code is None
    assert rig.group.committed == {'w1': 1}


def test_disconnected_client_is_rolled_back():
    """Guards against a transaction that outlives its client connection."""
    rig = builders.Rig()
    number = rig.connect()
    rig.ask(number, 'BEGIN')
    rig.ask(number, 'WRITE k 1', 'w1')
    rig.gateway.on_closed(number, rig.now_ms)
    rig.run(100)
    assert not rig.group.committed
    assert all(link.free for link in rig.service.pool.by_number.values())


def test_idle_transaction_is_rolled_back():
    """Guards against a client that holds a link indefinitely."""
    rig = builders.Rig()
    number = rig.connect()
    rig.ask(number, 'BEGIN')
    rig.ask(number, 'WRITE k 1', 'w1')
    rig.run(3200)
    links = rig.service.pool.by_number.values()
    assert not any(link.pinned for link in links)
    answer = rig.ask(number, 'WRITE k 2', 'w2')
    assert answer.code is statements.Code.ABORTED


def test_commit_of_an_empty_transaction_runs_at_an_instance():
    """Guards against answering COMMIT without a signature of an instance."""
    rig = builders.Rig()
    number = rig.connect()
    rig.ask(number, 'BEGIN')
    answer = rig.ask(number, 'COMMIT', 'c')
    assert answer.signature.endswith('.c')


def test_failed_transaction_accepts_only_commit_or_rollback():
    """Guards against running later statements outside the transaction."""
    rig = builders.Rig()
    number = rig.connect()
    rig.ask(number, 'BEGIN')
    rig.ask(number, 'WRITE k 1', 'w1')
    rig.lose('db-a')
    rig.ask(number, 'WRITE k 2', 'w2')
    answer = rig.ask(number, 'WRITE k 3', 'w3')
    assert answer.code is statements.Code.MALFORMED
    assert not builders.instances_that_ran(rig, 'WRITE k 3')


def test_unknown_database_is_refused():
    """Guards against opening a session that has no route."""
    rig = builders.Rig()
    number = rig.connect('nowhere')
    assert rig.clients.refused[number] is statements.Code.UNKNOWN_DATABASE


def test_older_configuration_is_ignored():
    """Guards against applying an older configuration that arrives late."""
    rig = builders.Rig()
    rig.gateway.configure(builders.configuration(7), 1)
    rig.gateway.configure(builders.configuration(5, routes={}), 1)
    assert rig.gateway.configuration.version == 7
    assert rig.gateway.configuration.routes


def test_removed_route_applies_to_the_next_statement():
    """Guards against serving a database that was removed."""
    rig = builders.Rig()
    number = rig.connect()
    rig.gateway.configure(builders.configuration(2, routes={}), 1)
    answer = rig.ask(number, 'READ k')
    assert answer.code is statements.Code.UNKNOWN_DATABASE


def test_planned_stop_finishes_running_statements():
    """Guards against closing a session whose statement is running."""
    rig = builders.Rig()
    busy = rig.connect()
    idle = rig.connect()
    rig.databases.work_ms = 300
    rig.run(500)
    rig.send(busy, 'WRITE k 1', 'w1')
    rig.gateway.drain(rig.now_ms)
    assert rig.clients.closed == [idle]
    rig.run(1000)
    told = rig.clients.answers[busy]
    assert [answer.code for answer in told] == [None]
    assert rig.clients.closed == [idle, busy]


def test_planned_stop_leaves_time_for_the_next_statement():
    """Guards against closing a session while its next statement is in transit.

    The load balancer still opens sessions for a while, and a client that has
    received one answer may already have sent its next statement.
    """
    rig = builders.Rig()
    rig.gateway.drain(rig.now_ms)
    number = rig.connect()
    rig.ask(number, 'SET tz utc')
    rig.run(100)
    assert not rig.clients.closed
    assert rig.ask(number, 'READ k', 'r2').code is None
    rig.run(1000)
    assert rig.clients.closed == [number]


def test_planned_stop_answers_unread_statements():
    """Guards against closing a connection with unread received data."""
    rig = builders.Rig()
    number = rig.connect()
    rig.run(500)
    rig.clients.unread.add(number)
    rig.gateway.drain(rig.now_ms)
    rig.run(100)
    assert not rig.clients.closed
    rig.clients.unread.clear()
    assert rig.ask(number, 'READ k').code is None


def test_removed_service_is_shut_down():
    """Guards against keeping links and votes of a removed service."""
    rig = builders.Rig()
    number = rig.connect()
    assert rig.ask(number, 'READ k').code is None
    rig.gateway.configure(
        builders.configuration(2, routes={}, services={}),
        rig.now_ms,
    )
    rig.run(200)
    assert not rig.gateway.groups
    assert not rig.databases.connections
    answer = rig.ask(number, 'READ k')
    assert answer.code is statements.Code.UNKNOWN_DATABASE


def test_removed_service_finishes_open_transactions():
    """Guards against a configuration change that breaks transactions."""
    rig = builders.Rig()
    number = rig.connect()
    rig.ask(number, 'BEGIN')
    rig.ask(number, 'WRITE k 1')
    rig.gateway.configure(
        builders.configuration(2, routes={}, services={}),
        rig.now_ms,
    )
    rig.run(200)
    assert rig.ask(number, 'COMMIT').code is None
    rig.run(200)
    assert not rig.gateway.groups


def test_planned_stop_closes_sessions_that_are_never_idle():
    """Guards against statements still running when the process exits.

    Seed 129933855984 of trouble-2 on the small deployment without fencing: a
    client that sent statements without a pause was cut off 5.3 s after the
    stop request.
    """
    rig = builders.Rig()
    number = rig.connect()
    rig.gateway.drain(rig.now_ms)
    for step in range(5):
        assert rig.ask(number, 'READ k', f'r{step}').code is None
        rig.run(100)
    assert number not in rig.clients.closed
    rig.gateway.close_after_answer = True
    assert rig.ask(number, 'READ k', 'r9').code is None
    assert rig.clients.closed == [number]
    assert number not in rig.gateway.sessions


def test_end_of_planned_stop_answers_unread_statements():
    """Guards against closing a session with unread received statements."""
    rig = builders.Rig()
    number = rig.connect()
    rig.gateway.drain(rig.now_ms)
    rig.gateway.close_after_answer = True
    rig.clients.unread.add(number)
    assert rig.ask(number, 'READ k', 'r1').code is None
    assert number not in rig.clients.closed
    assert rig.ask(number, 'BEGIN', 'r2').code is None
    rig.clients.unread.clear()
    assert rig.ask(number, 'READ k', 'r3').code is None
    assert number not in rig.clients.closed
