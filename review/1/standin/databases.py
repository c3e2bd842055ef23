"""Stand-in of the databases of one service.

A primary and its replicas on loopback, which speak the line protocol of the
users' pages. Each database has one port for each proxy, so that a case knows
through which proxy a statement came and can cut one of the ways.
"""

import asyncio
import json

END = b'\r\n'
# Time after which an old primary that reaches its successor follows it.
FOLLOW_MS = 1000


class Entry:
    """Committed transaction."""

    def __init__(self, term, number, at_ms, requests, writes):
        """Create the entry."""
        self.term = term
        self.number = number
        self.at_ms = at_ms
        self.requests = requests
        self.writes = writes


class Database:
    """One copy of the data.

    Attributes:
      log: Entries that it has received.
      leads: Whether it acts as the primary.
      work_ms: Time of a read or a write in a slot.
      state: State in its registry entry.
    """

    def __init__(self, group, name):
        """Create a replica with an empty log."""
        self.group = group
        self.name = name
        self.log = []
        self.applied_at = []
        self.term = 1
        self.leads = False
        self.paused = 0
        self.running = True
        self.registered = True
        self.state = 'ready'
        self.sequence = 0
        self.born = group.born
        self.work_ms = 8
        self.slots = asyncio.Semaphore(5)
        self.busy = 0
        self.open = set()
        self.ports = {}
        self.servers = []

    @property
    def received(self):
        """Return the position of the last received entry."""
        return self.position(len(self.log))

    def applied(self):
        """Return how many entries a read sees."""
        if self.leads:
            return len(self.log)
        now = self.group.clock()
        count = 0
        for at in self.applied_at:
            if at > now:
                break
            count += 1
        return count

    def position(self, count):
        """Return the position of an entry as text."""
        if not count:
            return '1.0'
        entry = self.log[count - 1]
        return f'{entry.term}.{entry.number}'

    def has(self, position):
        """Return whether a read sees a position."""
        term, number = map(int, position.split('.'))
        if number > self.applied():
            return False
        return number == 0 or self.log[number - 1].term == term

    def receive(self, entry):
        """Receive an entry from the primary."""
        if entry.number != len(self.log) + 1:
            return False
        self.log.append(entry)
        self.applied_at.append(self.group.clock() + self.group.lag_ms)
        return True

    def follow(self, other):
        """Take over the log of a primary."""
        self.leads = False
        self.term = other.term
        self.paused = 0
        kept = 0
        for mine, theirs in zip(self.log, other.log):
            if mine is not theirs:
                break
            kept += 1
        self.log = list(other.log)
        soon = self.group.clock() + self.group.lag_ms
        self.applied_at = self.applied_at[:kept]
        self.applied_at += [soon] * (len(self.log) - kept)

    def value(self, item):
        """Return the value of an item as a read sees it."""
        for entry in reversed(self.log[: self.applied()]):
            if item in entry.writes:
                return entry.writes[item]
        return 'none'

    def entry(self):
        """Return the registry entry; the store puts the address in."""
        return {
            'service': self.group.service,
            'address': '',
            'zone': 'a',
            'version': 'v1',
            'slots': 5,
            'state': self.state,
            'coldRemainingMs': 0,
            'dbRole': 'primary' if self.leads else 'replica',
            'sequence': self.sequence,
            'born': self.born,
        }

    async def listen(self, proxies):
        """Listen on one port for each proxy."""
        for proxy in proxies:
            server = await asyncio.start_server(
                lambda reader, writer, proxy=proxy: Connection(
                    self, proxy, reader, writer
                ).serve(),
                '127.0.0.1',
                0,
                limit=2_097_152,
            )
            self.servers.append(server)
            self.ports[proxy] = server.sockets[0].getsockname()[1]

    def stop(self):
        """Exit: all connections end and no new one is accepted."""
        self.running = False
        self.registered = False
        for server in self.servers:
            server.close()
        for connection in list(self.open):
            connection.writer.transport.abort()


