"""Choice of a successor and the order that makes it the primary.

Where the platform checks no fencing numbers, all nodes first stop using the
old primary (`rights`), and the chosen successor is noted in the store before
the order is sent. Whoever has the duty after that finds the note and orders
the same instance again, until it leads or the order cannot act any more.
"""

import enum

from jacinthhaven.records import store
from jacinthhaven.sql import (
    commands,
    duty,
    group,
    notes,
    peering,
    ports,
    records,
    rights,
    scripts,
)

_POLL_MS = 60
# How long a planned replacement waits for its successor to catch up.
_CATCH_UP_MS = 1500
_CATCH_UP_STEP_MS = 100
# How long a stopped primary is waited for to pass on what it has.
_LAST_CATCH_UP_MS = 300
# Limit and steps of the time in which all nodes stop using a primary; the
# right of a node that does not answer expires meanwhile.
_STOP_LIMIT_MS = 2 * rights.RIGHT_MS
_STOP_STEP_MS = 30
# Attempts to write the note about a successor.
_NOTE_ATTEMPTS = 2

Found = dict[str, records.InstanceStatus | None]
Statuses = dict[str, records.InstanceStatus]


class Cause(enum.Enum):
    """Why a primary is replaced."""

    LEAVING = 'leaving'
    UNREACHABLE = 'unreachable'
    REPLICAS_LAG = 'replicas lag'
    INTERRUPTED = 'interrupted'


# The old primary still answers, so that nothing has to be lost.
_PLANNED = frozenset((Cause.LEAVING, Cause.REPLICAS_LAG))


