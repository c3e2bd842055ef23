"""Links to instances that one node lends to another.

A node borrows a link if the instance allows fewer connections than the nodes
need, or if the node cannot reach an instance that other nodes reach. The
borrower uses the link like one of its own, while the lender only forwards
lines. A link is lent without session values, and is reused after its return
only if nothing runs on it; otherwise it is closed, which rolls back any open
transaction.
"""

from jacinthhaven.sql import commands, gateway, links, pool, ports, statements


class Loan:
    """One link that another node uses.

    Attributes:
      number: Number of the borrower's connection.
      service: Service of the link.
      link: Link that is lent.
      open_replies: Number of statements without a reply so far.
      state: Transaction state after the last reply.
    """

    __slots__ = ('number', 'service', 'link', 'open_replies', 'state')

    def __init__(self, number: int, service: str, link: links.Link) -> None:
        """Start the loan of an idle link."""
        self.number = number
        self.service = service
        self.link = link
        self.open_replies = 0
        self.state = statements.State.IDLE

    @property
    def unused(self) -> bool:
        """Return whether no statement and no transaction is open on it."""
        return not self.open_replies and self.state is statements.State.IDLE


class Lender:
    """Lends links of the services of one node.

    Attributes:
      loans: Loans by the number of the borrower's connection.
      by_link: Loans by the number of the link's connection.
    """

    def __init__(
        self,
        sessions: gateway.Gateway,
        borrowers: ports.Borrowers,
        journal: ports.Journal,
    ) -> None:
        """Start without loans.

        Args:
          sessions: Gateway whose services have the links.
          borrowers: Connections of the borrowers.
          journal: Log and metrics.
        """
        self.gateway = sessions
        self.borrowers = borrowers
        self.journal = journal
        self.loans: dict[int, Loan] = {}
        self.by_link: dict[int, Loan] = {}

    def on_request(
        self,
        number: int,
        service: str,
        customer: str,
        instance: str,
        now_ms: int,
    ) -> None:
        """Lend a free link of a customer to an instance, or refuse at once.

        After a refusal a further link is opened if possible.
        """
        known = self.gateway.groups.get(service)
        link = None
        if known is not None and not self.gateway.draining:
            link = _find_lendable_link(known.pool, customer, instance)
        if link is None:
            if known is not None:
                known.pool.request_link(instance, customer)
                known.pool.open_missing(now_ms)
            self.journal.count('loans', 'refused')
            self.borrowers.refuse(number)
            return
        loan = Loan(number, service, link)
        link.pinned = loan
        self.loans[number] = loan
        self.by_link[link.number] = loan
        self.journal.count('loans', 'granted')
        self.borrowers.grant(number)

    def on_line(self, number: int, line: str, now_ms: int) -> None:
        """Forward a command of a borrower to the instance."""
        loan = self.loans.get(number)
        if loan is None:
            return
        loan.open_replies += 1
        loan.link.mark_sent(now_ms)
        self.gateway.executor.databases.send_line(loan.link.number, line)

    def on_reply_line(
        self,
        link_number: int,
        line: str,
        state: statements.State | None,
    ) -> bool:
        """Forward a line of an instance to the borrower of its link.

        Args:
          link_number: Number of the link's connection.
          line: Line as received.
          state: Transaction state, if the line ends a reply.

        Returns:
          Whether the link is lent.
        """
        loan = self.by_link.get(link_number)
        if loan is None:
            return False
        if state is not None:
            loan.open_replies -= 1
            loan.state = state
        self.borrowers.send_line(loan.number, line)
        return True

    def on_returned(self, number: int, now_ms: int) -> None:
        """End a loan whose borrower has closed its connection."""
        loan = self.loans.pop(number, None)
        if loan is None:
            return
        self._take_back(loan, now_ms)

    def end_unused(self, now_ms: int) -> None:
        """End the loans on which nothing runs, since the process will exit."""
        for loan in tuple(self.loans.values()):
            if loan.unused:
                self.loans.pop(loan.number)
                self.borrowers.end(loan.number)
                self._take_back(loan, now_ms)

    def on_lost(self, link_number: int) -> None:
        """End the loan of a link that was lost."""
        loan = self.by_link.pop(link_number, None)
        if loan is not None:
            self.loans.pop(loan.number, None)
            self.borrowers.end(loan.number)

    def _take_back(self, loan: Loan, now_ms: int) -> None:
        """Use a link again, or close it if something runs on it."""
        self.by_link.pop(loan.link.number, None)
        known = self.gateway.groups[loan.service]
        if not loan.unused or loan.link.number not in known.pool.by_number:
            known.pool.drop(loan.link)
            return
        loan.link.pinned = None
        loan.link.steps.append(commands.Reset())
        self.gateway.executor.send_next(known, loan.link, now_ms)


def _find_lendable_link(
    known: pool.Pool, customer: str, instance: str
) -> links.Link | None:
    """Return a free link of this node without session values, if any."""
    state = known.states.get(instance)
    if state is None:
        return None
    for link in state.free_for(customer):
        if not (link.borrowed or link.settings or link.prepared):
            return link
    return None
