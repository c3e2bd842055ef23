"""Reading of the store on behalf of all members.

Two members of each availability zone watch the store and prove once a
second that their copy is current. All others receive it by gossip, which
keeps the number of store calls independent of the number of members.
"""

import random
import typing

from jacinthhaven.decide import directory as directories
from jacinthhaven.decide import messages, store_calls
from jacinthhaven.kernel import backoff, failures, ranking
from jacinthhaven.records import store

_READERS_PER_ZONE = 2
_PROOF_INTERVAL_MS = 1000
# A watch that lags behind the proofs for this long is treated as lost.
_MAX_LAG_MS = 3000


class StoreReader:
    """Reads, watch and freshness proofs of this member.

    Attributes:
      active: Whether this member is one of the readers of its zone.
      watch: Call number of the watch; None without a watch.
    """

    def __init__(
        self,
        member_name: str,
        zone: str,
        directory: directories.Directory,
        numbers: typing.Iterator[int],
        rng: random.Random,
    ) -> None:
        """Start without a watch.

        Args:
          member_name: Name of this member.
          zone: Its availability zone.
          directory: Destination of what is read.
          numbers: Source of call numbers, shared within the process.
          rng: Source of the jitter.
        """
        self.member_name = member_name
        self.zone = zone
        self.directory = directory
        self.numbers = numbers
        self.active = False
        self.ranked_state = (-1, -1)
        self.watch: int | None = None
        self.read_call = store_calls.PendingCall(numbers)
        self.proof_call = store_calls.PendingCall(numbers)
        self.next_proof_ms = 0
        # Proved revision that the watch has not reached, and since when.
        self.lag: tuple[int, int] | None = None
        self.backoff = backoff.Backoff(rng)

    def handle(
        self,
        message: typing.Any,
        now_ms: int,
    ) -> list[typing.Any]:
        """Handle a reply of the store; other messages are ignored.

        Returns:
          Messages of type `StoreCall`, `StoreCancel`, `DecisionLine` and
          `Count`.
        """
        if not isinstance(message, messages.StoreReply):
            return []
        if message.number == self.watch:
            sent = self._on_watch(message.reply, now_ms)
        elif self.read_call.finish(message):
            sent = self._on_read(message.reply, now_ms)
        elif self.proof_call.finish(message):
            sent = self._on_proof(message.reply, now_ms)
        else:
            return []
        return sent + self.tick(now_ms)

    def tick(self, now_ms: int) -> list[typing.Any]:
        """Make the calls that are due.

        Returns:
          Messages of type `StoreCall`, `StoreCancel`, `DecisionLine` and
          `Count`.
        """
        sent = self._update_role()
        if self.read_call.expire(now_ms):
            sent += self._on_failure(now_ms)
        self.proof_call.expire(now_ms)
        sent += self._check_lag(now_ms)
        if self.active or not self.directory.complete:
            if now_ms >= self.backoff.retry_ms:
                sent += self._call_store(now_ms)
        return sent

    def _call_store(self, now_ms: int) -> list[typing.Any]:
        if self.watch is None:
            if self.read_call.request is None:
                request = store.ReadRequest('')
                return [self.read_call.start(request, now_ms)]
        elif self.proof_call.request is None and now_ms >= self.next_proof_ms:
            self.next_proof_ms = now_ms + _PROOF_INTERVAL_MS
            request = store.ReadRequest(directories.PRESET)
            return [self.proof_call.start(request, now_ms)]
        return []

    def _check_lag(self, now_ms: int) -> list[typing.Any]:
        if self.lag is None:
            return []
        revision, since_ms = self.lag
        if self.directory.complete >= revision:
            self.lag = None
        elif now_ms - since_ms > _MAX_LAG_MS:
            return self._end_watch('store_watch_lagging')
        return []

    def _update_role(self) -> list[typing.Any]:
        directory = self.directory
        state = (directory.complete, directory.members_hash)
        if state == self.ranked_state:
            return []
        self.ranked_state = state
        names = [
            member.name
            for member in directory.members.values()
            if member.zone == self.zone and not member.leaving
        ]
        readers = ranking.ranked(f'readers/{self.zone}', names)
        # The first member of a cluster has no other source.
        active = (
            self.member_name in readers[:_READERS_PER_ZONE]
            or not directory.members
        )
        if active == self.active:
            return []
        self.active = active
        line = {'active': active, 'zone': self.zone}
        sent: list[typing.Any] = [messages.DecisionLine('store_reader', line)]
        if not active:
            sent += self._end_watch('')
        return sent

    def _on_read(
        self,
        reply: store.Reply | failures.Failure,
        now_ms: int,
    ) -> list[typing.Any]:
        if not isinstance(reply, store.ReadReply):
            return self._on_failure(now_ms)
        self.backoff.reset()
        self.directory.apply_read(reply, now_ms)
        self.directory.record_proof(reply.revision, self.read_call.sent_ms)
        sent = self._update_role()
        if self.active:
            self.watch = next(self.numbers)
            request = store.WatchRequest('', reply.revision + 1)
            sent.append(messages.StoreCall(self.watch, request))
        return sent

    def _on_watch(
        self,
        reply: store.Reply | failures.Failure,
        now_ms: int,
    ) -> list[typing.Any]:
        if not isinstance(reply, store.WatchEvents):
            # The watch was lost, or its start revision was compacted.
            self.watch = None
            self.lag = None
            return self._on_failure(now_ms)
        if not self.directory.apply_events(reply, now_ms):
            return self._end_watch('store_watch_ambiguous')
        return []

    def _on_proof(
        self,
        reply: store.Reply | failures.Failure,
        now_ms: int,
    ) -> list[typing.Any]:
        if not isinstance(reply, store.ReadReply):
            return [messages.Count('store_proof_failures')]
        self.directory.record_proof(reply.revision, self.proof_call.sent_ms)
        if self.lag is None and reply.revision > self.directory.complete:
            self.lag = (reply.revision, now_ms)
        return []

    def _on_failure(self, now_ms: int) -> list[typing.Any]:
        self.backoff.fail(now_ms)
        return [messages.Count('store_read_failures')]

    def _end_watch(self, reason: str) -> list[typing.Any]:
        sent: list[typing.Any] = [messages.Count(reason)] if reason else []
        if self.watch is not None:
            sent.append(messages.StoreCancel(self.watch))
        self.watch = None
        self.lag = None
        return sent
