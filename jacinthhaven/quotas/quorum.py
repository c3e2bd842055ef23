"""For which customers a node may act as the accountant, and until when.

Nodes may know different owners for a while, so that two of them believe to be
the accountant of a customer. An owner pledges itself to one accountant of each
customer at a time, by its own set of owners. A node acts as the accountant
only while one of these holds, counted from the sending of its questions:

- A majority of each set of owners that it or a pledged owner remembers is
  pledged to it, and these owners know that the pledges to any other accountant,
  and the tokens that it granted, have expired.
- All owners in these sets are pledged to it, so that no other node acts, and the
  tokens have expired that one of them granted by a former set of owners, or
  before its process started.

Any two majorities of a set of owners share an owner, so no two nodes act at the
same time, unless their sets of owners differ for more than the memory of former
sets and have no majority in common.
"""

import itertools
import typing

from jacinthhaven.quotas import limits, messages, owner_views

# Interval of the questions to each owner, while this node acts for all customers
# that it should act for, and while it does not.
_ASK_INTERVAL_MS = 400
_ASK_RETRY_MS = 100
# Validity of a pledge from the sending of the question: two questions or
# replies in a row may be lost.
PLEDGE_VALID_MS = 1200
# Time after the last reply to a node, after which its pledge and the tokens
# that it granted have expired.
RELEASE_MS = PLEDGE_VALID_MS + limits.TOKEN_LIFETIME_MS

Send = typing.Callable[[str, messages.Message], None]


class Pledge(typing.NamedTuple):
    """Last statement of an owner.

    Attributes:
      until_ms: Time until which it counts.
      reply: What the owner said.
    """

    until_ms: int
    reply: messages.PledgeReply

    def differs(self, reply: messages.PledgeReply) -> bool:
        """Return whether a newer statement names other owners."""
        known = self.reply
        return (known.owners, known.candidates) != (
            reply.owners,
            reply.candidates,
        )

    def blocks(self, customer: str, node: str) -> bool:
        """Return whether another accountant may still act with its pledge."""
        reply = self.reply
        if reply.memory_ms < RELEASE_MS:
            return True
        for former in reply.former:
            other = owner_views.accountant(customer, former.candidates)
            if other == node or former.age_ms >= RELEASE_MS:
                continue
            if other == reply.sender or other in reply.replied:
                return True
        return False

    def granted_ms(self, customer: str, now_ms: int) -> int:
        """Return the latest time at which the owner may have granted tokens.

        That is before its process started, or while it was the accountant by a
        former set of owners.
        """
        reply = self.reply
        ages_ms = [
            former.age_ms
            for former in reply.former
            if owner_views.accountant(customer, former.candidates)
            == reply.sender
        ]
        return now_ms - min([reply.memory_ms, *ages_ms])


class Term(typing.NamedTuple):
    """Time for which a node acts as the accountant of a customer.

    Attributes:
      begin_ms: Time from which it may grant tokens.
      until_ms: Time until which this is known.
    """

    begin_ms: int
    until_ms: int