class Succession:
    """Replacement of the primary of one service by this node.

    Attributes:
      acknowledging: Replicas that hold a commit before its acknowledgement.
      orders: What is known of earlier orders.
      now_ms: Current time.
    """

    def __init__(
        self,
        service: group.Group,
        held: duty.Duty,
        keys: notes.Keys,
        peers: peering.Peering,
        journal: ports.Journal,
    ) -> None:
        """Prepare to replace primaries under a duty."""
        self.service = service
        self.duty = held
        self.keys = keys
        self.peers = peers
        self.journal = journal
        self.orders = notes.Orders()
        self.acknowledging = 0
        self.now_ms = 0

    def replace(self, old: str, cause: Cause) -> scripts.Script:
        """Take the duty, choose a successor and order its promotion."""
        fence = yield from self.duty.take(self._now)
        if not fence:
            return
        term = self.service.leadership.term
        chosen = yield from self._choose(old, cause, term)
        if not chosen:
            yield from self._give_up(old, term)
            return
        noted = yield from self._announce(chosen, term + 1)
        if not noted:
            return
        self.journal.write(
            'promote',
            {
                'service': self.service.name,
                'instance': chosen,
                'replaces': old,
                'cause': cause.value,
                'fence': fence,
                'term': term,
            },
        )
        yield from self._order(old, chosen, term)

    def _now(self) -> int:
        return self.now_ms

    def _order(self, old: str, chosen: str, term: int) -> scripts.Script:
        """Send the order and wait until the successor leads."""
        started_ms = self.now_ms
        order = yield scripts.Promote(
            self.service.name,
            chosen,
            self.duty.fence,
            self.duty.until_ms,
        )
        self.journal.write(
            'promote_result',
            {
                'service': self.service.name,
                'instance': chosen,
                'fence': self.duty.fence,
                'accepted': order.accepted,
                'reason': order.reason,
            },
        )
        if order.refused:
            self.service.leadership.expected_ms = None
            yield from self._give_up(old, term)
            return
        if self.service.right.required:
            if order.accepted:
                yield self._note(chosen, term + 1, moving=True, accepted=True)
            else:
                self.orders.unanswered(self.now_ms)
        yield from self._await(chosen, started_ms)
        if self.service.right.required and old in self.service.pool.states:
            yield scripts.Broadcast((old,), commands.Demote(term + 1))

    def _announce(self, chosen: str, term: int) -> scripts.Script:
        """Note the successor while the duty is held; return whether it is.

        An old fencing number is refused anyway where the platform checks it.
        """
        attempts = _NOTE_ATTEMPTS
        while attempts:
            attempts -= 1
            kept = yield from self.duty.keep(self._now)
            reply = None
            if kept:
                reply = yield self._note(chosen, term, moving=True)
            if isinstance(reply, store.SwapReply):
                return reply.succeeded
            if not self.service.right.required:
                return True
        return False

    def _give_up(self, old: str, term: int) -> scripts.Script:
        """Let all nodes use the primary again, unless an order may act."""
        fence = self.duty.fence
        if not self.service.right.required or self.orders.pending(
            term,
            fence,
            self.now_ms,
        ):
            return
        self.journal.write(
            'promotion_given_up',
            {'service': self.service.name, 'fence': fence, 'term': term},
        )
        yield self._note(old, term, moving=False)

    def _choose(self, old: str, cause: Cause, term: int) -> scripts.Script:
        """Return the successor, or '' if there is none or none is needed."""
        if not self.service.right.required:
            return (yield from self._choose_replica(old, cause, term))
        pending = self.orders.pending(term, self.duty.fence, self.now_ms)
        if pending:
            self.orders.repeat()
        elif cause in _PLANNED:
            ready = yield from self._choose_replica(old, cause, term)
            if not ready:
                return ''
        stopped = yield from self._withdraw(term)
        if not stopped:
            return ''
        if pending:
            return pending
        return (yield from self._choose_apart(old, cause, term))

    def _choose_apart(
        self,
        old: str,
        cause: Cause,
        term: int,
    ) -> scripts.Script:
        """Return the successor once nobody uses the old primary, or ''."""
        if cause in _PLANNED:
            statuses = yield from self._ask_replicas(old)
            yield from self._catch_up(old, statuses, _LAST_CATCH_UP_MS)
            return _most_advanced(statuses, self._candidates(old))
        if cause is Cause.INTERRUPTED:
            found = yield scripts.Broadcast((old,), commands.AskStatus())
            if found[old] is not None and found[old].is_primary:
                return ''
        return (yield from self._choose_replica(old, Cause.UNREACHABLE, term))

    def _withdraw(self, term: int) -> scripts.Script:
        """Return whether all nodes have stopped using a term."""
        since_ms = self.now_ms
        complete = False
        over = False
        while not over:
            withdrawal = self.peers.withdraw(
                self.service.name,
                term,
                self.duty.fence,
                self.now_ms,
            )
            complete = withdrawal.is_complete(self.now_ms)
            late = self.now_ms - since_ms >= _STOP_LIMIT_MS
            over = complete or late or withdrawal.newest > term
            if not over:
                yield scripts.Sleep(_STOP_STEP_MS)
        self.journal.write(
            'withdrawn',
            {
                'service': self.service.name,
                'term': term,
                'newest': withdrawal.newest,
                'fence': self.duty.fence,
                'stopped': len(withdrawal.stopped),
                'missing': ' '.join(withdrawal.missing()),
                'complete': complete,
                'spent_ms': self.now_ms - since_ms,
            },
        )
        return complete and withdrawal.newest == term

    def _choose_replica(
        self, old: str, cause: Cause, term: int
    ) -> scripts.Script:
        """Return the replica that takes over, or ''."""
        statuses = yield from self._ask_replicas(old)
        if self._follow_primary(statuses, term):
            return ''
        if cause is not Cause.UNREACHABLE:
            complete = yield from self._catch_up(old, statuses, _CATCH_UP_MS)
            if cause is Cause.REPLICAS_LAG and not complete:
                return ''
        chosen = _most_advanced(statuses, self._candidates(old))
        if self.acknowledging and chosen:
            replicas = self._others(old)
            settled = yield from self._settle(chosen, replicas, cause, term)
            if not settled:
                yield from self._resume('')
                return ''
        return chosen

    def _ask_replicas(self, old: str) -> scripts.Script:
        """Return the status of each replica that answers."""
        found = yield scripts.Broadcast(self._others(old), commands.AskStatus())
        return _answered(found)

    def _others(self, instance: str) -> tuple[str, ...]:
        """Return the instances of the service without one."""
        return tuple(
            name for name in self.service.pool.states if name != instance
        )

    def _candidates(self, old: str) -> set[str]:
        """Return the replicas that stay."""
        return {
            name
            for name, state in self.service.pool.states.items()
            if name != old and state.leaving_ms is None
        }

    def _settle(
        self,
        chosen: str,
        replicas: tuple[str, ...],
        cause: Cause,
        term: int,
    ) -> scripts.Script:
        """Return whether a replica has all that may be acknowledged.

        Stopped replicas acknowledge nothing more, so that afterwards only
        the chosen one can. A primary that is lost sends it nothing more.
        """
        others = tuple(name for name in replicas if name != chosen)
        stopped = others if cause is Cause.LEAVING else replicas
        found = yield scripts.Broadcast(stopped, commands.Pause(term + 1))
        statuses = _answered(found)
        if len(statuses) < len(stopped):
            return False
        until_ms = self.now_ms + _CATCH_UP_MS
        while self.now_ms < until_ms:
            found = yield scripts.Broadcast((chosen,), commands.AskStatus())
            statuses.update(_answered(found))
            if _most_advanced(statuses, {chosen}) and _leads_all(
                statuses,
                chosen,
            ):
                return True
            yield scripts.Sleep(_CATCH_UP_STEP_MS)
        return False

    def _follow_primary(
        self,
        statuses: dict[str, records.InstanceStatus],
        term: int,
    ) -> bool:
        """Return whether another instance leads already, and follow it."""
        for name, status in statuses.items():
            if status.is_primary and status.term >= term:
                self.service.evidence.follow(name, status.term, 'election')
                return True
        return False

    def _catch_up(
        self,
        old: str,
        statuses: Statuses,
        limit_ms: int,
    ) -> scripts.Script:
        """Wait until some replica has received all that the primary has.

        Returns:
          Whether one has; the primary may not answer, or replicas may lag.
        """
        until_ms = self.now_ms + limit_ms
        while self.now_ms < until_ms:
            found = yield scripts.Broadcast(
                (old, *statuses),
                commands.AskStatus(),
            )
            primary = found.pop(old, None)
            statuses.update(_answered(found))
            if primary is None or primary.received is None:
                return False
            if any(
                status.received is not None
                and status.received >= primary.received
                for status in statuses.values()
            ):
                return True
            yield scripts.Sleep(_CATCH_UP_STEP_MS)
        return False

    def _await(self, chosen: str, started_ms: int) -> scripts.Script:
        """Wait until the successor leads, and tell all nodes."""
        until_ms = started_ms + notes.PROMOTE_LIMIT_MS
        while self.now_ms < until_ms:
            yield from self.duty.keep(self._now)
            found = yield scripts.Broadcast((chosen,), commands.AskStatus())
            status = found[chosen]
            if status is not None and status.is_primary:
                leadership = self.service.leadership
                leadership.promote_ms = self.now_ms - started_ms
                self.orders.unsure_until_ms = 0
                self.service.evidence.follow(chosen, status.term, 'election')
                yield self._note(chosen, status.term, moving=False)
                if self.acknowledging:
                    yield from self._resume(chosen)
                return
            yield scripts.Sleep(_POLL_MS)
        self.service.leadership.expected_ms = None

    def _resume(self, chosen: str) -> scripts.Script:
        yield scripts.Broadcast(self._others(chosen), commands.Resume())

    def _note(
        self,
        instance: str,
        term: int,
        *,
        moving: bool,
        accepted: bool = False,
    ) -> store.Request:
        """Return the call that notes a leader while the duty is held."""
        lead = notes.Lead(instance, term, moving, self.duty.fence, accepted)
        return notes.write(self.keys, self.service.name, lead)


def _answered(found: Found) -> dict[str, records.InstanceStatus]:
    return {name: status for name, status in found.items() if status}


def _most_advanced(
    statuses: dict[str, records.InstanceStatus],
    candidates: set[str],
) -> str:
    """Return the candidate that has received most, or '' without any."""
    known = [
        name
        for name, status in statuses.items()
        if status.received and name in candidates
    ]
    if not known:
        return ''
    return max(known, key=lambda name: (statuses[name].received, name))


def _leads_all(
    statuses: dict[str, records.InstanceStatus],
    chosen: str,
) -> bool:
    """Return whether no other instance has received more."""
    mine = statuses[chosen].received
    others = [status.received for status in statuses.values()]
    return all(other is None or other <= mine for other in others)
