"""Tests of the settings of a SQL session proxy."""

import pathlib
import types

from jacinthhaven.adapters import sql_settings_file, yaml_file
from jacinthhaven.records import sql_settings

_TEMPLATE = pathlib.Path(__file__).parents[1] / 'platform' / 'settings.yaml'
_PLACEHOLDERS = types.MappingProxyType(
    {
        '{{node|json}}': '"front-a-1"',
        '{{zone|json}}': '"a"',
        '{{listenAddrs.front|json}}': '"127.0.0.1:9101"',
        '{{listenAddrs.ready|json}}': '"127.0.0.1:9102"',
        '{{ip}}': '127.0.0.1',
        '{{internalPorts.0}}': '7440',
        '{{internalPorts.1}}': '7455',
        '{{platform.address|json}}': '"127.0.0.1:9105"',
        '{{bounds.contactMs|json}}': '4000',
        '{{bounds.configApplyMs|json}}': '3000',
        '{{bounds.graceS}}': '6',
        '{{bootstrap|json}}': 'true',
        '{{bounds.fencingRequired|json}}': 'true',
        '{{cloudApi.address|json}}': '"127.0.0.1:9106"',
        '{{limits.cpuShare|json}}': '0.537',
        '{{limits.cores|json}}': '2',
        '{{#bounds.quotaWindowS}}': '',
        '{{/bounds.quotaWindowS}}': '',
        '"window_ms": {{.}}000': '"window_ms": 7000',
        '{{bounds.quotaOverage|json}}': '0.2',
        '{{bounds.quotaSlack|json}}': '30',
        '{{limits.memoryMb|json}}': '152',
        '{{limits.maxFds|json}}': '1605',
        '{{#seeds}}{{.|json}}{{,}}{{/seeds}}': (
            '"127.0.0.1:9107", "127.0.0.2:9107"'
        ),
    }
)


def _render_template() -> str:
    text = _TEMPLATE.read_text()
    for placeholder, replacement in _PLACEHOLDERS.items():
        text = text.replace(placeholder, replacement)
    return text


def _load(text: str) -> sql_settings_file.Loaded:
    return sql_settings_file.validate(yaml_file.parse(text))


def test_filled_template_is_valid():
    """Guards against a template that no process can start with."""
    loaded = _load(_render_template())
    assert isinstance(loaded, sql_settings.SqlSettings)
    assert loaded.listeners.clients.pair == ('127.0.0.1', 9101)
    assert loaded.listeners.peers.pair == ('127.0.0.1', 7455)
    assert loaded.grace_ms == 6000
    assert loaded.store.apply_within_ms == 3000
    assert loaded.processor.capacity == 0.537 * 2
    assert loaded.quotas == sql_settings.Quotas(7000, 0.2, 30)
    assert loaded.zones.leaving_cost_ms == 2
    assert (loaded.limits.memory_mb, loaded.limits.max_fds) == (152, 1605)
    assert loaded.seed_nodes == (('127.0.0.2', 7455),)


def test_template_has_no_unknown_placeholder():
    """Guards against a placeholder that this test does not fill."""
    assert '{{' not in _render_template()


def test_all_errors_are_reported_with_their_lines():
    """Guards against reporting only the first error of a file."""
    text = (
        _render_template().replace(':9101', ':x').replace('grace_ms', 'grace')
    )
    text = text.replace('4000', '1')
    errors = _load(text)
    assert [error.path for error in errors] == [
        'grace_ms',
        'listeners.clients',
        'store.watch_wait_ms',
        'grace',
    ]
    assert errors[1].line == 5


def test_equal_settings_compare_equal():
    """Guards against a reload that always asks for a restart."""
    assert _load(_render_template()) == _load(_render_template())


def test_price_of_leaving_the_zone_is_checked():
    """Guards against a price that would attract traffic to other zones."""
    head, _, _end = _render_template().rpartition('}')
    loaded = _load(f'{head}, "zones": {{"leaving_cost_ms": 7}}}}')
    assert loaded.zones.leaving_cost_ms == 7
    errors = _load(f'{head}, "zones": {{"leaving_cost_ms": -1}}}}')
    assert isinstance(errors, list)
