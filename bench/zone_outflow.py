"""Table and plot of the share of the work that leaves a zone.

Plays the loads of `balancing/builders` without a network and writes
`docs/img/zone-outflow.png`. Run with `python -m bench.zone_outflow`.
"""

import itertools
import statistics
import sys
import types
import typing

import matplotlib as mpl

from bench import plots
from jacinthhaven.balancing import builders

_FOR_MS = 20_000
_SEEDS = (1, 2, 3, 4, 5)
_POLICIES = ('always-in-zone', 'zone-blind', 'outflow')
_LOADS = types.MappingProxyType(
    {
        'calm': builders.calm,
        'burst of 1.6 in one zone': builders.Burst(1.6),
        'burst of 2.6 in one zone': builders.Burst(2.6),
        'callers move, 2.6': builders.Moving(2.6),
        'all zones at 2.4': builders.busy_everywhere,
    }
)
_PLOTTED = ('burst of 2.6 in one zone', 'callers move, 2.6')
_PRICES_MS = (0, 2, 10, 50)
_SIZE_INCHES = (9, 6)
_DPI = 80
_PLOT_STEP_MS = 250
_MS_PER_S = 1000

# Deployment, load and policy; and the models played, one for each seed.
Key = tuple[str, str, str]
Played = dict[Key, list[builders.Model]]


def play(key: Key, seed: int, price_ms: float = 2) -> builders.Model:
    """Play one load on a model of a deployment."""
    name, load, policy = key
    deployment = builders.DEPLOYMENTS[name]
    model = builders.Model(deployment, policy, _LOADS[load], seed)
    for node in itertools.chain.from_iterable(model.nodes.values()):
        node.choice.leaving_cost_ms = price_ms
    return model.play(_FOR_MS)


def print_tables() -> Played:
    """Print all rows and return the models that were played."""
    played = {}
    for key in itertools.product(builders.DEPLOYMENTS, _LOADS, _POLICIES):
        played[key] = [play(key, seed) for seed in _SEEDS]
        _print_row(' | '.join(key), played[key])
    load = _PLOTTED[1]
    for name, price_ms in itertools.product(builders.DEPLOYMENTS, _PRICES_MS):
        moved = (name, load, 'outflow')
        models = [play(moved, seed, price_ms) for seed in _SEEDS]
        _print_row(f'{name} | {load} | price {price_ms}', models)
    return played


def draw(played: Played) -> None:
    """Draw the share over time, and the late statements of each policy."""
    mpl.use('Agg')
    # Imported after the choice of the file backend.
    from matplotlib import figure  # noqa: PLC0415, WPS433

    plot = figure.Figure(figsize=_SIZE_INCHES, dpi=_DPI)
    axes = plot.subplots(2, 2)
    for column, name in enumerate(builders.DEPLOYMENTS):
        _draw_shares(axes[0][column], name, played)
        _draw_late(axes[1][column], name, played)
    plot.tight_layout()
    plot.savefig(plots.IMAGES / 'zone-outflow.png')


def _draw_shares(axes: typing.Any, name: str, played: Played) -> None:
    times = range(0, _FOR_MS, _PLOT_STEP_MS)
    seconds = [now_ms / _MS_PER_S for now_ms in times]
    for load in _PLOTTED:
        model = played[name, load, 'outflow'][0]
        shares = [model.share_at('a', now_ms) for now_ms in times]
        axes.plot(seconds, shares, label=load)
    axes.set_title(f'{name}: share that leaves zone a', fontsize=9)
    axes.set_xlabel('s')
    axes.set_ylim(0, 1)
    axes.legend(fontsize=7)


def _draw_late(axes: typing.Any, name: str, played: Played) -> None:
    for number, policy in enumerate(_POLICIES):
        late = [_late_percent(played[name, load, policy]) for load in _PLOTTED]
        places = [number / 4, number / 4 + 1]
        axes.bar(places, late, width=0.2, label=policy)
    axes.set_xticks([0.25, 1.25], _PLOTTED, fontsize=8)
    axes.set_title('statements out of target, %', fontsize=9)
    axes.legend(fontsize=7)


def _late_percent(models: list[builders.Model]) -> float:
    in_target = [model.total.share_in_target for model in models]
    return 100 * (1 - statistics.mean(in_target))


def _print_row(title: str, models: list[builders.Model]) -> None:
    """Print a table row with the means over the seeds."""
    totals = [model.total for model in models]
    in_target = statistics.mean(total.share_in_target for total in totals)
    mean_ms = statistics.mean(total.mean_ms for total in totals)
    left = statistics.mean(total.share_left for total in totals)
    sys.stdout.write(
        f'| {title} | {in_target:.3f} | {mean_ms:.1f} | {left:.3f} |\n'
    )


if __name__ == '__main__':
    draw(print_tables())
