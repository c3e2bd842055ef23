"""Whether a primary has to be replaced, and which node does it.

A node that gets no answer from a primary says so in the store. If more
than half of the nodes say the same, one of them takes the duty and replaces
it (`succession`). A primary that leaves or has left the registry is replaced
in the same way without a vote.

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
    duty,
    group,
    notes,
    peering,
    ports,
    scripts,
    succession,
)

# Silence after which a node says that it does not reach the primary.
DOUBT_MS = 700
# The same if another node has said so already.
SECOND_DOUBT_MS = 400
# A node that is not the first to act waits so long for each one before it.
_STAGGER_MS = 700
# Nodes beyond these wait no longer than the last of them.
_MAX_TURNS = 3
# Pause between two notes of a node about the primary.
_SAY_AGAIN_MS = 200
# Pause after an attempt that failed.
_RETRY_MS = 700
# Pause before the lead is handed over once more for want of replicas.
_HANDOVER_PAUSE_MS = 10_000
# How long a term stays stopped without a promotion before a node finishes or
# ends the attempt of another.
_STUCK_MS = 1500


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


class Election:
    """Decision of one node to replace the primary of one service.

    Attributes:
      doubts: Instance that each node does not reach.
      opinion: What this node has told the others.
      duty: Who may replace the primary.
      succession: Replacement by this node.
    """

    def __init__(
        self,
        service: group.Group,
        keys: notes.Keys,
        perform: scripts.Perform,
        journal: ports.Journal,
        peers: peering.Peering,
    ) -> None:
        """Watch one service from one node."""
        self.service = service
        self.node = peers.node
        self.keys = keys
        self.perform = perform
        self.journal = journal
        self.doubts: dict[str, str] = {}
        self.opinion = Opinion()
        self.duty = duty.Duty(keys.duty(service.name), self.node)
        self.succession = succession.Succession(
            service,
            self.duty,
            keys,
            peers,
            journal,
        )
        self.runner: scripts.Runner | None = None
        self.cause_ms: int | None = None
        self.retry_ms = 0
        self.handover_ms = 0
        self.now_ms = 0

    def on_key(self, name: str, text: str | None, revision: int) -> None:
        """Accept a key of this service by its name within the prefix."""
        if name.startswith('doubt/'):
            self.doubts[name.rpartition('/')[2]] = text or ''
        elif name.startswith('duty/'):
            self.duty.learn(text, revision)
        elif text is not None:
            self._on_note(text)

    def end(self) -> None:
        """Act no more; the service was withdrawn."""
        if self.runner is not None:
            self.runner.running = False

    def inform(self) -> None:
        """Accept that all keys of the store are known.

        From now on this node knows of each promotion under way, unless one
        was before it started; those keep the duty or a note.
        """
        if not (self.duty.held_elsewhere or self.succession.orders.moving):
            self.service.right.informed = True

    def tick(self, members: tuple[str, ...], lease: int, now_ms: int) -> None:
        """Say what this node sees, and act if it is its turn."""
        self.now_ms = now_ms
        self.succession.now_ms = now_ms
        self.service.reported_unreachable = self._others_doubt()
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
        script = self.succession.replace(self.service.presumed_leader(), cause)
        self.runner = scripts.Runner(script, self.perform)

    def _may_act(self, members: tuple[str, ...]) -> bool:
        """Return whether it is this node's turn to replace the primary."""
        if self.runner is not None and self.runner.running:
            return False
        if self.duty.held_elsewhere:
            return False
        turn_ms = self.cause_ms + self._turn_ms(members)
        return self.now_ms >= max(self.retry_ms, turn_ms)

    def _on_note(self, text: str) -> None:
        try:
            lead = msgspec.json.decode(text, type=notes.Lead)
        except msgspec.DecodeError as error:
            self.journal.write(
                'note_unusable',
                {'service': self.service.name, 'reason': str(error)},
            )
            return
        self._on_lead(lead)

    def _on_lead(self, lead: notes.Lead) -> None:
        self.handover_ms = self.now_ms + _HANDOVER_PAUSE_MS
        self.succession.orders.learn(lead, self.now_ms)
        leadership = self.service.leadership
        right = self.service.right
        if lead.moving:
            if lead.term >= leadership.term:
                leadership.expect(self.now_ms)
            if right.on_stop('', lead.term - 1, lead.fence, self.now_ms):
                right.stopped = right.closing
        else:
            right.on_resumed(lead.fence)
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

    def _cause(self, members: tuple[str, ...]) -> succession.Cause | None:
        """Return why the primary has to be replaced, or None."""
        name = self.service.presumed_leader()
        state = self.service.pool.states.get(name)
        if state is not None and state.leaving_ms is not None:
            return succession.Cause.LEAVING
        if self.opinion.said and self.opinion.said == name:
            votes = len(self._voters(members))
            return (
                succession.Cause.UNREACHABLE
                if 2 * votes > len(members)
                else None
            )
        if self._is_stuck():
            return succession.Cause.INTERRUPTED
        if self.now_ms < self.handover_ms:
            return None
        pressed = self.service.backlog.overloaded_at(self.now_ms)
        lagging = self.service.pool.replicas_lag(name, self.now_ms)
        return succession.Cause.REPLICAS_LAG if pressed and lagging else None

    def _is_stuck(self) -> bool:
        """Return whether the primary was stopped and nobody goes on."""
        right = self.service.right
        if right.closing < max(self.service.leadership.term, 1):
            return False
        return self.now_ms - right.closing_ms >= _STUCK_MS

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
        limit_ms = (
            SECOND_DOUBT_MS if self.service.reported_unreachable else DOUBT_MS
        )
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
