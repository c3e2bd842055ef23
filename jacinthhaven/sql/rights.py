"""Right of a node to use the primary of a service, and its withdrawal.

Where the platform checks no fencing numbers, a primary that was replaced
goes on serving everybody who reaches it. So a node sends writes and reads
of current data, and passes their answers on, only while a majority of the
owners has confirmed the primary's term within `RIGHT_MS`. Whoever orders a
promotion makes a majority promise to confirm that term no more, and waits
until the confirmations of all nodes that have not promised have expired.
Two majorities share an owner, so nobody uses the old primary from then on,
whether it reaches the store or not.

Times of confirmations are counted from the question, on the clock of the
node that asked; that clock also counts suspension.
"""

import typing

from jacinthhaven.sql import leadership

# How long a confirmation is valid: four questions, of which three may be
# lost or late.
RIGHT_MS = 1200
# Pause between two questions to the same owner, with and without the right.
ASK_MS = 300
ASK_AGAIN_MS = 60
# Time for the replies of statements that run when a node is told to stop.
DRAIN_MS = 200


class Confirmation(typing.NamedTuple):
    """What an owner has said last about one service.

    Attributes:
      asked_ms: When it was asked, on this node's clock.
      term: Newest term that it knows.
      stopped: Newest term that it does not confirm any more.
    """

    asked_ms: int
    term: int
    stopped: int

    def confirms(self, term: int) -> bool:
        """Return whether the owner confirms a term."""
        return self.stopped < term and self.term <= term


class Right:
    """Right of this node to use the primary of one service.

    Attributes:
      leadership: Who leads the service as far as this node knows.
      required: Whether the primary may only be used with the right.
      informed: Whether this process knows of all promotions under way, so
        that it may confirm.
      voters: Owners whose majority decides.
      confirmations: What each owner has said last.
      users: When this node last confirmed a term to each other node.
      closing: Newest term in which nothing more is sent to the primary.
      stopped: Newest term of which no answer is passed on any more.
      closing_ms: When `closing` changed.
      fence: Number of the promotion that asked to stop.
      resumed: Newest promotion that was given up or is over.
      stopper: Node that waits for this one to stop, or ''.
      expected_ms: Until when a node that starts is expected to be given the
        right for the first time.
    """

    __slots__ = (
        'node',
        'leadership',
        'required',
        'informed',
        'voters',
        'confirmations',
        'users',
        'closing',
        'stopped',
        'closing_ms',
        'fence',
        'resumed',
        'stopper',
        'expected_ms',
    )

    def __init__(self, leads: leadership.Leadership) -> None:
        """Require no right until `require` is called."""
        self.node = ''
        self.leadership = leads
        self.required = False
        self.informed = False
        self.voters: tuple[str, ...] = ()
        self.confirmations: dict[str, Confirmation] = {}
        self.users: dict[str, int] = {}
        self.closing = 0
        self.stopped = 0
        self.closing_ms = 0
        self.fence = 0
        self.resumed = 0
        self.stopper = ''
        self.expected_ms = 0

    def require(self, node: str, now_ms: int) -> None:
        """Use the primary with the right only, as the node of a name."""
        self.node = node
        self.required = True
        self.expected_ms = now_ms + RIGHT_MS

    def held(self, now_ms: int) -> bool:
        """Return whether answers of the primary may be passed on."""
        if not self.required:
            return True
        if self.stopped >= self.leadership.term:
            return False
        return self.is_majority(self._confirming(now_ms))

    def may_send(self, now_ms: int) -> bool:
        """Return whether statements may be sent to the primary."""
        if not self.required:
            return True
        return self.closing < self.leadership.term and self.held(now_ms)

    def cut_off(self, now_ms: int) -> bool:
        """Return whether too few owners answer to have the right again."""
        if not self.required or now_ms < self.expected_ms:
            return False
        heard = [
            name
            for name, said in self.confirmations.items()
            if said.asked_ms > now_ms - RIGHT_MS
        ]
        return not self.is_majority([*heard, self.node])

    def is_majority(self, names: typing.Collection[str]) -> bool:
        """Return whether some nodes contain a majority of the voters."""
        agreeing = set(self.voters).intersection(names)
        return 2 * len(agreeing) > len(self.voters)

    @property
    def confirms(self) -> bool:
        """Return whether this node confirms the newest term that it knows."""
        return self.informed and self.closing < self.leadership.term

    def on_question(self, sender: str, now_ms: int) -> None:
        """Note that a node is told what this one knows.

        It may count that as a confirmation of a term that is new here.
        """
        self.users[sender] = now_ms

    def on_confirmation(self, owner: str, said: Confirmation) -> None:
        """Accept what an owner says, unless it has said something later."""
        known = self.confirmations.get(owner)
        if known is None or known.asked_ms < said.asked_ms:
            self.confirmations[owner] = said

    def on_stop(self, sender: str, term: int, fence: int, now_ms: int) -> bool:
        """Accept the request to use a term no more.

        Args:
          sender: Node that orders a promotion.
          term: Term to stop.
          fence: Number of the promotion.
          now_ms: Current time.

        Returns:
          Whether the request counts; those of earlier promotions do not.
        """
        if fence <= self.resumed or fence < self.fence:
            return False
        self.fence = fence
        self.stopper = sender
        if term > self.closing:
            self.closing = term
            self.closing_ms = now_ms
        return True

    def on_resumed(self, fence: int) -> None:
        """Accept that the promotions up to a number are over."""
        if fence <= self.resumed:
            return
        self.resumed = fence
        if self.fence <= fence:
            self.closing = 0
            self.stopped = 0
            self.stopper = ''

    def stop_when_drained(self, busy: bool, now_ms: int) -> str:
        """Pass on no more answers of a closing term once none is awaited.

        Args:
          busy: Whether statements run at the primary.
          now_ms: Current time.

        Returns:
          The node that waits for it, or ''.
        """
        over = not busy or now_ms - self.closing_ms >= DRAIN_MS
        if over:
            self.stopped = self.closing
            stopper = self.stopper
            self.stopper = ''
            return stopper
        return ''

    def recent_users(self, now_ms: int) -> dict[str, int]:
        """Return how long ago each node with a valid confirmation had it."""
        ages = {name: now_ms - at_ms for name, at_ms in self.users.items()}
        return {name: age for name, age in ages.items() if age < RIGHT_MS}

    def _confirming(self, now_ms: int) -> list[str]:
        term = self.leadership.term
        since_ms = now_ms - RIGHT_MS
        names = [
            name
            for name, said in self.confirmations.items()
            if said.asked_ms > since_ms and said.confirms(term)
        ]
        if self.confirms:
            names.append(self.node)
        return names


