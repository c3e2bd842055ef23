"""Stand-in of the platform's store and of its promotion calls.

Both listen on loopback and speak HTTP/1.1 as the users' pages tell. The
store has no fault of its own; a case sets delays and outages.
"""

import asyncio
import base64
import functools
import json
import urllib.parse

PAGE = 500


class Http:
    """HTTP/1.1 server whose handler returns a status and a document."""

    def __init__(self, handler):
        """Serve with `await handler(method, path, query, headers, body)`."""
        self.handler = handler
        self.port = 0
        self.server = None

    async def listen(self):
        """Listen on a free loopback port."""
        self.server = await asyncio.start_server(
            self.serve, '127.0.0.1', 0, limit=4_194_304
        )
        self.port = self.server.sockets[0].getsockname()[1]

    async def serve(self, reader, writer):
        """Serve one connection."""
        try:
            while True:
                head = (await reader.readuntil(b'\r\n\r\n')).decode()
                first, *rest = head.split('\r\n')
                method, target, _version = first.split(' ')
                headers = {
                    name.lower(): text.strip()
                    for name, _, text in (
                        line.partition(':') for line in rest if line
                    )
                }
                size = int(headers.get('content-length', 0))
                body = await reader.readexactly(size)
                parts = urllib.parse.urlsplit(target)
                query = dict(urllib.parse.parse_qsl(parts.query))
                answer = await self.handler(
                    method, parts.path, query, headers, body
                )
                if answer is None:
                    # Nothing further comes on this connection.
                    await asyncio.sleep(60)
                    return
                status, document = answer
                data = json.dumps(document).encode()
                writer.write(
                    f'HTTP/1.1 {status} X\r\n'
                    'Content-Type: application/json\r\n'
                    f'Content-Length: {len(data)}\r\n\r\n'.encode()
                    + data
                )
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, OSError):
            return
        finally:
            writer.close()


