"""The platform's store around its model, and its clients in the proxies."""

import dataclasses
import functools
import typing

import msgspec

from jacinthhaven.decide import messages
from jacinthhaven.kernel import failures
from jacinthhaven.records import presets, store
from jacinthhaven.standins import store_model
from scenarios import events

PLACE = 'store'
CONFIG = 'config'
PRESET = 'preset'
# Timeout of the store client in the default settings.
_TIMEOUT_MS = 1000
_LEASE_CHECK_MS = 100

Deliver = typing.Callable[[messages.StoreReply], None]


@dataclasses.dataclass(slots=True)
class Written:
    """One accepted change of a configuration document."""

    at_ms: int
    revision: int
    key: str
    change_id: str
    preset: str


class StoreServer:
    """The store as one place of the network.

    Attributes:
      delay_ms: Extra time that every call takes.
      lost_answers: Number of next writes whose answer is lost.
      written: Accepted changes of the configuration.
    """

    def __init__(self, network: events.Network) -> None:
        """Start without keys."""
        self.network = network
        self.events = network.events
        self.model = store_model.StoreModel()
        self.delay_ms = 0
        self.lost_answers = 0
        self.written: list[Written] = []
        self.watches: dict[tuple[int, int], Client] = {}
        network.zones[PLACE] = PLACE
        self._check_leases()

    def begin(self, documents: presets.Configuration, preset: str) -> None:
        """Store the first configuration."""
        for key, document in (
            (CONFIG, documents),
            (PRESET, presets.PresetChoice(change_id='first', name=preset)),
        ):
            text = msgspec.json.encode(document).decode()
            self.execute(store.SwapRequest((), (store.Put(key, text),)))

    def stop(self) -> None:
        """Start an outage: calls fail and watches end."""
        self.model.begin_outage()
        watches = self.watches
        self.watches = {}
        for key, client in watches.items():
            client.receive(key[1], _failure('the store is down'))

    def start(self) -> None:
        """End the outage."""
        if self.model.outage:
            self.model.end_outage(self.events.now_ms)

    def execute(self, request: store.Request) -> store_model.Reply:
        """Run a call and report the changes to the watches."""
        reply = self.model.call(request, self.events.now_ms)
        if isinstance(reply, store.SwapReply) and reply.succeeded:
            self._note(request, reply.revision)
        self.push()
        return reply

    def push(self) -> None:
        """Send the changes that the watches have not reported."""
        for key, client in tuple(self.watches.items()):
            for changes in self.model.take_events(key):
                client.receive(key[1], changes)

    def _note(self, request: store.SwapRequest, revision: int) -> None:
        for change in request.changes:
            if change.key in {CONFIG, PRESET}:
                document = msgspec.json.decode(change.value)
                self.written.append(
                    Written(
                        self.events.now_ms,
                        revision,
                        change.key,
                        document['change_id'],
                        document.get('name', ''),
                    ),
                )

    def _check_leases(self) -> None:
        self.model.advance(self.events.now_ms)
        self.push()
        self.events.after(_LEASE_CHECK_MS, self._check_leases)


class Client:
    """Store task of one proxy process."""

    def __init__(
        self,
        place: str,
        server: StoreServer,
        deliver: Deliver,
    ) -> None:
        """Create a client without calls."""
        self.server = server
        self.deliver = deliver
        self.events = server.events
        self.there = server.network.pipe(place, PLACE)
        self.back = server.network.pipe(PLACE, place)
        self.waiting: set[int] = set()

    def call(self, message: messages.StoreCall) -> None:
        """Send a call."""
        self.waiting.add(message.number)
        if isinstance(message.request, store.WatchRequest):
            self.there.send(functools.partial(self._watch, message))
            return
        self.there.send(functools.partial(self._arrive, message))
        expire = functools.partial(self._expire, message.number)
        self.events.after(_TIMEOUT_MS, expire)

    def cancel(self, message: messages.StoreCancel) -> None:
        """End a watch."""
        self.waiting.discard(message.number)
        self.server.watches.pop(self._key(message.number), None)
        self.server.model.close_watch(self._key(message.number))

    def close(self) -> None:
        """End all calls and watches, as the end of the process does."""
        for number in tuple(self.waiting):
            self.cancel(messages.StoreCancel(number))
        self.back.close()

    def receive(self, number: int, reply: store_model.Reply) -> None:
        """Send a reply or events from the store to the client."""
        self.back.send(functools.partial(self._receive, number, reply))

    def _key(self, number: int) -> tuple[int, int]:
        return id(self), number

    def _watch(self, message: messages.StoreCall) -> None:
        if message.number not in self.waiting:
            return
        key = self._key(message.number)
        refusal = self.server.model.open_watch(key, message.request)
        if refusal is None:
            self.server.watches[key] = self
            self.server.push()
        else:
            self.receive(message.number, refusal)

    def _arrive(self, message: messages.StoreCall) -> None:
        self.events.after(
            self.server.delay_ms,
            functools.partial(self._execute, message),
        )

    def _execute(self, message: messages.StoreCall) -> None:
        reply = self.server.execute(message.request)
        swap = isinstance(message.request, store.SwapRequest)
        if swap and self.server.lost_answers:
            self.server.lost_answers -= 1
        else:
            self.receive(message.number, reply)

    def _expire(self, number: int) -> None:
        self._receive(number, _failure('no answer in time'))

    def _receive(self, number: int, reply: store_model.Reply) -> None:
        if number not in self.waiting:
            return
        if not isinstance(reply, store.WatchEvents):
            self.waiting.discard(number)
        self.deliver(messages.StoreReply(number, reply))


def _failure(reason: str) -> failures.Failure:
    return failures.STORE_UNAVAILABLE.because(reason)
