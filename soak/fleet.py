"""Processes of one soak: the stand-ins and several proxies on loopback."""

import contextlib
import json
import os
import pathlib
import signal
import socket
import subprocess  # noqa: S404
import sys
import time
import typing
from urllib import request as requests

from soak import loopback

_HOST = '127.0.0.1'
_READY_S = 15
_POLL_S = 0.02
_CALL_S = 2
_LISTENERS = 4
_SETTINGS = """node: n{number}
zone: a
listeners:
  clients: {host}:{clients}
  health: {host}:{health}
  metrics: {host}:{metrics}
  peers: {host}:{peers}
store:
  address: {host}:{store}
  watch_wait_ms: 4000
promotion:
  address: {host}:{store}
  fenced: {fenced}
grace_ms: 4000
"""


class NotReadyError(Exception):
    """A process did not become ready in time."""


def reserve_port() -> socket.socket:
    """Return a socket whose port nobody else is given while it is open.

    It does not listen, so that a process can still listen on its port.
    """
    reserved = socket.socket()
    reserved.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    reserved.bind((_HOST, 0))
    return reserved


class Proxy:
    """One proxy process that can be killed and started again.

    Attributes:
      port: Port for clients, through a path.
      ports: Its own ports for clients, health, metrics and other nodes.
      client_path: Path from the clients.
      store_path: Path to the store.
      planned: Whether it was asked to stop.
    """

    def __init__(
        self,
        number: int,
        folder: pathlib.Path,
        store_port: int,
        *,
        fenced: bool,
        settings: str = '',
    ) -> None:
        """Write the settings; nothing runs before `start`.

        Args:
          number: Number of the proxy in its fleet.
          folder: Where settings and log go.
          store_port: Port of the store.
          fenced: Whether a promotion ends the lead of the old primary.
          settings: Further lines of the settings file.
        """
        self.number = number
        self.store_path = loopback.Path(store_port, 'store')
        self.reserved = [reserve_port() for _listener in range(_LISTENERS)]
        ports = [known.getsockname()[1] for known in self.reserved]
        self.client_path = loopback.Path(ports[0], 'clients')
        self.port = self.client_path.port
        self.ports = ports
        self.health = ports[1]
        self.settings = folder / f'n{number}.yaml'
        self.log = folder / f'n{number}.log'
        self.process: subprocess.Popen | None = None
        self.settings.write_text(
            _SETTINGS.format(
                number=number,
                host=_HOST,
                clients=ports[0],
                health=ports[1],
                metrics=ports[2],
                peers=ports[3],
                store=self.store_path.port,
                fenced=str(fenced).lower(),
            )
            + settings,
        )

    @property
    def running(self) -> bool:
        """Return whether the process runs."""
        return self.process is not None and self.process.poll() is None

    def start(self) -> None:
        """Start the process."""
        environment = {
            **os.environ,
            'JACINTHHAVEN_NODE_FILE': str(self.settings),
        }
        self.process = subprocess.Popen(  # noqa: S603
            [sys.executable, '-m', 'jacinthhaven.process'],
            stdout=self.log.open('ab'),
            stderr=subprocess.STDOUT,
            env=environment,
        )

    def send(self, number: signal.Signals) -> None:
        """Send a signal to the process, if it runs."""
        if self.running:
            self.process.send_signal(number)

    def wait_ready(self) -> None:
        """Wait until the process reports itself ready.

        Raises:
          NotReadyError: If it does not in time.
        """
        until = time.monotonic() + _READY_S
        while time.monotonic() < until:
            if self._is_ready():
                return
            time.sleep(_POLL_S)
        raise NotReadyError(self.number)

    def _is_ready(self) -> bool:
        url = f'http://{_HOST}:{self.health}/ready'
        try:
            with requests.urlopen(url, timeout=1):  # noqa: S310
                return True
        except OSError:
            return False


class Fleet:
    """Stand-ins and proxies.

    Attributes:
      proxies: Proxies in the order of their numbers.
      instance_paths: Paths to the instances by name.
    """

    def __init__(
        self,
        folder: pathlib.Path,
        size: int,
        *,
        fenced: bool = True,
        settings: str = '',
    ) -> None:
        """Start everything and wait until it is ready.

        Args:
          folder: Where settings and logs go.
          size: Number of proxies.
          fenced: Whether a promotion ends the lead of the old primary.
          settings: Further lines of each proxy's settings file.
        """
        standin = [sys.executable, '-m', 'jacinthhaven.standins.sql_platform']
        self.platform = subprocess.Popen(  # noqa: S603
            standin if fenced else [*standin, '--unfenced'],
            stdout=subprocess.PIPE,
        )
        words = self.platform.stdout.readline().split()
        self.control_port = int(words[2])
        ports = self.control()['ports']
        self.instance_paths = {
            name: loopback.Path(port, 'instances')
            for name, port in ports.items()
        }
        self.control(
            advertised={
                name: path.port for name, path in self.instance_paths.items()
            },
        )
        self.proxies = [
            Proxy(
                number,
                folder,
                int(words[1]),
                fenced=fenced,
                settings=settings,
            )
            for number in range(size)
        ]
        with contextlib.ExitStack() as started:
            started.callback(self.close)
            for proxy in self.proxies:
                proxy.start()
            for running in self.proxies:
                running.wait_ready()
            # Nothing is closed unless a process did not become ready.
            started.pop_all()

    @property
    def paths(self) -> list[loopback.Path]:
        """Return all paths."""
        known = list(self.instance_paths.values())
        for proxy in self.proxies:
            known.extend((proxy.client_path, proxy.store_path))
        return known

    def control(self, **changes: typing.Any) -> dict[str, typing.Any]:
        """Change the faults of the stand-ins and return their state."""
        change = requests.Request(  # noqa: S310
            f'http://{_HOST}:{self.control_port}/control',
            json.dumps(changes).encode(),
        )
        with requests.urlopen(  # noqa: S310
            change,
            timeout=_CALL_S,
        ) as reply:
            return json.load(reply)

    def close(self) -> None:
        """End all processes that this fleet has started."""
        for proxy in self.proxies:
            proxy.send(signal.SIGCONT)
            proxy.send(signal.SIGKILL)
        for ended in self.proxies:
            if ended.process is not None:
                ended.process.wait()
            for reserved in ended.reserved:
                reserved.close()
        self.platform.kill()
        self.platform.wait()
        for path in self.paths:
            path.close()
