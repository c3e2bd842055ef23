"""Permits of one owner to send statements of one service to instances.

While slots are enough, owners send statements without permits, limited by
their windows. Once a statement has to wait, the owner reports its load to the
dispatcher of the service, which tells all owners that permits are required.
An owner that gets no answer turns to the next candidate; the last one is the
owner itself, so that it serves its clients also while it is cut off.
"""

import itertools
import typing

from jacinthhaven.sql import peer_messages

# Time without a message of the dispatcher after which permits are no longer
# required.
_VALID_MS = 250
# Interval at which a report without changes is repeated.
_REPEAT_MS = 20
# Time without an answer after which the dispatcher counts as unreachable, and
# the time for which the next candidate is asked instead.
_ANSWER_TIMEOUT_MS = 60
_AVOID_MS = 2000
# Owners that are asked before an owner grants permits to itself.
MAX_CANDIDATES = 2

SendRequest = typing.Callable[[str, peer_messages.PermitRequest], None]


class Permits:
    """Permits of one owner for one service.

    Attributes:
      service: Name of the service.
      node: Name of this owner.
      candidates: Names of the owners that may be the dispatcher, in the order
        in which they are asked.
      send: Sends a report to the owner with a name.
      avoid_until_ms: Time until which an unreachable candidate is not asked,
        by name.
      until_ms: Time until which permits are required.
      asked_ms: When the oldest report was sent that has no answer, or None.
      sent_ms: When the last report was sent.
      number: Number of the last report.
      answered: Number of the last answer.
      granted: Instances of granted permits, by number of the statement.
      refused: Milliseconds after which refused statements may be repeated, by
        number of the statement.
      numbers: Numbers of statements.
      last_load: Load in the last report.
      reported: Number of the answer in the last report.
    """

    def __init__(self, service: str) -> None:
        """Start without a dispatcher; no permits are required."""
        self.service = service
        self.node = ''
        self.send: SendRequest = _ignore
        self.candidates: tuple[str, ...] = ()
        self.avoid_until_ms: dict[str, int] = {}
        self.until_ms = 0
        self.asked_ms: int | None = None
        self.sent_ms = 0
        self.number = 0
        self.answered = 0
        self.granted: dict[int, str] = {}
        self.refused: dict[int, int] = {}
        self.numbers = itertools.count(1)
        self.last_load = peer_messages.Load({}, ())
        self.reported = 0

    def required(self, now_ms: int) -> bool:
        """Return whether statements may be sent with a permit only."""
        return now_ms < self.until_ms

    def dispatcher(self, now_ms: int) -> str:
        """Return the name of the owner that grants permits."""
        for name in self.candidates:
            if self.avoid_until_ms.get(name, 0) <= now_ms:
                return name
        return self.node

    def on_reply(self, reply: peer_messages.PermitReply, now_ms: int) -> None:
        """Take the permits and refusals in an answer of the dispatcher."""
        if reply.sender != self.dispatcher(now_ms):
            return
        self.asked_ms = None
        if reply.number < self.answered:
            return
        self.answered = reply.number
        self.until_ms = now_ms + _VALID_MS if reply.required else 0
        self.granted = dict(reply.granted)
        self.refused = dict(reply.refused)

    def report(self, load: peer_messages.Load, now_ms: int) -> None:
        """Report the load of this owner if the dispatcher has to know it."""
        if not load.waiting and not self.required(now_ms):
            self.asked_ms = None
            return
        if self._is_unanswered(now_ms):
            self._avoid_dispatcher(now_ms)
        if _is_same(load, self.last_load) and self.answered == self.reported:
            if now_ms - self.sent_ms < _REPEAT_MS:
                return
        self.last_load = load
        self.reported = self.answered
        self.sent_ms = now_ms
        self.number += 1
        if load.waiting and self.asked_ms is None:
            self.asked_ms = now_ms
        request = peer_messages.PermitRequest(
            self.node,
            self.service,
            self.number,
            self.answered,
            load,
        )
        self.send(self.dispatcher(now_ms), request)

    def _is_unanswered(self, now_ms: int) -> bool:
        if self.asked_ms is None:
            return False
        return now_ms - self.asked_ms >= _ANSWER_TIMEOUT_MS

    def _avoid_dispatcher(self, now_ms: int) -> None:
        """Turn to the next candidate, which knows nothing of this owner."""
        name = self.dispatcher(now_ms)
        if name != self.node:
            self.avoid_until_ms[name] = now_ms + _AVOID_MS
        self.asked_ms = None
        self.until_ms = 0
        self.answered = 0
        self.granted = {}
        self.refused = {}


def _is_same(load: peer_messages.Load, other: peer_messages.Load) -> bool:
    """Return whether two loads differ in waiting times at most."""
    return load.running == other.running and [
        _choices(waiting) for waiting in load.waiting
    ] == [_choices(waiting) for waiting in other.waiting]


def _choices(
    waiting: peer_messages.Waiting,
) -> tuple[int, set[str], set[str] | None]:
    linked = None if waiting.linked is None else set(waiting.linked)
    return (waiting.number, set(waiting.instances), linked)


def _ignore(_name: str, _request: peer_messages.PermitRequest) -> None:
    """Do nothing; default of an unset callback."""
