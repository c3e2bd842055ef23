"""Tests of what callers get when more arrives than the slots can execute.

Eight proxies share three instances of two slots. The usual load takes half of
the slots; a factor of two is as much as they can execute.
"""

import functools

import pytest

from jacinthhaven.lab import builders, outcomes, player
from jacinthhaven.scheduling import permits

_IN_TIME = outcomes.Outcome.IN_TIME
_REFUSED = outcomes.Outcome.REFUSED
_LENGTH_MS = 6000
# Factors of the usual load.
_FULL = 2
_TWICE = 4
_THRICE = 6


@functools.cache
def _played(factor: float, length_ms: int = _LENGTH_MS):
    bursts = [{'at_ms': 0, 'for_ms': length_ms, 'factor': factor}]
    described = builders.shared(length_ms=length_ms, bursts=bursts)
    return player.play(described, 'today', 1)


def _in_time_per_s(played) -> float:
    served = sum(tally.counts[_IN_TIME] for tally in played.tallies.values())
    return served * 1000 / _LENGTH_MS


@pytest.mark.parametrize('factor', [_TWICE, _THRICE])
def test_goodput_does_not_fall_when_load_rises(factor):
    """Guards against a collapse in which nothing is served in time."""
    full = _in_time_per_s(_played(_FULL))
    assert _in_time_per_s(_played(factor)) >= 0.8 * full


@pytest.mark.parametrize('factor', [_FULL, _TWICE])
def test_highest_priority_is_served_while_it_fits_alone(factor):
    """Guards against urgent requests that wait behind all others."""
    tally = _played(factor).tallies['orders']
    assert tally.share(_IN_TIME) * 100 >= 95


@pytest.mark.parametrize('factor', [_TWICE, _THRICE])
def test_routes_of_one_priority_are_served_alike(factor):
    """Guards against a route of which nothing is served under overload."""
    tallies = _played(factor).tallies
    board, notes = (
        tallies[kind].share(_IN_TIME) for kind in ('board', 'notes')
    )
    assert abs(board - notes) * 100 <= 10


@pytest.mark.parametrize('factor', [_TWICE, _THRICE])
def test_refusals_are_immediate(factor):
    """Guards against refusing after a wait what was known not to fit."""
    for tally in _played(factor).tallies.values():
        if tally.counts[_REFUSED]:
            # Three attempts with pauses of 50 and 100 ms between them.
            assert outcomes.quantile_ms(tally.refusal, 0.5) <= 250


def test_load_is_served_again_at_once_after_a_burst():
    """Guards against queues and repetitions that outlast a burst."""
    bursts = [{'at_ms': 1000, 'for_ms': 4000, 'factor': _TWICE}]
    described = builders.shared(length_ms=8000, bursts=bursts)
    played = player.play(described, 'today', 1)
    for tally in played.tallies.values():
        for second in (6, 7):
            counts = tally.by_second[second]
            assert counts[_IN_TIME] >= 0.95 * counts.total()


def test_hardly_any_slot_time_is_spent_on_requests_that_fail():
    """Guards against slots that execute what nobody waits for any more."""
    played = _played(_TWICE)
    spent = played.slot_time()
    wasted = spent.repeated_ms + spent.unserved_ms
    assert wasted <= 0.05 * spent.total_ms


def test_without_permits_the_goodput_collapses(monkeypatch):
    """Guards against a load that would not show the collapse."""
    monkeypatch.setattr(permits.Permits, 'report', _ignore_load)
    bursts = [{'at_ms': 0, 'for_ms': _LENGTH_MS, 'factor': _TWICE}]
    described = builders.shared(length_ms=_LENGTH_MS, bursts=bursts)
    played = player.play(described, 'today', 1)
    assert _in_time_per_s(played) < 0.8 * _in_time_per_s(_played(_FULL))


def _ignore_load(_permits, _load, _now_ms) -> None:
    """Never ask for permits, and never require them."""
