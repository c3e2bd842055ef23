"""Links of one service: how many are opened, and control commands."""

import collections
import dataclasses
import typing

from jacinthhaven.sql import instances, links, ports, records, statements

# Pause after a link could not be opened.
_RETRY_MS = 150
# Pause after the instance refused a link because of its limit; connections
# of dead nodes linger for three seconds.
_LIMIT_RETRY_MS = 500
# A link that does not open within this time is given up.
OPEN_LIMIT_MS = 900
# Silence after which a link is closed although a reply is due.
DEAD_LINK_MS = 5000
# Links that are opened at the same time to one instance, since each takes
# one of its slots.
_OPENING = 1

OnReply = typing.Callable[[statements.Reply | None], None]


@dataclasses.dataclass(slots=True)
class Question:
    """Control command that waits for a link.

    Attributes:
      command: Command to send.
      on_reply: Receives the reply, or None if there is none in time.
      until_ms: When it is given up.
    """

    command: statements.Command
    on_reply: OnReply
    until_ms: int


class Pool:
    """Links to the instances of one service.

    Attributes:
      states: Instances by name.
      by_number: Links by the number of their connection.
      share: Links that this node may open to each instance.
      questions: Waiting control commands by instance.
    """

    def __init__(self, databases: ports.Databases) -> None:
        """Start without instances."""
        self.databases = databases
        self.states: dict[str, instances.InstanceState] = {}
        self.by_number: dict[int, links.Link] = {}
        self.share = 1
        self.questions: dict[str, collections.deque[Question]] = {}

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
            if now_ms < state.closed_until_ms:
                continue
            opening = sum(not link.ready for link in state.links)
            wanted = self._wanted(state, now_ms)
            if opening < _OPENING and len(state.links) < wanted:
                number = self.databases.open(state.entry)
                link = links.Link(number, state.entry.name, now_ms)
                state.links.append(link)
                self.by_number[number] = link

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
        late = []
        for link in self.by_number.values():
            waited_ms = now_ms - link.sent_ms
            if not link.ready and waited_ms >= OPEN_LIMIT_MS:
                late.append(link)
            elif link.sent is not None and waited_ms >= DEAD_LINK_MS:
                late.append(link)
        return late

    def expire_questions(self, now_ms: int) -> None:
        """Give up control commands that found no link in time."""
        for waiting in self.questions.values():
            while waiting and waiting[0].until_ms <= now_ms:
                waiting.popleft().on_reply(None)

    def next_question(self, link: links.Link) -> Question | None:
        """Return the control command that a free link should carry."""
        waiting = self.questions.get(link.instance)
        return waiting.popleft() if waiting else None

    def _wanted(self, state: instances.InstanceState, now_ms: int) -> int:
        if self.questions.get(state.entry.name):
            # A control command must not wait for a transaction to end.
            free = any(link.free for link in state.links)
            return len(state.links) + (not free)
        return (
            self.share
            if state.reachable_at(now_ms) or (state.leaving_ms is None)
            else 0
        )
