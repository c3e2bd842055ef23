"""Proxies of one case as separate processes, and clients of them."""

import asyncio
import json
import os
import pathlib
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time

from standin import databases, store

ROOT = pathlib.Path(__file__).resolve().parents[3]
# What `python3 -S` of the deploy file runs with on the users' platform.
DEPENDENCIES = ROOT / 'target' / 'deps'
SETTINGS = """node: {node}
zone: a
listeners:
  clients: 127.0.0.1:{clients}
  health: 127.0.0.1:{health}
  metrics: 127.0.0.1:{metrics}
  peers: 127.0.0.1:{peers}
store:
  address: 127.0.0.1:{store}
  watch_wait_ms: 4000
  apply_within_ms: 3000
promotion:
  address: 127.0.0.1:{orders}
  fenced: {fenced}
processor:
  share: 0.537
  speed: 2
grace_ms: 6000
first_start: false
seeds: []
"""
ROUTES = (
    ('settle', 'primary', 1, 0, 1000),
    ('board', 'bounded_staleness', 2, 1500, 3000),
    ('certs', 'read_your_writes', 2, 2500, 1000),
)


class NotReadyError(Exception):
    """The deployment did not become ready, so that the case cannot run."""


def now_ms():
    """Return the time on the steady clock in milliseconds."""
    return time.monotonic() * 1000


