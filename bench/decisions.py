"""Decisions of the product beside simpler ones, in virtual time.

The scenario runner drives 8 proxies with the latencies of both deployments.
The baselines are patched in here only: a fixed suspicion timeout, promotion
on one owner's suspicion, and replicas used without knowledge of their lag.
"""

import contextlib
import statistics
import types
import typing
from unittest import mock

from bench import results
from jacinthhaven.decide import suspicion
from scenarios import checker, language, simulation, variants

_SEEDS = range(1, 6)
_DEPLOYMENTS = ('exchange', 'brightline')
_LAGS_MS = (0, 50, 200, 800)
_AGES_MS = (100, 300, 1000)
_SLOW_MS = (60, 150, 300)
_FIXED_TIMEOUT_MS = 2000
_PERCENT = 100
_TAIL_PERCENT = 99
_FAULT_MS = 1000
_LAGGING = 'i3'

_FIRST_DATABASE = types.MappingProxyType(
    {
        name: deployment.databases[0]
        for name, deployment in language.DEPLOYMENTS.items()
    },
)
_Run = tuple[simulation.World, simulation.Report]
_Figure = typing.Callable[[list[_Run]], float]


def measure(_base_port: int) -> results.Result:
    """Measure the decisions beside their baselines."""
    result = results.Result('decisions')
    for deployment in _DEPLOYMENTS:
        _add_failover(result, deployment)
    for lag_ms in _LAGS_MS:
        _add_replicas(result, lag_ms)
    for slow_ms in _SLOW_MS:
        _add_promotions(result, slow_ms)
    return result


def _add_failover(result: results.Result, deployment: str) -> None:
    """Kill the primary of one database."""
    scenarios = [
        _scenario(
            deployment,
            seed,
            [_step('kill', f'primary:{_FIRST_DATABASE[deployment]}')],
        )
        for seed in _SEEDS
    ]
    runs = [_run(scenario) for scenario in scenarios]
    with _fixed_timeout():
        slower = [_run(scenario) for scenario in scenarios]
    note = f'{len(scenarios)} seeds; baseline: timeout {_FIXED_TIMEOUT_MS} ms'
    figures: dict[str, _Figure] = {
        'failover gap, median': _median_gap,
        'failover gap, worst': _worst_gap,
        'slowest percent of requests': _tail,
    }
    for name, figure in figures.items():
        result.add(
            f'{deployment}: {name}',
            figure(runs),
            'ms',
            note,
            baseline=figure(slower),
        )


def _add_replicas(result: results.Result, lag_ms: int) -> None:
    """Delay the replication to one instance and vary the allowed age.

    With the same delay on all replicas, a write is acknowledged only after
    both have it, so even a random replica is never too old.
    """
    note = 'one instance lags; baseline: random replica, lag not known'
    for age_ms in _AGES_MS:
        scenario = _scenario(
            'brightline',
            _SEEDS[0],
            [_step('lag', _LAGGING, by_ms=lag_ms)],
        )
        scenario.workload.ages_ms = [age_ms]
        scenario.workload.own_percent = _PERCENT
        report = _run(scenario)[1]
        with (
            variants.applied('ignore_needed_position'),
            variants.applied('trust_any_age'),
        ):
            random = _run(scenario)[1]
        place = f'lag {lag_ms} ms, age {age_ms} ms'
        result.add(
            f'{place}: reads served by replicas',
            report.replica_share * _PERCENT,
            '%',
            note,
            baseline=random.replica_share * _PERCENT,
        )
        result.add(
            f'{place}: reads too old or missing own writes',
            _violations(report),
            'reads',
            note,
            baseline=_violations(random),
        )


def _add_promotions(result: results.Result, slow_ms: int) -> None:
    """Slow the network without any failure."""
    scenario = _scenario(
        'brightline',
        _SEEDS[0],
        [
            _step('slow', 'proxies', to=['instances'], by_ms=slow_ms),
            _step('slow', 'instances', to=['instances'], by_ms=slow_ms // 2),
        ],
    )
    scenario.checks = ['no_promotion']
    found = _run(scenario)[1]
    with variants.applied('promote_on_own_suspicion'):
        hasty = _run(scenario)[1]
    result.add(
        f'false promotions, {slow_ms} ms added',
        _violations(found),
        'promotions',
        'baseline: one owner decides alone',
        baseline=_violations(hasty),
    )


def _scenario(
    deployment: str,
    seed: int,
    steps: list[language.Step],
) -> language.Scenario:
    return language.Scenario(
        name='bench',
        guards='nothing; the run is measured',
        deployment=deployment,
        seed=seed,
        duration_ms=5000,
        workload=language.Workload(sessions=24, transactions=0),
        steps=steps,
        checks=list(checker.DEFAULT),
    )


def _step(verb: str, place: str, **fields: typing.Any) -> language.Step:
    return language.Step(at_ms=_FAULT_MS, do=verb, places=[place], **fields)


def _run(scenario: language.Scenario) -> _Run:
    world = simulation.World(scenario)
    return world, world.run()


@contextlib.contextmanager
def _fixed_timeout() -> typing.Iterator[None]:
    with mock.patch.object(
        suspicion.FailureDetector,
        'timeout_ms',
        lambda _timer, _suspect_ms: _FIXED_TIMEOUT_MS,
    ):
        yield


def _median_gap(runs: list[_Run]) -> float:
    return statistics.median(report.gap_ms for _world, report in runs)


def _worst_gap(runs: list[_Run]) -> float:
    return max(report.gap_ms for _world, report in runs)


def _tail(runs: list[_Run]) -> float:
    latencies = sorted(
        request.answered_ms - request.sent_ms
        for world, _report in runs
        for request in world.log.requests
        if request.answered_ms >= 0
    )
    return latencies[len(latencies) * _TAIL_PERCENT // _PERCENT]


def _violations(report: simulation.Report) -> int:
    return sum(len(found) for found in report.violations.values())
