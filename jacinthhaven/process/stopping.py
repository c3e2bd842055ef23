"""Graceful stop of a proxy without interrupting requests.

First the health check fails, so that the load balancer sends no new callers,
while requests are still served. Then the listener closes, requests and
transactions finish, the slots are released and the lease is revoked.
"""

import typing

_POLL_INTERVAL_MS = 50
# The load balancer needs several failed health checks before it stops sending
# callers.
_UNREADY_MS = 1000
# Releasing the slots and revoking the lease need the store. If it does not
# respond in this time, the lease expires by itself.
_RELEASE_TIMEOUT_MS = 1000


class Stopping:
    """Runs the steps of the graceful stop of one process."""

    def __init__(self, application: typing.Any) -> None:
        """Create the steps for an application; `begin` starts them."""
        self.application = application
        self.begun_ms: int | None = None
        self.released_ms = 0

    def begin(self) -> None:
        """Start to drain; a second call stops the process at once."""
        app = self.application
        if self.begun_ms is not None:
            app.finish()
            return
        self.begun_ms = app.poller.clock.now_ms()
        app.callers.drain()
        app.switch.send(app.node.drain(self.begun_ms))
        app.poller.call_later(_POLL_INTERVAL_MS, self._check_drained)

    def _check_drained(self) -> None:
        app = self.application
        now_ms = app.poller.clock.now_ms()
        elapsed_ms = now_ms - self.begun_ms
        listener_closed = elapsed_ms >= _UNREADY_MS
        if listener_closed:
            app.callers.close()
        idle = listener_closed and app.node.idle and not app.callers.busy
        if idle or elapsed_ms >= app.settings.drain_ms:
            self.released_ms = now_ms
            app.switch.send(app.node.release(now_ms))
            app.poller.call_later(_POLL_INTERVAL_MS, self._check_released)
        else:
            app.poller.call_later(_POLL_INTERVAL_MS, self._check_drained)

    def _check_released(self) -> None:
        app = self.application
        now_ms = app.poller.clock.now_ms()
        app.switch.send(app.node.leave(now_ms))
        lease_revoked = app.node.cluster.membership.lease is None
        if lease_revoked or now_ms - self.released_ms >= _RELEASE_TIMEOUT_MS:
            app.finish()
        else:
            app.poller.call_later(_POLL_INTERVAL_MS, self._check_released)
