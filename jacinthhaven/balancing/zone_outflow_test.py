"""Tests of the share of the work that leaves a zone."""

import itertools
import random

import pytest

from jacinthhaven.balancing import builders, owner_times, zone_outflow

_BURST = builders.Burst(2.6)
_LONG_BURST = builders.Burst(2.6, 5000, 35000)
_MOVING = builders.Moving(2.6)
_POOL = 'records pool'
# Share of the traffic that may leave the zones without use.
_MAX_USELESS = 0.01
_MAX_USELESS_IF_CROWDED = 0.1
# Shares of what callers get and pay without the decision that it may leave.
_MAX_LATE = 0.25
_MAX_MEAN = 0.7
_MAX_LEFT = 0.6
# Largest deviation of the share from its mean, and largest change in 250 ms.
_MAX_DEVIATION = 0.2
_MAX_CHANGE = 0.15
_PROBE = 0.05
# Mean share of many nodes that counts as none: the smallest share of one node.
_GONE = 0.02


def _play(
    name: str,
    load: builders.Load,
    policy: str = 'outflow',
    for_ms: float = 20000,
) -> builders.Model:
    deployment = builders.DEPLOYMENTS[name]
    return builders.Model(deployment, policy, load).play(for_ms)


def _shares(model: builders.Model, from_ms: int, until_ms: int) -> list[float]:
    """Return the mean share of the nodes of the first zone every 250 ms."""
    return [
        model.share_at(builders.ZONES[0], now_ms)
        for now_ms in range(from_ms, until_ms, 250)
    ]


def _largest_deviation(shares: list[float]) -> float:
    mean = sum(shares) / len(shares)
    return max(abs(share - mean) for share in shares)


@pytest.mark.parametrize('name', builders.DEPLOYMENTS)
def test_work_stays_in_calm_zones(name):
    """Guards against traffic between zones that serves nobody faster."""
    model = _play(name, builders.calm)
    assert model.total.share_left <= _MAX_USELESS
    fixed = _play(name, builders.calm, 'always-in-zone')
    assert model.total.mean_ms <= fixed.total.mean_ms * 1.05


@pytest.mark.parametrize('load', [_BURST, _MOVING])
@pytest.mark.parametrize('name', builders.DEPLOYMENTS)
def test_crowded_zone_is_helped(name, load):
    """Guards against callers that wait while other zones have free slots."""
    model = _play(name, load)
    fixed = _play(name, load, 'always-in-zone')
    blind = _play(name, load, 'zone-blind')
    late = 1 - model.total.share_in_target
    assert late <= (1 - fixed.total.share_in_target) * _MAX_LATE
    assert model.total.mean_ms <= fixed.total.mean_ms * _MAX_MEAN
    assert model.total.share_left <= blind.total.share_left * _MAX_LEFT


@pytest.mark.parametrize('name', builders.DEPLOYMENTS)
def test_little_is_sent_when_all_zones_are_crowded(name):
    """Guards against zones that send each other the work that none can do."""
    model = _play(name, builders.busy_everywhere)
    assert model.total.share_left <= _MAX_USELESS_IF_CROWDED


@pytest.mark.parametrize('name', builders.DEPLOYMENTS)
def test_share_does_not_oscillate(name):
    """Guards against a share that swings while the load stays the same.

    Ten seconds after the load has changed it keeps to a fifth around its mean, and
    five seconds after the end of the load it is gone.
    """
    model = _play(name, _LONG_BURST, for_ms=41000)
    assert _largest_deviation(_shares(model, 15000, 35000)) <= _MAX_DEVIATION
    assert model.share_at('a', 40000) <= _GONE


def test_share_without_bounds_would_oscillate(monkeypatch):
    """Guards against a check of oscillation that finds none."""
    monkeypatch.setattr(zone_outflow, 'MAX_SHARE', 1)
    monkeypatch.setattr(zone_outflow, '_MAX_CHANGE_PER_S', 1)
    monkeypatch.setattr(zone_outflow, '_GAIN_PER_S', 10)
    monkeypatch.setattr(zone_outflow, '_DAMPING', 0)
    model = _play(_POOL, _LONG_BURST, for_ms=36000)
    assert _largest_deviation(_shares(model, 15000, 35000)) > _MAX_DEVIATION


