"""Tests of the command line against a scripted operator endpoint."""

import json
import pathlib
import socket
import subprocess  # noqa: S404
import sys
import threading
import types
from http import server as http_server

import pytest
from typer import testing

from jacinthhaven.cli import main, operator_client

KEY = 'operator-key-with-32-characters-'
EXAMPLES = pathlib.Path(__file__).parents[2] / 'examples'
LOSE = 'lose the answer'


class Endpoint(http_server.ThreadingHTTPServer):
    """Operator endpoint that answers changes by script.

    A script entry is a status and a document, or `LOSE`, which applies the
    change and closes the connection without an answer.
    """

    def __init__(self):
        super().__init__(('127.0.0.1', 0), Handler)
        self.script = []
        self.requests = []
        self.view = {
            'revision': 7,
            'in_force': 'peak',
            'preset_change_id': 'p',
            'config_change_id': 'c',
            'presets': {'ordinary': {}, 'peak': {'queue_limit': 300}},
        }


class Handler(http_server.BaseHTTPRequestHandler):
    """Handler of one request."""

    def do_GET(self):
        if self.headers['Authorization'] != f'Bearer {KEY}':
            self._answer(401, {'error': 'unauthorized', 'detail': 'wrong key'})
            return
        self._answer(200, self.server.view)

    def do_POST(self):
        body = self.rfile.read(int(self.headers['Content-Length']))
        document = json.loads(body)
        self.server.requests.append((self.path, document))
        step = self.server.script.pop(0)
        if step == LOSE:
            field = operator_client.CHANGE_ID_FIELDS.get(self.path)
            self.server.view[field] = document.get('change_id')
            self.close_connection = True
            return
        self._answer(*step)

    def log_message(self, *_args):
        """Print nothing."""

    def _answer(self, status, document):
        body = document if isinstance(document, bytes) else None
        body = body or json.dumps(document).encode()
        self.send_response(status)
        self.send_header('Content-Length', str(len(body)))
        self.end_headers()
        self.wfile.write(body)


@pytest.fixture(name='endpoint')
def _endpoint():
    with Endpoint() as server:
        thread = threading.Thread(target=server.serve_forever, args=(0.01,))
        thread.start()
        yield server
        server.shutdown()
        thread.join()


@pytest.fixture(name='key_file')
def _key_file(tmp_path):
    key_file = tmp_path / 'operator.key'
    key_file.write_text(f'{KEY}\n')
    return key_file


@pytest.fixture(name='run')
def _run(endpoint, key_file):
    def run(*arguments, port=endpoint.server_port, timeout_s=5):
        return _invoke(
            *arguments,
            f'--address=127.0.0.1:{port}',
            f'--key-file={key_file}',
            f'--timeout={timeout_s}',
        )

    return run


def _invoke(*arguments):
    return testing.CliRunner().invoke(main.app, arguments)


def test_presets_are_listed_and_shown(run):
    """Guards against a list that marks the wrong preset or no revision."""
    listed = run('preset', 'list')
    assert listed.stdout == 'revision 7\n  ordinary\n* peak\n'
    assert 'queue_limit: 300' in run('preset', 'show').stdout
    assert run('preset', 'show', 'none').exit_code == 1


def test_shown_configuration_can_be_applied(run, endpoint, tmp_path):
    """Guards against a shown document that `config apply` refuses."""
    endpoint.script = [(200, {'revision': 8, 'in_force': True})]
    shown = tmp_path / 'shown.yaml'
    shown.write_text(run('config', 'show').stdout)
    applied = run('config', 'apply', str(shown), '--expect=7')
    assert applied.exit_code == 0, applied.output
    path, sent = endpoint.requests[0]
    assert (path, sent['expect']) == ('/v1/config', 7)
    assert sent['document']['presets']['peak']['queue_limit'] == 300
    assert 'change_id' not in sent['document']


def test_invalid_document_is_not_sent(run, endpoint, tmp_path):
    """Guards against a document with errors that reaches the proxy."""
    document = tmp_path / 'config.yaml'
    document.write_text('presets:\n  peak:\n    queue_limit: 0\n    a: 1\n')
    refused = run('config', 'apply', str(document), '--expect=7')
    assert refused.exit_code == 1
    assert f'{document}:3:5: presets.peak.queue_limit' in refused.stderr
    assert f'{document}:4:5: presets.peak.a' in refused.stderr
    assert not endpoint.requests


