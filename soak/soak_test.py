"""Short seeded soak of the real processes, and proofs that it can fail."""

import contextlib
import socket
import threading
import time

import pytest

from soak import clients, customers, loopback, run, timeline, versions

# Both once stopped with a timeout of the stand-in, whose model copied the
# whole log for each read. They are from before connections were harmed.
_OLD_SEEDS = (1, 100)
_SEEDS = (4000,)
_UNFENCED_SEED = 4100
_KEYED_SEED = 4200


@pytest.mark.parametrize('seed', _OLD_SEEDS)
def test_old_seed(seed, tmp_path):
    """Guards against faults that were found once."""
    problems, summary = run.play(seed, tmp_path, harmed=False)
    assert not problems, summary
    assert "'done'" in summary


@pytest.mark.parametrize('seed', _SEEDS)
def test_seed(seed, tmp_path):
    """Guards against broken promises of the real processes."""
    problems, summary = run.play(seed, tmp_path)
    assert not problems, summary
    assert "'done'" in summary


def test_silent_connections_do_not_keep_an_old_version(tmp_path):
    """Guards against requests by a replaced version on a silent watch."""
    assert not run.play_silence(tmp_path)


def test_restored_store_does_not_keep_an_old_version(tmp_path):
    """Guards against requests by a replaced version after a restore."""
    assert not run.play_restores(tmp_path)


def test_checks_find_a_version_that_went_back(tmp_path):
    """Guards against a check that cannot fail, or that blames a restart."""
    log = tmp_path / 'n0.log'
    events = [
        '{"event":"started"}',
        '{"event":"configuration","version":3}',
        '{"event":"started"}',
        '{"event":"configuration","version":2}',
    ]
    log.write_text('\n'.join(events))
    assert not versions.log_problems(log)
    events.append('{"event":"configuration","version":1}')
    events.append('{"event":"message","message":"unexpected error"}')
    log.write_text('\n'.join(events))
    assert len(versions.log_problems(log)) == 2


def test_unfenced_seed(tmp_path):
    """Guards against work at two primaries where no fence is checked."""
    problems, summary = run.play(_UNFENCED_SEED, tmp_path, fenced=False)
    assert not problems, summary
    assert "'done'" in summary


def test_keyed_seed(tmp_path):
    """Guards against work for other customers, or beyond a limit."""
    problems, summary = run.play(_KEYED_SEED, tmp_path, keyed=True)
    assert not problems, summary
    assert "'done'" in summary


def test_checks_find_work_for_another_customer():
    """Guards against a check that cannot fail."""
    ran = {'free': {'0x1': 0}, 'busy': {'4x1': 0}}
    assert not customers.problems(ran)
    assert customers.problems({'free': {'4x1': 0}})


def test_checks_find_work_beyond_a_limit():
    """Guards against a check that cannot fail."""
    most = {f'4x{step}': 50 * step for step in range(86)}
    assert not customers.problems({'busy': most})
    assert customers.problems({'busy': {**most, '5x1': 4000}})


def _client() -> clients.Client:
    return clients.Client(1, [])


def test_checks_find_a_write_that_took_effect_twice():
    """Guards against a check that cannot fail."""
    assert run.client_problems(_client(), {'1x1': 2}, set())


def test_checks_find_a_false_promise():
    """Guards against a check that cannot fail."""
    client = _client()
    client.refused.add('1x1')
    assert run.client_problems(client, {'1x1': 1}, set())


def test_checks_find_a_lost_write():
    """Guards against a check that cannot fail."""
    client = _client()
    client.done.add('1x1')
    assert run.client_problems(client, {}, set())
    assert not run.client_problems(client, {}, {'1x1'})


@pytest.mark.parametrize(
    ('arrived_s', 'version', 'disturbed', 'found'),
    [
        (10, 1, False, True),
        (10, 2, False, False),
        (10, 1, True, False),
        (4.1, 1, False, False),
    ],
)
def test_checks_find_a_replaced_version(arrived_s, version, disturbed, found):
    """Guards against a check that cannot fail, or fails without a reason."""
    late = versions.late_requests(
        [versions.Handled(arrived_s, version, '1x1')],
        [versions.Change(0, 1), versions.Change(1, 2)],
        lambda _begin_s, _end_s: not disturbed,
    )
    assert bool(late) == found


