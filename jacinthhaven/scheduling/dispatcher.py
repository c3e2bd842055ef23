"""Allocation of the execution slots of one service to its owners.

It matters when the slots are short. Each owner sees only its own queue, and
the instances execute what all owners have sent in the order of arrival: if
owners sent statements on their own account, a queue without priorities would
grow at the instances until all statements are late. Therefore one owner, the
dispatcher, hands out permits: a statement is sent once a slot is about to be
free, in the order
of `queue_order` over all owners. A statement that
would have to wait too long to be in time is deferred or refused on arrival
(`admission`).

Statements of transactions that have begun need no permit, since their work
would otherwise be lost; the dispatcher counts them as reported.
"""

import typing

import msgspec

from jacinthhaven.scheduling import (
    admission,
    queue_order,
    shares,
    slot_table,
)
from jacinthhaven.sql import peer_messages

# Time without a report after which an owner is not expected to run anything.
_SILENT_MS = 300
# Time in which no statement has to wait after which permits are not required
# any more.
_CALM_MS = 200
# Longest time between two messages to an owner while permits are required: if
# it has waiting statements, and if not.
_ANSWER_MS = 20
_KEEP_ALIVE_MS = 100

Replies = list[tuple[str, peer_messages.PermitReply]]


class Grant(msgspec.Struct):
    """Permit that the owner has not confirmed yet.

    Attributes:
      instance: Instance that executes the statement.
      number: Number of the reply with the permit.
    """

    instance: str
    number: int


class Owner:
    """State of one owner as last reported.

    Attributes:
      number: Number of its last report.
      heard_ms: When that arrived.
      load: Load in that report.
      times: Times of its waiting statements, by number.
      deferred: Numbers of those that were not admitted in time.
      grants: Permits that the last report does not reflect, by statement.
      refused: Milliseconds after which refused statements may be repeated, by
        number of the statement.
      sent: Number of the last reply that granted a permit.
      sent_ms: When the last reply was sent.
      reply_due: Whether a reply has to be sent now.
    """

    __slots__ = (
        'number',
        'heard_ms',
        'load',
        'times',
        'deferred',
        'grants',
        'refused',
        'sent',
        'sent_ms',
        'reply_due',
    )

    def __init__(self) -> None:
        """Start without a report."""
        self.number = 0
        self.heard_ms = 0
        self.load = peer_messages.Load({}, ())
        self.times: dict[int, queue_order.Times] = {}
        self.deferred: set[int] = set()
        self.grants: dict[int, Grant] = {}
        self.refused: dict[int, int] = {}
        self.sent = 0
        self.sent_ms = 0
        self.reply_due = False

    def update(
        self, request: peer_messages.PermitRequest, now_ms: int
    ) -> list[peer_messages.Waiting]:
        """Take a report and return the statements that are new in it."""
        known = self.times
        self.number = request.number
        self.heard_ms = now_ms
        self.load = request.load
        self.times = {
            waiting.number: known.get(waiting.number)
            or queue_order.times_at(waiting, now_ms)
            for waiting in request.load.waiting
        }
        self.deferred.intersection_update(self.times)
        self.grants = {
            number: grant
            for number, grant in self.grants.items()
            if grant.number > request.answered
        }
        self.refused = {
            number: retry_ms
            for number, retry_ms in self.refused.items()
            if number in self.times
        }
        return [
            waiting
            for waiting in request.load.waiting
            if waiting.number not in known
        ]

    def forget(self) -> None:
        """Expect nothing of an owner that has fallen silent."""
        sent = self.sent
        self.__init__()
        self.sent = sent


