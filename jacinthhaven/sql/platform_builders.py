"""Fake of the platform's store and of its promotion orders."""

import dataclasses
import itertools
import typing

import msgspec

from jacinthhaven.kernel import failures
from jacinthhaven.records import history, store
from jacinthhaven.sql import ports, records
from jacinthhaven.standins import key_space, sql_group, store_model

# Times of the client of the store.
_WATCH_WAIT_MS = 4000
_WATCH_MARGIN_MS = 700
_CALL_TIMEOUT_MS = 900
_ANSWER_MS = 4
# Time that a promotion takes.
_PROMOTE_MS = 300
# Unique among all nodes, which may share one model.
_NUMBERS = itertools.count(1)
# Fields of replies that hold numbers of the store, and fields with entries.
_NUMBERED = frozenset(
    ('revision', 'mod_revision', 'create_revision', 'lease'),
)
_NESTED = frozenset(('entries', 'changed'))


@dataclasses.dataclass(slots=True, eq=False)
class _Due:
    """Callback that is due at a time.

    Attributes:
      at_ms: When it is called.
      number: Number of the store call that it answers; 0 for none.
      callback: Function to call.
      arguments: Its arguments.
    """

    at_ms: int
    number: int
    callback: typing.Callable[..., None]
    arguments: tuple[typing.Any, ...] = ()


@dataclasses.dataclass(slots=True)
class Troubles:
    """Faults of a platform.

    Attributes:
      answer_ms: Time until an answer of the store.
      earlier: Older state of the store that stale reads return, or None.
      loses_orders: Whether orders get no answer and are not carried out.
    """

    answer_ms: int = _ANSWER_MS
    earlier: key_space.KeySpace | None = None
    loses_orders: bool = False


