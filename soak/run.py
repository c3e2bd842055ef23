"""Soak runs from seeds: faults in series, then the checks.

`python -m soak.run SEED` plays one seed, `--count N` plays N from there.
"""

import contextlib
import functools
import pathlib
import random
import signal
import sys
import tempfile
import time
import typing

import typer

from soak import (
    clients,
    customers,
    faults,
    fleet,
    harms,
    loopback,
    releases,
    timeline,
    versions,
)

_PROXIES = 4
_CLIENTS = 8
_STEPS = 6
_SETTLE_S = 1.5
_MAX_PAUSE_S = 1.2
# Longer than a silent watch stays unnoticed by itself.
_SILENCE_S = 6
# Share of the steps that a fault of the store follows.
_STORE_FAULT_SHARE = 0.4
# Versions that the store loses in each restore of a run of these alone.
_LOST_VERSIONS = (40, 10)


class Options(typing.NamedTuple):
    """What is varied between runs.

    Attributes:
      harmed: Whether connections are harmed meanwhile.
      fenced: Whether a promotion ends the lead of the old primary.
      proxies: Number of proxies.
      keyed: Whether clients need keys and have limits.
    """

    harmed: bool = True
    fenced: bool = True
    proxies: int = _PROXIES
    keyed: bool = False


class Soak:
    """One run from a seed."""

    def __init__(
        self, seed: int, folder: pathlib.Path, options: Options
    ) -> None:
        """Start the processes and the clients.

        Args:
          seed: Seed of all draws.
          folder: Where settings and logs go.
          options: What is varied.
        """
        self.rng = random.Random(seed)
        self.store_rng = random.Random(f'store {seed}')
        self.options = options
        self.fleet = fleet.Fleet(folder, options.proxies, fenced=options.fenced)
        self.clients = [
            clients.Client(number, self.fleet.proxies)
            for number in range(_CLIENTS)
        ]
        self.disturbances = versions.Disturbances()
        self.operator = versions.Operator(seed, self._apply)
        self.faults = timeline.Recorder()
        self.restores = 0
        self.harms = harms.Harms(seed, self.fleet.paths)
        self.releases = releases.Releases(seed, self.fleet.control)
        if options.keyed:
            self.fleet.control(customers=customers.documents())
            self.operator.change()
        if options.harmed:
            self.harms.start()
            self.operator.start()
            self.releases.start()

    def run(self) -> list[str]:
        """Play the faults and return the broken promises."""
        for client in self.clients:
            client.start()
        time.sleep(_SETTLE_S)
        for fault in self.rng.choices(faults.FAULTS, k=_STEPS):
            self._inject(fault)
            time.sleep(self.rng.uniform(0, _MAX_PAUSE_S))
            if (
                self.options.harmed
                and self.store_rng.random() < _STORE_FAULT_SHARE
            ):
                self._inject(self.store_rng.choice(faults.STORE_FAULTS))
        self._end_faults()
        self.end_clients()
        return self.problems()

    def close(self) -> None:
        """End all processes."""
        self.fleet.close()

    def pick(self) -> fleet.Proxy:
        """Return a proxy."""
        return self.rng.choice(self.fleet.proxies)

    def next_restore(self) -> int:
        """Count one more restore of the store."""
        self.restores += 1
        return self.restores

    def served(self) -> dict[str, int]:
        """Return the answers of all clients by code."""
        total: dict[str, int] = {}
        for client in self.clients:
            for code, count in client.counts.items():
                total[code] = total.get(code, 0) + count
        return total

    def draw(self, name: pathlib.Path) -> None:
        """Draw the timeline of the run into a PNG file."""
        marks = [
            (when, timeline.kind_of(code, clients.PROMISES))
            for client in self.clients
            for when, code in client.marks
        ]
        spans = self.faults.spans + self.harms.recorder.spans
        timeline.draw(name, spans, marks)

    def end_clients(self) -> None:
        """Stop the clients and wait for their last answers."""
        for ended in self.clients:
            ended.stopped.set()
        for waited in self.clients:
            waited.join()

    def problems(self) -> list[str]:
        """Return the broken promises so far."""
        state = self.fleet.control()
        committed = state['committed']
        lost = set(state['rolled_back'])
        problems = list(state['violations'])
        if state['most_open'] > state['limit']:
            problems.append(f'{state["most_open"]} connections were open')
        if self.options.keyed:
            problems.extend(customers.problems(state['ran']))
        fences = [order[2] for order in state['orders']]
        if fences != sorted(set(fences)):
            problems.append(f'fences {fences}')
        for client in self.clients:
            problems.extend(client_problems(client, committed, lost))
        return problems + self._late_requests() + self._log_problems()

    def _apply(self, version: int) -> None:
        self.fleet.control(version=version)

    def _late_requests(self) -> list[str]:
        """Return the statements that were routed by a replaced version."""
        late = []
        for proxy in self.fleet.proxies:
            late.extend(
                versions.late_requests(
                    versions.read_log(proxy.log),
                    self.operator.changes,
                    functools.partial(self.disturbances.is_calm, proxy.number),
                ),
            )
        return late

    def _log_problems(self) -> list[str]:
        """Return versions that went back, and unexpected errors."""
        problems = []
        progress = releases.Progress(proxy.log for proxy in self.fleet.proxies)
        for proxy in self.fleet.proxies:
            problems.extend(versions.log_problems(proxy.log))
            problems.extend(
                releases.log_problems(
                    proxy.log,
                    self.releases.spans,
                    progress,
                    functools.partial(self.disturbances.is_calm, proxy.number),
                )
            )
        return problems

    def _inject(self, fault: faults.Fault) -> None:
        self.faults.record(fault.__name__, functools.partial(fault, self))

    def _end_faults(self) -> None:
        self.operator.stop()
        self.releases.stop()
        self.harms.stop()
        self._heal()

    def _heal(self) -> None:
        self.fleet.control(silent=[], refuse=False, silent_store=False)
        for path in self.fleet.paths:
            path.harm = loopback.HEALTHY
        for proxy in self.fleet.proxies:
            proxy.send(signal.SIGCONT)
            if not proxy.running:
                proxy.start()
        for ready in self.fleet.proxies:
            ready.wait_ready()
        time.sleep(_SETTLE_S)


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


