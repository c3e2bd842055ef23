"""Client of the platform's API for promoting an instance."""

import functools
import http

import msgspec

from jacinthhaven.adapters import http_client, http_messages, poller
from jacinthhaven.records import history
from jacinthhaven.sql import ports

# The platform may still carry out a request that timed out.
_TIMEOUT_MS = 2500


class PromotionOrders:
    """Sends promotion requests, each on a connection of its own."""

    def __init__(
        self,
        loop: poller.Poller,
        address: tuple[str, int],
        holder: str,
    ) -> None:
        """Send requests in the name of the node `holder`."""
        self.poller = loop
        self.address = address
        self.holder = holder

    def promote(
        self,
        service: str,
        instance: str,
        fence: history.EraNumber,
        on_result: ports.OnOrder,
    ) -> None:
        """Ask the platform to make an instance the primary of a service."""
        order = _PromotionRequest(self.poller, self.address, on_result)
        document = {'service': service, 'id': instance}
        order.client.send(
            '/failover',
            msgspec.json.encode(document),
            f'X-Duty-Holder: {self.holder}\r\nX-Fence-Token: {fence.encoded}\r\n',
        )


class _PromotionRequest:
    def __init__(
        self,
        loop: poller.Poller,
        address: tuple[str, int],
        on_result: ports.OnOrder,
    ) -> None:
        self.on_result = on_result
        self.done = False
        self.client = http_client.Client(loop, address)
        self.client.on_reply = self._on_reply
        lost = functools.partial(self._fail, 'connection lost')
        self.client.on_lost = functools.partial(loop.call_soon, lost)
        timeout = functools.partial(self._fail, 'no answer in time')
        loop.call_later(_TIMEOUT_MS, timeout)

    def _on_reply(self, message: http_messages.Message) -> None:
        status = message.status
        accepted = status == http.HTTPStatus.OK
        self._finish(
            ports.OrderResult(accepted, not accepted, f'status {status}'),
        )

    def _fail(self, reason: str) -> None:
        self._finish(ports.OrderResult(False, False, reason))

    def _finish(self, outcome: ports.OrderResult) -> None:
        if not self.done:
            self.done = True
            self.client.close()
            self.on_result(outcome)
