"""Planned stop of a proxy in steps, without cutting a request.

First the health check fails, so that the balancer sends callers elsewhere,
while requests are still served; then the listener closes, requests and
transactions finish, the slots are released and the lease ends.
"""

import typing

_STEP_MS = 50
# The balancer needs some health checks before it stops sending callers.
_NOTICE_MS = 1000
# Releases of slots and the end of the lease are store calls; without a
# store the lease expires by itself.
_RELEASE_MS = 1000


class Stopping:
    """Steps of the planned stop of one process."""

    def __init__(self, application: typing.Any) -> None:
        """Prepare the stop of an application."""
        self.application = application
        self.begun_ms: int | None = None
        self.released_ms = 0

    def begin(self) -> None:
        """Start to drain; a second call stops at once."""
        app = self.application
        if self.begun_ms is not None:
            app.finish()
            return
        self.begun_ms = app.poller.clock.now_ms()
        app.callers.drain()
        app.switch.send(app.node.drain(self.begun_ms))
        app.poller.call_later(_STEP_MS, self._drain)

    def _drain(self) -> None:
        app = self.application
        now_ms = app.poller.clock.now_ms()
        elapsed_ms = now_ms - self.begun_ms
        noticed = elapsed_ms >= _NOTICE_MS
        if noticed:
            app.callers.close()
        idle = noticed and app.node.idle and not app.callers.busy
        if idle or elapsed_ms >= app.settings.drain_ms:
            self.released_ms = now_ms
            app.switch.send(app.node.release(now_ms))
            app.poller.call_later(_STEP_MS, self._release)
        else:
            app.poller.call_later(_STEP_MS, self._drain)

    def _release(self) -> None:
        app = self.application
        now_ms = app.poller.clock.now_ms()
        app.switch.send(app.node.leave(now_ms))
        gone = app.node.cluster.membership.lease is None
        if gone or now_ms - self.released_ms >= _RELEASE_MS:
            app.finish()
        else:
            app.poller.call_later(_STEP_MS, self._release)
