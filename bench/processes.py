"""Starts and stops the processes of a demonstration or measurement.

Each process is a plain child of the bench command, listens on loopback
only and is ended by its process id.
"""

import dataclasses
import pathlib
import secrets
import signal
import subprocess
import sys
import tempfile
import typing

from ruamel import yaml

from bench import deployments

HOST = '127.0.0.1'
_KEY_BYTES = 32
_STOP_TIMEOUT_S = 20
_READY_TIMEOUT_S = 30


@dataclasses.dataclass(slots=True)
class Process:
    """One running child process.

    Attributes:
      name: Name for messages.
      child: The process.
      port: Main port that it listens on.
    """

    name: str
    child: subprocess.Popen
    port: int


class Fleet:
    """Processes of one deployment on loopback ports."""

    def __init__(self, shape: deployments.Deployment, base_port: int) -> None:
        """Create the work directory and the keys.

        Args:
          shape: Shape of the deployment.
          base_port: First of 200 ports that the processes may use.
        """
        self.shape = shape
        self.base_port = base_port
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix='jacinthhaven-'))
        self.key_file = self.folder / 'cluster.key'
        self.key_file.write_text(secrets.token_hex(_KEY_BYTES))
        self.operator_key = self.folder / 'operator.key'
        self.operator_key.write_text(secrets.token_hex(_KEY_BYTES))
        self.processes: dict[str, Process] = {}
        self.overrides: dict[str, typing.Any] = {}
        self.owners = 3
        # Caller port of all proxies; 0 gives each one its own.
        self.shared_caller_port = 0

    def __enter__(self) -> 'Fleet':
        """Return the fleet; leaving the block ends all processes."""
        return self

    def __exit__(self, *_error: object) -> None:
        """End all processes."""
        self.stop_all()

    @property
    def instances(self) -> list[str]:
        """Return the names of the database instances."""
        group = self.shape.group
        return [f'{group}-{place}' for place in (1, 2, 3)]

    @property
    def store_port(self) -> int:
        """Return the port of the platform stand-in."""
        return self.base_port

    def instance_port(self, number: int) -> int:
        """Return the port of instance 1, 2 or 3."""
        return self.base_port + number

    def caller_port(self, number: int) -> int:
        """Return the caller port of a proxy, counted from 1."""
        return self.shared_caller_port or self._ports(number)

    def operator_port(self, number: int) -> int:
        """Return the operator port of a proxy."""
        return self._ports(number) + 2

    def zone(self, number: int) -> str:
        """Return the availability zone of a proxy."""
        return self.shape.zones[number % len(self.shape.zones)]

    def start_platform(self) -> None:
        """Start the platform stand-in."""
        self._start(
            'platform',
            ['jacinthhaven.standins.platform_server'],
            ['--port', str(self.store_port)],
        )

    def start_instances(self) -> None:
        """Start the three database instances."""
        placed = zip(self.shape.databases, self.instances, strict=True)
        primaries = ','.join('='.join(pair) for pair in placed)
        for number, name in enumerate(self.instances, start=1):
            self._start(
                name,
                ['jacinthhaven.standins.instance_server'],
                [
                    *('--name', name),
                    *('--port', str(self.instance_port(number))),
                    *('--databases', ','.join(self.shape.databases)),
                    *('--peers', self._peers_of(name)),
                    *('--initial-primary', primaries),
                    *('--connection-limit', str(self.shape.connection_limit)),
                    *('--open-delay-ms', str(self.shape.open_ms)),
                ],
            )

    def start_proxy(self, number: int, proxies: int) -> None:
        """Start one proxy.

        Args:
          number: Number of the proxy, counted from 1.
          proxies: Number of proxies of the cluster.
        """
        path = self.folder / f'proxy-{number}.yaml'
        with path.open('w') as settings_file:
            yaml.YAML(typ='safe').dump(
                self._settings(number, proxies),
                settings_file,
            )
        self._start(
            f'proxy-{number}',
            ['jacinthhaven', 'proxy', '--settings', str(path)],
            [],
            wait=False,
        )

    def kill(self, name: str) -> None:
        """Kill a process without notice."""
        process = self.processes.pop(name)
        process.child.kill()
        process.child.wait()

    def stop(self, name: str) -> int:
        """Stop a process by SIGTERM and return its exit code."""
        process = self.processes.pop(name)
        process.child.send_signal(signal.SIGTERM)
        return process.child.wait(_STOP_TIMEOUT_S)

    def stop_all(self) -> None:
        """End all processes."""
        for process in self.processes.values():
            process.child.terminate()
        for ending in self.processes.values():
            try:
                ending.child.wait(_STOP_TIMEOUT_S)
            except subprocess.TimeoutExpired:
                ending.child.kill()
        self.processes.clear()

    def _ports(self, number: int) -> int:
        return self.base_port + 10 + 3 * number

    def _start(
        self,
        name: str,
        module: list[str],
        arguments: list[str],
        *,
        wait: bool = True,
    ) -> None:
        with (self.folder / f'{name}.err').open('ab') as errors:
            child = subprocess.Popen(
                [sys.executable, '-m', *module, *arguments],
                stdout=subprocess.PIPE,
                stderr=errors,
            )
        self.processes[name] = Process(name, child, 0)
        if not wait:
            return
        line = child.stdout.readline()
        if not line.startswith(b'ready'):
            raise ProcessFailedError(name, self.folder)

    def _peers_of(self, name: str) -> str:
        found = []
        for place, other in enumerate(self.instances, start=1):
            if other != name:
                port = self.instance_port(place)
                found.append(f'{other}={HOST}:{port}')
        return ','.join(found)

    def _settings(self, number: int, proxies: int) -> dict[str, typing.Any]:
        port = self._ports(number)
        seeds = [
            {
                **_address(self._ports(other) + 1),
                'name': f'proxy-{other}',
                'zone': self.zone(other),
            }
            for other in range(1, proxies + 1)
            if other != number
        ]
        return {
            'cluster': self.shape.cluster,
            'cluster_key_file': str(self.key_file),
            'node': f'proxy-{number}',
            'region': self.shape.region,
            'zone': self.zone(number),
            'listeners': {
                'caller': _address(self.caller_port(number)),
                'peer': _address(port + 1),
                'operator': {
                    **_address(port + 2),
                    'key_file': str(self.operator_key),
                },
            },
            'store': {
                'kind': 'etcd',
                'endpoints': [_address(self.store_port)],
            },
            'vm_list': _address(self.store_port),
            'seeds': seeds,
            'groups': [self._group()],
            'log': {'destination': str(self.folder / f'proxy-{number}.log')},
            **self.overrides,
        }

    def _group(self) -> dict[str, typing.Any]:
        return {
            'name': self.shape.group,
            'connection_limit': self.shape.connection_limit,
            'owners': self.owners,
            'databases': list(self.shape.databases),
            'instances': [
                {
                    'name': name,
                    **_address(self.instance_port(place)),
                    'zone': self.shape.zones[place - 1],
                }
                for place, name in enumerate(self.instances, start=1)
            ],
        }


def _address(port: int) -> dict[str, typing.Any]:
    return {'host': HOST, 'port': port}


class ProcessFailedError(Exception):
    """A child process did not become ready."""

    def __init__(self, name: str, folder: pathlib.Path) -> None:
        """Remember which process failed and where its output is."""
        super().__init__(f'{name} did not start; see {folder}')
        self.name = name
