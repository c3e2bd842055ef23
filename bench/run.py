"""Runs the measurements, writes their results and prints one table.

`python -m bench.run` runs all of them, `python -m bench.run idle` only the
named ones.
"""

import sys
import time
import types
import typing

from bench import (
    control_plane,
    hot_path,
    idle,
    plots,
    policy,
    promotions,
    results,
    target_node,
)

Measurement = typing.Callable[[int], results.Result]

# The measurements with real processes use different ports, so that sockets
# that linger in TIME_WAIT do not disturb the next one.
_FIRST_PORT = 30_000
_PORTS = types.MappingProxyType({'policy': 31_000, 'idle': 31_500})
MEASUREMENTS: typing.Mapping[str, Measurement] = types.MappingProxyType(
    {
        'hot_path': hot_path.measure,
        'policy': policy.measure,
        'idle': idle.measure,
        'control_plane': control_plane.measure,
        'control_memory': control_plane.measure_memory,
        'target_node': target_node.measure,
        'promotion': promotions.measure,
    },
)


def run(names: list[str]) -> int:
    """Run measurements and return the exit code.

    Args:
      names: Names of the measurements; empty for all.
    """
    unknown = [name for name in names if name not in MEASUREMENTS]
    if unknown:
        known = ', '.join(MEASUREMENTS)
        sys.stderr.write(f'unknown: {unknown[0]}; known: {known}\n')
        return 2
    found = [_measure(name) for name in names or MEASUREMENTS]
    plots.draw(found)
    sys.stdout.write(f'{results.table(found)}\n')
    return 0


def _measure(name: str) -> results.Result:
    sys.stderr.write(f'{name} ...\n')
    started_s = time.monotonic()
    result = MEASUREMENTS[name](_PORTS.get(name, _FIRST_PORT))
    result.seconds = round(time.monotonic() - started_s, 1)
    results.write(result)
    return result


if __name__ == '__main__':
    sys.exit(run(sys.argv[1:]))