class Quorum:
    """Pledges of the owners to this node, and its own to others.

    Attributes:
      views: Owners as this node knows them.
      send: Sends a message to a node.
      pledges: Last statement of each owner.
      replied_ms: When this node last replied to each other node.
      followers_ms: When each node last requested tokens. They are asked too, so
        that they know of this node even if they have restarted.
      terms: Terms of this node by customer.
      customers: Names of all customers with a limit.
      asked_ms: When each of the last questions was sent, by number.
      next_ask_ms: When the next question is due.
      lacks_term: Whether this node does not act for a customer although it is
        the first of its owners.
    """

    def __init__(
        self,
        views: owner_views.OwnerViews,
        send: Send,
        first_number: int,
    ) -> None:
        """Start without pledges.

        Args:
          views: Owners as this node knows them.
          send: Sends a message to the node with a name.
          first_number: Random number of the first question, so that a reply
            to an earlier process is not taken for one to this one.
        """
        self.views = views
        self.send = send
        self.pledges: dict[str, Pledge] = {}
        self.replied_ms: dict[str, int] = {}
        self.followers_ms: dict[str, int] = {}
        self.terms: dict[str, Term] = {}
        self.customers: tuple[str, ...] = ()
        self.numbers = itertools.count(first_number)
        self.asked_ms: dict[int, int] = {}
        self.next_ask_ms = 0
        self.lacks_term = False

    @property
    def is_owner(self) -> bool:
        """Return whether this node is an owner as far as it knows."""
        return self.views.node in self.views.owners.names

    def begin_ms(self, customer: str, now_ms: int) -> int | None:
        """Return since when this node acts as the accountant.

        Returns:
          The time from which it may grant tokens, which may be in the future,
          or None if it does not act.
        """
        term = self.terms.get(customer)
        if term is None or now_ms >= term.until_ms:
            return None
        return term.begin_ms

    def on_owners_changed(self, now_ms: int) -> None:
        """Ask at once, and stop acting where another node is first now."""
        self.next_ask_ms = now_ms
        self.update_terms(now_ms)

    def on_request(self, request: messages.PledgeRequest, now_ms: int) -> None:
        """Reply to a question of another node."""
        if not self.views.node:
            return
        known = owner_views.Owners(request.owners, request.candidates)
        if self.views.learn(known, now_ms):
            self.update_terms(now_ms)
        self.replied_ms[request.sender] = now_ms
        self.send(request.sender, self._statement(request.number, now_ms))

    def on_reply(self, reply: messages.PledgeReply, now_ms: int) -> None:
        """Accept the statement of an owner."""
        asked_ms = self.asked_ms.get(reply.number)
        if asked_ms is None:
            return
        until_ms = asked_ms + PLEDGE_VALID_MS
        known = self.pledges.get(reply.sender)
        if known is not None and known.until_ms >= until_ms:
            return
        self.pledges[reply.sender] = Pledge(until_ms, reply)
        # What only extends the terms waits for the next question.
        if self.lacks_term or known is None or known.differs(reply):
            self.update_terms(now_ms)

    def tick(self, now_ms: int) -> None:
        """Ask the other owners if it is due."""
        if now_ms < self.next_ask_ms or not self.is_owner:
            return
        self._forget_old(now_ms)
        number = next(self.numbers)
        self.asked_ms[number] = now_ms
        request = messages.PledgeRequest(
            self.views.node, number, *self.views.owners
        )
        for name in self.asked(now_ms):
            self.send(name, request)
        self.update_terms(now_ms)
        interval_ms = _ASK_RETRY_MS if self.lacks_term else _ASK_INTERVAL_MS
        self.next_ask_ms = now_ms + interval_ms

    def asked(self, now_ms: int) -> list[str]:
        """Return all owners in the remembered sets, and the recent holders."""
        replies = [pledge.reply for pledge in self.pledges.values()]
        replies.append(self._statement(0, now_ms))
        names = set(self.followers_ms).union(*_known_sets(replies))
        return sorted(names - {self.views.node})

    def update_terms(self, now_ms: int) -> None:
        """Extend, begin and end the terms of this node."""
        node = self.views.node
        if not self.is_owner:
            self.terms.clear()
            return
        fresh = {
            name: pledge
            for name, pledge in self.pledges.items()
            if pledge.until_ms > now_ms
        }
        fresh[node] = Pledge(
            now_ms + PLEDGE_VALID_MS, self._statement(0, now_ms)
        )
        sets = _known_sets(pledge.reply for pledge in fresh.values())
        if self._may_miss_owners(sets, now_ms):
            self.terms.clear()
            return
        self.lacks_term = False
        candidates = self.views.owners.candidates
        for customer in self.customers:
            if owner_views.accountant(customer, candidates) == node:
                self._update_term(customer, fresh, sets, now_ms)
            else:
                self.terms.pop(customer, None)

    def _update_term(
        self,
        customer: str,
        fresh: dict[str, Pledge],
        sets: set[owner_views.Names],
        now_ms: int,
    ) -> None:
        granters = {self.views.node}
        until_ms = self._majority_until_ms(customer, fresh, sets)
        if until_ms <= now_ms:
            granters.update(*sets)
            pledged = self._pledged(customer, fresh)
            until_ms = min(pledged.get(name, 0) for name in granters)
        if until_ms <= now_ms:
            self.terms.pop(customer, None)
            self.lacks_term = True
            return
        term = self.terms.get(customer)
        if term is None or now_ms >= term.until_ms:
            granted_ms = max(
                fresh[name].granted_ms(customer, now_ms) for name in granters
            )
            free_ms = granted_ms + limits.TOKEN_LIFETIME_MS
            term = Term(max(now_ms, free_ms), until_ms)
        self.terms[customer] = term._replace(until_ms=until_ms)

    def _pledged(
        self, customer: str, fresh: dict[str, Pledge]
    ) -> dict[str, int]:
        """Return the pledges for a customer and until when they count."""
        return {
            name: pledge.until_ms
            for name, pledge in fresh.items()
            if owner_views.accountant(customer, pledge.reply.candidates)
            == self.views.node
        }

    def _majority_until_ms(
        self,
        customer: str,
        fresh: dict[str, Pledge],
        sets: set[owner_views.Names],
    ) -> int:
        """Return until when a majority of each set of owners is pledged."""
        free = {
            name: until_ms
            for name, until_ms in self._pledged(customer, fresh).items()
            if not fresh[name].blocks(customer, self.views.node)
        }
        return min(_majority_until_ms(names, free) for names in sets)

    def _statement(self, number: int, now_ms: int) -> messages.PledgeReply:
        """Return what this node knows, as the reply to a question."""
        replied = {
            name: now_ms - replied_ms
            for name, replied_ms in self.replied_ms.items()
            if replied_ms > now_ms - RELEASE_MS
        }
        views = self.views
        return messages.PledgeReply(
            views.node,
            number,
            views.owners.names,
            views.owners.candidates,
            views.described(now_ms),
            replied,
            views.memory_ms(now_ms),
        )

    def _may_miss_owners(
        self, sets: set[owner_views.Names], now_ms: int
    ) -> bool:
        """Return whether this node replaces owners that it does not know.

        A node that has just started and is the only owner, although there are
        other nodes, cannot know which owners some of them still follow.
        """
        alone = sets == {(self.views.node,)}
        if not alone or len(self.views.heard_ms) == 1:
            return False
        return self.views.memory_ms(now_ms) < owner_views.MEMORY_MS

    def _forget_old(self, now_ms: int) -> None:
        expired = [
            number
            for number, asked_ms in self.asked_ms.items()
            if asked_ms <= now_ms - PLEDGE_VALID_MS
        ]
        for number in expired:
            self.asked_ms.pop(number)
        gone = [
            sender
            for sender, pledge in self.pledges.items()
            if pledge.until_ms <= now_ms
        ]
        for sender in gone:
            self.pledges.pop(sender)
        oldest_ms = now_ms - owner_views.MEMORY_MS
        self.followers_ms = {
            name: followed_ms
            for name, followed_ms in self.followers_ms.items()
            if followed_ms > oldest_ms
        }


def _known_sets(
    replies: typing.Iterable[messages.PledgeReply],
) -> set[owner_views.Names]:
    """Return all present and former sets of owners in some statements."""
    sets = set()
    for reply in replies:
        sets.add(reply.owners)
        for former in reply.former:
            sets.add(former.names)
    sets.discard(())
    return sets


def _majority_until_ms(
    names: owner_views.Names, pledged: dict[str, int]
) -> int:
    """Return until when a majority of a set of owners is pledged."""
    times = sorted(
        (pledged[name] for name in names if name in pledged), reverse=True
    )
    needed = len(names) // 2 + 1
    return times[needed - 1] if len(times) >= needed else 0
