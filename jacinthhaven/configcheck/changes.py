"""Differences between a configuration and the one in force."""

import typing

from jacinthhaven.configcheck import fields, findings, rules
from jacinthhaven.platform import configuration_names as names

# Field that identifies the entries of each list.
_NAMES = (('routes', 'host'), ('services', 'name'), ('tenants', 'name'))
_KEYS = names.KEYS


def compare(
    document: findings.Document, in_force: findings.Document
) -> findings.Findings:
    """Find what differs; both documents have fields of the right types."""
    yield from _compare_versions(document['version'], in_force['version'])
    yield from _compare_limits(document, in_force)
    yield from _compare_tenancy(document, in_force)
    for list_name, field in _NAMES:
        yield from _compare_lists(list_name, field, document, in_force)
    yield from _find_moved_keys(document, in_force)


def _compare_versions(version: int, known: int) -> findings.Findings:
    if version > known:
        yield findings.change(('version',), f'{known} becomes {version}')
    else:
        yield findings.error(
            ('version',),
            f'{version} is not newer than {known} in force: the nodes ignore it',
        )


def _compare_limits(
    document: findings.Document, in_force: findings.Document
) -> findings.Findings:
    yield from _compare_entries(
        ('limits',),
        fields.LIMITS,
        document.get('limits', {}),
        in_force.get('limits', {}),
    )


def _compare_tenancy(
    document: findings.Document, in_force: findings.Document
) -> findings.Findings:
    """Find whether callers begin or cease to need keys."""
    needed, known = (
        found.get('tenants') is not None for found in (document, in_force)
    )
    if needed == known:
        return
    text = 'callers need keys' if needed else 'callers need no keys any more'
    yield findings.change(('tenants',), text)


def _compare_lists(
    list_name: str,
    field: str,
    document: findings.Document,
    in_force: findings.Document,
) -> findings.Findings:
    known = _by_name(in_force, list_name, field)
    wanted = _by_name(document, list_name, field)
    for removed in sorted(known.keys() - wanted.keys()):
        yield findings.change((list_name,), f'{removed!r} is removed')
    for name, (path, entry) in wanted.items():
        previous = known.get(name)
        if previous is None:
            yield findings.change(path, f'{name!r} is new')
        else:
            yield from _compare_entries(
                path, fields.LISTS[list_name], entry, previous[1]
            )


def _compare_entries(
    path: findings.Path,
    known_fields: fields.Fields,
    entry: findings.Entry,
    known: findings.Entry,
) -> findings.Findings:
    for field in known_fields:
        before = fields.value(known, known_fields, field)
        after = fields.value(entry, known_fields, field)
        if field == _KEYS:
            yield from _compare_keys((*path, field), set(after), set(before))
        elif before != after:
            yield findings.change(
                (*path, field), f'{before!r} becomes {after!r}'
            )


def _compare_keys(
    path: findings.Path, keys: set[str], known: set[str]
) -> findings.Findings:
    added = len(keys - known)
    removed = len(known - keys)
    if added or removed:
        yield findings.change(path, f'{added} added, {removed} removed')


def _find_moved_keys(
    document: findings.Document, in_force: findings.Document
) -> findings.Findings:
    """Find keys that were held by another tenant."""
    known = {
        key: tenant['name']
        for _path, tenant in rules.places(in_force, 'tenants')
        for key in tenant[_KEYS]
    }
    for path, tenant in rules.places(document, 'tenants'):
        for index, key in enumerate(tenant[_KEYS]):
            previous = known.get(key, tenant['name'])
            if previous != tenant['name']:
                yield findings.change(
                    (*path, _KEYS, index),
                    f'this key was held by tenant {previous!r}',
                )


def _by_name(
    document: findings.Document, list_name: str, field: str
) -> dict[str, typing.Any]:
    """Return the entries that count, with their paths, by name."""
    return {
        entry[field]: (path, entry)
        for path, entry in rules.places(document, list_name)
    }
