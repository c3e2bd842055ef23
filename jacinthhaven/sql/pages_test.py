"""Tests that the documentation and the layering match the code."""

import pathlib
import re

_PACKAGE = pathlib.Path(__file__).parents[1]
_OPERATIONS_PAGE = _PACKAGE.parent / 'docs' / 'OPERATIONS.md'
_FOLDERS = ('sql', 'scheduling', 'process')
# Words of the platform's wire protocols that only the adapter may use.
_WIRE_WORDS = re.compile(
    'WAITPOS|X-Duty-Holder|X-Fence-Token|kv-txn|kv-key|kv-range|routeType'
    '|dbRole|DATAROW|INDOUBT|CONNLIMIT|MISROUTED',
)

_EVENT_CALL = re.compile(
    r'(?:journal\.write\(|DecisionLine\(|event =)\s*'
    r"('[a-z_]+'(?: if \w+ else '[a-z_]+')?)",
)


def _sources(*folders: str) -> dict[pathlib.Path, str]:
    return {
        path: path.read_text()
        for folder in folders
        for path in (_PACKAGE / folder).glob('*.py')
        if not path.name.endswith(('_test.py', 'builders.py'))
    }


def _events() -> set[str]:
    """Return the names of the log events that the code writes."""
    found: set[str] = set()
    for text in _sources(*_FOLDERS).values():
        for call in _EVENT_CALL.findall(text):
            found.update(re.findall("'([a-z_]+)'", call))
    return found


def _documented() -> set[str]:
    """Return the event names in the first column of the page's table."""
    rows = re.findall(
        r'^\| (`.*?) \|', _OPERATIONS_PAGE.read_text(), re.MULTILINE
    )
    return {name for row in rows for name in re.findall('`([a-z_]+)`', row)}


def test_every_event_is_documented():
    """Guards against log events that are missing from the documentation."""
    assert len(_events()) > 20
    assert _events() - _documented() == set()


def test_every_documented_field_is_written():
    """Guards against documented log fields that the code never writes."""
    text = ''.join(_sources(*_FOLDERS).values())
    table = _OPERATIONS_PAGE.read_text().partition('## Metrics')[0]
    rows = re.findall(r'^\| `[^|]*\|[^|]*\| ([^|]*) \|', table, re.MULTILINE)
    fields = {name for row in rows for name in re.findall('`(.*?)`', row)}
    assert len(fields) > 20
    assert {name for name in fields if f"'{name}'" not in text} == set()


def test_only_the_adapter_uses_words_of_the_wire_protocols():
    """Guards against wire protocol details outside the adapter."""
    sources = _sources(
        'sql', 'scheduling', 'process', 'decide', 'records', 'kernel'
    )
    assert [
        path for path, text in sources.items() if _WIRE_WORDS.search(text)
    ] == []
