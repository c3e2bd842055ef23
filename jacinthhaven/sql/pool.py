"""Links of one service: how many are opened, and control commands."""

import collections
import dataclasses
import typing

from jacinthhaven.sql import (
    commands,
    instances,
    links,
    ports,
    records,
    sessions,
    statements,
)

# Pause after a link could not be opened.
_RETRY_MS = 150
# Pause after the instance refused a link because of its limit; connections
# of dead nodes linger for three seconds.
_LIMIT_RETRY_MS = 500
# A link that does not open within this time is given up.
OPEN_LIMIT_MS = 900
# The same for a borrowed link, whose lender only has to look it up.
BORROW_LIMIT_MS = 150
# Silence after which a link is closed although a reply is due.
DEAD_LINK_MS = 5000
# The same where nobody waits for the reply any more: such links are missing
# where answers are lost one after the other.
_ABANDONED_MS = 700
# Links that are opened at the same time to one instance, since each takes
# one of its slots.
_OPENING = 1

# Time without use after which a link beyond these is closed.
_IDLE_MS = 3000

# How long links are borrowed after an own one could not be opened.
_BORROW_MS = 2000
# Pause after a node had no link to lend.
_BORROW_RETRY_MS = 15
# Time without use after which a borrowed link is returned.
_BORROW_IDLE_MS = 400
# Borrowed links to one instance at the same time.
_MAX_BORROWED = 2
# Pause before own links to an instance that does not answer are tried.
_CUT_RETRY_MS = 1000

# Time for which replicas must have refused reads as too far behind before
# the primary counts as the only instance that reads.
_LAG_MS = 1000

OnReply = typing.Callable[[statements.Reply | None], None]


@dataclasses.dataclass(slots=True)
class Question:
    """Control command that waits for a link.

    Attributes:
      command: Command to send.
      on_reply: Receives the reply, or None if there is none in time.
      until_ms: When it is given up, before and again after it was sent.
    """

    command: commands.Command
    on_reply: OnReply
    until_ms: int


