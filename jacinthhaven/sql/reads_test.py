"""Tests of reads: placement, age of the data and proofs by the primary."""

from jacinthhaven.sql import (
    builders,
    commands,
    leadership,
    proofs,
    records,
    statements,
)


def position(number: int, term: int = 1) -> records.Position:
    """Return a position in the log."""
    return records.Position(term, number)


def test_reads_of_bounded_age_use_replicas():
    """Guards against loading the primary with reads that replicas can serve."""
    rig = builders.Rig()
    rig.ask(rig.connect(builders.OWN), 'READ k')
    assert builders.instances_that_ran(rig, 'READ k')[0] != rig.group.primary


def test_own_write_is_read_back():
    """Guards against reading a replica without the session's last commit."""
    rig = builders.Rig()
    for replica in ('db-b', 'db-c'):
        rig.group.instances[replica].lag_ms = 5000
    number = rig.connect(builders.OWN)
    rig.ask(number, 'WRITE k new')
    assert rig.ask(number, 'READ k', 'r2').rows == ('new',)


def test_read_respects_the_maximum_age_of_the_route():
    """Guards against returning data older than the route allows."""
    rig = builders.Rig()
    writer = rig.connect(builders.STRICT)
    rig.ask(writer, 'WRITE k old')
    for replica in ('db-b', 'db-c'):
        rig.group.instances[replica].lag_ms = 60_000
    rig.ask(writer, 'WRITE k new', 'r2')
    rig.run(1600)
    reader = rig.connect(builders.BOUNDED)
    assert rig.ask(reader, 'READ k', 'r3').rows == ('new',)


def test_strict_read_confirms_the_primary():
    """Guards against a stale read at a primary that was just replaced.

    The old primary still answers plain reads, as a replica would.
    """
    rig = builders.Rig()
    number = rig.connect(builders.STRICT)
    rig.ask(number, 'WRITE k old')

    def replace() -> None:
        rig.group.promote('db-b')
        rig.group.instances['db-a'].deaf = True
        rig.group.commit((('k', 'new'),), ('other',), rig.now_ms)

    rig.databases.before_line['READ k'] = replace
    assert rig.ask(number, 'READ k', 'r2').rows == ('new',)


def test_position_of_a_lost_term_is_not_awaited():
    """Guards against waiting for a commit that a promotion rolled back."""
    history = proofs.ProofHistory()
    history.add(proofs.Proof(100, 2, position(50, 1)))
    own = position(52, 1)
    found = history.required(2500, 200, own)
    assert found.position == position(50, 1)


def test_oldest_sufficient_proof_is_required():
    """Guards against asking replicas for more than the route needs."""
    history = proofs.ProofHistory()
    for step in range(20):
        history.add(proofs.Proof(step * 100, 1, position(step)))
    found = history.required(1000, 1900, None)
    assert found.at_ms == 1100


def test_no_proof_no_read():
    """Guards against reading data of unknown age."""
    history = proofs.ProofHistory()
    history.add(proofs.Proof(100, 1, position(1)))
    assert history.required(1500, 1700, None) is None


def test_proof_of_an_older_term_is_ignored():
    """Guards against using positions of a replaced primary."""
    history = proofs.ProofHistory()
    history.add(proofs.Proof(100, 2, position(5, 2)))
    history.add(proofs.Proof(200, 1, position(9, 1)))
    assert history.newest.term == 2


def test_read_is_retried_when_an_instance_is_silent():
    """Guards against waiting for an instance that does not answer."""
    rig = builders.Rig()
    rig.databases.silent.update({'db-b', 'db-c'})
    answer = rig.ask(rig.connect(builders.OWN), 'READ k')
    assert answer.code is None
    assert rig.journal.events('move_read')


def test_lagging_replica_gets_no_reads_for_a_while():
    """Guards against repeated refusals by a lagging replica."""
    rig = builders.Rig()
    writer = rig.connect(builders.STRICT)
    rig.ask(writer, 'WRITE k a')
    for replica in ('db-b', 'db-c'):
        rig.group.instances[replica].lag_ms = 60_000
    reader = rig.connect(builders.OWN)
    rig.ask(reader, 'WRITE k b', 'r2')
    for step in range(10):
        rig.ask(reader, 'READ k', f'q{step}')
    refused = rig.journal.counts['refused_by_instance.behind']
    assert refused <= 4


def test_replica_that_has_caught_up_gets_reads_again():
    """Guards against replicas that stay unused after they have lagged.

    Only reads measure the replication delay. A high estimate sent all reads
    to the primary, so that it was never measured again.
    """
    rig = builders.Rig()
    writer = rig.connect(builders.STRICT)
    reader = rig.connect(builders.OWN)
    replicas = ('db-b', 'db-c')
    for replica in replicas:
        rig.group.instances[replica].lag_ms = 6000
    for step in range(100):
        rig.ask(writer, f'WRITE k {step}', f'w{step}')
        rig.ask(reader, 'READ k', f'r{step}')
        rig.run(60)
    for replica in replicas:
        rig.group.instances[replica].lag_ms = 60
    rig.lines.clear()
    for step in range(100):
        rig.ask(writer, f'WRITE k {step}', f'x{step}')
        rig.ask(reader, 'READ k', f's{step}')
        rig.run(60)
    places = builders.instances_that_ran(rig, 'READ k')
    at_replicas = sum(name in replicas for name in places[-20:])
    assert at_replicas >= 15