class Group:
    """Databases of one service.

    Attributes:
      promote_ms: Time from an order until it takes effect.
      ran: What the databases ran, as (time, database, proxy, request, text,
        outcome).
      promoted: Promotions as (time, database, term).
      split: Requests that were committed at a primary after its successor
        had been promoted, with times.
    """

    def __init__(self, clock, service, names, *, fenced, sync=0):
        """Create the databases; the first one is the primary."""
        self.clock = clock
        self.service = service
        self.fenced = fenced
        self.sync = sync
        self.born = 1_790_000_000_000
        self.lag_ms = 8
        self.net_ms = 1
        self.promote_ms = 1000
        self.max_connections = 34
        self.ran = []
        self.promoted = []
        self.split = []
        self.lost = []
        self.databases = {name: Database(self, name) for name in names}
        self.primary = self.databases[names[0]]
        self.primary.leads = True
        self.acknowledged = []
        self.cut = set()

    def add(self, name):
        """Create one more replica with the log of the primary."""
        added = Database(self, name)
        added.follow(self.primary)
        self.databases[name] = added
        return added

    def is_running(self, name):
        """Return whether a database runs."""
        return name in self.databases and self.databases[name].running

    def order(self, _service, name):
        """Promote a database in a moment."""
        asyncio.get_running_loop().call_later(
            self.promote_ms / 1000, self.promote, name
        )

    def promote(self, name):
        """Make a database the primary with what it has received."""
        chosen = self.databases[name]
        if chosen is self.primary or not chosen.running:
            return
        old = self.primary
        self.primary = chosen
        chosen.term = max(db.term for db in self.databases.values()) + 1
        chosen.leads = True
        chosen.paused = 0
        self.promoted.append((round(self.clock()), name, chosen.term))
        kept = set(map(id, chosen.log))
        self.lost.extend(
            (request, round(self.clock()), name)
            for at, entry in self.acknowledged
            if id(entry) not in kept
            for request in entry.requests
        )
        for db in self.databases.values():
            if db is chosen:
                continue
            if db is old and not self.fenced:
                loop = asyncio.get_running_loop()
                loop.call_later(FOLLOW_MS / 1000, self.rejoin, db, chosen.term)
                continue
            if not db.leads or self.fenced:
                db.follow(chosen)

    def rejoin(self, db, term):
        """Let an old primary follow its successor."""
        if db.leads and db is not self.primary and db.term < term:
            db.follow(self.primary)

    async def commit(self, db, requests, writes):
        """Commit a transaction at a primary.

        Returns:
          Whether it may be acknowledged.
        """
        entry = Entry(
            db.term, len(db.log) + 1, round(self.clock()), requests, writes
        )
        db.log.append(entry)
        db.applied_at.append(self.clock())
        if db is not self.primary:
            self.split.extend(
                (request, entry.at_ms, db.name) for request in requests
            )
            return True
        got = asyncio.Event()
        for other in self.databases.values():
            if other is not db:
                asyncio.get_running_loop().call_later(
                    self.net_ms / 1000, self.deliver, db, other, entry, got
                )
        if self.sync:
            await got.wait()
        self.acknowledged.append((round(self.clock()), entry))
        return True

    def deliver(self, source, target, entry, got):
        """Replicate one entry."""
        if target.paused or target.leads or not target.running:
            return
        if source is not self.primary:
            return
        if len(target.log) < entry.number - 1:
            missing = source.log[len(target.log) : entry.number - 1]
            for earlier in missing:
                target.receive(earlier)
        if target.receive(entry):
            got.set()


