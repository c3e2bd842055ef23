"""Tests of what a SQL proxy imports until its listeners are open."""

import pathlib
import socket
import subprocess  # noqa: S404
import sys

import msgspec

import jacinthhaven

# Each of them takes from one to ten hundredths of the start, or imports others
# that do, and the first answer needs none of them.
_UNWANTED = frozenset(
    (
        '_hashlib',
        'asyncio',
        'dataclasses',
        'ipaddress',
        'jacinthhaven.adapters.yaml_file',
        'json',
        'multiprocessing',
        'pickle',
        'pkg_resources',
        'prometheus_client',
        'pydantic',
        'pythonjsonlogger',
        'ruamel.yaml',
        'ssl',
        'statsd',
        'subprocess',
        'tempfile',
        'typing_extensions',
        'urllib.parse',
    ),
)
# What `python -m jacinthhaven.process` does until the listeners are open.
_PROGRAM = """
import sys
from jacinthhaven.process import start
proxy = start.sql_proxy.SqlProxy(
    start.sql_settings_file.load(sys.argv[1]), sys.argv[1]
)
proxy.started(None)
assert proxy.exit_code is None
# The libraries print their components in reports of errors.
assert 'SqlProxy' in repr(proxy)
sys.stderr.write(' '.join(sys.modules))
"""


def _settings(ports: list[int]) -> dict[str, object]:
    """Return settings as the platform's template gives them, in JSON."""
    clients, health, metrics, peers = (f'127.0.0.1:{port}' for port in ports)
    return {
        'node': 'n1',
        'zone': 'a',
        'listeners': {
            'clients': clients,
            'health': health,
            'metrics': metrics,
            'peers': peers,
        },
        'store': {'address': peers},
        'promotion': {'address': peers},
        'grace_ms': 6000,
    }


def test_start_imports_nothing_that_the_first_answer_does_not_need(tmp_path):
    """Guards against an import that delays the start of all nodes at once."""
    settings = tmp_path / 'settings.yaml'
    held = [socket.create_server(('127.0.0.1', 0)) for _port in range(4)]
    ports = [listener.getsockname()[1] for listener in held]
    for listener in held:
        listener.close()
    settings.write_bytes(msgspec.json.encode(_settings(ports)))
    folders = [
        str(pathlib.Path(package.__file__).parents[1])
        for package in (jacinthhaven, msgspec)
    ]
    done = subprocess.run(  # noqa: S603
        [sys.executable, '-S', '-c', _PROGRAM, str(settings)],
        env={'PYTHONPATH': ':'.join(folders)},
        capture_output=True,
        text=True,
        check=False,
    )
    assert not done.returncode, done.stderr
    assert not _UNWANTED.intersection(done.stderr.split())
