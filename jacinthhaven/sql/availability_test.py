"""Tests of what an operator sees of a group without a usable primary."""

from jacinthhaven.sql import availability, builders


def test_group_without_a_leader_is_reported_with_its_time():
    """Guards against a group that serves no writes and nobody notices."""
    rig = builders.Rig()
    rig.databases.silent.update(builders.MEMBERS)
    rig.service.tracker.clear_leader('db-a', 2, 'test')
    rig.run(1500)
    known = rig.service.availability
    assert 1400 <= known.missing_for(rig.now_ms) <= 1500
    reasons = [
        line['reason'] for line in rig.journal.events('primary_unusable')
    ]
    assert reasons == [availability.Obstacle.UNKNOWN.value]


def test_end_is_reported():
    """Guards against an alarm that does not end."""
    rig = builders.Rig()
    rig.databases.silent.update(builders.MEMBERS)
    rig.send(rig.connect(builders.STRICT), 'WRITE k 1', 'w1')
    rig.run(2500)
    assert rig.journal.events('primary_unusable')
    rig.databases.silent.clear()
    rig.run(3000)
    assert rig.journal.events('primary_usable')
    assert not rig.service.availability.missing_for(rig.now_ms)


def test_short_gap_is_not_logged():
    """Guards against a log line for each answer that is late."""
    rig = builders.Rig()
    rig.service.tracker.clear_leader('db-a', 0, 'test')
    rig.run(1500)
    assert not rig.journal.events('primary_unusable')
