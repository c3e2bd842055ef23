"""Tests of calls to the store through another node, on loopback."""

from jacinthhaven.decide import messages
from jacinthhaven.kernel import failures
from jacinthhaven.platform import kv, node_sockets, store_tunnel
from jacinthhaven.records import store
from jacinthhaven.standins import driver, kv_server


class _Path:
    """Store, a node that reaches it, and the store client of another."""

    def __init__(self) -> None:
        """Start the store and the node."""
        self.driver = driver.Driver()
        loop = self.driver.loop
        self.server = kv_server.KvServer(loop)
        store_port = self.server.server.listen((driver.HOST, 0))
        node = node_sockets.BorrowerSockets(loop)
        self.tunnels = store_tunnel.StoreTunnels(
            loop, (driver.HOST, store_port)
        )
        self.tunnels.may_open = self._is_open
        node.on_tunnel = self.tunnels.open
        node_port = node.listen((driver.HOST, 0))
        self.reaches_store = True
        self.replies: list[messages.StoreReply] = []
        # Nothing listens where the client would connect directly.
        self.client = kv.PlatformStore(
            loop, [(driver.HOST, 1)], self.replies.append, 500
        )
        self.client.use_way((driver.HOST, node_port))

    def call(self, request: store.Request):
        """Return the reply to one call."""
        before = len(self.replies)
        self.client.call(messages.StoreCall(before, request))
        self.driver.run_until(lambda: len(self.replies) > before)
        return self.replies[before].reply

    def _is_open(self) -> bool:
        return self.reaches_store


def test_store_is_read_and_written_through_a_node():
    """Guards against bytes that are lost or changed on the way."""
    path = _Path()
    put = store.Put('ours/k', 'x' * 100_000)
    assert path.call(store.SwapRequest((), (put,))).succeeded
    reply = path.call(store.ReadRequest('ours/'))
    assert [entry.value for entry in reply.entries] == [put.value]
    assert path.tunnels.opened == 1


def test_node_without_the_store_opens_no_tunnel():
    """Guards against chains of nodes that all lack the store."""
    path = _Path()
    path.reaches_store = False
    reply = path.call(store.ReadRequest('ours/'))
    assert isinstance(reply, failures.Failure)


def test_direct_calls_use_new_connections():
    """Guards against calls on old connections after the way has changed."""
    path = _Path()
    path.call(store.ReadRequest('ours/'))
    path.client.use_way(None)
    reply = path.call(store.ReadRequest('ours/'))
    assert isinstance(reply, failures.Failure)


def test_idle_tunnel_ends():
    """Guards against tunnels that stay open after their user has vanished."""
    path = _Path()
    path.call(store.ReadRequest('ours/'))
    assert path.client.connections
    begin_ms = path.driver.loop.clock.now_ms()
    path.driver.run_until(lambda: not path.client.connections, 500)
    spent_ms = path.driver.loop.clock.now_ms() - begin_ms
    assert spent_ms >= store_tunnel.IDLE_MS
    assert not path.server.server.connections


def test_tunnel_of_a_watch_stays_open():
    """Guards against a watch that is cut because nothing changes."""
    path = _Path()
    path.client.watch_wait_ms = 20_000
    watch = store.WatchRequest('ours/', 2)
    path.client.call(messages.StoreCall(7, watch))
    end_ms = path.driver.loop.clock.now_ms() + 2 * store_tunnel.IDLE_MS
    while path.driver.loop.clock.now_ms() < end_ms:
        path.driver.advance(50)
    events = [type(reply.reply) for reply in path.replies]
    assert events == [store.WatchEvents, store.WatchEvents]
    assert path.tunnels.opened == 1
