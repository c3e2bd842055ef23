"""Test data: a configuration without findings, and variants of it."""

import typing

from jacinthhaven.configcheck import findings, report, rules
from jacinthhaven.platform import configuration_names as names

DEPLOYMENT = rules.Deployment()


def route(**changes: typing.Any) -> findings.Entry:
    """Return a route of the only service."""
    fields = {
        'host': 'lookup',
        'service': 's0',
        names.ROUTE_TYPE: names.BOUNDED,
        names.TIMEOUT_MS: 3000,
        names.TARGET_MS: 1500,
        names.MAX_AGE_MS: 2000,
    }
    return fields | changes


def service(**changes: typing.Any) -> findings.Entry:
    """Return the only service."""
    return {
        'name': 's0',
        names.MAX_CONNECTIONS: 72,
        names.ACKNOWLEDGING: 2,
    } | changes


def tenant(**changes: typing.Any) -> findings.Entry:
    """Return a tenant with one key."""
    fields = {
        'name': 't0',
        names.KEYS: ['secret-0'],
        names.RATE_PER_S: 5,
        'burst': 9,
    }
    return fields | changes


def configuration(**changes: typing.Any) -> findings.Document:
    """Return a configuration."""
    fields = {
        'version': 3,
        'routes': [route()],
        'services': [service()],
        'limits': {names.TRANSACTION_IDLE_MS: 5000},
        'tenants': [tenant()],
    }
    return fields | changes


def found(
    in_force: typing.Any = None, **changes: typing.Any
) -> list[tuple[str, str]]:
    """Return level and path of the findings about a changed configuration."""
    checked = report.check(configuration(**changes), DEPLOYMENT, in_force)
    return [
        (finding.level.value, '.'.join(map(str, finding.path)))
        for finding in checked
    ]