class Proxy:
    """One process of the project."""

    def __init__(self, name, folder):
        """Reserve free ports.

        The sockets do not listen, so that the process can listen on their
        ports while nobody else is given them.
        """
        self.name = name
        self.folder = folder
        self.process = None
        self.started_ms = 0
        self.reserved = [socket.socket() for _ in range(4)]
        for known in self.reserved:
            known.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            known.bind(('127.0.0.1', 0))
        self.ports = [known.getsockname()[1] for known in self.reserved]

    def configure(self, store_port, orders_port, *, fenced):
        """Write the settings."""
        clients, health, metrics, peers = self.ports
        self.file = pathlib.Path(self.folder) / f'{self.name}.yaml'
        self.file.write_text(
            SETTINGS.format(
                node=self.name,
                clients=clients,
                health=health,
                metrics=metrics,
                peers=peers,
                store=store_port,
                orders=orders_port,
                fenced=str(fenced).lower(),
            )
        )

    def start(self):
        """Start the process with the command of the deploy file."""
        log = (pathlib.Path(self.folder) / f'{self.name}.log').open('ab')
        self.process = subprocess.Popen(
            [sys.executable, '-S', '-m', 'jacinthhaven.process'],
            cwd=ROOT,
            stdout=log,
            stderr=subprocess.STDOUT,
            env={
                'PATH': os.environ['PATH'],
                'HOME': self.folder,
                'LANG': os.environ.get('LANG', 'C.UTF-8'),
                'PYTHONPATH': str(DEPENDENCIES),
                'PYTHONDONTWRITEBYTECODE': '1',
                'JACINTHHAVEN_NODE_FILE': str(self.file),
            },
        )
        log.close()
        self.started_ms = now_ms()

    async def ready(self):
        """Return whether the process reports itself ready."""
        try:
            reader, writer = await asyncio.open_connection(
                '127.0.0.1', self.ports[1]
            )
            writer.write(b'GET /ready HTTP/1.1\r\nHost: x\r\n\r\n')
            line = await asyncio.wait_for(reader.readline(), 1)
            writer.close()
        except (OSError, asyncio.TimeoutError):
            return False
        return b' 200 ' in line

    async def restart(self, delay_s=0.3):
        """Stop the process with SIGTERM, as a planned restart does."""
        self.process.send_signal(signal.SIGTERM)
        until = now_ms() + 6000
        while self.process.poll() is None and now_ms() < until:
            await asyncio.sleep(0.02)
        self.end()
        await asyncio.sleep(delay_s)
        self.start()

    def end(self):
        """End the process."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
        if self.process is not None:
            self.process.wait()

    def events(self, *kinds):
        """Return the logged events of some kinds."""
        found = []
        path = pathlib.Path(self.folder) / f'{self.name}.log'
        for line in path.read_text().splitlines():
            try:
                event = json.loads(line)
            except ValueError:
                continue
            if event.get('event') in kinds:
                found.append(event)
        return found


class Fleet:
    """Stand-ins and proxies of one case."""

    def __init__(self, record, *, size, fenced, sync=0, connections=34):
        """Prepare the deployment; nothing runs yet."""
        self.record = record
        self.zero = now_ms()
        self.folder = tempfile.mkdtemp(prefix='review-')
        self.fenced = fenced
        self.connections = connections
        self.sync = sync
        self.names = [f'n{number}' for number in range(1, size + 1)]
        self.store = store.Store(self.clock)
        self.group = databases.Group(
            self.clock, 'ledger', ['i-a', 'i-b', 'i-c'], fenced=fenced
        )
        self.group.sync = sync
        self.group.max_connections = connections
        self.orders = store.Orders(
            self.clock,
            self.group.order,
            self.group.is_running,
            fenced=fenced,
        )
        self.proxies = [Proxy(name, self.folder) for name in self.names]
        self.version = 0

    def clock(self):
        """Return the time of the case in milliseconds."""
        return now_ms() - self.zero

    def say(self, *parts):
        """Write one line of the record."""
        self.record.write(f'{self.clock():9.0f} ms  ')
        self.record.write(' '.join(map(str, parts)) + '\n')

    def configure(self):
        """Write the configuration as the operator."""
        self.version += 1
        routes = [
            {
                'name': f'r-{host}',
                'host': host,
                'routeType': kind,
                'timeoutMs': timeout,
                'targetLatencyMs': 400,
                'priority': priority,
                'service': 'ledger',
                'maxStalenessMs': age,
            }
            for host, kind, priority, age, timeout in ROUTES
        ]
        service = {
            'name': 'ledger',
            'maxConnections': self.connections,
            'syncReplicas': self.sync,
        }
        document = {
            'version': self.version,
            'routes': routes,
            'services': [service],
            'limits': {'txIdleMs': 3000},
        }
        self.store.put('op/config', json.dumps(document).encode())

    async def start(self):
        """Start everything and wait until it serves."""
        await self.store.listen(self.names)
        await self.orders.http.listen()
        for db in self.group.databases.values():
            await db.listen(self.names)
        self.beats = asyncio.create_task(
            databases.heartbeat(self.group, self.store)
        )
        self.configure()
        for proxy in self.proxies:
            proxy.configure(
                self.store.ports[proxy.name],
                self.orders.http.port,
                fenced=self.fenced,
            )
            proxy.start()
        until = now_ms() + 20_000
        for proxy in self.proxies:
            while not await proxy.ready():
                if now_ms() > until:
                    raise NotReadyError(proxy.name)
                await asyncio.sleep(0.05)
        for proxy in self.proxies:
            while not await self.serves(proxy):
                if now_ms() > until:
                    raise NotReadyError(proxy.name)
                await asyncio.sleep(0.1)
        # All members and owners are known by then.
        await asyncio.sleep(4)
        self.say('all proxies serve')

    async def serves(self, proxy):
        """Return whether a write through a proxy succeeds."""
        client = Client(self, proxy, 'settle', 'start')
        try:
            await client.open()
            answer = await client.query('WRITE start 1')
            return answer.ok
        except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
            return False
        finally:
            client.close()

    def close(self):
        """End all processes and remove the temporary folder."""
        for proxy in self.proxies:
            proxy.end()
            for known in proxy.reserved:
                known.close()
        if 'REVIEW_KEEP' not in os.environ:
            shutil.rmtree(self.folder, ignore_errors=True)


class Answer:
    """Answer to one statement."""

    def __init__(self, lines):
        """Take the lines of the answer."""
        self.lines = lines
        self.ok = any(line.startswith('COMPLETE') for line in lines)
        self.rows = [
            line.partition(' ')[2]
            for line in lines
            if line.startswith('DATAROW')
        ]
        self.outcome = next(
            line for line in lines if line.startswith(('COMPLETE', 'ERROR'))
        )


class Client:
    """Session of a client at one proxy."""

    numbers = 0

    def __init__(self, fleet, proxy, host, name):
        """Prepare a session."""
        self.fleet = fleet
        self.proxy = proxy
        self.host = host
        self.name = name
        self.last = ''

    async def open(self):
        """Connect and open the session."""
        self.reader, self.writer = await asyncio.open_connection(
            '127.0.0.1', self.proxy.ports[0], limit=2_097_152
        )
        self.writer.write(f'START {self.host} {self.name}\r\n'.encode())
        line = await asyncio.wait_for(self.reader.readuntil(b'\r\n'), 2)
        if not line.startswith(b'READY'):
            raise ConnectionResetError(line.decode())

    async def query(self, text, timeout_s=10):
        """Send a statement and return its answer."""
        Client.numbers += 1
        self.last = f'{Client.numbers:08x}'
        sent = self.fleet.clock()
        self.writer.write(f'QUERY {self.last} {text}\r\n'.encode())
        lines = []
        while not lines or not lines[-1].startswith('READY'):
            data = await asyncio.wait_for(
                self.reader.readuntil(b'\r\n'), timeout_s
            )
            lines.append(data.decode('latin-1').rstrip('\r\n'))
        answer = Answer(lines)
        self.fleet.say(
            f'{self.name} at {self.proxy.name}: sent at {sent:.0f} '
            f'{self.last} {text!r} -> {answer.outcome} | {lines[-1]}'
        )
        return answer

    def close(self):
        """Close the connection."""
        if hasattr(self, 'writer'):
            self.writer.close()


def run_case(case):
    """Run a case and return its exit code.

    The record goes to the file that is named on the command line.

    Args:
      case: Called with the open record; returns whether the rule was broken.
    """
    with pathlib.Path(sys.argv[1]).open('w') as record:
        try:
            broken = asyncio.run(asyncio.wait_for(case(record), 110))
        except Exception as error:
            # A failure of the case itself must not look like a broken rule.
            record.write(f'could not run: {error!r}\n')
            return 2
    return int(broken)