def play(
    seed: int,
    folder: pathlib.Path,
    plot: pathlib.Path | None = None,
    **options: typing.Any,
) -> tuple[list[str], str]:
    """Play one seed and return the broken promises and a summary.

    Args:
      seed: Seed of all draws.
      folder: Where settings and logs go.
      plot: File for the timeline.
      options: Fields of `Options`.
    """
    soak = Soak(seed, folder, Options(**options))
    with contextlib.closing(soak):
        problems = soak.run()
    if plot is not None:
        soak.draw(plot)
    injected = soak.faults.spans + soak.harms.recorder.spans
    events = ' '.join(span.name for span in injected)
    served = soak.served()
    return problems, f'{events}: {served}'


@contextlib.contextmanager
def _calm_soak(folder: pathlib.Path) -> typing.Iterator[Soak]:
    """Start the processes and the clients, without harms; end them."""
    soak = Soak(0, folder, Options(harmed=False))
    with contextlib.closing(soak):
        for client in soak.clients:
            client.start()
        time.sleep(_SETTLE_S)
        yield soak


def play_silence(folder: pathlib.Path) -> list[str]:
    """Silence all open connections to the store while versions change.

    Returns:
      The broken promises.
    """
    with _calm_soak(folder) as soak:
        soak.operator.start()
        for path in soak.fleet.paths:
            if path.kind == 'store':
                path.silence_open()
        time.sleep(_SILENCE_S)
        soak.operator.stop()
        soak.end_clients()
        return soak.problems()


def play_restores(folder: pathlib.Path) -> list[str]:
    """Bring the store back from older copies that lack many versions.

    Returns:
      The broken promises.
    """
    with _calm_soak(folder) as soak:
        for lost in _LOST_VERSIONS:
            soak.operator.change_often(lost)
            faults.restore_store(soak)
            soak.operator.change()
            faults.write_odd_entries(soak)
            # Requests count again once the restore is long enough ago.
            time.sleep(versions.CONTACT_S + versions.APPLY_S + _SETTLE_S)
        soak.end_clients()
        return soak.problems()


def main(  # noqa: WPS211
    seed: int,
    count: int = 1,
    plot: pathlib.Path | None = None,
    fenced: bool = True,
    proxies: int = _PROXIES,
    keyed: bool = False,
) -> None:
    """Play seeds and print one line for each.

    `--plot FILE` draws the timeline of the last one; with `--no-fenced` a
    promotion does not end the lead of the old primary. With 10 `--proxies` or
    more, some own the service and the others relay; with `--keyed` clients need
    keys, and one of two customers asks for more than its limit.
    """
    failed = False
    for number in range(seed, seed + count):
        folder = pathlib.Path(tempfile.mkdtemp(prefix=f'soak-{number}-'))
        problems, summary = play(
            number, folder, plot, fenced=fenced, proxies=proxies, keyed=keyed
        )
        verdict = 'FAILED' if problems else 'ok'
        typer.echo(f'seed {number} {verdict} {summary}')
        for problem in problems[:5]:
            typer.echo(f'  {problem}')
        failed = failed or bool(problems)
    sys.exit(int(failed))


if __name__ == '__main__':
    typer.run(main)
