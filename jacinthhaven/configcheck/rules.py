"""Entries without effect, and limits that contradict each other.

The rules apply to documents whose fields have the right types.
"""

import collections
import typing

import msgspec

from jacinthhaven.configcheck import fields, findings
from jacinthhaven.platform import configuration_names as names

Place = tuple[findings.Path, findings.Entry]


class Deployment(msgspec.Struct, frozen=True):
    """Facts about the deployment that a configuration does not contain.

    Attributes:
      replicas: Replicas of each service, beside its primary.
      owners: Nodes that open connections to the instances of one service.
    """

    replicas: int = 2
    # Two in each of three zones.
    owners: int = 6


def check(
    document: findings.Document, deployment: Deployment
) -> findings.Findings:
    """Find entries without effect and contradictions of limits."""
    yield from _check_routes(document)
    yield from _check_services(document, deployment)
    yield from _check_tenants(document)


def _check_routes(document: findings.Document) -> findings.Findings:
    services = {entry['name'] for entry in document['services']}
    idle_ms = fields.value(
        document.get('limits', {}), fields.LIMITS, names.TRANSACTION_IDLE_MS
    )
    yield from _find_repeated(document, 'routes', 'host')
    for path, route in places(document, 'routes'):
        if route['service'] not in services:
            yield findings.error(
                (*path, 'service'),
                f'no service has the name {route["service"]!r}',
            )
        yield from _check_route_limits(path, route, idle_ms)


def _check_route_limits(
    path: findings.Path, route: findings.Entry, idle_ms: int
) -> findings.Findings:
    timeout_ms = route[names.TIMEOUT_MS]
    target_ms = route[names.TARGET_MS]
    if target_ms > timeout_ms:
        yield findings.error(
            (*path, names.TARGET_MS),
            f'target of {target_ms} ms is above the timeout of {timeout_ms} ms',
        )
    age_ms = fields.value(route, fields.ROUTE, names.MAX_AGE_MS)
    if route[names.ROUTE_TYPE] == names.BOUNDED and not age_ms:
        yield findings.error(
            path, 'allows a staleness of 0 ms, which no replica can keep'
        )
    if 0 < idle_ms < timeout_ms:
        yield findings.warning(
            (*path, names.TIMEOUT_MS),
            f'timeout of {timeout_ms} ms is above the idle time of '
            f'transactions of {idle_ms} ms',
        )


def _check_services(
    document: findings.Document, deployment: Deployment
) -> findings.Findings:
    used = {route['service'] for route in document['routes']}
    yield from _find_repeated(document, 'services', 'name')
    for path, service in places(document, 'services'):
        if service['name'] not in used:
            yield findings.warning(path, 'no route leads to this service')
        acknowledging = fields.value(
            service, fields.SERVICE, names.ACKNOWLEDGING
        )
        if acknowledging > deployment.replicas:
            yield findings.error(
                (*path, names.ACKNOWLEDGING),
                f'{acknowledging} replicas must acknowledge, and there are '
                f'{deployment.replicas}',
            )
        limit = fields.value(service, fields.SERVICE, names.MAX_CONNECTIONS)
        if limit < deployment.owners:
            yield findings.error(
                (*path, names.MAX_CONNECTIONS),
                f'{limit} connections are fewer than the {deployment.owners} '
                'nodes that need one each',
            )


def _check_tenants(document: findings.Document) -> findings.Findings:
    tenants = document.get('tenants')
    if tenants is None:
        return
    if not tenants:
        yield findings.warning(
            ('tenants',),
            'is empty, so that only public routes can be used; without '
            'this list, callers need no key',
        )
    yield from _find_repeated(document, 'tenants', 'name')
    yield from _find_shared_keys(document)
    for path, tenant in places(document, 'tenants'):
        if not tenant[names.KEYS]:
            yield findings.warning(
                path, f'tenant {tenant["name"]!r} has no key: nobody can use it'
            )
        yield from _check_rate(path, tenant)


def _check_rate(
    path: findings.Path, tenant: findings.Entry
) -> findings.Findings:
    rate = fields.value(tenant, fields.TENANT, names.RATE_PER_S)
    burst = fields.value(tenant, fields.TENANT, 'burst')
    if rate and burst < rate:
        yield findings.warning(
            (*path, 'burst'),
            f'burst of {burst} is below the {rate} operations that one second '
            'allows',
        )
    elif burst and not rate:
        yield findings.warning(
            (*path, 'burst'), f'has no effect without {names.RATE_PER_S}'
        )


def _find_repeated(
    document: findings.Document, list_name: str, field: str
) -> findings.Findings:
    """Find entries that a later one of the same name replaces."""
    last = {
        entry[field]: path[-1] for path, entry in places(document, list_name)
    }
    for path, entry in places(document, list_name):
        name = entry[field]
        if last[name] != path[-1]:
            yield findings.error(
                path,
                f'{field} {name!r} appears again at '
                f'{list_name}[{last[name]}]: only the last one counts',
            )


def _find_shared_keys(document: findings.Document) -> findings.Findings:
    holders: dict[str, list[findings.Path]] = collections.defaultdict(list)
    for path, tenant in places(document, 'tenants'):
        for index, key in enumerate(tenant[names.KEYS]):
            holders[key].append((*path, names.KEYS, index))
    for held in holders.values():
        first = held[0]
        for second in held[1:]:
            if first[1] == second[1]:
                yield findings.warning(
                    second, 'this tenant has the same key twice'
                )
                continue
            name = document['tenants'][first[1]]['name']
            yield findings.error(
                second,
                f'tenant {name!r} has the same key: only the last counts',
            )


def places(
    document: findings.Document, list_name: str
) -> typing.Iterator[Place]:
    """Return the entries of a list with their paths."""
    for index, entry in enumerate(document.get(list_name) or ()):
        yield (list_name, index), entry
