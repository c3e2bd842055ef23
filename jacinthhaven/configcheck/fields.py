"""Fields of a configuration, and errors in their types and ranges.

The nodes stop at the first field that they cannot decode. This check goes on,
so that an operator sees all of them.
"""

import types
import typing

from jacinthhaven.configcheck import findings
from jacinthhaven.platform import configuration_names as names

# Names that are sent between processes are part of a line without spaces.
_FIRST_LETTER = '!'
_LAST_LETTER = '~'


_INTEGER = 'integer'


class Field(typing.NamedTuple):
    """One field of an entry.

    Attributes:
      kind: `text`, `name`, `integer`, `number`, `flag` or `keys`.
      default: Value if it is missing; None if it is required.
      minimum: Smallest allowed number.
      choices: Allowed texts; empty if all are.
    """

    kind: str
    default: typing.Any = None
    minimum: int = 0
    choices: tuple[str, ...] = ()


Fields = typing.Mapping[str, Field]

ROUTE: Fields = types.MappingProxyType(
    {
        'host': Field('text'),
        'service': Field('text'),
        names.ROUTE_TYPE: Field('text', choices=names.ROUTE_TYPES),
        names.TIMEOUT_MS: Field(_INTEGER, minimum=1),
        names.TARGET_MS: Field(_INTEGER, minimum=1),
        'priority': Field(_INTEGER, 0),
        names.MAX_AGE_MS: Field(_INTEGER, 0),
        'public': Field('flag', default=False),
    },
)
SERVICE: Fields = types.MappingProxyType(
    {
        'name': Field('text'),
        names.MAX_CONNECTIONS: Field(_INTEGER, 1, minimum=1),
        names.ACKNOWLEDGING: Field(_INTEGER, 0),
    },
)
TENANT: Fields = types.MappingProxyType(
    {
        'name': Field('name'),
        names.KEYS: Field('keys'),
        'priority': Field(_INTEGER, 0),
        names.RATE_PER_S: Field('number', 0),
        'burst': Field('number', 0),
    },
)
LIMITS: Fields = types.MappingProxyType(
    {names.TRANSACTION_IDLE_MS: Field(_INTEGER, 0)}
)
LISTS: typing.Mapping[str, Fields] = types.MappingProxyType(
    {'routes': ROUTE, 'services': SERVICE, 'tenants': TENANT},
)
_KNOWN = frozenset(('version', 'limits', *LISTS))
# The nodes ask for no keys without this list.
_OPTIONAL = 'tenants'


def check(document: typing.Any) -> findings.Findings:
    """Find fields that are missing, unknown, or of a wrong type or range."""
    if not isinstance(document, dict):
        yield findings.error((), 'must be an object')
        return
    for name in document:
        if name not in _KNOWN:
            yield findings.warning((name,), 'unknown field, which is ignored')
    yield from _check_field(('version',), Field(_INTEGER), document)
    yield from _check_entry(('limits',), LIMITS, document.get('limits', {}))
    for list_name, fields in LISTS.items():
        yield from _check_list(list_name, fields, document)


def value(entry: findings.Entry, fields: Fields, name: str) -> typing.Any:
    """Return the value of a field, or its default if it is missing."""
    return entry.get(name, fields[name].default)


def _check_list(
    name: str, fields: Fields, document: findings.Document
) -> findings.Findings:
    entries = document.get(name)
    if isinstance(entries, list):
        for index, entry in enumerate(entries):
            yield from _check_entry((name, index), fields, entry)
    elif name in document and (entries is not None or name != _OPTIONAL):
        yield findings.error((name,), 'must be a list')
    elif name != _OPTIONAL:
        yield findings.error((name,), 'is missing')


def _check_entry(
    path: findings.Path, fields: Fields, entry: typing.Any
) -> findings.Findings:
    if not isinstance(entry, dict):
        yield findings.error(path, 'must be an object')
        return
    for name in entry:
        if name not in fields:
            yield findings.warning(
                (*path, name), 'unknown field, which is ignored'
            )
    for field_name, field in fields.items():
        yield from _check_field((*path, field_name), field, entry)


def _check_field(
    path: findings.Path, field: Field, entry: findings.Entry
) -> findings.Findings:
    if path[-1] in entry:
        yield from _check_value(path, field, entry)
    elif field.default is None:
        yield findings.error(path, 'is missing')


def _check_value(
    path: findings.Path, field: Field, entry: findings.Entry
) -> findings.Findings:
    found = entry[path[-1]]
    if field.kind == 'keys':
        yield from _check_keys(path, found)
        return
    wrong = _CHECKS[field.kind](found)
    if wrong:
        yield findings.error(path, wrong)
    elif field.choices and found not in field.choices:
        choices = ', '.join(field.choices)
        yield findings.error(path, f'{found!r} is none of {choices}')
    elif field.kind in _NUMBERS and found < field.minimum:
        yield findings.error(
            path, f'{found} is below the minimum of {field.minimum}'
        )


def _check_keys(path: findings.Path, keys: typing.Any) -> findings.Findings:
    if not isinstance(keys, list):
        yield findings.error(path, 'must be a list')
        return
    for index, key in enumerate(keys):
        if not isinstance(key, str):
            yield findings.error((*path, index), 'must be a text')
        elif not key:
            yield findings.error(
                (*path, index),
                'is empty, and the nodes ignore it',
            )


def _check_text(found: typing.Any) -> str:
    return '' if isinstance(found, str) else 'must be a text'


def _check_name(found: typing.Any) -> str:
    if not isinstance(found, str):
        return 'must be a text'
    if found and all(_FIRST_LETTER <= let <= _LAST_LETTER for let in found):
        return ''
    return f'{found!r} is empty or has spaces or letters that are not ASCII'


def _check_number(found: typing.Any) -> str:
    usable = isinstance(found, (int, float)) and not isinstance(found, bool)
    return '' if usable else 'must be a number'


def _check_integer(found: typing.Any) -> str:
    # Like the nodes, this accepts 1.0 for 1.
    if _check_number(found) or found != int(found):
        return 'must be an integer'
    return ''


def _check_flag(found: typing.Any) -> str:
    return '' if isinstance(found, bool) else 'must be true or false'


_NUMBERS = frozenset((_INTEGER, 'number'))
_CHECKS: typing.Mapping[str, typing.Callable[[typing.Any], str]] = (
    types.MappingProxyType(
        {
            'text': _check_text,
            'name': _check_name,
            _INTEGER: _check_integer,
            'number': _check_number,
            'flag': _check_flag,
        },
    )
)
