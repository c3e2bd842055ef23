"""Decision whether a primary has to be replaced, and by which node.

A node that gets no answer from a primary writes its suspicion into the store.
If more than half of the nodes suspect the same primary, one of them acquires
the promotion lock and replaces it (`failover`). A primary that is leaving
or has left the registry is replaced in the same way without a vote.

Replicas that have received all commits but apply them late cannot serve
reads. If the primary alone cannot serve the load either, one of them becomes
the primary: it applies what it has received, and the old primary continues
as an up-to-date replica.
"""

import functools
import typing

from jacinthhaven.records import history, store
from jacinthhaven.sql import (
    failover,
    group,
    leadership,
    peering,
    ports,
    promotion_lock,
    scripts,
    store_records,
)

# Silence after which a node reports that it does not reach the primary.
SUSPICION_MS = 700
# The same if another node has reported it already.
SECOND_SUSPICION_MS = 400
# Delay of a node's attempt for each eligible node that sorts before it.
_STAGGER_STEP_MS = 700
# Maximum number of these delays.
_MAX_STAGGER_STEPS = 3
# Minimum interval between two reports of a node about the primary.
_REPORT_INTERVAL_MS = 200
# Minimum interval between two attempts of a node.
_RETRY_MS = 700
# Pause after a failover before the primary is replaced because its replicas
# lag.
_LAG_FAILOVER_PAUSE_MS = 10_000
# Time that a term stays stopped without a promotion before a node finishes or
# abandons the attempt of another node.
_STUCK_MS = 1500


class SuspicionReport:
    """Suspicion of this node about the primary, as written to the store.

    Attributes:
      suspect: Instance that this node does not reach, or ''.
      lease: Lease that the report is bound to.
      writing: Whether a write is under way.
      next_ms: Earliest time of the next write.
    """

    __slots__ = ('suspect', 'lease', 'writing', 'next_ms')

    def __init__(self) -> None:
        """Start without a suspicion."""
        self.suspect = ''
        self.lease = history.NONE
        self.writing = False
        self.next_ms = 0


