"""Tests of the recovery of requests whose result was not seen."""

import itertools
import random

from jacinthhaven.decide import (
    admission,
    builders,
    dispatch,
    group_state,
    recovery,
    work,
)


def _recovery() -> recovery.Recovery:
    state = group_state.GroupState(
        builders.group(),
        'n1',
        itertools.count(1),
        random.Random(1),
    )
    return recovery.Recovery(state, dispatch.Dispatcher(state))


def _job(rescue: recovery.Recovery, kind: str) -> work.Work:
    name = next(iter(rescue.state.databases))
    return work.Work(work.Origin('n1', 1), name, kind, 's', 5000)


def test_reads_leave_a_suspected_instance():
    """Guards against reads that wait for a frozen replica to thaw."""
    rescue = _recovery()
    job = _job(rescue, work.READ)
    call = rescue.state.calls.start(7, 'a1', job)
    rescue.on_suspected('a1')
    base = rescue.state.databases[job.database]
    assert call.job is None
    assert base.admission.peek(admission.PRIMARY_LANE) is job


def test_writes_stay_at_a_suspected_instance():
    """Guards against a write that is repeated before a new term is known."""
    rescue = _recovery()
    job = _job(rescue, work.WRITE)
    call = rescue.state.calls.start(7, 'a1', job)
    rescue.on_suspected('a1')
    assert call.job is job
    base = rescue.state.databases[job.database]
    assert not base.admission.size
