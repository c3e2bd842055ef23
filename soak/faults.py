"""Faults of processes and stand-ins, one after the other."""

import signal
import time
import typing

if typing.TYPE_CHECKING:
    from soak import run

_MEMBERS = ('i-a', 'i-b', 'i-c')
_OLDEST_COPY_MS = 8000
# The operator writes what the store has lost again within this time.
_REWRITE_S = 1.2
_ENTRY = (
    '{{"service":"ledger","address":"{address}","zone":"a","state":"ready",'
    '"dbRole":"replica","slots":{slots}}}'
)
_DEEP = 20_000
_GIANT = '9' * 400  # noqa: WPS432
_ODD_ENTRIES = (
    '',
    '[' * _DEEP,
    _ENTRY.format(
        address='127.0.0.1:7', slots=''.join(('[' * _DEEP, ']' * _DEEP))
    ),
    _ENTRY.format(address='127.0.0.1:99999', slots=3),
    _ENTRY.format(address='nobody:7', slots=3),
    _ENTRY.format(address='127.0.0.1:7', slots=_GIANT),
    _ENTRY.format(address='127.0.0.1:7', slots=-4),
)

Fault = typing.Callable[['run.Soak'], None]


def kill(soak: 'run.Soak') -> None:
    """Kill a proxy and start it again."""
    proxy = soak.pick()
    with soak.disturbances.during(proxy.number):
        proxy.send(signal.SIGKILL)
        if proxy.process is not None:
            proxy.process.wait()
        time.sleep(soak.rng.uniform(0, 1))
        proxy.start()


def stop(soak: 'run.Soak') -> None:
    """Stop a proxy as planned and start it again."""
    proxy = soak.pick()
    with soak.disturbances.during(proxy.number):
        proxy.send(signal.SIGCONT)
        proxy.send(signal.SIGTERM)
        if proxy.process is not None:
            proxy.process.wait()
        proxy.start()


def pause(soak: 'run.Soak') -> None:
    """Freeze a proxy for a while."""
    proxy = soak.pick()
    with soak.disturbances.during(proxy.number):
        proxy.send(signal.SIGSTOP)
        time.sleep(soak.rng.uniform(0, 2))
        proxy.send(signal.SIGCONT)


def reload_settings(soak: 'run.Soak') -> None:
    """Let all proxies read their settings again."""
    for proxy in soak.fleet.proxies:
        proxy.send(signal.SIGHUP)


def silence_primary(soak: 'run.Soak') -> None:
    """Let the primary answer nothing for longer than a suspicion takes."""
    primary = soak.fleet.control()['primary']
    soak.fleet.control(silent=[primary])
    time.sleep(3)
    soak.fleet.control(silent=[])


def silence_replica(soak: 'run.Soak') -> None:
    """Let a replica answer nothing for a while."""
    primary = soak.fleet.control()['primary']
    others = [name for name in _MEMBERS if name != primary]
    soak.fleet.control(silent=[soak.rng.choice(others)])
    time.sleep(1)
    soak.fleet.control(silent=[])


def lose_answers(soak: 'run.Soak') -> None:
    """Lose some answers to writes."""
    soak.fleet.control(lose_answers=3)


def refuse_store(soak: 'run.Soak') -> None:
    """Let the store refuse every call for a while."""
    with soak.disturbances.during():
        soak.fleet.control(refuse=True)
        time.sleep(1)
        soak.fleet.control(refuse=False)


def silence_store(soak: 'run.Soak') -> None:
    """Let the store answer nothing for a while."""
    with soak.disturbances.during():
        soak.fleet.control(silent_store=True)
        time.sleep(1)
        soak.fleet.control(silent_store=False)


def restore_store(soak: 'run.Soak') -> None:
    """Bring the store back from an older copy, after it was away."""
    with soak.disturbances.during():
        soak.fleet.control(refuse=True)
        time.sleep(soak.store_rng.uniform(0, 1))
        soak.fleet.control(
            refuse=False,
            restores=soak.next_restore(),
            copy_age_ms=soak.store_rng.randint(0, _OLDEST_COPY_MS),
        )
        time.sleep(_REWRITE_S)


def write_odd_entries(soak: 'run.Soak') -> None:
    """Let another writer leave odd entries among those of the instances."""
    soak.fleet.control(odd_entries=list(_ODD_ENTRIES))


def change_configuration(soak: 'run.Soak') -> None:
    """Put a newer configuration in force."""
    soak.operator.change()


FAULTS: tuple[Fault, ...] = (
    kill,
    stop,
    pause,
    reload_settings,
    silence_primary,
    silence_replica,
    lose_answers,
    refuse_store,
    silence_store,
    change_configuration,
)
# Drawn apart from the others, so that older seeds still play the same.
STORE_FAULTS: tuple[Fault, ...] = (restore_store, write_odd_entries)
