"""When a primary is replaced, by whom and by which replica.

A node that gets no answer from a primary says so in the store. If more
than half of the nodes say the same, one of them takes the duty by
compare-and-swap and orders the promotion; the revision of the duty's key
is the fencing number, so each attempt has a higher one than all before.
A primary that leaves or has left the registry is replaced in the same way
without a vote.

Replicas that have received all commits but apply them late cannot read. If
the primary alone cannot take the load either, one of them becomes the
primary: it applies what it has received, and the old primary goes on as a
replica that is up to date.
"""

import functools
import typing

import msgspec

from jacinthhaven.records import store
from jacinthhaven.sql import (
    commands,
    group,
    ports,
    records,
    scripts,
)

# Silence after which a node says that it does not reach the primary.
DOUBT_MS = 700
# The same if another node has said so already.
SECOND_DOUBT_MS = 400
# A node that is not the first to act waits so long for each one before it.
_STAGGER_MS = 700
# Nodes beyond these wait no longer than the last of them.
_MAX_TURNS = 3
# Time to live of the duty; nobody else acts meanwhile.
DUTY_MS = 3000
# How long a replaced primary's successor is expected to take at most.
_PROMOTE_LIMIT_MS = 4000
_POLL_MS = 60
# How long a planned replacement waits for its successor to catch up.
_CATCH_UP_MS = 1500
_CATCH_UP_STEP_MS = 100
# Pause between two notes of a node about the primary.
_SAY_AGAIN_MS = 200
# Pause after an attempt that failed.
_RETRY_MS = 700
# First estimate of the time of a promotion.
_FIRST_PROMOTE_MS = 1200

# Pause before the lead is handed over once more for want of replicas.
_HANDOVER_PAUSE_MS = 10_000

# Why a primary is replaced.
_LEAVING = 'leaving'
_UNREACHABLE = 'unreachable'
_REPLICAS_LAG = 'replicas lag'

Found = dict[str, records.InstanceStatus | None]


class Lead(msgspec.Struct):
    """Stored note on who leads a service, or is about to."""

    instance: str
    term: int
    moving: bool


class Opinion:
    """What this node has told the others about the primary.

    Attributes:
      said: Instance that it does not reach, or ''.
      saying: Whether a note is on its way.
      next_ms: When it may change its note.
    """

    __slots__ = ('said', 'saying', 'next_ms')

    def __init__(self) -> None:
        """Say nothing."""
        self.said = ''
        self.saying = False
        self.next_ms = 0


class Keys:
    """Names of the keys of this product."""

    def __init__(self, prefix: str) -> None:
        """Use names that start with a prefix."""
        self.prefix = prefix

    def doubt(self, service: str, node: str) -> str:
        """Return the key under which a node doubts a primary."""
        return f'{self.prefix}doubt/{service}/{node}'

    def duty(self, service: str) -> str:
        """Return the key of the duty to promote."""
        return f'{self.prefix}duty/{service}'

    def lead(self, service: str) -> str:
        """Return the key that names the leader."""
        return f'{self.prefix}lead/{service}'