def test_disturbed_proxy_is_not_judged():
    """Guards against blaming a proxy that was paused a moment ago."""
    disturbances = versions.Disturbances()
    now_s = time.time()
    with disturbances.during(1):
        assert disturbances.is_calm(1, now_s, now_s)
    assert not disturbances.is_calm(1, now_s, now_s + 1)
    assert disturbances.is_calm(2, now_s, now_s + 1)
    later_s = now_s + versions.CONTACT_S + 1
    assert disturbances.is_calm(1, later_s, later_s + 1)


def test_checks_find_a_read_that_missed_an_own_write():
    """Guards against a check that cannot fail."""
    client = _client()
    client.problems.append(clients.StaleRead('1x2', 0, '1x1'))
    assert run.client_problems(client, {}, set())


@pytest.fixture(name='echo')
def _echo():
    server = socket.create_server(('127.0.0.1', 0))
    thread = threading.Thread(target=_serve_echo, args=(server,), daemon=True)
    thread.start()
    yield server.getsockname()[1]
    server.close()


def _serve_echo(server: socket.socket) -> None:
    with contextlib.suppress(OSError):
        for client, _address in iter(server.accept, None):
            threading.Thread(
                target=_echo_lines,
                args=(client,),
                daemon=True,
            ).start()


def _echo_lines(client: socket.socket) -> None:
    with contextlib.suppress(OSError), client:
        while chunk := client.recv(100):
            client.sendall(chunk)


def _connect(path: loopback.Path) -> socket.socket:
    client = socket.create_connection(('127.0.0.1', path.port))
    client.settimeout(0.3)
    return client


def test_path_forwards(echo):
    """Guards against harm where none is meant."""
    with contextlib.closing(loopback.Path(echo)) as path:
        client = _connect(path)
        client.sendall(b'x')
        assert client.recv(1) == b'x'


@pytest.mark.parametrize(
    'harm',
    [
        loopback.SILENT,
        loopback.Harm(swallow_requests=True),
        loopback.Harm(swallow_answers=True),
    ],
)
def test_silent_path_stays_silent(echo, harm):
    """Guards against a harm that harms nothing, or corrupts a stream."""
    with contextlib.closing(loopback.Path(echo)) as path:
        client = _connect(path)
        path.harm = harm
        client.sendall(b'x')
        with pytest.raises(TimeoutError):
            client.recv(1)
        path.harm = loopback.HEALTHY
        client.sendall(b'y')
        with pytest.raises(TimeoutError):
            client.recv(1)


def test_silenced_connection_stays_silent_and_a_new_one_works(echo):
    """Guards against a harm that harms nothing, or new connections too."""
    with contextlib.closing(loopback.Path(echo)) as path:
        client = _connect(path)
        client.sendall(b'x')
        assert client.recv(1) == b'x'
        path.silence_open()
        time.sleep(0.1)
        client.sendall(b'y')
        with pytest.raises(TimeoutError):
            client.recv(1)
        other = _connect(path)
        other.sendall(b'z')
        assert other.recv(1) == b'z'


def test_reset_path_resets(echo):
    """Guards against a reset that is none."""
    with contextlib.closing(loopback.Path(echo)) as path:
        client = _connect(path)
        client.sendall(b'x')
        assert client.recv(1) == b'x'
        path.reset()
        with pytest.raises(ConnectionResetError):
            client.recv(1)


def test_timeline_is_drawn(tmp_path):
    """Guards against a report that nobody can look at."""
    recorder = timeline.Recorder()
    recorder.record('pause', lambda: None)
    marks = [
        (recorder.spans[0].begin_s, timeline.kind_of(code, clients.PROMISES))
        for code in ('done', 'BUSY', 'INDOUBT')
    ]
    assert [kind for _when, kind in marks] == ['served', 'refused', 'unknown']
    name = tmp_path / 'timeline.png'
    timeline.draw(name, recorder.spans, marks)
    assert name.stat().st_size