def test_switch_expects_the_revision_it_read(run, endpoint):
    """Guards against a switch that ignores a concurrent change."""
    endpoint.script = [(200, {'revision': 8, 'in_force': True})]
    switched = run('preset', 'switch', 'ordinary')
    assert switched.exit_code == 0
    assert 'In force on all nodes' in switched.stdout
    assert endpoint.requests[0][1]['expect'] == 7


def test_conflict_is_refused_with_the_revision(run, endpoint):
    """Guards against a lost race that looks like a success."""
    endpoint.script = [
        (409, {'error': 'conflict', 'detail': 'changed', 'revision': 9}),
    ]
    raced = run('preset', 'switch', 'ordinary', '--expect=7', '--json')
    assert raced.exit_code == 1
    shown = json.loads(raced.stdout)
    assert (shown['error'], shown['revision']) == ('conflict', 9)


def test_lost_answer_is_read_back(run, endpoint):
    """Guards against a change reported as failed although it is in force."""
    endpoint.script = [LOSE]
    switched = run('preset', 'switch', 'ordinary', '--expect=7')
    assert switched.exit_code == 0, switched.output
    assert 'read back' in switched.stdout
    assert len(endpoint.requests) == 1


@pytest.mark.parametrize(
    'answer',
    [
        (503, {'error': 'store_unavailable', 'detail': 'no answer'}),
        (504, {'error': 'unconfirmed', 'detail': 'no answer'}),
        (500, b'<html>'),
        (200, b'{"revision": '),
    ],
)
def test_change_without_proof_is_unknown(run, endpoint, answer):
    """Guards against a definite exit code where nothing is proved."""
    endpoint.script = [answer]
    switched = run('preset', 'switch', 'ordinary', '--expect=7', timeout_s=1)
    assert switched.exit_code == 4
    assert endpoint.requests[0][1]['change_id'] in switched.stderr


def test_interrupted_change_is_unknown(run, monkeypatch):
    """Guards against an interrupt that is reported as a refusal."""

    def interrupt(*_request):
        raise KeyboardInterrupt

    monkeypatch.setattr(operator_client, '_exchange', interrupt)
    assert run('preset', 'switch', 'ordinary', '--expect=7').exit_code == 4


def test_lost_answer_to_drain_is_unknown(run, endpoint):
    """Guards against a drain that is reported as not started."""
    endpoint.script = [LOSE, (200, {'draining': True})]
    assert run('drain').exit_code == 4
    assert run('drain').exit_code == 0


def test_unreachable_proxy_changes_nothing(run):
    """Guards against an unknown outcome for a change that was not sent."""
    with socket.create_server(('127.0.0.1', 0)) as unused:
        port = unused.getsockname()[1]
    assert run('preset', 'list', port=port).exit_code == 3
    assert run('preset', 'switch', 'x', '--expect=7', port=port).exit_code == 3


def test_silent_proxy_is_unreachable_for_reads(run):
    """Guards against a command that waits for ever."""
    with socket.create_server(('127.0.0.1', 0)) as silent:
        port = silent.getsockname()[1]
        assert run('status', port=port, timeout_s=0.4).exit_code == 3


def test_wrong_key_is_refused(run, key_file):
    """Guards against a key that is not sent or not checked."""
    key_file.write_text('another-key-with-32-characters--')
    refused = run('status')
    assert (refused.exit_code, refused.stderr) == (
        1,
        'error: unauthorized: wrong key\n',
    )


@pytest.mark.parametrize(
    'arguments',
    [
        ('status',),
        ('status', '--address=127.0.0.1:1', '--key-file=/no/such/file'),
        ('status', '--address=127.0.0.1:1', f'--key-file={__file__}'),
        ('config', 'apply', '/no/such/file'),
        ('check', '/no/such/file'),
        ('proxy', '--settings=/no/such/file'),
    ],
)
def test_wrong_usage_and_unreadable_files(arguments):
    """Guards against a wrong exit code for input that was never used."""
    assert _invoke(*arguments).exit_code == 2


@pytest.mark.parametrize('port', ['', 'x', 70000])
def test_malformed_address_is_wrong_usage(run, port):
    """Guards against a traceback for a mistyped address."""
    refused = run('status', port=port)
    assert refused.exit_code == 2
    assert 'not of the form HOST:PORT' in refused.stderr


