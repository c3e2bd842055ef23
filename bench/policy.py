"""Routing policy of the presets against one that uses primaries only."""

from bench import hot_path, processes, results

_MIXED = 0.1
_PORTS = 200
_PROXY = 'proxy-1'
_ROUTINGS = ('replica_first', 'primary_only')
_NOTE = '10% writes; baseline: routing primary_only'


def measure(base_port: int) -> results.Result:
    """Measure the same load under both policies."""
    result = results.Result('policy')
    chosen, baseline = (
        _run(base_port + place * _PORTS, routing)
        for place, routing in enumerate(_ROUTINGS)
    )
    _add(result, 'rate', 'statements/s', (chosen.rate, baseline.rate))
    used = (chosen.cpu_us, baseline.cpu_us)
    _add(result, 'processor time', 'us/statement', used)
    shares = (chosen.replica_share, baseline.replica_share)
    _add(result, 'share of replicas', 'of all', shares)
    busy = (chosen.instance, baseline.instance)
    _add(result, 'busiest instance', 'of a core', busy)
    return result


def _run(base_port: int, routing: str) -> hot_path.Load:
    with processes.Fleet(hot_path.shape(), base_port) as fleet:
        fleet.owners = 1
        hot_path.start(fleet, 1, routing)
        ports = [fleet.caller_port(1)]
        plan = hot_path.new_plan(fleet, f'policy-{routing}', ports)
        plan.write_share = _MIXED
        return hot_path.run_load(fleet, [_PROXY], [plan])


def _add(
    result: results.Result,
    name: str,
    unit: str,
    pair: tuple[float, float],
) -> None:
    result.add(
        f'replica_first: {name}',
        pair[0],
        unit,
        _NOTE,
        baseline=pair[1],
    )