@pytest.mark.parametrize('name', builders.DEPLOYMENTS)
def test_no_zone_is_emptied_for_another(name):
    """Guards against helping one zone at the cost of the others.

    The crowded zone goes on to do as much as before, and callers of the others
    are served in target as if nothing had been sent there.
    """
    model = _play(name, _LONG_BURST, for_ms=35000)
    fixed = _play(name, builders.calm, 'always-in-zone', for_ms=35000)
    for owner in ('n0', 'n3'):
        assert model.owners[owner].arrivals > fixed.owners[owner].arrivals
    for zone in ('b', 'c'):
        share = model.by_zone[zone].share_in_target
        assert share >= fixed.by_zone[zone].share_in_target - 0.01


@pytest.mark.parametrize('name', builders.DEPLOYMENTS)
def test_independent_nodes_do_not_run_together(name):
    """Guards against nodes that all turn to the owner that looks idle.

    Each of the four owners of the other zones gets its part, none queues longer
    than the crowded ones, and the nodes together change slowly.
    """
    model = _play(name, _LONG_BURST, for_ms=35000)
    helpers = [model.owners[owner] for owner in ('n1', 'n2', 'n4', 'n5')]
    arrivals = [helper.arrivals for helper in helpers]
    assert max(arrivals) <= 1.25 * min(arrivals)
    crowded_ms = max(model.owners[name].longest_ms for name in ('n0', 'n3'))
    assert max(helper.longest_ms for helper in helpers) < crowded_ms
    shares = _shares(model, 5000, 35000)
    steps = [
        abs(after - before) for before, after in itertools.pairwise(shares)
    ]
    assert max(steps) <= _MAX_CHANGE


def _slow(outflow: zone_outflow.ZoneOutflow, steps: int, far_ms=None) -> None:
    """Let the own zone be slow for some steps."""
    times = zone_outflow.Times(100, {'b': far_ms})
    while steps:
        steps -= 1
        outflow.update(times, outflow.next_ms)


def test_share_without_a_measurement_stays_small():
    """Guards against sending much to a zone that nobody has measured."""
    outflow = zone_outflow.ZoneOutflow()
    _slow(outflow, 50)
    assert 0 < outflow.share <= _PROBE


def test_share_is_never_all():
    """Guards against a zone that nobody uses, so that nobody sees it recover."""
    outflow = zone_outflow.ZoneOutflow()
    _slow(outflow, 200, far_ms=1)
    assert outflow.share == zone_outflow.MAX_SHARE
    assert outflow.share < 1


def test_price_is_respected():
    """Guards against traffic that gains less than its price."""
    outflow = zone_outflow.ZoneOutflow(leaving_cost_ms=100)
    _slow(outflow, 200, far_ms=1)
    assert not outflow.share


def test_uncertain_difference_changes_nothing():
    """Guards against a share that follows chance differences."""
    outflow = zone_outflow.ZoneOutflow()
    _slow(outflow, 20, far_ms=1)
    share = outflow.share
    outflow.advantage = (100 - 72) / 172
    _slow(outflow, 20, far_ms=70)
    assert outflow.share == share


def test_idle_looking_owner_does_not_get_all():
    """Guards against a herd at the owner that was measured as the fastest."""
    times = owner_times.OwnerTimes(random.Random(1))
    names = ['n0', 'n1', 'n2', 'n3']
    for name in names:
        times.sample(name, 1 if name == 'n3' else 100, 0)
    firsts = []
    for turn in range(400):
        order = names[turn % 4 :] + names[: turn % 4]
        firsts.append(times.prefer(order, 2, 0)[0])
    assert 100 <= firsts.count('n3') <= 200
    assert all(firsts.count(name) >= 40 for name in names)
