"""Tests that the example files are valid and match the deployments."""

import pathlib

import pytest

from jacinthhaven.adapters import (
    config_file,
    settings_file,
    sql_settings_file,
)
from jacinthhaven.lab import experiment, experiment_file
from jacinthhaven.records import presets, settings, sql_settings

EXAMPLES = pathlib.Path(__file__).parents[2] / 'examples'
DEPLOYMENTS = (('exchange', 20), ('brightline', 40))


def test_all_examples_are_checked():
    """Guards against an example file that no test checks."""
    checked = [
        f'{cluster}{suffix}'
        for cluster, _limit in DEPLOYMENTS
        for suffix in ('.yaml', '-config.yaml')
    ]
    experiments = ['lab-exchange.yaml', 'lab-brightline.yaml']
    names = sorted(path.name for path in EXAMPLES.iterdir())
    assert names == sorted([*checked, *experiments, 'sql-proxy.yaml'])


@pytest.mark.parametrize('cluster', ['exchange', 'brightline'])
def test_experiments_are_valid(cluster):
    """Guards against an example experiment that cannot be run."""
    loaded = experiment_file.load(str(EXAMPLES / f'lab-{cluster}.yaml'))
    assert isinstance(loaded, experiment.Experiment), loaded


def test_settings_of_a_sql_proxy():
    """Guards against example settings that no proxy starts with."""
    loaded = sql_settings_file.load(str(EXAMPLES / 'sql-proxy.yaml'))
    assert isinstance(loaded, sql_settings.SqlSettings), loaded


@pytest.mark.parametrize(('cluster', 'limit'), DEPLOYMENTS)
def test_settings_match_the_deployment(cluster, limit):
    """Guards against invalid example settings or a wrong deployment."""
    name = str(EXAMPLES / f'{cluster}.yaml')
    loaded = settings_file.load(name, check_files=False)
    assert isinstance(loaded, settings.Settings), loaded
    group = loaded.groups[0]
    assert len({instance.zone for instance in group.instances}) == 3
    assert (len(group.databases), group.connection_limit) == (3, limit)
    assert len(loaded.seeds) == 7


@pytest.mark.parametrize(('cluster', 'limit'), DEPLOYMENTS)
def test_presets_match_the_deployment(cluster, limit):
    """Guards against example presets with errors or unknown instances."""
    loaded = config_file.load(str(EXAMPLES / f'{cluster}-config.yaml'))
    assert isinstance(loaded, presets.Configuration), loaded
    assert set(loaded.presets) == {'ordinary', 'peak', 'maintenance'}
    node = settings_file.load(str(EXAMPLES / f'{cluster}.yaml'), False)
    known = {instance.name for instance in node.groups[0].instances}
    for preset in loaded.presets.values():
        assert known.issuperset(preset.excluded_instances)
        assert preset.suspect_ms > node.status_wait_ms