class FakePlatform(ports.Platform):
    """Platform on a store model that carries out promotion orders.

    Attributes:
      orders: Accepted orders as (service, instance, fence).
      sent: Fencing token of each order of all nodes that share this list, and
        the era that the node knew.
      known_era: Returns the era that the node knows.
      fenced: Whether an order with an older fencing token is refused.
      down: Whether the store refuses this node.
      way: Node through which calls are sent, or None.
      reaching: Addresses of nodes that the store serves.
      calls: Store calls so far.
      scheduled: Callbacks that are due later.
      watches: Callbacks of open watches by number.
      silent: Whether no call is answered, so that it fails after a while.
      troubles: Faults of the platform.
      watch_wait_ms: How long a poll of a watch waits for changes.
    """

    watch_wait_ms = _WATCH_WAIT_MS

    def __init__(
        self,
        model: store_model.StoreModel,
        group: sql_group.SqlGroup,
    ) -> None:
        """Use a store model and a database group, which may be shared."""
        self.model = model
        self.group = group
        self.orders: list[tuple[str, str, int]] = []
        self.sent: list[tuple[history.EraNumber, int]] = []
        self.known_era: typing.Callable[[], int] = _first_era
        self.fenced = True
        self.calls: list[store.Request] = []
        self.down = False
        self.way: records.Address | None = None
        self.reaching: set[records.Address] = set()
        self.scheduled: list[_Due] = []
        self.watches: dict[int, ports.OnStore] = {}
        self.requests: dict[int, store.WatchRequest] = {}
        self.now_ms = 0
        self.silent = False
        self.troubles = Troubles()

    @property
    def refused(self) -> bool:
        """Return whether calls fail on the present way."""
        return self.down if self.way is None else self.way not in self.reaching

    def call(self, request: store.Request, on_reply: ports.OnStore) -> int:
        """Run a call; its reply comes with the next `run`."""
        number = next(_NUMBERS)
        self.calls.append(request)
        if self.refused:
            self._fail(number, on_reply, 'cut off', _ANSWER_MS)
        elif self.silent:
            self._fail_later(number, request, on_reply)
        elif isinstance(request, store.WatchRequest):
            self._open_watch(number, _strip(request), on_reply)
        else:
            self.answer(number, on_reply, self.execute(request))
        return number

    def execute(self, request: store.Request) -> typing.Any:
        """Run a call at the store and return its reply."""
        earlier = self.troubles.earlier
        if earlier is not None and isinstance(request, store.ReadRequest):
            if request.may_be_stale:
                return _stamp(self.model.era, earlier.read(request.prefix))
        reply = self.model.call(_strip(request), self.now_ms)
        return _stamp(self.model.era, reply)

    def answer(
        self,
        number: int,
        on_reply: ports.OnStore,
        reply: typing.Any,
    ) -> None:
        """Deliver a reply of the store a little later."""
        era = 0 if self.model.outage else self.model.era
        self._schedule(self.troubles.answer_ms, number, on_reply, era, reply)

    def use_way(self, node: records.Address | None) -> None:
        """Send the next calls through another node, or directly."""
        self.way = node

    def silence_connections(self) -> None:
        """Let the open connections fall silent; new ones work.

        Watches notice it when their poll should have ended, and calls when
        their time has passed.
        """
        pending = [due for due in self.scheduled if due.number]
        self.scheduled = [due for due in self.scheduled if not due.number]
        for due in pending:
            self._fail(due.number, due.callback, 'silent', _CALL_TIMEOUT_MS)
        for number, on_watch in self.watches.items():
            self._fail_later(number, self.requests[number], on_watch)
        self.watches.clear()

    def delay_answers(self, delay_ms: int) -> None:
        """Let the answers of the store that are under way come later."""
        for due in self.scheduled:
            if due.number:
                due.at_ms += delay_ms

    def end_watch(self, number: int) -> None:
        """Remove a watch."""
        self.scheduled = [due for due in self.scheduled if due.number != number]
        self.watches.pop(number, None)

    def promote(
        self,
        service: str,
        instance: str,
        fence: history.EraNumber,
        on_result: ports.OnOrder,
    ) -> None:
        """Accept an order, and carry it out after a while.

        An order with an older fencing token is refused.
        """
        if self.troubles.loses_orders:
            lost = ports.OrderResult(False, False, 'no answer')
            self._schedule(_CALL_TIMEOUT_MS, 0, on_result, lost)
            return
        newest = max((known for known, _era in self.sent), default=fence)
        self.sent.append((fence, self.known_era()))
        if self.fenced and fence < newest:
            outcome = ports.OrderResult(False, True, 'old fence')
        else:
            self.orders.append((service, instance, fence))
            outcome = ports.OrderResult(True, False, 'done')
            self._schedule(_PROMOTE_MS, 0, self.group.promote, instance)
        self._schedule(_ANSWER_MS, 0, on_result, outcome)

    def run(self, now_ms: int) -> None:
        """Deliver replies and events that are due."""
        self.now_ms = now_ms
        self.model.advance(now_ms)
        ready = [due for due in self.scheduled if due.at_ms <= now_ms]
        for due in ready:
            # An earlier callback may have ended this call.
            if due in self.scheduled:
                self.scheduled.remove(due)
                due.callback(*due.arguments)
        if self.refused:
            self._lose_watches()
        for number, on_reply in tuple(self.watches.items()):
            if number not in self.model.watches:
                # The store was restored.
                self.watches.pop(number)
                self._fail(number, on_reply, 'connection lost', _ANSWER_MS)
                continue
            for events in self.model.take_events(number):
                on_reply(self.model.era, _stamp(self.model.era, events))

    def _open_watch(
        self,
        number: int,
        request: store.WatchRequest,
        on_reply: ports.OnStore,
    ) -> None:
        refusal = self.model.open_watch(number, request)
        if request.start_revision > self.model.space.revision + 1:
            self.model.close_watch(number)
            refusal = failures.STORE_UNAVAILABLE.because('no such revision')
        if refusal is not None:
            self.answer(number, on_reply, refusal)
            return
        self.watches[number] = on_reply
        self.requests[number] = request

    def _schedule(
        self,
        after_ms: int,
        number: int,
        callback: typing.Callable[..., None],
        *arguments: typing.Any,
    ) -> None:
        at_ms = self.now_ms + after_ms
        self.scheduled.append(_Due(at_ms, number, callback, arguments))

    def _fail(
        self,
        number: int,
        on_reply: ports.OnStore,
        reason: str,
        after_ms: int,
    ) -> None:
        lost = failures.STORE_UNAVAILABLE.because(reason)
        self._schedule(after_ms, number, on_reply, 0, lost)

    def _fail_later(
        self,
        number: int,
        request: store.Request,
        on_reply: ports.OnStore,
    ) -> None:
        """Fail a call or a watch once its time has passed."""
        after_ms = _CALL_TIMEOUT_MS
        if isinstance(request, store.WatchRequest):
            wait_ms = request.wait_ms or self.watch_wait_ms
            after_ms = wait_ms + _WATCH_MARGIN_MS
        self._fail(number, on_reply, 'silent', after_ms)

    def _lose_watches(self) -> None:
        """End all watches with a failure."""
        lost = failures.STORE_UNAVAILABLE.because('cut off')
        watches = self.watches
        self.watches = {}
        for on_reply in watches.values():
            on_reply(0, lost)


def _first_era() -> int:
    return history.FIRST_ERA


def _strip(request: store.Request) -> store.Request:
    """Return a request with the store's own numbers, without eras."""
    replace = msgspec.structs.replace
    match request:
        case store.WatchRequest() | store.ChangesRequest():
            last = history.EraNumber(request.start_revision - 1).number
            return replace(request, start_revision=last + 1)
        case store.KeepAliveRequest() | store.RevokeRequest():
            return replace(
                request, lease=history.EraNumber(request.lease).number
            )
        case store.SwapRequest():
            return store.SwapRequest(
                tuple(
                    replace(
                        known,
                        mod_revision=history.EraNumber(
                            known.mod_revision
                        ).number,
                    )
                    for known in request.compares
                ),
                tuple(_strip_lease(change) for change in request.changes),
            )
    return request


def _strip_lease(change: store.Put | store.Delete) -> store.Put | store.Delete:
    if isinstance(change, store.Delete):
        return change
    lease = history.EraNumber(change.lease).number
    return msgspec.structs.replace(change, lease=lease)


def _stamp(era: int, known: typing.Any) -> typing.Any:
    """Return a reply, or an entry of one, with numbers of an era."""
    if not isinstance(known, msgspec.Struct):
        return known
    stamped: dict[str, typing.Any] = {}
    for name in known.__struct_fields__:
        value = getattr(known, name)
        if name in _NUMBERED and value:
            stamped[name] = history.EraNumber.at(era, value)
        elif name in _NESTED:
            stamped[name] = tuple(_stamp(era, entry) for entry in value)
    return msgspec.structs.replace(known, **stamped)
