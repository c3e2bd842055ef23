"""Tests of sessions: values, prepared statements and transactions."""

from jacinthhaven.sql import builders, statements


def test_values_of_one_session_do_not_reach_another():
    """Guards against a pooled link with values of another client."""
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


def test_values_follow_the_session():
    """Guards against a statement without its session's values."""
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


def test_unknown_prepared_name():
    """Guards against executing what was never prepared."""
    rig = builders.Rig()
    answer = rig.ask(rig.connect(), 'EXECUTE s k')
    assert answer.code is statements.Code.UNKNOWN_STATEMENT


def test_transaction_keeps_its_link():
    """Guards against statements of one transaction on two links."""
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


def test_lost_answer_of_a_write_is_never_sent_again():
    """Guards against a write that takes effect twice."""
    rig = builders.Rig()
    number = rig.connect()
    rig.databases.lost_replies.add('WRITE k')
    answer = rig.ask(number, 'WRITE k 1', 'w1')
    assert answer.code is statements.Code.OUTCOME_UNKNOWN
    assert rig.group.committed == {'w1': 1}


def test_lost_link_before_the_commit_aborts():
    """Guards against a promise that does not hold, and against hanging."""
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
    """Guards against a promise about a commit whose answer was lost."""
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
    """Guards against an acknowledgement by a primary that was replaced."""
    rig = builders.Rig()
    number = rig.connect()
    rig.ask(number, 'BEGIN')
    rig.ask(number, 'WRITE k 1', 'w1')
    rig.group.promote('db-b')
    answer = rig.ask(number, 'COMMIT', 'c')
    assert answer.code is statements.Code.ABORTED
    assert not rig.group.committed


def test_write_refused_by_a_replica_finds_the_new_primary():
    """Guards against failing writes that certainly did not run."""
    rig = builders.Rig()
    rig.group.promote('db-c')
    answer = rig.ask(rig.connect(), 'WRITE k 1', 'w1')
    assert answer.code is None
    assert rig.group.committed == {'w1': 1}


def test_client_that_leaves_rolls_back():
    """Guards against a transaction that survives its client."""
    rig = builders.Rig()
    number = rig.connect()
    rig.ask(number, 'BEGIN')
    rig.ask(number, 'WRITE k 1', 'w1')
    rig.gateway.on_closed(number, rig.now_ms)
    rig.run(100)
    assert not rig.group.committed
    assert all(link.free for link in rig.service.pool.by_number.values())


def test_idle_transaction_ends():
    """Guards against clients that hold a link for ever."""
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
    """Guards against a success without the signature of an instance."""
    rig = builders.Rig()
    number = rig.connect()
    rig.ask(number, 'BEGIN')
    answer = rig.ask(number, 'COMMIT', 'c')
    assert answer.signature.endswith('.c')


def test_failed_transaction_accepts_only_its_end():
    """Guards against statements outside their transaction."""
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
    """Guards against sessions without a route."""
    rig = builders.Rig()
    number = rig.connect('nowhere')
    assert rig.clients.refused[number] is statements.Code.UNKNOWN_DATABASE


def test_configuration_never_goes_back():
    """Guards against an older configuration that arrives late."""
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


def test_planned_stop_finishes_what_runs():
    """Guards against cutting a request during a planned stop."""
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
    """Guards against cutting a statement that is on its way.

    The balancer still sends sessions for a while, and a client that has its
    answer to one statement may have sent the next.
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


def test_planned_stop_reads_what_has_arrived():
    """Guards against resetting a connection with an unread statement."""
    rig = builders.Rig()
    number = rig.connect()
    rig.run(500)
    rig.clients.unread.add(number)
    rig.gateway.drain(rig.now_ms)
    rig.run(100)
    assert not rig.clients.closed
    rig.clients.unread.clear()
    assert rig.ask(number, 'READ k').code is None


def test_withdrawn_service_ends():
    """Guards against links and votes of a service that is gone."""
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


def test_withdrawn_service_finishes_open_transactions():
    """Guards against transactions that a configuration cuts."""
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


def test_planned_stop_ends_sessions_that_are_never_quiet():
    """Guards against statements that run when the process ends.

    Seed 129933855984 of trouble-2 on the small deployment without fencing: a
    client that sent all the time was cut off 5.3 s after the request to stop.
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


def test_planned_stop_in_a_hurry_reads_what_has_arrived():
    """Guards against cutting a statement that has arrived already."""
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