def test_new_primary_without_the_proved_position_is_read_at_once():
    """Guards against waiting at a new primary for commits that were lost."""
    rig = builders.Rig()
    writer = rig.connect(builders.STRICT)
    rig.ask(writer, 'WRITE k a', 'w0')
    rig.run(200)
    for replica in ('db-b', 'db-c'):
        rig.group.instances[replica].deaf = True
    for step in range(1, 5):
        rig.ask(writer, f'WRITE k {step}', f'w{step}')
    rig.run(600)
    rig.databases.silent.add('db-a')
    rig.group.promote('db-b')
    rig.service.tracker.set_leader('db-b', 2, leadership.Source.RECORD)
    before_ms = rig.now_ms
    answer = rig.ask(rig.connect(builders.OWN), 'READ k', 'r')
    assert answer.rows == ('a',)
    assert rig.now_ms - before_ms <= 100
    assert rig.journal.counts['refused_by_instance.behind'] <= 3


def test_lost_position_is_not_requested_repeatedly():
    """Guards against refusals by an instance that is past a lost position."""
    rig = builders.Rig()
    writer = rig.connect(builders.STRICT)
    for replica in ('db-b', 'db-c'):
        rig.group.instances[replica].deaf = True
    for step in range(1, 5):
        rig.ask(writer, f'WRITE k {step}', f'w{step}')
    rig.run(600)
    rig.group.promote('db-b')
    rig.group.instances['db-c'].deaf = False
    for step in range(9):
        rig.group.commit((('k', 'new'),), (f'o{step}',), rig.now_ms)
    rig.run(200)
    rig.databases.silent.add('db-a')
    state = rig.service.pool.states['db-c']
    state.applied = rig.group.instances['db-c'].position(rig.now_ms)
    rig.send(rig.connect(builders.OWN), 'READ k', 'r')
    rig.run(300)
    assert rig.journal.counts['refused_by_instance.behind'] <= 3


def test_leaving_replica_gets_no_reads():
    """Guards against sending reads to an instance that is about to stop."""
    rig = builders.Rig()
    entries = [
        builders.instance(name, leaving=name == 'db-b')
        for name in builders.MEMBERS
    ]
    rig.gateway.register(entries, rig.now_ms)
    number = rig.connect(builders.OWN)
    for step in range(8):
        rig.ask(number, f'READ k{step}', f'q{step}')
    assert 'db-b' not in builders.instances_that_ran(rig, ' READ ')


def test_ambiguous_codes_do_not_count_as_not_run():
    """Guards against retrying a statement that may have been executed."""
    assert statements.Code.OUTCOME_UNKNOWN not in statements.NOT_RUN
    assert statements.Code.TIMEOUT not in statements.NOT_RUN
    assert statements.Code.FAILED not in statements.NOT_RUN


def test_few_links_stay_open_and_more_open_on_demand():
    """Guards against idle links that use up the limit after a power loss."""
    rig = builders.Rig()
    assert len(rig.service.pool.by_number) == len(builders.MEMBERS)
    rig.databases.work_ms = 100
    numbers = [rig.connect(builders.STRICT) for _step in range(6)]
    for number in numbers:
        rig.send(number, f'WRITE k{number} 1', f'w{number}')
    rig.run(600)
    state = rig.service.pool.states['db-a']
    assert len(state.links) == rig.service.pool.max_links
    rig.run(4000)
    assert len(state.links) == 1


def test_new_primary_is_found_without_the_store():
    """Guards against a node that keeps asking a silent, replaced primary.

    The node cannot reach the store, so it gets no notice of the change.
    """
    rig = builders.Rig()
    rig.databases.silent.add('db-a')
    rig.group.promote('db-b')
    writer = rig.connect(builders.STRICT)
    rig.send(writer, 'WRITE k 0', 'w0')
    rig.run(1500)
    answer = rig.ask(writer, 'WRITE k 1', 'w1')
    assert answer.code is None
    assert rig.group.committed == {'w1': 1}


def test_refusal_for_another_reason_does_not_end_a_lag():
    """Guards against a late reaction when lagging replicas are busy too."""
    rig = builders.Rig()
    state = rig.service.pool.states['db-b']
    link = next(iter(state.links))
    requested = records.Position(1, 5)
    for code in (statements.Code.BEHIND, statements.Code.BUSY):
        reply = statements.Reply(code=code, position=records.Position(1, 1))
        rig.service.tracker.on_reply(
            link,
            commands.Begin(True, requested),
            reply,
            rig.now_ms,
        )
    assert state.behind_ms == rig.now_ms


def test_price_of_leaving_the_zone_decides_between_replicas():
    """Guards against a setting that placement does not follow.

    The replica of the own zone is taken up to the price, and left beyond it.
    """
    rig = builders.Rig()
    rig.service.zone = 'c'
    reader = rig.connect(builders.OWN)
    states = rig.service.pool.states
    for price_ms, chosen in ((2, 'db-b'), (30, 'db-c')):
        rig.service.leaving_cost_ms = price_ms
        states['db-b'].latency.average = 10
        states['db-c'].latency.average = 20
        rig.lines.clear()
        rig.ask(reader, f'READ k{price_ms}')
        found = builders.instances_that_ran(rig, f'READ k{price_ms}')
        assert found == [chosen]
