"""Tests of the settings file reader and of the checks of settings."""

import pytest

from jacinthhaven.adapters import settings_file, text_file
from jacinthhaven.records import settings, topology

VALID = """
cluster: exchange
cluster_key_file: cluster.key
node: macon-1
region: ga-middle
zone: macon
listeners:
  caller: {host: 0.0.0.0, port: 8080}
  peer: {host: 10.0.0.1, port: 8081}
  operator: {host: 127.0.0.1, port: 8082, key_file: operator.key}
store:
  endpoints:
    - {host: 10.0.9.1, port: 2379}
vm_list: {host: 10.0.9.2, port: 8090}
seeds:
  - {name: n2, host: 10.0.0.2, port: 8081, zone: macon}
groups:
  - name: exchange-db
    connection_limit: 20
    databases: [lots, bids]
    instances:
      - {name: db-1, host: 10.0.1.1, port: 9000, zone: macon}
      - {name: db-2, host: 10.0.1.2, port: 9000, zone: dublin}
"""


def _errors(text, folder='/nowhere', check_files=False):
    loaded = settings_file.parse_settings(text, folder, check_files)
    assert isinstance(loaded, list), 'the settings were accepted'
    return [(error.line, error.path) for error in loaded]


def test_valid_settings_become_records(tmp_path):
    """Guards against rejecting a valid file or losing its values."""
    (tmp_path / 'cluster.key').write_text('k' * 32)
    (tmp_path / 'operator.key').write_text('o' * 32)
    name = tmp_path / 'proxy.yaml'
    name.write_text(VALID)
    loaded = settings_file.load(str(name))
    assert isinstance(loaded, settings.Settings), loaded
    assert loaded.cluster_key_file == str(tmp_path / 'cluster.key')
    assert loaded.freshness_ms == 5000
    group = settings.group_records(loaded)[0]
    assert group.instances[1] == topology.Instance(
        'db-2', '10.0.1.2', 9000, 'dublin'
    )
    assert (group.owners, group.databases) == (3, ('lots', 'bids'))
    member = settings.member_record(loaded, 'b1')
    assert (member.host, member.port, member.zone) == (
        '10.0.0.1',
        8081,
        'macon',
    )


def test_all_errors_are_reported_with_their_lines():
    """Guards against a reader that stops at the first error."""
    broken = (
        VALID.replace('zone: macon\nlis', 'zone: Macon!\nlis')
        .replace('port: 8080', 'port: "8080"')
        .replace('10.0.9.2', 'vms.example')
        .replace('connection_limit: 20', 'conection_limit: 20')
    )
    assert _errors(broken) == [
        (6, 'zone'),
        (8, 'listeners.caller.port'),
        (14, 'vm_list.host'),
        (18, 'groups[0].connection_limit'),
        (19, 'groups[0].conection_limit'),
    ]


@pytest.mark.parametrize(
    ('old', 'new', 'line', 'path'),
    [
        ('[lots, bids]', '[lots, lots]', 20, 'groups[0].databases[1]'),
        ('db-2', 'db-1', 23, 'groups[0].instances[1]'),
        ('10.0.1.2', '10.0.1.1', 23, 'groups[0].instances[1]'),
        ('limit: 20', 'limit: 5', 18, 'groups[0].owners'),
        ('10.0.0.2, port', '10.0.0.1, port', 16, 'seeds[0]'),
        ('port: 8082', 'port: 8081', 10, 'listeners.operator.port'),
        ('host: 10.0.0.1,', 'host: 0.0.0.0,', 9, 'listeners.peer.host'),
        ('zone: dublin', 'zone: Dublin', 23, 'groups[0].instances[1].zone'),
    ],
)
def test_values_are_checked_against_each_other(old, new, line, path):
    """Guards against accepting settings that contradict each other."""
    assert _errors(VALID.replace(old, new)) == [(line, path)]


def test_store_timeout_fits_the_lease():
    """Guards against a lease that expires while one renewal is pending."""
    text = VALID.replace('store:\n', 'store:\n  call_timeout_ms: 5000\n')
    assert _errors(text) == [(2, 'lease_ttl_floor_ms')]


def test_named_files_must_be_readable(tmp_path):
    """Guards against a check that accepts unusable key files."""
    (tmp_path / 'cluster.key').write_text('short')
    assert _errors(VALID, str(tmp_path), check_files=True) == [
        (3, 'cluster_key_file'),
        (10, 'listeners.operator.key_file'),
    ]


def test_unreadable_file_raises_typed_error(tmp_path):
    """Guards against an OSError or decoding error that reaches the user."""
    binary = tmp_path / 'binary.yaml'
    binary.write_bytes(b'\xff\xfe\x00')
    for name in (str(tmp_path), str(tmp_path / 'none'), str(binary)):
        with pytest.raises(text_file.UnreadableFileError) as caught:
            settings_file.load(name)
        assert caught.value.name == name