class Election:
    """Decision of one node to replace the primary of one service.

    Attributes:
      suspects: Instance that each node has reported as unreachable, by node.
      report: Suspicion that this node has reported.
      lock: Lock whose holder may replace the primary.
      failover: Replacement of the primary by this node.
      runner: Last attempt of this node, if any.
      cause_ms: Since when a cause for a replacement exists, or None.
      retry_ms: Earliest time of the next attempt of this node.
      lag_failover_ms: Earliest time of a replacement because replicas lag.
      stored: Leader record in the store.
    """

    def __init__(
        self,
        service: group.Group,
        keys: store_records.Keys,
        perform: scripts.Perform,
        journal: ports.Journal,
        peers: peering.Peering,
    ) -> None:
        """Start to watch one service."""
        self.service = service
        self.node = peers.node
        self.keys = keys
        self.perform = perform
        self.journal = journal
        self.suspects: dict[str, str] = {}
        self.report = SuspicionReport()
        self.lock = promotion_lock.PromotionLock(
            keys.promotion_lock(service.name), self.node
        )
        self.failover = failover.Failover(
            service,
            self.lock,
            keys,
            peers,
            journal,
        )
        self.runner: scripts.Runner | None = None
        self.cause_ms: int | None = None
        self.retry_ms = 0
        self.lag_failover_ms = 0
        self.stored = store_records.StoredLeader(keys.leader(service.name))
        self.now_ms = 0

    def on_key(
        self,
        name: str,
        text: str | None,
        revision: history.EraNumber,
    ) -> None:
        """Accept a key of this service.

        Args:
          name: Key without the prefix of this product.
          text: Value, or None if the key was deleted.
          revision: Revision of the change.
        """
        if name.startswith('doubt/'):
            self.suspects[name.rpartition('/')[2]] = text or ''
        elif name.startswith('duty/'):
            self.lock.on_holder(text, revision)
        else:
            self._on_leader_record(text, revision)

    def on_restored(self) -> None:
        """Give up the lock and all suspicions, whose leases are lost."""
        self.lock.on_restored()
        self.suspects.clear()
        self.report.suspect = ''

    def write_lost_record(self, rank: int, now_ms: int) -> None:
        """Write the leader record again if a restored store has lost it.

        Args:
          rank: Number of nodes that sort before this one.
          now_ms: Current time.
        """
        idle = self.runner is None or not self.runner.running
        if idle and not self.lock.held_by_other:
            request = self.stored.rewrite(
                self.failover.orders.record, rank, now_ms
            )
            if request is not None:
                self.perform(request, _ignore)

    def end(self) -> None:
        """Stop a running attempt, since the service was removed."""
        if self.runner is not None:
            self.runner.running = False

    def on_keys_known(self) -> None:
        """Accept that all keys of the store are known.

        The node may then confirm terms, unless a promotion is under way
        already; such a promotion shows in its lock or in the leader record. A
        record of a term that has begun is one whose holder was lost before it
        could finish it. From then on the node learns of every promotion.
        """
        term = self.service.leadership.term
        if not (
            self.lock.held_by_other or self.failover.orders.moves_beyond(term)
        ):
            self.service.right.knows_promotions = True

    def tick(
        self,
        members: tuple[str, ...],
        lease: history.EraNumber,
        now_ms: int,
    ) -> None:
        """Report a suspicion, and replace the primary if it is due.

        Args:
          members: Names of the owners of the service.
          lease: Lease of this node; `history.NONE` while it has none.
          now_ms: Current time.
        """
        self.now_ms = now_ms
        self.failover.now_ms = now_ms
        self.service.primary_check.reported_unreachable = (
            self._suspected_by_others()
        )
        self._report_suspicion(lease)
        cause = self._cause(members)
        if cause is None:
            self.cause_ms = None
            return
        if self.cause_ms is None:
            self.cause_ms = now_ms
        if not self._may_act(members):
            return
        self.retry_ms = now_ms + _RETRY_MS
        script = self.failover.replace(
            self.service.primary_check.presumed_leader(), cause
        )
        self.runner = scripts.Runner(script, self.perform)

    def _may_act(self, members: tuple[str, ...]) -> bool:
        """Return whether this node may start an attempt now."""
        if self.runner is not None and self.runner.running:
            return False
        if self.lock.held_by_other:
            return False
        due_ms = self.cause_ms + self._stagger_delay_ms(members)
        return self.now_ms >= max(self.retry_ms, due_ms)

    def _on_leader_record(
        self, text: str | None, revision: history.EraNumber
    ) -> None:
        self.stored.on_key(None, revision if text else history.NONE)
        if text is None:
            return
        try:
            record = store_records.decode(text)
        except store_records.MALFORMED as error:
            self.journal.write(
                'note_unusable',
                {'service': self.service.name, 'reason': str(error)},
            )
            return
        self.stored.on_key(record, revision)
        if record.supersedes(self.failover.orders.record):
            self._apply_leader_record(record)
        elif not record.moving:
            self._set_leader(record)

    def _apply_leader_record(self, record: store_records.LeaderRecord) -> None:
        self.lag_failover_ms = self.now_ms + _LAG_FAILOVER_PAUSE_MS
        self.failover.orders.on_record(record, self.now_ms)
        right = self.service.right
        if record.moving:
            if record.term >= self.service.leadership.term:
                self.service.leadership.expect_promotion(self.now_ms)
            if right.on_stop('', record.term - 1, record.fence, self.now_ms):
                right.stopped_term = right.draining_term
        else:
            right.on_ended(record.fence)
            self._set_leader(record)

    def _set_leader(self, record: store_records.LeaderRecord) -> None:
        if record.instance:
            self.service.tracker.set_leader(
                record.instance, record.term, leadership.Source.RECORD
            )

    def _stagger_delay_ms(self, members: tuple[str, ...]) -> int:
        """Return how long this node waits for other nodes to act."""
        eligible = members
        if self.report.suspect:
            eligible = self._agreeing_nodes(members)
        earlier = sum(node < self.node for node in eligible)
        return min(earlier, _MAX_STAGGER_STEPS) * _STAGGER_STEP_MS

    def _agreeing_nodes(self, members: tuple[str, ...]) -> tuple[str, ...]:
        """Return the nodes that suspect the same instance as this one."""
        return tuple(
            node
            for node in members
            if self.suspects.get(node) == self.report.suspect
        )

    def _cause(self, members: tuple[str, ...]) -> failover.Cause | None:
        """Return why the primary has to be replaced, or None."""
        name = self.service.primary_check.presumed_leader()
        state = self.service.pool.states.get(name)
        if state is not None and state.departure.leaving_ms is not None:
            return failover.Cause.LEAVING
        if self.report.suspect and self.report.suspect == name:
            votes = len(self._agreeing_nodes(members))
            return (
                failover.Cause.UNREACHABLE if 2 * votes > len(members) else None
            )
        if self._is_stuck():
            return failover.Cause.INTERRUPTED
        if self.now_ms < self.lag_failover_ms:
            return None
        pressed = self.service.backlog.overloaded_at(self.now_ms)
        lagging = self.service.pool.replicas_lag(name, self.now_ms)
        return failover.Cause.REPLICAS_LAG if pressed and lagging else None

    def _is_stuck(self) -> bool:
        """Return whether the term was stopped and no promotion followed."""
        right = self.service.right
        if right.draining_term < max(self.service.leadership.term, 1):
            return False
        return self.now_ms - right.draining_since_ms >= _STUCK_MS

    def _suspected_by_others(self) -> bool:
        """Return whether another node reports the primary as unreachable."""
        name = self.service.primary_check.presumed_leader()
        return any(
            suspect == name and node != self.node
            for node, suspect in self.suspects.items()
            if suspect
        )

    def _report_suspicion(self, lease: history.EraNumber) -> None:
        """Write or delete this node's suspicion about the primary."""
        if lease != self.report.lease:
            # The report was deleted with the lease.
            self.report.suspect = ''
        suspect = ''
        limit_ms = (
            SECOND_SUSPICION_MS
            if self.service.primary_check.reported_unreachable
            else SUSPICION_MS
        )
        if self.service.primary_check.silent_ms(self.now_ms) >= limit_ms:
            suspect = self.service.primary_check.presumed_leader()
        if suspect == self.report.suspect or self.report.writing or not lease:
            return
        if self.now_ms < self.report.next_ms:
            return
        self.report.next_ms = self.now_ms + _REPORT_INTERVAL_MS
        key = self.keys.suspicion(self.service.name, self.node)
        change: store.Put | store.Delete = store.Delete(key)
        if suspect:
            change = store.Put(key, suspect, lease)
        self.journal.write(
            'doubt' if suspect else 'doubt_over',
            {
                'service': self.service.name,
                'instance': suspect or self.report.suspect,
                'term': self.service.leadership.term,
            },
        )
        self.report.writing = True
        self.perform(
            store.SwapRequest((), (change,)),
            functools.partial(self._on_report_written, suspect, lease),
        )

    def _on_report_written(
        self,
        suspect: str,
        lease: history.EraNumber,
        reply: typing.Any,
    ) -> None:
        self.report.writing = False
        if isinstance(reply, store.SwapReply) and reply.succeeded:
            self.report.suspect = suspect
            self.report.lease = lease


def _ignore(_reply: typing.Any) -> None:
    """Ignore a reply; the watch reports the effect."""
