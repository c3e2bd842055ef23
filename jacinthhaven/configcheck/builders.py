"""Test data: a configuration without findings, and variants of it."""

import typing

from jacinthhaven.configcheck import findings, report, rules

DEPLOYMENT = rules.Deployment()


def route(**changes: typing.Any) -> findings.Entry:
    """Return a route of the only service."""
    fields = {
        'host': 'lookup',
        'service': 's0',
        'routeType': 'bounded_staleness',
        'timeoutMs': 3000,
        'targetLatencyMs': 1500,
        'maxStalenessMs': 2000,
    }
    return fields | changes


def service(**changes: typing.Any) -> findings.Entry:
    """Return the only service."""
    return {'name': 's0', 'maxConnections': 72, 'syncReplicas': 2} | changes


def tenant(**changes: typing.Any) -> findings.Entry:
    """Return a tenant with one key."""
    fields = {'name': 't0', 'apiKeys': ['secret-0'], 'ratePerS': 5, 'burst': 9}
    return fields | changes


def configuration(**changes: typing.Any) -> findings.Document:
    """Return a configuration."""
    fields = {
        'version': 3,
        'routes': [route()],
        'services': [service()],
        'limits': {'txIdleMs': 5000},
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
