"""Tests of the check of a whole configuration."""

import json
import random

import pytest

from jacinthhaven.configcheck import builders, report
from jacinthhaven.platform import document_builders, documents

_ROUTE = builders.route()
_SERVICE = builders.service()
_TENANT = builders.tenant()


def test_usual_configuration_has_no_findings():
    """Guards against warnings that operators learn to ignore."""
    assert not builders.found()
    assert not builders.found(tenants=None)
    assert not builders.found(limits={})


@pytest.mark.parametrize(
    ('changes', 'expected'),
    [
        ({'routes': [_ROUTE, _ROUTE]}, ('error', 'routes.0')),
        ({'services': [_SERVICE, _SERVICE]}, ('error', 'services.0')),
        ({'tenants': []}, ('warning', 'tenants')),
        (
            {'routes': [_ROUTE, builders.route(host='x', service='s1')]},
            ('error', 'routes.1.service'),
        ),
        (
            {'services': [_SERVICE, builders.service(name='s1')]},
            ('warning', 'services.1'),
        ),
        (
            {'routes': [builders.route(targetLatencyMs=3001)]},
            ('error', 'routes.0.targetLatencyMs'),
        ),
        (
            {'routes': [builders.route(maxStalenessMs=0)]},
            ('error', 'routes.0'),
        ),
        ({'limits': {'txIdleMs': 2999}}, ('warning', 'routes.0.timeoutMs')),
        (
            {'services': [builders.service(syncReplicas=3)]},
            ('error', 'services.0.syncReplicas'),
        ),
        (
            {'services': [builders.service(maxConnections=5)]},
            ('error', 'services.0.maxConnections'),
        ),
        (
            {'tenants': [_TENANT, builders.tenant(name='t1')]},
            ('error', 'tenants.1.apiKeys.0'),
        ),
        (
            {'tenants': [builders.tenant(apiKeys=[])]},
            ('warning', 'tenants.0'),
        ),
        (
            {'tenants': [builders.tenant(burst=4)]},
            ('warning', 'tenants.0.burst'),
        ),
        (
            {'tenants': [builders.tenant(apiKeys=[''])]},
            ('error', 'tenants.0.apiKeys.0'),
        ),
        (
            {'routes': [builders.route(timeoutMS=1)]},
            ('warning', 'routes.0.timeoutMS'),
        ),
    ],
)
def test_each_fault_is_found_once_at_its_place(changes, expected):
    """Guards against faults that are found too late, or reported elsewhere."""
    assert builders.found(**changes) == [expected]


def test_differences_name_what_changes_and_count_the_keys():
    """Guards against changes that an operator does not see."""
    moved = builders.tenant(name='t1', apiKeys=['secret-0', 'secret-1'])
    changed = builders.configuration(
        version=4,
        routes=[builders.route(timeoutMs=4000), builders.route(host='new')],
        tenants=[moved],
    )
    found = report.check(changed, builders.DEPLOYMENT, builders.configuration())
    assert {finding.message for finding in found} == {
        '3 becomes 4',
        '3000 becomes 4000',
        "'new' is new",
        "'t0' is removed",
        "'t1' is new",
        "this key was held by tenant 't0'",
    }
    found = report.check(
        builders.configuration(
            version=4, tenants=[builders.tenant(apiKeys=['secret-2'])]
        ),
        builders.DEPLOYMENT,
        builders.configuration(),
    )
    assert found[-1].message == '1 added, 1 removed'


def test_version_that_is_not_newer_is_an_error():
    """Guards against sending a version that all nodes ignore."""
    known = builders.configuration()
    assert builders.found(known) == [('error', 'version')]


def test_what_the_nodes_cannot_decode_is_an_error():
    """Guards against accepting a configuration that never comes into force."""
    rng = random.Random(1)
    refused = 0
    for _ in range(3000):
        document = builders.configuration()
        target = rng.choice(
            (document, document['routes'], document['services'])
        )
        entry = target[0] if isinstance(target, list) else target
        text = document_builders.mutate(json.dumps(entry), rng)
        try:
            entry_read = json.loads(text)
        except ValueError:
            continue
        if target is document:
            document = entry_read
        else:
            target[0] = entry_read
        try:
            documents.decode_configuration(json.dumps(document))
        except documents.MALFORMED:
            refused += 1
            found = report.check(document, builders.DEPLOYMENT)
            assert report.has_errors(found), text
    assert refused > 300
