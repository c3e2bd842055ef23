"""Allocation of the execution slots of one service to its owners.

It matters when the slots are short. Each owner sees only its own queue, and
the instances execute what all owners have sent in the order of arrival: if
owners sent statements on their own account, a queue without priorities would
grow at the instances until all statements are late. Therefore one owner, the
dispatcher, hands out permits: a statement is sent once a slot is about to be
free, in the order of priority and arrival over all owners. A statement that
would have to wait too long is refused on arrival.

Statements of transactions that have begun need no permit, since their work
would otherwise be lost; the dispatcher counts them as reported.
"""

import typing

import msgspec

from jacinthhaven.scheduling import slot_table
from jacinthhaven.sql import peer_messages

# Maximum expected wait of an accepted statement, as a fraction of the shortest
# target among the routes of its priority. A longer queue would not serve more
# statements but make all of them wait longer.
_ADMISSION_SHARE = 0.3
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
      arrived_ms: When its waiting statements arrived, by number.
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
        'arrived_ms',
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
        self.arrived_ms: dict[int, int] = {}
        self.grants: dict[int, Grant] = {}
        self.refused: dict[int, int] = {}
        self.sent = 0
        self.sent_ms = 0
        self.reply_due = False

    def update(
        self, request: peer_messages.PermitRequest, now_ms: int
    ) -> list[peer_messages.Waiting]:
        """Take a report and return the statements that are new in it."""
        known = self.arrived_ms
        self.number = request.number
        self.heard_ms = now_ms
        self.load = request.load
        self.arrived_ms = {
            waiting.number: known.get(
                waiting.number, now_ms - waiting.waited_ms
            )
            for waiting in request.load.waiting
        }
        self.grants = {
            number: grant
            for number, grant in self.grants.items()
            if grant.number > request.answered
        }
        self.refused = {
            number: retry_ms
            for number, retry_ms in self.refused.items()
            if number in self.arrived_ms
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


class Entry(typing.NamedTuple):
    """Waiting statement in the order of the queue.

    Attributes:
      priority: Priority; 0 is the highest.
      arrived_ms: When it arrived at its owner.
      owner: Name of the owner.
      number: Number of the statement at its owner.
      waiting: Statement as reported.
    """

    priority: int
    arrived_ms: int
    owner: str
    number: int
    waiting: peer_messages.Waiting

    @property
    def key(self) -> tuple[int, int, str, int]:
        """Return the place in the queue."""
        return self[:4]


class Dispatcher:
    """Queue of all owners of one service.

    Attributes:
      service: Name of the service.
      node: Name of this owner.
      owners: States of all owners by name.
      slots: Number of execution slots by instance.
      leader: Name of the primary, or ''.
      limits_ms: Shortest target of the routes of each priority.
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
        self.limits_ms: typing.Mapping[int, int] = {}
        self.short_ms: int | None = None
        self.required = False

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
        for waiting in owner.update(request, now_ms):
            self._admit(request.sender, waiting)

    def replies(self, now_ms: int) -> Replies:
        """Grant permits and return the messages that are due to owners."""
        self._forget_silent(now_ms)
        self._grant(now_ms)
        required = self.required_at(now_ms)
        changed = required != self.required
        self.required = required
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

    def _queue(self) -> list[Entry]:
        entries = [
            self._entry(name, waiting)
            for name, owner in self.owners.items()
            for waiting in owner.load.waiting
            if waiting.number not in owner.grants
            and waiting.number not in owner.refused
        ]
        entries.sort(key=lambda entry: entry.key)
        return entries

    def _grant(self, now_ms: int) -> None:
        queue = self._queue()
        if not queue:
            return
        table = self._table()
        urgent = min(self.limits_ms, default=0)
        primary_is_wanted = any(
            table.needs_primary(entry.waiting) for entry in queue
        )
        for entry in queue:
            instance = table.choose(
                entry.waiting,
                is_urgent=entry.priority <= urgent,
                primary_is_wanted=primary_is_wanted,
            )
            if instance is None:
                self.short_ms = now_ms
                continue
            table.busy[instance] += 1
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

    def _admit(self, name: str, waiting: peer_messages.Waiting) -> None:
        """Refuse a new statement that would have to wait too long."""
        wait_ms = self._expected_wait_ms(self._entry(name, waiting))
        limit_ms = self.limits_ms.get(waiting.priority)
        if limit_ms is not None and wait_ms > limit_ms * _ADMISSION_SHARE:
            owner = self.owners[name]
            owner.refused[waiting.number] = int(wait_ms)
            owner.reply_due = True

    def _entry(self, name: str, waiting: peer_messages.Waiting) -> Entry:
        return Entry(
            waiting.priority,
            self.owners[name].arrived_ms[waiting.number],
            name,
            waiting.number,
            waiting,
        )

    def _expected_wait_ms(self, entry: Entry) -> float:
        """Return the expected wait of a statement for a slot."""
        table = slot_table.SlotTable(self.slots, self.leader)
        needs_primary = table.needs_primary(entry.waiting)
        ahead_ms = sum(
            other.waiting.service_ms
            for other in self._queue()
            if other.key < entry.key
            and table.needs_primary(other.waiting) == needs_primary
        )
        return ahead_ms / table.capacity(entry.waiting)