class Election:
    """Replacement of the primary of one service.

    Attributes:
      doubts: Instance that each node does not reach.
      duty_revision: Revision of the duty's key; 0 while nobody holds it.
    """

    def __init__(
        self,
        service: group.Group,
        node: str,
        keys: Keys,
        perform: scripts.Perform,
        journal: ports.Journal,
    ) -> None:
        """Watch one service from one node."""
        self.service = service
        self.node = node
        self.keys = keys
        self.perform = perform
        self.journal = journal
        self.doubts: dict[str, str] = {}
        self.opinion = Opinion()
        self.duty_revision = 0
        self.duty_holder = ''
        self.runner: scripts.Runner | None = None
        self.cause_ms: int | None = None
        self.retry_ms = 0
        self.handover_ms = 0
        self.acknowledging = 0
        self.promote_ms = _FIRST_PROMOTE_MS
        self.now_ms = 0

    def on_key(self, name: str, text: str | None, revision: int) -> None:
        """Accept a key of this service by its name within the prefix."""
        if name.startswith('doubt/'):
            self.doubts[name.rpartition('/')[2]] = text or ''
        elif name.startswith('duty/'):
            self.duty_revision = 0 if text is None else revision
            self.duty_holder = text or ''
        elif text is not None:
            self._on_lead(msgspec.json.decode(text, type=Lead))

    def tick(self, members: tuple[str, ...], lease: int, now_ms: int) -> None:
        """Say what this node sees, and act if it is its turn."""
        self.now_ms = now_ms
        self.service.alerted = self._others_doubt()
        self._say(lease)
        cause = self._cause(members)
        if cause is None:
            self.cause_ms = None
            return
        if self.cause_ms is None:
            self.cause_ms = now_ms
        if not self._may_act(members):
            return
        self.retry_ms = now_ms + _RETRY_MS
        script = self._replace(self.service.presumed_leader(), cause)
        self.runner = scripts.Runner(script, self.perform)

    def _may_act(self, members: tuple[str, ...]) -> bool:
        """Return whether it is this node's turn to replace the primary."""
        if self.runner is not None and self.runner.running:
            return False
        if self.duty_revision and self.duty_holder != self.node:
            return False
        turn_ms = self.cause_ms + self._turn_ms(members)
        return self.now_ms >= max(self.retry_ms, turn_ms)

    def _on_lead(self, lead: Lead) -> None:
        self.handover_ms = self.now_ms + _HANDOVER_PAUSE_MS
        leadership = self.service.leadership
        if lead.moving:
            if lead.term >= leadership.term:
                leadership.expected_ms = self.now_ms + self.promote_ms
        else:
            self.service.evidence.follow(lead.instance, lead.term, 'store')

    def _turn_ms(self, members: tuple[str, ...]) -> int:
        """Return how long this node leaves it to others to act."""
        eligible = members
        if self.opinion.said:
            eligible = self._voters(members)
        first = sum(node < self.node for node in eligible)
        return min(first, _MAX_TURNS) * _STAGGER_MS

    def _voters(self, members: tuple[str, ...]) -> tuple[str, ...]:
        """Return the nodes that say the same as this one."""
        return tuple(
            node
            for node in members
            if self.doubts.get(node) == self.opinion.said
        )

    def _cause(self, members: tuple[str, ...]) -> str | None:
        """Return why the primary has to be replaced, or None."""
        name = self.service.presumed_leader()
        state = self.service.pool.states.get(name)
        if state is not None and state.leaving_ms is not None:
            return _LEAVING
        if self.opinion.said and self.opinion.said == name:
            votes = len(self._voters(members))
            return _UNREACHABLE if 2 * votes > len(members) else None
        if self.now_ms < self.handover_ms:
            return None
        pressed = self.service.backlog.pressed_at(self.now_ms)
        lagging = self.service.pool.replicas_lag(name, self.now_ms)
        return _REPLICAS_LAG if pressed and lagging else None

    def _others_doubt(self) -> bool:
        """Return whether another node does not reach the primary."""
        name = self.service.presumed_leader()
        return any(
            doubted == name and node != self.node
            for node, doubted in self.doubts.items()
            if doubted
        )

    def _say(self, lease: int) -> None:
        """Write or remove this node's doubt about the primary."""
        doubted = ''
        limit_ms = SECOND_DOUBT_MS if self.service.alerted else DOUBT_MS
        if self.service.leader_silent_ms(self.now_ms) >= limit_ms:
            doubted = self.service.presumed_leader()
        if doubted == self.opinion.said or self.opinion.saying or not lease:
            return
        if self.now_ms < self.opinion.next_ms:
            return
        self.opinion.next_ms = self.now_ms + _SAY_AGAIN_MS
        key = self.keys.doubt(self.service.name, self.node)
        change: store.Put | store.Delete = store.Delete(key)
        if doubted:
            change = store.Put(key, doubted, lease)
        self.journal.write(
            'doubt' if doubted else 'doubt_over',
            {
                'service': self.service.name,
                'instance': doubted or self.opinion.said,
                'term': self.service.leadership.term,
            },
        )
        self.opinion.saying = True
        self.perform(
            store.SwapRequest((), (change,)),
            functools.partial(self._on_said, doubted),
        )

    def _on_said(self, doubted: str, reply: typing.Any) -> None:
        self.opinion.saying = False
        if isinstance(reply, store.SwapReply) and reply.succeeded:
            self.opinion.said = doubted

    def _replace(self, old: str, cause: str) -> scripts.Script:
        """Take the duty, choose a successor and order its promotion."""
        service = self.service
        fence = yield from self._take_duty()
        if not fence:
            return
        term = service.leadership.term
        chosen = yield from self._choose(old, cause, term)
        if not chosen:
            return
        yield self._note(chosen, term + 1, moving=True)
        self.journal.write(
            'promote',
            {
                'service': service.name,
                'instance': chosen,
                'replaces': old,
                'cause': cause,
                'fence': fence,
                'term': term,
            },
        )
        started_ms = self.now_ms
        order = yield scripts.Promote(service.name, chosen, fence)
        self.journal.write(
            'promote_result',
            {
                'service': service.name,
                'instance': chosen,
                'fence': fence,
                'accepted': order.accepted,
                'reason': order.reason,
            },
        )
        if order.refused:
            service.leadership.expected_ms = None
            return
        yield from self._await(chosen, started_ms)

    def _take_duty(self) -> scripts.Script:
        lease = yield store.LeaseRequest(DUTY_MS)
        if not isinstance(lease, store.LeaseReply) or not lease.lease:
            return 0
        key = self.keys.duty(self.service.name)
        reply = yield store.SwapRequest(
            (store.Compare(key, self.duty_revision),),
            (store.Put(key, self.node, lease.lease),),
        )
        if not isinstance(reply, store.SwapReply) or not reply.succeeded:
            return 0
        self.duty_revision = reply.revision
        self.duty_holder = self.node
        return reply.revision

    def _choose(self, old: str, cause: str, term: int) -> scripts.Script:
        """Return the replica that takes over, or ''."""
        states = self.service.pool.states
        replicas = tuple(name for name in states if name != old)
        candidates = {
            name for name in replicas if states[name].leaving_ms is None
        }
        found = yield scripts.AskAll(replicas, commands.AskStatus())
        statuses = _answered(found)
        if self._follow_primary(statuses, term):
            return ''
        if cause != _UNREACHABLE:
            complete = yield from self._catch_up(old, statuses)
            if cause == _REPLICAS_LAG and not complete:
                return ''
        chosen = _most_advanced(statuses, candidates)
        if self.acknowledging and chosen:
            settled = yield from self._settle(chosen, replicas, cause, term)
            if not settled:
                yield from self._resume('')
                return ''
        return chosen

    def _settle(
        self,
        chosen: str,
        replicas: tuple[str, ...],
        cause: str,
        term: int,
    ) -> scripts.Script:
        """Return whether a replica has all that may be acknowledged.

        Stopped replicas acknowledge nothing more, so that afterwards only
        the chosen one can. A primary that is lost sends it nothing more.
        """
        others = tuple(name for name in replicas if name != chosen)
        stopped = others if cause == _LEAVING else replicas
        found = yield scripts.AskAll(stopped, commands.Pause(term + 1))
        statuses = _answered(found)
        if len(statuses) < len(stopped):
            return False
        until_ms = self.now_ms + _CATCH_UP_MS
        while self.now_ms < until_ms:
            found = yield scripts.AskAll((chosen,), commands.AskStatus())
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
        statuses: dict[str, typing.Any],
    ) -> scripts.Script:
        """Wait until some replica has received all that the primary has.

        Returns:
          Whether one has; the primary may not answer, or replicas may lag.
        """
        until_ms = self.now_ms + _CATCH_UP_MS
        while self.now_ms < until_ms:
            found = yield scripts.AskAll(
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
        until_ms = started_ms + _PROMOTE_LIMIT_MS
        while self.now_ms < until_ms:
            found = yield scripts.AskAll((chosen,), commands.AskStatus())
            status = found[chosen]
            if status is not None and status.is_primary:
                self.promote_ms = self.now_ms - started_ms
                self.service.evidence.follow(chosen, status.term, 'election')
                yield self._note(chosen, status.term, moving=False)
                if self.acknowledging:
                    yield from self._resume(chosen)
                return
            yield scripts.Sleep(_POLL_MS)
        self.service.leadership.expected_ms = None

    def _resume(self, chosen: str) -> scripts.Script:
        others = tuple(
            name for name in self.service.pool.states if name != chosen
        )
        yield scripts.AskAll(others, commands.Resume())

    def _note(self, instance: str, term: int, *, moving: bool) -> store.Request:
        note = msgspec.json.encode(Lead(instance, term, moving)).decode()
        put = store.Put(self.keys.lead(self.service.name), note)
        return store.SwapRequest((), (put,))


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
