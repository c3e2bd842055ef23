"""The store model in virtual time, with counts of its calls."""

import collections
import functools
import typing

import msgspec

from jacinthhaven.decide import messages
from jacinthhaven.kernel import failures
from jacinthhaven.records import store
from jacinthhaven.standins import store_model
from scenarios import events

_ONE_WAY_MS = 1
# Default of the setting `store.call_timeout_ms`.
_TIMEOUT_MS = 1000
_EXPIRE_MS = 200
_MS_PER_S = 1000


class Store:
    """Store that answers after a short time, except to nodes cut off.

    Attributes:
      counts: Calls by kind, those that were cut off included.
      seconds: Calls by second of the virtual time.
      cut: Names of the nodes without contact.
      model: Keys, leases and watches.
    """

    def __init__(self, loop: events.Events) -> None:
        """Start without keys."""
        self.events = loop
        self.model = store_model.StoreModel()
        self.counts: collections.Counter[str] = collections.Counter()
        self.seconds: collections.Counter[int] = collections.Counter()
        self.cut: set[str] = set()
        self.watchers: dict[tuple[str, int], typing.Any] = {}
        # Whether each reply is a copy, as it is after its way over a socket;
        # needed to measure the memory of a node.
        self.copying = False
        self.notified = 0
        loop.after(_EXPIRE_MS, self._expire)

    def call(self, host: typing.Any, message: messages.StoreCall) -> None:
        """Run a call of a node."""
        self.counts[store_model.kind(message.request)] += 1
        self.seconds[self.events.now_ms // _MS_PER_S] += 1
        if host.name in self.cut:
            failure = failures.STORE_UNAVAILABLE.because('timeout')
            self._answer(host, message.number, failure, _TIMEOUT_MS)
        else:
            run = functools.partial(self._run, host, message)
            self.events.after(_ONE_WAY_MS, run)

    def cancel(self, host: typing.Any, message: messages.StoreCancel) -> None:
        """End a watch."""
        self.watchers.pop((host.name, message.number), None)
        self.model.close_watch((host.name, message.number))

    def isolate(self, hosts: typing.Iterable[typing.Any]) -> None:
        """Cut nodes off; their watches fail."""
        for host in hosts:
            self.cut.add(host.name)
            for place in tuple(self.watchers):
                if place[0] == host.name:
                    self.watchers.pop(place)
                    self.model.close_watch(place)
                    failure = failures.STORE_UNAVAILABLE.because('cut off')
                    self._answer(host, place[1], failure, _TIMEOUT_MS)

    def notify(self) -> None:
        """Report new changes to all watches."""
        if self.notified == self.model.space.revision:
            return
        self.notified = self.model.space.revision
        for place, host in self.watchers.items():
            self._notify_one(place, host)

    def _run(self, host: typing.Any, message: messages.StoreCall) -> None:
        request = message.request
        if isinstance(request, store.WatchRequest):
            place = (host.name, message.number)
            failure = self.model.open_watch(place, request)
            if failure is None:
                self.watchers[place] = host
                self._notify_one(place, host)
            else:
                self._answer(host, message.number, failure, _ONE_WAY_MS)
            return
        reply = self.model.call(request, self.events.now_ms)
        self._answer(host, message.number, reply, _ONE_WAY_MS)
        self.notify()

    def _answer(
        self,
        host: typing.Any,
        number: int,
        reply: typing.Any,
        delay_ms: float,
    ) -> None:
        if self.copying:
            reply = msgspec.msgpack.decode(
                msgspec.msgpack.encode(reply),
                type=type(reply),
            )
        found = messages.StoreReply(number, reply)
        self.events.after(delay_ms, functools.partial(host.deliver, found))

    def _expire(self) -> None:
        self.events.after(_EXPIRE_MS, self._expire)
        self.model.advance(self.events.now_ms)
        self.notify()

    def _notify_one(self, place: tuple[str, int], host: typing.Any) -> None:
        for found in self.model.take_events(place):
            self._answer(host, place[1], found, _ONE_WAY_MS)
