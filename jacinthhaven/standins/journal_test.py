"""Tests of the file that keeps an instance over a restart."""

from jacinthhaven.records import backend
from jacinthhaven.standins import builders, instance_model, journal

DATABASE = builders.DATABASE


def restored(path):
    """Return the copy of an instance that was restored from the file."""
    model = instance_model.InstanceModel('x', [DATABASE], 2)
    journal.attach(model, path)
    model.start_as({DATABASE: 'x'}, 70)
    return model.copies[DATABASE]


def test_restart_restores_terms_and_logs(tmp_path):
    """Guards against a restarted instance that forgets what it confirmed."""
    group = builders.Group(
        prepare=lambda model: journal.attach(model, tmp_path / model.name),
    )
    group.promote('a', 2, 'ab')
    group.call('b', backend.FollowRequest(DATABASE, 2, 'a'))
    group.call('a', builders.add('kept', 2))
    group.pull('b')
    group.call('a', builders.add('lost', 2))
    group.promote('b', 3, 'bc')
    group.call('b', builders.add('new', 3))
    group.call('a', backend.FollowRequest(DATABASE, 3, 'b'))
    group.pull('a')
    for name in 'abc':
        found = restored(tmp_path / name)
        known = group.instances[name].copies[DATABASE]
        assert found.term == known.term == 3
        assert not found.primary
        assert found.contact_ms == 70
        assert found.log.rows == known.log.rows
        assert list(found.log.recorded) == list(known.log.recorded)
        assert found.log.visible_starts() == known.log.visible_starts()


def test_incomplete_last_line_is_dropped(tmp_path):
    """Guards against a restart that fails after a kill within a write."""
    path = tmp_path / 'a'
    model = instance_model.InstanceModel('x', [DATABASE], 2)
    journal.attach(model, path)
    model.start_as({DATABASE: 'x'}, 0)
    with path.open('ab') as stream:
        stream.write(b'{"database":"lo')
    assert restored(path).log.position == 1
    assert restored(path).term == 1
