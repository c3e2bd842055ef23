"""Soak runs from seeds: faults in series, then the checks.

`python -m soak.run SEED` plays one seed, `--count N` plays N from there.
"""

import contextlib
import pathlib
import random
import signal
import sys
import tempfile
import time
import typing

import typer

from soak import clients, fleet

_PROXIES = 4
_CLIENTS = 8
_STEPS = 6
_SETTLE_S = 1.5
_MAX_PAUSE_S = 1.2
_MEMBERS = ('i-a', 'i-b', 'i-c')

Fault = typing.Callable[['Soak'], None]


class Soak:
    """One run from a seed."""

    def __init__(self, seed: int, folder: pathlib.Path) -> None:
        """Start the processes and the clients."""
        self.rng = random.Random(seed)
        self.fleet = fleet.Fleet(folder, _PROXIES)
        self.clients = [
            clients.Client(number, self.fleet.proxies)
            for number in range(_CLIENTS)
        ]
        self.version = 1
        self.events: list[str] = []

    def run(self) -> list[str]:
        """Play the faults and return the broken promises."""
        for client in self.clients:
            client.start()
        time.sleep(_SETTLE_S)
        for fault in self.rng.choices(_FAULTS, k=_STEPS):
            self.events.append(fault.__name__)
            fault(self)
            time.sleep(self.rng.uniform(0, _MAX_PAUSE_S))
        self._heal()
        for ended in self.clients:
            ended.stopped.set()
        for waited in self.clients:
            waited.join()
        return self._problems()

    def close(self) -> None:
        """End all processes."""
        self.fleet.close()

    def pick(self) -> fleet.Proxy:
        """Return a proxy."""
        return self.rng.choice(self.fleet.proxies)

    def served(self) -> dict[str, int]:
        """Return the answers of all clients by code."""
        total: dict[str, int] = {}
        for client in self.clients:
            for code, count in client.counts.items():
                total[code] = total.get(code, 0) + count
        return total

    def _heal(self) -> None:
        self.fleet.control(silent=[], refuse=False, silent_store=False)
        for proxy in self.fleet.proxies:
            proxy.send(signal.SIGCONT)
            if not proxy.running:
                proxy.start()
        for ready in self.fleet.proxies:
            ready.wait_ready()
        time.sleep(_SETTLE_S)

    def _problems(self) -> list[str]:
        state = self.fleet.control()
        committed = state['committed']
        lost = set(state['rolled_back'])
        problems = list(state['violations'])
        if state['most_open'] > state['limit']:
            problems.append(f'{state["most_open"]} connections were open')
        fences = [order[2] for order in state['orders']]
        if fences != sorted(set(fences)):
            problems.append(f'fences {fences}')
        for client in self.clients:
            problems.extend(client_problems(client, committed, lost))
        return problems


def client_problems(
    client: clients.Client,
    committed: dict[str, int],
    lost: set[str],
) -> list[str]:
    """Return the promises to a client that were broken.

    Args:
      client: Client that has stopped.
      committed: How often each request took effect.
      lost: Requests that a promotion rolled back.
    """
    problems = [
        f'{read.request} missed {read.missed}'
        for read in client.problems
        if read.missed not in lost
    ]
    problems.extend(
        f'{request} took effect {times} times'
        for request, times in committed.items()
        if times > 1
    )
    problems.extend(
        f'{request} was promised away and kept'
        for request in client.refused
        if committed.get(request)
    )
    problems.extend(
        f'{request} was acknowledged and is missing'
        for request in client.done
        if not committed.get(request) and request not in lost
    )
    return problems


def kill(soak: Soak) -> None:
    """Kill a proxy and start it again."""
    proxy = soak.pick()
    proxy.send(signal.SIGKILL)
    if proxy.process is not None:
        proxy.process.wait()
    time.sleep(soak.rng.uniform(0, 1))
    proxy.start()


def stop(soak: Soak) -> None:
    """Stop a proxy as planned and start it again."""
    proxy = soak.pick()
    proxy.send(signal.SIGCONT)
    proxy.send(signal.SIGTERM)
    if proxy.process is not None:
        proxy.process.wait()
    proxy.start()


def pause(soak: Soak) -> None:
    """Freeze a proxy for a while."""
    proxy = soak.pick()
    proxy.send(signal.SIGSTOP)
    time.sleep(soak.rng.uniform(0, 2))
    proxy.send(signal.SIGCONT)


def reload_settings(soak: Soak) -> None:
    """Let all proxies read their settings again."""
    for proxy in soak.fleet.proxies:
        proxy.send(signal.SIGHUP)


def silence_primary(soak: Soak) -> None:
    """Let the primary answer nothing for longer than a suspicion takes."""
    primary = soak.fleet.control()['primary']
    soak.fleet.control(silent=[primary])
    time.sleep(3)
    soak.fleet.control(silent=[])


def silence_replica(soak: Soak) -> None:
    """Let a replica answer nothing for a while."""
    primary = soak.fleet.control()['primary']
    others = [name for name in _MEMBERS if name != primary]
    soak.fleet.control(silent=[soak.rng.choice(others)])
    time.sleep(1)
    soak.fleet.control(silent=[])


def lose_answers(soak: Soak) -> None:
    """Lose some answers to writes."""
    soak.fleet.control(lose_answers=3)


def refuse_store(soak: Soak) -> None:
    """Let the store refuse every call for a while."""
    soak.fleet.control(refuse=True)
    time.sleep(1)
    soak.fleet.control(refuse=False)


def silence_store(soak: Soak) -> None:
    """Let the store answer nothing for a while."""
    soak.fleet.control(silent_store=True)
    time.sleep(1)
    soak.fleet.control(silent_store=False)


def change_configuration(soak: Soak) -> None:
    """Put a newer configuration in force."""
    soak.version += 1
    soak.fleet.control(version=soak.version)


_FAULTS: tuple[Fault, ...] = (
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


def play(seed: int, folder: pathlib.Path) -> tuple[list[str], str]:
    """Play one seed and return the broken promises and a summary."""
    soak = Soak(seed, folder)
    with contextlib.closing(soak):
        problems = soak.run()
    events = ' '.join(soak.events)
    served = soak.served()
    return problems, f'{events}: {served}'


def main(seed: int, count: int = 1) -> None:
    """Play seeds and print one line for each."""
    failed = False
    for number in range(seed, seed + count):
        folder = pathlib.Path(tempfile.mkdtemp(prefix=f'soak-{number}-'))
        problems, summary = play(number, folder)
        verdict = 'FAILED' if problems else 'ok'
        typer.echo(f'seed {number} {verdict} {summary}')
        for problem in problems[:5]:
            typer.echo(f'  {problem}')
        failed = failed or bool(problems)
    sys.exit(int(failed))


if __name__ == '__main__':
    typer.run(main)