class Dispatcher:
    """Queue of all owners of one service.

    Attributes:
      service: Name of the service.
      node: Name of this owner.
      owners: States of all owners by name.
      slots: Number of execution slots by instance.
      leader: Name of the primary, or ''.
      admission: Decides which new statements are deferred or refused.
      shares: Shares of the customers while permits are required.
      short_ms: When a statement last had to wait for a slot, or None.
      required: Whether permits were required at the last reply.
    """

    def __init__(self, service: str, node: str) -> None:
        """Start without owners; no permits are required."""
        self.service = service
        self.node = node
        self.owners: dict[str, Owner] = {}
        self.slots: typing.Mapping[str, int] = {}
        self.leader = ''
        self.admission = admission.Admission()
        self.shares = shares.SharesByPriority()
        self.short_ms: int | None = None
        self.required = False

    @property
    def limits_ms(self) -> admission.Limits:
        """Return the shortest target of the routes of each priority."""
        return self.admission.limits_ms

    @limits_ms.setter
    def limits_ms(self, limits_ms: admission.Limits) -> None:
        self.admission.limits_ms = limits_ms

    def required_at(self, now_ms: int) -> bool:
        """Return whether owners need permits."""
        return self.short_ms is not None and now_ms - self.short_ms < _CALM_MS

    def update_owners(self, names: set[str]) -> None:
        """Add new owners of the service and drop those that are none."""
        for name in self.owners.keys() - names:
            self.owners.pop(name)
        for added in names - self.owners.keys():
            self.owners[added] = Owner()

    def on_request(
        self,
        request: peer_messages.PermitRequest,
        now_ms: int,
    ) -> None:
        """Take the report of an owner and refuse what cannot be served."""
        owner = self.owners.get(request.sender)
        if owner is None or request.number <= owner.number:
            return
        if request.load.waiting and not self.required_at(now_ms):
            # The others have not reported their load yet.
            self.short_ms = now_ms
        new = owner.update(request, now_ms)
        if new:
            self._admit(request.sender, new, now_ms)

    def replies(self, now_ms: int) -> Replies:
        """Grant permits and return the messages that are due to owners."""
        self._forget_silent(now_ms)
        self._grant(now_ms)
        required = self.required_at(now_ms)
        changed = required != self.required
        self.required = required
        if changed:
            self.shares = shares.SharesByPriority()
        return [
            (name, self._reply(owner, now_ms))
            for name, owner in self.owners.items()
            if changed or owner.reply_due or self._is_overdue(owner, now_ms)
        ]

    def _forget_silent(self, now_ms: int) -> None:
        for owner in self.owners.values():
            if owner.number and now_ms - owner.heard_ms >= _SILENT_MS:
                owner.forget()

    def _is_overdue(self, owner: Owner, now_ms: int) -> bool:
        pause_ms = _ANSWER_MS if owner.load.waiting else _KEEP_ALIVE_MS
        return self.required and now_ms - owner.sent_ms >= pause_ms

    def _reply(self, owner: Owner, now_ms: int) -> peer_messages.PermitReply:
        owner.reply_due = False
        owner.sent_ms = now_ms
        return peer_messages.PermitReply(
            self.node,
            self.service,
            owner.sent,
            self.required,
            {number: grant.instance for number, grant in owner.grants.items()},
            dict(owner.refused),
        )

    def _queue(self, now_ms: int) -> list[queue_order.Entry]:
        entries = [
            self._entry(name, waiting, now_ms)
            for name, owner in self.owners.items()
            for waiting in owner.load.waiting
            if waiting.number not in owner.grants
            and waiting.number not in owner.refused
        ]
        return queue_order.in_order(entries, self.shares)

    def _grant(self, now_ms: int) -> None:
        queue = self._queue(now_ms)
        if not queue:
            return
        table = self._table()
        urgent = min(self.limits_ms, default=0)
        wanted_from = min(
            (
                entry.standing
                for entry in queue
                if entry.needs_primary and entry.has_link
            ),
            default=None,
        )
        for entry in queue:
            instance = table.choose(
                entry.waiting,
                is_urgent=entry.priority <= urgent,
                primary_is_wanted=wanted_from is not None
                and wanted_from <= entry.standing,
                may_queue=entry.standing is queue_order.Standing.IN_TIME,
            )
            if instance is None:
                if entry.has_link:
                    self.short_ms = now_ms
                continue
            table.busy[instance] += 1
            service_ms = entry.waiting.service_ms
            self.shares.serve(entry.group, entry.waiting.customer, service_ms)
            owner = self.owners[entry.owner]
            owner.sent += 1
            owner.reply_due = True
            owner.grants[entry.number] = Grant(instance, owner.sent)

    def _table(self) -> slot_table.SlotTable:
        """Return the slots with all statements that are in flight."""
        table = slot_table.SlotTable(self.slots, self.leader)
        for owner in self.owners.values():
            table.busy.update(owner.load.running)
            table.busy.update(grant.instance for grant in owner.grants.values())
        return table

    def _admit(
        self, name: str, new: list[peer_messages.Waiting], now_ms: int
    ) -> None:
        """Defer or refuse the new statements that would wait too long."""
        table = slot_table.SlotTable(self.slots, self.leader)
        owner = self.owners[name]
        decisions = self.admission.decide(
            self._queue(now_ms),
            {(name, waiting.number) for waiting in new},
            lambda entry: table.capacity(entry.waiting),
            now_ms,
        )
        for decision in decisions:
            if decision.refused:
                number = decision.entry.number
                owner.refused[number] = int(decision.wait_ms)
                owner.reply_due = True
            else:
                owner.deferred.add(decision.entry.number)

    def _entry(
        self, name: str, waiting: peer_messages.Waiting, now_ms: int
    ) -> queue_order.Entry:
        owner = self.owners[name]
        times = owner.times[waiting.number]
        return queue_order.Entry(
            queue_order.standing_at(
                waiting,
                times,
                now_ms,
                deferred=waiting.number in owner.deferred,
            ),
            waiting.priority,
            0,
            times.arrived_ms,
            name,
            waiting.number,
            waiting.instances == (self.leader,),
            waiting,
        )
