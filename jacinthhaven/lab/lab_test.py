"""Tests of experiments: what callers get, and that a play repeats."""

import pytest

from jacinthhaven.adapters import yaml_file
from jacinthhaven.lab import (
    builders,
    constants,
    experiment_file,
    outcomes,
    player,
    report,
)
from jacinthhaven.scheduling import window

_IN_TIME = outcomes.Outcome.IN_TIME
_REFUSED = outcomes.Outcome.REFUSED


def _shares(described, variant='today') -> dict[str, float]:
    played = player.play(described, variant, 1)
    return {
        kind: tally.share(_IN_TIME) for kind, tally in played.tallies.items()
    }


def test_calm_load_is_served_in_time():
    """Guards against an emulator that is slower than it says."""
    described = builders.described()
    played = player.play(described, 'today', 1)
    tally = played.tallies['settlement']
    assert 80 <= tally.total <= 170
    assert tally.counts[_IN_TIME] == tally.total
    assert outcomes.quantile_ms(tally.latency, 0.5) >= 2
    assert outcomes.quantile_ms(tally.latency, 0.5) <= 12


def test_play_repeats_for_a_seed():
    """Guards against results that differ from run to run."""
    described = builders.described(
        faults=[builders.fault('lost_answers', 'db-a', strength=0.2)],
    )
    first, second = (
        report.results_of('today', 1, player.play(described, 'today', 1))
        for _play in range(2)
    )
    assert first == second


def test_arrivals_do_not_depend_on_the_variant():
    """Guards against comparing variants under different loads."""
    described = builders.described(
        variants={'today': {}, 'narrow': {'statements_per_slot': 1}},
    )
    totals = {
        player.play(described, variant, 1).tallies['settlement'].total
        for variant in described.variants
    }
    assert len(totals) == 1


def test_arrivals_do_not_slow_down_when_nothing_is_served():
    """Guards against a load that waits for the proxy."""
    silent = [
        builders.fault('silent', name, at_ms=0, for_ms=3000)
        for name in ('db-a', 'db-b', 'db-c')
    ]
    calm = player.play(builders.described(), 'today', 1)
    dark = player.play(builders.described(faults=silent), 'today', 1)
    assert dark.tallies['settlement'].total == calm.tallies['settlement'].total
    served = dark.tallies['settlement']
    assert served.counts[_IN_TIME] < served.total / 10


def test_silent_primary_costs_the_time_of_a_promotion():
    """Guards against a fault that nobody notices, and one that never ends."""
    described = builders.described(
        length_ms=8000,
        faults=[builders.fault('silent', 'db-a', at_ms=2000, for_ms=6000)],
    )
    tally = player.play(described, 'today', 1).tallies['settlement']
    before, during, after = (tally.by_second[second] for second in (1, 2, 6))
    assert before[_IN_TIME] == before.total()
    assert during[_IN_TIME] < during.total() / 2
    assert after[_IN_TIME] == after.total()


def test_refusals_are_early_where_the_primary_is_missing():
    """Guards against holding what is known not to be servable."""
    described = builders.described(
        faults=[builders.fault('silent', 'db-a')],
    )
    tally = player.play(described, 'today', 1).tallies['settlement']
    assert tally.counts[_REFUSED]
    assert outcomes.quantile_ms(tally.refusal, 0.5) <= 200


def test_wrong_constant_shows_in_the_comparison():
    """Guards against an experiment that cannot tell a bad rule."""
    described = builders.described(
        faults=[builders.fault('silent', 'db-a')],
        variants={'today': {}, 'stubborn': {'no_primary_share': 4}},
    )
    waited = [
        outcomes.quantile_ms(
            player.play(described, variant, 1).tallies['settlement'].refusal,
            0.5,
        )
        for variant in described.variants
    ]
    assert waited[1] >= 2 * waited[0]


def test_constants_are_restored_after_a_play():
    """Guards against a variant that changes the plays after it."""
    before = window._PER_SLOT
    with pytest.raises(ZeroDivisionError):
        with constants.changed({'statements_per_slot': 9}):
            assert window._PER_SLOT == 9
            raise ZeroDivisionError
    assert window._PER_SLOT == before


def test_results_are_written_and_read():
    """Guards against results that cannot be reported later."""
    described = builders.described()
    played = player.play(described, 'today', 1)
    found = report.results_of('today', 1, played)
    again = [report.decode(report.encode(result)) for result in found]
    assert again == found
    assert '| today | settlement |' in report.table(described, again)


_BAD = """name: Bad Name
seeds: []
length_ms: 3000
group: {instances: [db-a, db-a], slots: 0, connections: 21}
load:
  settlement:
    mode: strict
    per_s: 0
    work_ms: 80
    target_ms: 20
    deadline_ms: 10
unknown: 1
variants: {today: {speed: 2}}
"""


def test_all_errors_of_a_file_are_reported_with_their_lines():
    """Guards against users who fix one error at a time."""
    errors = experiment_file.validate(yaml_file.parse(_BAD))
    lines = {error.path: error.line for error in errors}
    assert lines == {
        'name': 1,
        'seeds': 2,
        'group.instances': 4,
        'group.slots': 4,
        'load.settlement.mode': 7,
        'load.settlement.per_s': 8,
        'load.settlement.deadline_ms': 11,
        'unknown': 12,
        'variants': 13,
    }


def test_fault_of_an_unknown_instance_is_refused():
    """Guards against an experiment whose fault never happens."""
    text = 'kind: silent, instance: db-x, at_ms: 1, for_ms: 1'
    good = _BAD.replace('Bad Name', 'bad').replace('[]', '[1]')
    good = good.replace('db-a, db-a', 'db-a').replace('slots: 0', 'slots: 1')
    good = good.replace('strict', 'primary').replace('per_s: 0', 'per_s: 1')
    good = good.replace('deadline_ms: 10', 'deadline_ms: 100')
    good = good.replace('unknown: 1', f'faults:\n  - {{{text}}}')
    good = good.replace('speed: 2', '')
    errors = experiment_file.validate(yaml_file.parse(good))
    assert [(error.line, error.message) for error in errors] == [
        (13, 'no instance db-x'),
    ]
