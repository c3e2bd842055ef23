"""Connection pool of one service, and queue of its control commands."""

import collections
import typing

import msgspec

from jacinthhaven.sql import (
    commands,
    customer_links,
    instances,
    link_times,
    links,
    ports,
    records,
    statements,
)

# Delay before the next attempt after a link could not be opened.
_RETRY_MS = 150
# Delay after the instance refused a link because of its connection limit,
# since connections of dead nodes still count for three seconds.
_LIMIT_RETRY_MS = 500
# Links to one instance that are opened at the same time; opening one takes
# one of its slots.
_MAX_OPENING = 1
# The same where each link belongs to one customer, so that more are opened.
_MAX_OPENING_BY_CUSTOMER = 2


# Time for which links are borrowed after an own one could not be opened.
_BORROW_PERIOD_MS = 2000
# Delay before the next attempt after a node had no link to lend.
_BORROW_RETRY_MS = 15
# Limit of links to one instance that are borrowed at the same time.
_MAX_BORROWED = 2
# Delay before an own link is opened to an instance that does not answer.
_UNREACHABLE_RETRY_MS = 1000

# Time for which all replicas must have refused reads as too far behind before
# the primary counts as the only instance that serves reads.
_LAG_MS = 1000

OnReply = typing.Callable[[statements.Reply | None], None]
Wanted = typing.Iterable[tuple[str | None, str]]


class ControlRequest(msgspec.Struct):
    """Control command that waits for a link or for its reply.

    Attributes:
      command: Command to send.
      on_reply: Called with the reply, or with None on a timeout.
      until_ms: Deadline for finding a link; after the command was sent,
        deadline for the reply.
    """

    command: commands.Command
    on_reply: OnReply
    until_ms: int