class Connection:
    """Connection of a proxy to one database."""

    def __init__(self, db, proxy, reader, writer):
        """Take over an accepted connection."""
        self.db = db
        self.group = db.group
        self.proxy = proxy
        self.reader = reader
        self.writer = writer
        self.state = 'I'
        self.read_only = False
        self.writes = {}
        self.requests = []
        self.prepared = {}

    async def serve(self):
        """Serve until the connection ends."""
        try:
            await self.run()
        except (asyncio.IncompleteReadError, ConnectionError, OSError):
            return
        finally:
            self.db.open.discard(self)
            self.writer.close()

    async def line(self):
        """Return the next line; nothing passes while the way is cut."""
        data = await self.reader.readuntil(END)
        while (self.proxy, self.db.name) in self.group.cut:
            await asyncio.sleep(0.01)
        return data[:-2].decode('latin-1')

    async def send(self, *lines):
        """Send lines."""
        while (self.proxy, self.db.name) in self.group.cut:
            await asyncio.sleep(0.01)
        self.writer.write(
            b''.join(line.encode('latin-1') + END for line in lines)
        )
        await self.writer.drain()

    def ready(self):
        """Return the line that ends an answer."""
        return f'READY {self.state} {self.db.position(self.db.applied())}'

    async def run(self):
        """Open the connection and run its statements."""
        _word, service, _who, *name = (await self.line()).split(' ')
        if service != self.group.service or name not in ([], [self.db.name]):
            await self.send('ERROR MISROUTED -')
            return
        if len(self.db.open) >= self.group.max_connections:
            await self.send('ERROR CONNLIMIT -')
            return
        self.db.open.add(self)
        async with self.db.slots:
            await asyncio.sleep(0.012)
        await self.send(self.ready())
        while True:
            line = await self.line()
            if line == 'TERMINATE':
                return
            _word, request, text = line.split(' ', 2)
            arrived = round(self.group.clock())
            answer = await self.execute(request, text)
            self.group.ran.append(
                (
                    arrived,
                    round(self.group.clock()),
                    self.db.name,
                    self.proxy,
                    request,
                    text,
                    answer[-1],
                )
            )
            await self.send(*answer, self.ready())

    async def execute(self, request, text):
        """Return the lines of an answer without the last one."""
        if text.startswith('WAITPOS '):
            _word, position, text = text.split(' ', 2)
            if not self.db.has(position):
                return self.fail('LAGGING')
        verb, _, rest = text.partition(' ')
        if self.state == 'E' and verb not in {'COMMIT', 'ROLLBACK'}:
            return ['ERROR MALFORMED -']
        if verb in {'READ', 'WRITE', 'COMMIT', 'EXECUTE', 'STATUS'}:
            self.db.busy += 1
            async with self.db.slots:
                work = 1 if verb == 'STATUS' else self.db.work_ms
                await asyncio.sleep(work / 1000)
                self.db.busy -= 1
                return await self.run_now(request, verb, rest)
        return await self.run_now(request, verb, rest)

    def fail(self, code):
        """Refuse a statement."""
        if self.state == 'T':
            self.state = 'E'
        return [f'ERROR {code} {self.db.name}']

    async def run_now(self, request, verb, rest):
        """Run a statement."""
        db = self.db
        lost_lead = self.state == 'T' and not self.read_only and not db.leads
        if verb == 'BEGIN':
            self.read_only = rest == 'READ'
            if not self.read_only and not db.leads:
                return self.fail('READONLY')
            self.state = 'T'
            return ['COMPLETE -']
        if verb == 'EXECUTE':
            name, _, rest = rest.partition(' ')
            if name not in self.prepared:
                return self.fail('NOSTMT')
            verb = self.prepared[name]
        if verb == 'READ':
            if lost_lead:
                return self.fail('READONLY')
            item = rest.split(' ')[0]
            row = self.writes.get(item, db.value(item))
            return [f'DATAROW {row}', f'COMPLETE {db.name}.{request}']
        if verb == 'WRITE':
            item, _, data = rest.partition(' ')
            if not db.leads or self.state == 'T' and self.read_only:
                return self.fail('READONLY')
            if self.state == 'T':
                self.writes[item] = data
                self.requests.append(request)
            else:
                await self.group.commit(db, [request], {item: data})
            return [f'COMPLETE {db.name}.{request}']
        if verb == 'COMMIT':
            if self.state == 'E':
                self.end()
                return ['COMPLETE -']
            if self.writes and not db.leads:
                return self.fail('READONLY')
            if self.writes:
                await self.group.commit(
                    db, [*self.requests, request], dict(self.writes)
                )
            self.end()
            return [f'COMPLETE {db.name}.{request}']
        return self.control(verb, rest)

    def control(self, verb, rest):
        """Run a statement that touches no data."""
        db = self.db
        if verb == 'ROLLBACK':
            self.end()
        elif verb == 'PREPARE':
            name, kind, _shape = rest.split(' ', 2)
            self.prepared[name] = kind
        elif verb == 'RESET':
            self.prepared.clear()
        elif verb == 'DEALLOC':
            self.prepared.pop(rest, None)
        elif verb == 'SET':
            return ['COMPLETE -']
        elif verb in {'STATUS', 'PAUSE', 'RESUME', 'DEMOTE'}:
            return self.status(verb, rest)
        else:
            return self.fail('MALFORMED')
        return ['COMPLETE -']

    def status(self, verb, rest):
        """Run a control command and return the status row."""
        db = self.db
        if verb == 'PAUSE' and not db.leads and int(rest) > db.term:
            db.paused = int(rest)
        elif verb == 'RESUME':
            db.paused = 0
            if not db.leads:
                db.follow(self.group.primary)
        elif verb == 'DEMOTE' and db.leads and db.term < int(rest):
            if db is not self.group.primary:
                db.follow(self.group.primary)
        role = 'primary' if db.leads else 'replica'
        row = f'{role} {db.term} {db.received} {db.paused} 0 {db.busy}'
        return [f'DATAROW {row} {len(db.open)}', 'COMPLETE -']

    def end(self):
        """End the transaction."""
        self.state = 'I'
        self.writes = {}
        self.requests = []


async def heartbeat(group, store):
    """Report all databases to the store.

    A change is reported at once, anything else every 1,200 ms.
    """
    told = {}
    while True:
        for name, db in list(group.databases.items()):
            shown = (db.registered, db.state, db.leads)
            last, at = told.get(name, (None, 0))
            if shown == last and (
                not db.registered or group.clock() - at < 1200
            ):
                continue
            told[name] = (shown, group.clock())
            db.sequence += 1
            key = f'servers/{name}'
            if db.registered:
                for proxy, port in db.ports.items():
                    store.addresses[proxy, key] = f'127.0.0.1:{port}'
                store.put(key, json.dumps(db.entry()).encode())
            else:
                store.remove(key)
        await asyncio.sleep(0.02)
