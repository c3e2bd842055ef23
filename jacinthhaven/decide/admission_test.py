"""Tests of the bounded queue of a database."""

from jacinthhaven.decide import admission, builders, work
from jacinthhaven.records import callers


def new_work(priority, lane=admission.PRIMARY_LANE):
    """Return a request of a priority."""
    origin = work.Origin('m1', 1)
    return work.Work(
        origin,
        builders.DATABASE,
        work.READ,
        's',
        100,
        priority=priority,
        lane=lane,
    )


def test_lowest_priority_is_shed_first():
    """Guards against shedding settlements while history is queued."""
    queue = admission.AdmissionQueue()
    history = new_work(callers.HISTORY, admission.REPLICA_LANE)
    normal = new_work(callers.NORMAL)
    settlement = new_work(callers.SETTLEMENT)
    assert not queue.push(history, 2)
    assert not queue.push(normal, 2)
    assert queue.push(settlement, 2) == [history]
    late = new_work(callers.HISTORY)
    assert queue.push(late, 2) == [late]
    assert queue.pop(admission.PRIMARY_LANE) is settlement
    assert queue.remove_if(lambda job: job is normal) == [normal]
    assert queue.size == 0


def test_parked_requests_count_towards_the_limit():
    """Guards against unbounded growth of the list of parked reads."""
    harness, _fake = builders.serving()
    limit = harness.state.preset.queue_limit
    needed = builders.tokens.Position(2, 1)
    jobs = [
        harness.submit(work.READ, needed=needed, priority=callers.HISTORY)
        for _ in range(limit + 3)
    ]
    assert [harness.codes(job) for job in jobs[limit:]] == [
        ['overloaded'],
        ['overloaded'],
        ['overloaded'],
    ]
    assert len(harness.database_state.parked) == limit