class Pool:
    """Links to the instances of one service.

    Attributes:
      states: States of the instances by name.
      by_number: Links by the number of their connection.
      max_links: Maximum of own links to each instance.
      owners: Number of nodes that send statements to the instances.
      min_links: Own links to each instance that stay open when idle. More
        are opened only while statements wait, since connections of a dead
        node take the place of others for three seconds.
      control_requests: Queued control commands by instance.
      lenders: Addresses of the nodes from which links may be borrowed.
      wanted: Instances to which one more link is needed, each with the customers
        of the waiting statements in the order of the queue.
      by_customer: Whether each link belongs to one customer.
      lender_turn: Counter that selects the next lender, round robin.
    """

    def __init__(self, databases: ports.Databases) -> None:
        """Create a pool without instances."""
        self.databases = databases
        self.states: dict[str, instances.InstanceState] = {}
        self.by_number: dict[int, links.Link] = {}
        self.max_links = 1
        self.min_links = 1
        self.owners = 1
        self.control_requests: dict[str, collections.deque[ControlRequest]] = {}
        self.wanted: dict[str, list[str]] = {}
        self.by_customer = False
        self.lenders: list[records.Address] = []
        self.lender_turn = 0

    def update(
        self,
        entries: typing.Iterable[records.Instance],
        now_ms: int,
        proved_ms: int | None,
    ) -> None:
        """Apply the registry entries of the service.

        Args:
          entries: All entries.
          now_ms: Current time.
          proved_ms: When their read was sent, or None if it may be old.
        """
        listed = {entry.name: entry for entry in entries}
        for name, entry in listed.items():
            state = self.states.get(name)
            if state is None:
                state = instances.InstanceState(entry, now_ms)
                self.states[name] = state
            state.update_entry(entry, now_ms, proved_ms)
            state.window.resize(entry.slots, self.owners)
        for name, state in tuple(self.states.items()):
            if name in listed:
                continue
            state.departure.on_missing(now_ms)
            if not state.links and state.departure.leaving_ms is not None:
                self.states.pop(name)

    def ask(self, instance: str, request: ControlRequest) -> None:
        """Queue a control command for an instance."""
        waiting = self.control_requests.setdefault(
            instance, collections.deque()
        )
        waiting.append(request)

    def open_missing(self, now_ms: int) -> None:
        """Open or borrow links to instances that have too few."""
        for state in self.states.values():
            self._open_own(state, now_ms)
            if now_ms < state.borrow_until_ms:
                self._borrow(state, now_ms)

    def request_link(self, instance: str, customer: str) -> None:
        """Record that another node needs a link of a customer."""
        if instance in self.states:
            self.wanted.setdefault(instance, []).append(customer)

    def update_wanted(self, pairs: Wanted) -> bool:
        """Set the links that waiting statements need.

        Args:
          pairs: Instance, or None if no one is known, and customer.

        Returns:
          Whether one of them was not needed before.
        """
        wanted: dict[str, list[str]] = {}
        for instance, customer in pairs:
            if instance is not None:
                wanted.setdefault(instance, []).append(customer)
        known = {name: set(found) for name, found in self.wanted.items()}
        self.wanted = wanted
        return any(
            not known.get(name, set()).issuperset(found)
            for name, found in wanted.items()
        )

    def replicas_lag(self, leader: str, now_ms: int) -> bool:
        """Return whether all replicas have lagged too far to serve reads.

        Args:
          leader: Name of the primary.
          now_ms: Current time.
        """
        replicas = [
            state
            for name, state in self.states.items()
            if name != leader and state.usable_at(now_ms)
        ]
        lagging = [
            state for state in replicas if state.behind_for(now_ms) >= _LAG_MS
        ]
        return bool(replicas) and len(lagging) == len(replicas)

    def close_own_links(
        self, state: instances.InstanceState, now_ms: int
    ) -> None:
        """Close the free own links to an instance that does not answer them."""
        state.borrow_until_ms = now_ms + _BORROW_PERIOD_MS
        state.next_open_ms = now_ms + _UNREACHABLE_RETRY_MS
        for link in state.free_links:
            if not link.borrowed:
                self.drop(link)

    def opened(self, link: links.Link, now_ms: int) -> None:
        """Mark a link as ready after the instance has accepted it."""
        state = self.states[link.instance]
        state.mark_heard(now_ms)
        # Opening a connection waits for a slot, too.
        state.mark_overtaken(link, now_ms)
        link.ready = True
        link.idle_since_ms = now_ms

    def refused(
        self,
        link: links.Link,
        code: statements.Code | None,
        now_ms: int,
    ) -> None:
        """Drop a link that did not open and delay the next attempt."""
        state = self.states[link.instance]
        if link.borrowed:
            state.next_borrow_ms = now_ms + _BORROW_RETRY_MS
            self.drop(link)
            return
        state.borrow_until_ms = now_ms + _BORROW_PERIOD_MS
        if code is statements.Code.CONNECTION_LIMIT:
            state.mark_heard(now_ms)
            state.next_open_ms = now_ms + _LIMIT_RETRY_MS
        else:
            state.next_open_ms = now_ms + _RETRY_MS
            if state.failed_ms is None:
                state.failed_ms = now_ms
        if code is statements.Code.WRONG_INSTANCE:
            state.departure.on_missing(now_ms)
        self.drop(link)

    def drop(self, link: links.Link) -> None:
        """Close a link and remove it from the pool."""
        self.databases.close(link.number)
        self.by_number.pop(link.number, None)
        state = self.states.get(link.instance)
        if state is not None and link in state.links:
            state.links.remove(link)

    def overdue(self, now_ms: int) -> list[links.Link]:
        """Return the links whose reply or opening has timed out."""
        return [
            link
            for link in self.by_number.values()
            if link.waiting
            and now_ms - link.sent_ms >= link_times.timeout_ms(link)
        ]

    def expire_control_requests(self, now_ms: int) -> None:
        """Report the control commands that have timed out."""
        for waiting in self.control_requests.values():
            while waiting and waiting[0].until_ms <= now_ms:
                waiting.popleft().on_reply(None)
        for link in tuple(self.by_number.values()):
            request = link.work
            if (
                isinstance(request, ControlRequest)
                and request.until_ms <= now_ms
            ):
                # The link stays in use until the late reply arrives.
                link.work = None
                request.on_reply(None)

    def next_control_request(self, link: links.Link) -> ControlRequest | None:
        """Remove and return the next control command for a free link."""
        waiting = self.control_requests.get(link.instance)
        return waiting.popleft() if waiting else None

    def close_unused(self, now_ms: int) -> None:
        """Close idle links beyond the minimum."""
        for state in self.states.values():
            spare = len(state.links) - min(self.min_links, self.max_links)
            for link in state.free_links:
                if link_times.idle_too_long(link, now_ms) and (
                    link.borrowed or spare > 0
                ):
                    spare -= 1
                    self.drop(link)

    def _open_own(self, state: instances.InstanceState, now_ms: int) -> None:
        if now_ms < state.next_open_ms:
            return
        own = [link for link in state.links if not link.borrowed]
        opening = sum(not link.ready for link in own)
        if self.by_customer:
            self._open_for_customers(state, own, now_ms)
            return
        missing = self._target(state, own, now_ms) - len(own)
        if missing > 0 and opening < _MAX_OPENING:
            self._open_link(state, None, now_ms)

    def _open_for_customers(
        self,
        state: instances.InstanceState,
        own: list[links.Link],
        now_ms: int,
    ) -> None:
        """Open the links of customers whose statements wait.

        If the limit of links is reached, the link that has been idle for the
        longest time makes room.
        """
        opening = sum(not link.ready for link in own)
        for customer in self._missing_customers(state, own, now_ms):
            if opening >= _MAX_OPENING_BY_CUSTOMER:
                return
            if len(own) >= self.max_links:
                unused = customer_links.removable(
                    own,
                    customer,
                    self.wanted.get(state.entry.name, ()),
                    now_ms,
                )
                if unused is None:
                    return
                own.remove(unused)
                self.drop(unused)
            opening += 1
            own.append(self._open_link(state, None, now_ms, customer))

    def _missing_customers(
        self,
        state: instances.InstanceState,
        own: list[links.Link],
        now_ms: int,
    ) -> list[str]:
        """Return the customer of each own link that should be opened.

        A customer gets no more links than the window allows statements in
        flight: each further one would close a link of another customer, which
        has to be opened again.
        """
        name = state.entry.name
        if self.control_requests.get(name):
            # A control command must not wait until a transaction ends.
            return [] if any(link.free for link in own) else ['']
        leaves = state.departure.leaving_ms is not None
        if leaves and not state.reachable_at(now_ms):
            return []
        wanted = self.wanted.get(name, [])
        if wanted and state.has_room():
            return customer_links.missing(wanted, own, state.window.limit)
        return [''] if self.min_links and not own else []

    def _borrow(self, state: instances.InstanceState, now_ms: int) -> None:
        """Borrow a link for queued work; lenders are asked round robin."""
        name = state.entry.name
        needed = name in self.wanted or self.control_requests.get(name)
        if not needed or not self.lenders or now_ms < state.next_borrow_ms:
            return
        borrowed = [link for link in state.links if link.borrowed]
        if len(borrowed) >= _MAX_BORROWED:
            return
        if all(link.ready for link in borrowed):
            self.lender_turn += 1
            lender = self.lenders[self.lender_turn % len(self.lenders)]
            customers = self.wanted.get(name, [''])
            self._open_link(state, lender, now_ms, customers[0])

    def _open_link(
        self,
        state: instances.InstanceState,
        lender: records.Address | None,
        now_ms: int,
        customer: str = '',
    ) -> links.Link:
        number = self.databases.open(state.entry, lender, customer)
        link = links.Link(
            number,
            state.entry.name,
            now_ms,
            borrowed=lender is not None,
            customer=customer,
        )
        state.links.append(link)
        self.by_number[number] = link
        return link

    def _target(
        self,
        state: instances.InstanceState,
        own: list[links.Link],
        now_ms: int,
    ) -> int:
        """Return the desired number of own links to an instance."""
        name = state.entry.name
        if self.control_requests.get(name):
            # A control command must not wait until a transaction ends.
            free = any(link.free for link in state.links)
            return len(own) + (not free)
        leaves = state.departure.leaving_ms is not None
        if leaves and not state.reachable_at(now_ms):
            return 0
        min_links = min(self.min_links, self.max_links)
        needs_link = name in self.wanted and not state.free_links
        if not needs_link or not state.has_room():
            return min_links
        return min(max(len(own) + 1, min_links), self.max_links)