class Store:
    """Metadata store.

    Attributes:
      answer_ms: Time until an answer.
      stale_ms: Age of reads that may be stale.
    """

    def __init__(self, clock):
        """Start empty; `clock()` returns milliseconds."""
        self.clock = clock
        self.answer_ms = 4
        self.stale_ms = 800
        self.items = {}
        self.revision = 100
        self.events = []
        self.snapshots = []
        self.leases = {}
        self.numbers = 5000
        self.changed = asyncio.Event()
        # Address of a database as one proxy reaches it, by proxy and key.
        self.addresses = {}
        self.ports = {}
        self.calls = []

    async def listen(self, proxies):
        """Listen on one port for each proxy, and let leases expire."""
        for proxy in proxies:
            http = Http(functools.partial(self.handle, proxy))
            await http.listen()
            self.ports[proxy] = http.port
        self.expiry = asyncio.create_task(self.expire())

    def shown(self, proxy, item):
        """Return an item as one proxy sees it."""
        address = self.addresses.get((proxy, item['key']))
        if address is None or 'value' not in item:
            return item
        entry = json.loads(base64.b64decode(item['value']))
        entry['address'] = address
        data = base64.b64encode(json.dumps(entry).encode()).decode()
        return {**item, 'value': data}

    def put(self, key, data, lease=0):
        """Write a key."""
        self.revision += 1
        known = self.items.get(key)
        self.items[key] = {
            'key': key,
            'value': base64.b64encode(data).decode(),
            'revision': self.revision,
            'created': known['created'] if known else self.revision,
            'lease': lease,
        }
        self.note(dict(self.items[key]))

    def remove(self, key):
        """Remove a key."""
        if key in self.items:
            self.revision += 1
            self.items.pop(key)
            self.note({'key': key, 'revision': self.revision, 'removed': True})

    def note(self, event):
        """Record a change and wake the watches."""
        self.events.append(event)
        self.snapshots.append((self.clock(), dict(self.items)))
        del self.snapshots[:-400]
        self.changed.set()
        self.changed = asyncio.Event()

    async def expire(self):
        """End leases that were not renewed."""
        while True:
            await asyncio.sleep(0.01)
            now = self.clock()
            for lease, (_ttl, until) in list(self.leases.items()):
                if until <= now:
                    self.end_lease(lease)

    def end_lease(self, lease):
        """End a lease and remove its keys."""
        if self.leases.pop(lease, None) is not None:
            for key, item in list(self.items.items()):
                if item['lease'] == lease:
                    self.remove(key)

    def view(self, stale):
        """Return the items that a read sees."""
        if not stale:
            return self.items
        since = self.clock() - self.stale_ms
        seen = {}
        for at, items in self.snapshots:
            if at > since:
                break
            seen = items
        return seen

    async def handle(self, proxy, method, path, query, _headers, body):
        """Answer one call of a proxy."""
        self.calls.append((self.clock(), proxy, path, query))
        if path == '/kv-watch':
            answer = await self.watch(query)
            await asyncio.sleep(self.answer_ms / 1000)
        else:
            await asyncio.sleep(self.answer_ms / 2000)
            answer = self.call(method, path, query, body)
            await asyncio.sleep(self.answer_ms / 2000)
        status, document = answer
        for part in ('items', 'events'):
            if part in document:
                items = [self.shown(proxy, item) for item in document[part]]
                document = {**document, part: items}
        return status, document

    def call(self, method, path, query, body):
        """Carry out one call."""
        if path == '/kv-key':
            item = self.items.get(query['key'])
            if item is None:
                return 404, {'currentRev': self.revision}
            return 200, {**item, 'currentRev': self.revision}
        if path == '/kv-range':
            items = self.view(query.get('allowStale') == '1')
            after = query.get('after', '')
            found = [
                items[key]
                for key in sorted(items)
                if key.startswith(query['prefix']) and key > after
            ]
            return 200, {
                'items': found[:PAGE],
                'hasMore': len(found) > PAGE,
                'currentRev': self.revision,
            }
        if path == '/kv-txn':
            return self.transact(json.loads(body))
        if path == '/kv-lease':
            ttl = max(int(json.loads(body)['ttlMs']), 1000)
            self.numbers += 1
            self.leases[self.numbers] = (ttl, self.clock() + ttl)
            return 200, {'lease': self.numbers, 'ttlMs': ttl}
        number = int(path.rpartition('/')[2])
        if path.startswith('/kv-keep/'):
            if number not in self.leases:
                return 404, {}
            ttl = self.leases[number][0]
            self.leases[number] = (ttl, self.clock() + ttl)
            return 200, {'ttlMs': ttl}
        if method == 'DELETE' and path.startswith('/kv-lease-end/'):
            self.end_lease(number)
            return 200, {}
        return 404, {}

    def transact(self, document):
        """Apply a conditional change."""
        for row in document.get('expect', []):
            item = self.items.get(row['key'])
            if (item['revision'] if item else 0) != row['revision']:
                shown = [
                    self.items[other['key']]
                    for other in document['expect']
                    if other['key'] in self.items
                ]
                return 412, {'items': shown}
        for row in document.get('puts', []):
            if row.get('lease') and row['lease'] not in self.leases:
                return 404, {}
        for row in document.get('puts', []):
            data = base64.b64decode(row['value'])
            self.put(row['key'], data, row.get('lease', 0))
        for key in document.get('deletes', []):
            self.remove(key)
        return 200, {'revision': self.revision}

    async def watch(self, query):
        """Wait for changes after a revision."""
        after = int(query['after'])
        until = self.clock() + int(query['waitMs'])
        while True:
            found = [
                event
                for event in self.events
                if event['revision'] > after
                and event['key'].startswith(query['prefix'])
            ]
            left = (until - self.clock()) / 1000
            if found or left <= 0:
                return 200, {'events': found, 'currentRev': self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                continue


class Orders:
    """Promotion calls of the platform.

    Attributes:
      promote: Called with the service and the instance.
      running: Returns whether an instance runs.
      policy: Called with the number of the call. It returns None for an
        answer at once, or after how many milliseconds the call is carried
        out without an answer; less than 0 for a call that is lost.
      seen: Calls as (time, holder, token, instance, what was done).
    """

    def __init__(self, clock, promote, running, *, fenced):
        """Answer every call at once until `policy` is set."""
        self.clock = clock
        self.promote = promote
        self.running = running
        self.fenced = fenced
        self.policy = lambda _number: None
        self.seen = []
        self.newest = 0
        self.http = Http(self.handle)

    async def handle(self, _method, _path, _query, headers, body):
        """Answer one promotion call."""
        document = json.loads(body)
        token = int(headers['x-fence-token'])
        holder = headers['x-duty-holder']
        late = self.policy(len(self.seen) + 1)
        known = (round(self.clock()), holder, token, document['id'])
        if late is None:
            status = self.carry_out(token, document)
            self.seen.append((*known, f'answered {status}'))
            return status, {}
        done = f'carried out after {late} ms' if late >= 0 else 'lost'
        self.seen.append((*known, f'not answered, {done}'))
        if late >= 0:
            asyncio.get_running_loop().call_later(
                late / 1000, self.carry_out, token, document
            )
        return None

    def carry_out(self, token, document):
        """Carry out a call; return its status."""
        if self.fenced and token < self.newest:
            return 409
        self.newest = max(self.newest, token)
        if not self.running(document['id']):
            return 409
        self.promote(document['service'], document['id'])
        return 200
