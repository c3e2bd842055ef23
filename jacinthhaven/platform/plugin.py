"""Implementations of the proxy's ports with the API of the platform."""

import itertools
import typing

from jacinthhaven.adapters import poller
from jacinthhaven.decide import messages
from jacinthhaven.platform import documents, duty, kv
from jacinthhaven.records import history, sql_settings, store
from jacinthhaven.sql import ports, records, registry

# Even a slow store responds within this time. After a lost response the caller
# waits for all of it.
_CALL_TIMEOUT_MS = 900


class PlatformDocuments(registry.Documents):
    """Keys and documents in the platform's store."""

    configuration_key = documents.CONFIGURATION_KEY
    own_prefix = documents.OWN_PREFIX
    watched_prefix = documents.WATCHED_PREFIX
    registry_prefix = documents.REGISTRY_PREFIX
    member_prefix = documents.MEMBER_PREFIX

    def configuration(self, text: str) -> records.Configuration | str:
        """Return the configuration, or the reason if it cannot be decoded."""
        try:
            return documents.decode_configuration(text)
        except documents.MALFORMED as error:
            return documents.describe(error)

    def instances(
        self,
        entries: registry.Entries,
        on_unusable: typing.Callable[[str, str], None],
    ) -> list[records.Instance]:
        """Return the instances of the entries that can be decoded."""
        return documents.decode_instances(entries, on_unusable)


class PlatformCalls(ports.Platform):
    """Store calls and promotion requests with callbacks.

    Attributes:
      on_handled: Called after the callback of each reply of the store.
    """

    def __init__(
        self,
        loop: poller.Poller,
        settings: sql_settings.SqlSettings,
    ) -> None:
        """Create the clients of the store and of the promotion API."""
        self.numbers = itertools.count(1)
        self.waiting: dict[int, ports.OnStore] = {}
        self.on_handled: typing.Callable[[], None] = _ignore
        self.store = kv.PlatformStore(
            loop,
            [settings.store.address.pair],
            self._on_reply,
            _CALL_TIMEOUT_MS,
        )
        self.store.watch_wait_ms = settings.store.watch_wait_ms
        self.orders = duty.PromotionOrders(
            loop,
            settings.promotion.address.pair,
            settings.node,
        )

    def call(self, request: store.Request, on_reply: ports.OnStore) -> int:
        """Call the store and pass the reply or the failure to the callback."""
        number = next(self.numbers)
        self.waiting[number] = on_reply
        self.store.call(messages.StoreCall(number, request))
        return number

    def use_way(self, node: records.Address | None) -> None:
        """Send the next store calls through another node, or directly."""
        self.store.use_way(node)

    def end_watch(self, number: int) -> None:
        """End a watch; its callback is not called afterwards."""
        self.waiting.pop(number, None)
        self.store.cancel(messages.StoreCancel(number))

    def promote(
        self,
        service: str,
        instance: str,
        fence: history.EraNumber,
        on_result: ports.OnOrder,
    ) -> None:
        """Ask the platform to make an instance the primary."""
        self.orders.promote(service, instance, fence, on_result)

    def _on_reply(self, message: messages.StoreReply) -> None:
        watching = isinstance(message.reply, store.WatchEvents)
        on_reply = self.waiting.get(message.number)
        if on_reply is None:
            return
        if not watching:
            self.waiting.pop(message.number)
        on_reply(message.era, message.reply)
        self.on_handled()


def _ignore() -> None:
    """Do nothing; default of an unset callback."""
