"""Limits of customers at one node: the interface for the gateway."""

import itertools
import random
import typing

from jacinthhaven.quotas import (
    accountant,
    buckets,
    holder,
    limits,
    messages,
    owner_views,
    pending,
    quorum,
)

Send = typing.Callable[[str, messages.Message], None]
# Range of the first numbers of a process.
_FIRST_NUMBERS = 1_000_000_000_000
# Time after the start in which the operations of this node's own customers wait,
# instead of being refused, until it may act as their accountant.
_START_MS = 2000
# How long an operation waits at most for an accountant that is new, and when it
# is asked for again.
_NEW_WAIT_MS = 600
_NEW_POLL_MS = 15
# Interval at which silent owners are looked for.
_UPDATE_INTERVAL_MS = 100


class State(typing.NamedTuple):
    """State of a customer at one node, for the metrics page.

    Attributes:
      limit: Limit of the customer over all nodes.
      admitted: Operations that this node admitted since its start.
      refused: Operations that this node refused since its start.
      accountant: Name of the accountant; '' if none is known.
      acting: Whether this node grants the tokens.
    """

    limit: limits.Limit
    admitted: int
    refused: int
    accountant: str
    acting: bool


class Quotas:
    """Limits of all customers at one node.

    Attributes:
      slack: How far the nodes together may exceed a limit.
      on_granted: Called with the name of a customer and the current time when
        waiting operations should be asked for again.
      views: Owners as this node knows them.
      quorum: Terms of this node as an accountant.
      accountant: Grants of this node.
      holders: Stock of this node by customer, for those with a limit.
      retired: Stock of customers that have no limit any more, so that a limit
        that returns starts with what was used before.
      next_update_ms: When silent owners are looked for again.
      share: Number of nodes that share the limits, and whether this node has
        reserves.
      granting: Whether `on_granted` is being called.
    """

    def __init__(
        self,
        send: Send,
        rng: random.Random,
        slack: limits.Slack = limits.DEFAULT_SLACK,
    ) -> None:
        """Start without limits and owners; all operations are admitted.

        Args:
          send: Sends a message to the node with a name.
          rng: Source of random numbers.
          slack: How far the nodes together may exceed a limit.
        """
        self.send = send
        self.rng = rng
        self.slack = slack
        self.on_granted: typing.Callable[[str, int], None] = _ignore
        self.views = owner_views.OwnerViews()
        self.quorum = quorum.Quorum(
            self.views, send, rng.randrange(_FIRST_NUMBERS)
        )
        self.accountant = accountant.Accountant(slack, self.quorum, send)
        self.holders: dict[str, holder.Holder] = {}
        self.retired: dict[str, holder.Holder] = {}
        self.numbers = itertools.count(rng.randrange(_FIRST_NUMBERS))
        self.next_update_ms = 0
        self.share = (1, False)
        self.granting = False

    def admit(
        self, customer: str, now_ms: int, asked_ms: int | None = None
    ) -> holder.Admission:
        """Decide whether an operation of a customer may be executed.

        Args:
          customer: Name of the customer, or ''.
          now_ms: Current time.
          asked_ms: When the operation was asked for first, if it has waited;
            it waits for at most 60 ms after that, or 600 ms for an accountant
            that is new.
        """
        known = self.holders.get(customer)
        if known is None:
            return holder.ADMITTED
        if asked_ms is None:
            known.rate.count(now_ms)
            asked_ms = now_ms
        if self._take(known, now_ms):
            known.admitted += 1
            return holder.ADMITTED
        if self._waits_for_start(known, asked_ms, now_ms):
            return holder.Admission(False, now_ms + _NEW_POLL_MS)
        account = self._own_account(known, now_ms)
        if account is not None:
            return self._admit_at_accountant(known, account, asked_ms, now_ms)
        return self._admit_without_token(known, asked_ms, now_ms)

    def configure(
        self, new: typing.Mapping[str, limits.Limit], now_ms: int
    ) -> None:
        """Apply the limits of all customers that have one.

        Args:
          new: Limits by name of the customer; a rate of 0 is no limit.
          now_ms: Current time.
        """
        self.views.start(now_ms)
        limited = {
            name: limit for name, limit in new.items() if limit.rate_per_s > 0
        }
        for gone in self.holders.keys() - limited.keys():
            self.retired[gone] = self.holders.pop(gone)
        for name, limit in limited.items():
            known = self._holder(name, limit)
            known.limit = limit
            self.accountant.configure(name, limit, now_ms)
        self.quorum.customers = tuple(sorted(limited))
        self._update_holders(now_ms)
        self.quorum.on_owners_changed(now_ms)

    def update_owners(
        self, names: typing.Iterable[str], node: str, now_ms: int
    ) -> None:
        """Apply the nodes that own services.

        Args:
          names: Names of the owners, in any order.
          node: Name of this node.
          now_ms: Current time.
        """
        self.views.start(now_ms)
        if self.views.update(tuple(sorted(set(names))), node, now_ms):
            self._update_holders(now_ms)
            self.quorum.on_owners_changed(now_ms)

    def on_message(self, message: messages.Message, now_ms: int) -> None:
        """Handle a message of another node."""
        self.views.heard_ms[message.sender] = now_ms
        match message:
            case messages.QuotaGrant():
                self._on_grant(message, now_ms)
            case messages.QuotaRequest():
                self.accountant.on_request(message, now_ms)
            case messages.PledgeRequest():
                self.quorum.on_request(message, now_ms)
            case messages.PledgeReply():
                self.quorum.on_reply(message, now_ms)

    def tick(self, now_ms: int) -> None:
        """Run all timers that are due."""
        if self.holders:
            self.quorum.tick(now_ms)
            if now_ms >= self.next_update_ms:
                self._update(now_ms)

    def state(self, customer: str, now_ms: int) -> State | None:
        """Return the state of a customer, or None if it has no limit."""
        known = self.holders.get(customer)
        if known is None:
            return None
        return State(
            known.limit,
            known.admitted,
            known.refused,
            known.accountant,
            self.quorum.begin_ms(customer, now_ms) is not None,
        )

    def states(self, now_ms: int) -> dict[str, State]:
        """Return the states of all customers with a limit, by name."""
        return {name: self.state(name, now_ms) for name in sorted(self.holders)}

    def _waits_for_start(
        self, known: holder.Holder, asked_ms: int, now_ms: int
    ) -> bool:
        """Return whether an operation waits because this node has just started.

        After a power loss, all nodes start with empty buckets, and no node acts
        as an accountant before the owners have answered each other.
        """
        if known.accountant not in {'', self.views.node}:
            return False
        if self.views.memory_ms(now_ms) >= _START_MS:
            return False
        return now_ms - asked_ms < _NEW_WAIT_MS

    def _take(self, known: holder.Holder, now_ms: int) -> bool:
        """Take a token of this node, and order more ahead."""
        account = self._own_account(known, now_ms)
        if account is not None:
            return self.accountant.take(known.customer, now_ms)
        if not known.take_token(now_ms):
            return False
        self._request(known, now_ms)
        return True

    def _own_account(
        self, known: holder.Holder, now_ms: int
    ) -> accountant.Account | None:
        """Return the account of a customer if this node is its accountant."""
        if known.accountant != self.views.node:
            return None
        return self.accountant.acting(known.customer, now_ms)

    def _admit_at_accountant(
        self,
        known: holder.Holder,
        account: accountant.Account,
        asked_ms: int,
        now_ms: int,
    ) -> holder.Admission:
        """Use the reserve, let an operation wait, or refuse it.

        The bucket of a new accountant may be empty although the customer is
        below its limit. An operation of a customer that asks for no more than
        its limit waits for the next token then.
        """
        retry_ms = self.accountant.retry_ms(account)
        if retry_ms == accountant.UNKNOWN_RETRY_MS:
            if known.take_reserve(False, now_ms):
                known.admitted += 1
                return holder.ADMITTED
            token_ms = now_ms + account.bucket.next_token_ms()
            is_below = known.rate.per_s <= known.limit.rate_per_s
            if is_below and token_ms < asked_ms + _NEW_WAIT_MS:
                return holder.Admission(False, now_ms + _NEW_POLL_MS)
        return known.refuse(retry_ms, self.slack.window_ms, self.rng)

    def _admit_without_token(
        self, known: holder.Holder, asked_ms: int, now_ms: int
    ) -> holder.Admission:
        """Use the reserve, let an operation wait for tokens, or refuse it."""
        wait_ms = known.requests.blocked_until_ms - now_ms
        if wait_ms > 0:
            return known.refuse(wait_ms, self.slack.window_ms, self.rng)
        if known.take_reserve(True, now_ms):
            self._request(known, now_ms)
            known.admitted += 1
            return holder.ADMITTED
        # An operation that asks again was counted before, unless a grant came.
        counts = asked_ms == now_ms or self.granting or not known.unmet
        known.unmet += counts
        self._request(known, now_ms)
        wait_until_ms = known.requests.wait_until_ms(asked_ms, now_ms)
        if wait_until_ms is not None:
            return holder.Admission(False, wait_until_ms)
        known.unmet -= 1
        if known.take_reserve(False, now_ms):
            known.admitted += 1
            return holder.ADMITTED
        return known.refuse(pending.WAIT_MS, self.slack.window_ms, self.rng)

    def _request(self, known: holder.Holder, now_ms: int) -> None:
        """Request tokens from the accountant if it is due."""
        name = known.accountant
        if not name or name == self.views.node:
            return
        wanted = known.wanted(now_ms)
        if wanted:
            number = next(self.numbers)
            known.requests.on_sent(number, now_ms)
            self.send(
                name,
                messages.QuotaRequest(
                    self.views.node, known.customer, number, wanted
                ),
            )

    def _on_grant(self, grant: messages.QuotaGrant, now_ms: int) -> None:
        known = self.holders.get(grant.customer)
        if known is None or not known.on_grant(grant, now_ms):
            return
        if known.unmet:
            known.unmet = 0
            self.granting = True
            self.on_granted(grant.customer, now_ms)
            self.granting = False

    def _holder(self, name: str, limit: limits.Limit) -> holder.Holder:
        """Return the holder of a customer, which may have had a limit."""
        known = self.holders.get(name) or self.retired.pop(name, None)
        if known is None:
            reserve = buckets.Reserve(self.slack.window_ms)
            known = holder.Holder(name, limit, reserve)
        self.holders[name] = known
        return known

    def _update_holders(self, now_ms: int) -> None:
        """Apply the owners to the accountants and reserves of customers."""
        candidates = self.views.owners.candidates
        self._update_reserves(now_ms)
        for known in self.holders.values():
            known.follow(owner_views.accountant(known.customer, candidates))

    def _update(self, now_ms: int) -> None:
        """Find silent owners, and follow the remembered sets of owners."""
        self.next_update_ms = now_ms + _UPDATE_INTERVAL_MS
        if self.views.update_silent(now_ms):
            self._update_holders(now_ms)
            self.quorum.on_owners_changed(now_ms)
        elif self._share(now_ms) != self.share:
            self._update_reserves(now_ms)

    def _share(self, now_ms: int) -> tuple[int, bool]:
        """Return by how many the reserves are divided, and whether it has one.

        A node that has become an owner gets none before all nodes know it, and
        before the reserve that an earlier process used is over.
        """
        needed_ms = max(owner_views.MEMORY_MS, self.slack.window_ms)
        return (
            max(self.views.largest_count(now_ms), 1),
            self.views.owner_for_ms(now_ms) >= needed_ms,
        )

    def _update_reserves(self, now_ms: int) -> None:
        """Divide the reserves by the largest number of owners."""
        self.share = self._share(now_ms)
        count, is_owner = self.share
        for known in self.holders.values():
            known.owner_count = count
            known.reserve_size = (
                self.slack.reserve(known.limit, count) if is_owner else 0
            )


def _ignore(_customer: str, _now_ms: int) -> None:
    """Do nothing; default of an unset callback."""