class Pool:
    """Links to the instances of one service.

    Attributes:
      states: Instances by name.
      by_number: Links by the number of their connection.
      share: Links that this node may open to each instance.
      owners: Nodes that send statements to the instances.
      standing: Links that stand open to each instance; more are opened
        while statements wait, since connections of a dead node block
        others for three seconds.
      questions: Waiting control commands by instance.
      lenders: Addresses of the other nodes.
      wanted: Instances for which statements wait without a free link.
    """

    def __init__(self, databases: ports.Databases) -> None:
        """Start without instances."""
        self.databases = databases
        self.states: dict[str, instances.InstanceState] = {}
        self.by_number: dict[int, links.Link] = {}
        self.share = 1
        self.standing = 1
        self.owners = 1
        self.questions: dict[str, collections.deque[Question]] = {}
        self.wanted: set[str] = set()
        self.lenders: list[records.Address] = []
        self.turn = 0

    def update(
        self,
        entries: typing.Iterable[records.Instance],
        now_ms: int,
    ) -> None:
        """Take over the registry entries of the service."""
        listed = {entry.name: entry for entry in entries}
        for name, entry in listed.items():
            state = self.states.get(name)
            if state is None:
                state = instances.InstanceState(entry, now_ms)
                self.states[name] = state
            state.describe(entry, now_ms)
            state.window.resize(entry.slots, self.owners)
        for name, state in tuple(self.states.items()):
            if name in listed:
                continue
            state.vanish(now_ms)
            if not state.links and state.leaving_ms is not None:
                self.states.pop(name)

    def ask(self, instance: str, question: Question) -> None:
        """Queue a control command for an instance."""
        waiting = self.questions.setdefault(instance, collections.deque())
        waiting.append(question)

    def open_missing(self, now_ms: int) -> None:
        """Open links where this node has fewer than its share."""
        for state in self.states.values():
            self._open_own(state, now_ms)
            if now_ms < state.borrow_until_ms:
                self._borrow(state, now_ms)

    def demand(self, instance: str) -> None:
        """Note that another node needs a link to an instance."""
        if instance in self.states:
            self.wanted.add(instance)

    def replicas_lag(self, leader: str, now_ms: int) -> bool:
        """Return whether no replica has read for a while because it lags."""
        replicas = [
            state
            for name, state in self.states.items()
            if name != leader and state.usable_at(now_ms)
        ]
        lagging = [
            state for state in replicas if state.behind_for(now_ms) >= _LAG_MS
        ]
        return bool(replicas) and len(lagging) == len(replicas)

    def cut(self, state: instances.InstanceState, now_ms: int) -> None:
        """Stop using own links to an instance that does not answer here."""
        state.borrow_until_ms = now_ms + _BORROW_MS
        state.closed_until_ms = now_ms + _CUT_RETRY_MS
        for link in state.free_links:
            if not link.borrowed:
                self.drop(link)

    def opened(self, link: links.Link, now_ms: int) -> None:
        """Accept a link that the instance has accepted."""
        state = self.states[link.instance]
        state.heard(now_ms)
        link.ready = True
        link.idle_ms = now_ms

    def refused(
        self,
        link: links.Link,
        code: statements.Code | None,
        now_ms: int,
    ) -> None:
        """Wait before the next attempt after a link did not open."""
        state = self.states[link.instance]
        if link.borrowed:
            state.next_borrow_ms = now_ms + _BORROW_RETRY_MS
            self.drop(link)
            return
        state.borrow_until_ms = now_ms + _BORROW_MS
        if code is statements.Code.CONNECTION_LIMIT:
            state.heard(now_ms)
            state.closed_until_ms = now_ms + _LIMIT_RETRY_MS
        else:
            state.closed_until_ms = now_ms + _RETRY_MS
            if state.failed_ms is None:
                state.failed_ms = now_ms
        if code is statements.Code.WRONG_INSTANCE:
            state.vanish(now_ms)
        self.drop(link)

    def drop(self, link: links.Link) -> None:
        """Close a link and forget it."""
        self.databases.close(link.number)
        self.by_number.pop(link.number, None)
        state = self.states.get(link.instance)
        if state is not None and link in state.links:
            state.links.remove(link)

    def overdue(self, now_ms: int) -> list[links.Link]:
        """Return the links whose reply or opening takes too long."""
        return [
            link
            for link in self.by_number.values()
            if link.waiting and now_ms - link.sent_ms >= _limit_ms(link)
        ]

    def expire_questions(self, now_ms: int) -> None:
        """Give up control commands without a link or a reply in time."""
        for waiting in self.questions.values():
            while waiting and waiting[0].until_ms <= now_ms:
                waiting.popleft().on_reply(None)
        for link in tuple(self.by_number.values()):
            asked = link.work
            if isinstance(asked, Question) and asked.until_ms <= now_ms:
                # A late reply still frees the link.
                link.work = None
                asked.on_reply(None)

    def next_question(self, link: links.Link) -> Question | None:
        """Return the control command that a free link should carry."""
        waiting = self.questions.get(link.instance)
        return waiting.popleft() if waiting else None

    def close_unused(self, now_ms: int) -> None:
        """Close links beyond the standing ones that were not used lately."""
        for state in self.states.values():
            spare = len(state.links) - min(self.standing, self.share)
            for link in state.free_links:
                if _unused(link, now_ms) and (link.borrowed or spare > 0):
                    spare -= 1
                    self.drop(link)

    def _open_own(self, state: instances.InstanceState, now_ms: int) -> None:
        if now_ms < state.closed_until_ms:
            return
        own = [link for link in state.links if not link.borrowed]
        opening = sum(not link.ready for link in own)
        missing = self._target(state, own, now_ms) - len(own)
        if missing > 0 and opening < _OPENING:
            self._add(state, None, now_ms)

    def _borrow(self, state: instances.InstanceState, now_ms: int) -> None:
        """Borrow a link for what waits, from one node after the other."""
        name = state.entry.name
        needed = name in self.wanted or self.questions.get(name)
        if not needed or not self.lenders or now_ms < state.next_borrow_ms:
            return
        borrowed = [link for link in state.links if link.borrowed]
        if len(borrowed) >= _MAX_BORROWED:
            return
        if all(link.ready for link in borrowed):
            self.turn += 1
            lender = self.lenders[self.turn % len(self.lenders)]
            self._add(state, lender, now_ms)

    def _add(
        self,
        state: instances.InstanceState,
        lender: records.Address | None,
        now_ms: int,
    ) -> None:
        number = self.databases.open(state.entry, lender)
        link = links.Link(
            number,
            state.entry.name,
            now_ms,
            borrowed=lender is not None,
        )
        state.links.append(link)
        self.by_number[number] = link

    def _target(
        self,
        state: instances.InstanceState,
        own: list[links.Link],
        now_ms: int,
    ) -> int:
        """Return how many own links to an instance there should be."""
        name = state.entry.name
        if self.questions.get(name):
            # A control command must not wait for a transaction to end.
            free = any(link.free for link in state.links)
            return len(own) + (not free)
        if state.leaving_ms is not None and not state.reachable_at(now_ms):
            return 0
        standing = min(self.standing, self.share)
        if name not in self.wanted or not state.has_room(now_ms):
            return standing
        return min(max(len(own) + 1, standing), self.share)


def _limit_ms(link: links.Link) -> int:
    """Return how long the instance may be silent on a link."""
    if link.ready:
        work = link.work
        abandoned = work is None or (
            isinstance(work, sessions.Work) and work.done
        )
        return _ABANDONED_MS if abandoned else DEAD_LINK_MS
    return BORROW_LIMIT_MS if link.borrowed else OPEN_LIMIT_MS


def _unused(link: links.Link, now_ms: int) -> bool:
    limit_ms = _BORROW_IDLE_MS if link.borrowed else _IDLE_MS
    return now_ms - link.idle_ms >= limit_ms