def test_check_reports_every_line(tmp_path):
    """Guards against a check that misses errors or file kinds."""
    examples = sorted(str(path) for path in EXAMPLES.iterdir())
    assert _invoke('check', '--skip-files', *examples).exit_code == 0
    text = (EXAMPLES / 'exchange.yaml').read_text()
    broken = tmp_path / 'broken.yaml'
    broken.write_text(text.replace('node:', 'nod:'))
    result = _invoke('check', '--skip-files', str(broken), '--json')
    assert result.exit_code == 1
    assert {error['path'] for error in json.loads(result.stdout)['errors']} == {
        'nod',
        'node',
    }
    both = _invoke('check', '--skip-files', str(broken), '/no/such/file')
    assert both.exit_code == 2
    assert f'{broken}:13:1: nod: unknown key\n' in both.stdout


def test_proxy_runs_with_loaded_settings(tmp_path, monkeypatch):
    """Guards against a start with invalid settings or a lost exit code."""
    started = []
    module = types.ModuleType('application')
    module.run = lambda loaded: started.append(loaded.node) or 5
    name = 'jacinthhaven.process.application'
    monkeypatch.setitem(sys.modules, name, module)
    text = (EXAMPLES / 'exchange.yaml').read_text()
    settings_file = tmp_path / 'proxy.yaml'
    settings_file.write_text(text.replace('/etc/jacinthhaven/', ''))
    assert _invoke('proxy', f'--settings={settings_file}').exit_code == 1
    for key in ('cluster.key', 'operator.key'):
        (tmp_path / key).write_text(KEY)
    assert _invoke('proxy', f'--settings={settings_file}').exit_code == 5
    assert started == ['exchange-macon-1']


def test_operator_commands_import_little():
    """Guards against operator commands that start as slowly as a proxy."""
    program = (
        'import sys, jacinthhaven.cli.main\n'
        'slow = {"pydantic", "circuits", "capnp", "statsd"}\n'
        'print(slow & set(sys.modules))\n'
    )
    finished = subprocess.run(  # noqa: S603
        [sys.executable, '-c', program],
        check=False,
        capture_output=True,
        text=True,
    )
    assert finished.stdout == 'set()\n'


def test_version_is_printed():
    """Guards against a package without its metadata."""
    assert _invoke('--version').stdout.startswith('jacinthhaven ')


_LAB = """name: short
seeds: [1]
length_ms: 1000
group: {instances: [db-a], slots: 3, connections: 9}
load:
  settlement:
    mode: primary
    per_s: 20
    work_ms: 5
    target_ms: 200
    deadline_ms: 1000
variants:
  today: {}
  narrow: {statements_per_slot: 1}
"""


def test_experiment_is_compared_and_reported(tmp_path):
    """Guards against results that cannot be read again."""
    name = tmp_path / 'lab.yaml'
    name.write_text(_LAB)
    out = tmp_path / 'out.jsonl'
    runner = testing.CliRunner()
    found = runner.invoke(
        main.app, ['lab', 'compare', str(name), '--out', str(out)]
    )
    assert found.exit_code == 0
    assert '| narrow | settlement |' in found.output
    assert len(out.read_text().splitlines()) == 2
    again = runner.invoke(main.app, ['lab', 'report', str(name), str(out)])
    assert again.exit_code == 0
    assert '| today | settlement |' in again.output


def test_bad_experiment_starts_nothing(tmp_path):
    """Guards against plays of a file that is not what its author meant."""
    name = tmp_path / 'lab.yaml'
    name.write_text(_LAB.replace('per_s: 20', 'per_s: 0'))
    found = testing.CliRunner().invoke(main.app, ['lab', 'check', str(name)])
    assert found.exit_code == 2
    assert 'load.settlement.per_s' in found.output
    missing = testing.CliRunner().invoke(
        main.app, ['lab', 'run', str(name), '--variant', 'today']
    )
    assert missing.exit_code == 2


def test_unknown_variant_is_refused(tmp_path):
    """Guards against a command that plays something else."""
    name = tmp_path / 'lab.yaml'
    name.write_text(_LAB)
    found = testing.CliRunner().invoke(
        main.app, ['lab', 'run', str(name), '--variant', 'wide']
    )
    assert found.exit_code == 2
    assert 'no variant wide' in found.output
