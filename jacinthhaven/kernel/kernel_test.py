"""Tests of the clock, the failure kinds, the registry and the ranking."""

import pytest

from jacinthhaven.kernel import clock, failures, plugins, ranking


def test_manual_clock_rejects_negative_steps():
    """Guards against time that runs backwards in tests."""
    manual = clock.ManualClock(5)
    manual.advance(2)
    with pytest.raises(ValueError, match='-1'):
        manual.advance(-1)
    assert manual.now_ms() == 7


def test_codes_are_unique():
    """Guards against two kinds that share a code in answers and metrics."""
    kinds = [
        kind
        for kind in vars(failures).values()
        if isinstance(kind, failures.Kind)
    ]
    assert len(kinds) == len(failures.BY_CODE)


def test_unknown_plugin_is_typed():
    """Guards against a bare KeyError for a misspelled plug-in name."""
    with pytest.raises(plugins.UnknownPluginError):
        plugins.find(plugins.BACKEND_KIND, 'no-such-kind')


def test_ranking_is_stable_when_a_member_leaves():
    """Guards against moving keys that the leaving member did not own."""
    members = ['n1', 'n2', 'n3', 'n4']
    before = {key: ranking.ranked(key, members)[0] for key in 'abcdefgh'}
    after = {key: ranking.ranked(key, members[:-1])[0] for key in 'abcdefgh'}
    moved = {key for key in before if before[key] != after[key]}
    assert moved == {key for key in before if before[key] == 'n4'}