class Withdrawal:
    """Progress of one request to all nodes to stop using a term.

    Attributes:
      term: Term to stop.
      fence: Number of the promotion.
      stopped: Nodes that have stopped.
      newest: Newest term that a node has reported.
    """

    __slots__ = ('right', 'term', 'fence', 'stopped', 'until_ms', 'newest')

    def __init__(self, right: Right, term: int, fence: int) -> None:
        """Start; nobody has stopped yet."""
        self.right = right
        self.term = term
        self.fence = fence
        self.stopped: set[str] = set()
        self.until_ms: dict[str, int] = {}
        self.newest = term

    def on_stopped(
        self,
        name: str,
        term: int,
        users: typing.Mapping[str, int],
        now_ms: int,
    ) -> None:
        """Accept that a node has stopped.

        Args:
          name: Node that has stopped.
          term: Newest term that it knows.
          users: How long ago it confirmed a term to other nodes.
          now_ms: Current time.
        """
        self.newest = max(self.newest, term)
        self.stopped.add(name)
        for user, age_ms in users.items():
            until_ms = now_ms + RIGHT_MS - age_ms
            self.until_ms[user] = max(self.until_ms.get(user, 0), until_ms)

    def missing(self) -> list[str]:
        """Return the nodes that have to be asked to stop."""
        names = {*self.right.voters, *self.until_ms}
        return sorted(names - self.stopped)

    def is_complete(self, now_ms: int) -> bool:
        """Return whether nobody uses the term any more."""
        if not self.right.is_majority(self.stopped):
            return False
        return all(
            until_ms <= now_ms
            for name, until_ms in self.until_ms.items()
            if name not in self.stopped
        )
