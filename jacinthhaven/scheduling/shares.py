"""Fair shares of the customers of one priority, by virtual time.

Each customer that waits gets the same slot time, whatever it sends: the
statement whose customer has used the least is served first. A customer that
was inactive starts at the present virtual time, so that it neither saves up a
claim nor pays for what others have used.
"""

import typing


class Shares:
    """Slot time that customers have used, in virtual milliseconds.

    Attributes:
      virtual_ms: Present virtual time: the largest start of a served statement.
      finished_ms: End of the last charged statement of each customer, unless
        it is in the past. Customers that are inactive leave nothing here.
    """

    __slots__ = ('virtual_ms', 'finished_ms')

    def __init__(self) -> None:
        """Start without customers."""
        self.virtual_ms: float = 0
        self.finished_ms: dict[str, float] = {}

    def start_ms(self, customer: str) -> float:
        """Return the virtual start of the next statement of a customer."""
        return max(self.finished_ms.get(customer, 0), self.virtual_ms)

    def charge(self, customer: str, service_ms: float) -> float:
        """Add a statement to what its customer uses and return its start."""
        start_ms = self.start_ms(customer)
        self.finished_ms[customer] = start_ms + service_ms
        return start_ms

    def advance(self, start_ms: float) -> None:
        """Set the virtual time after a statement was served."""
        if start_ms <= self.virtual_ms:
            return
        self.virtual_ms = start_ms
        self.finished_ms = {
            customer: finished_ms
            for customer, finished_ms in self.finished_ms.items()
            if finished_ms > start_ms
        }


class SharesByPriority:
    """Shares of each priority, or of each kind of slot within a priority.

    Statements without a customer share one turn. As long as none has a
    customer, nothing is charged and all starts are equal.

    Attributes:
      groups: Shares by group, for example by priority.
    """

    __slots__ = ('groups',)

    def __init__(self) -> None:
        """Start without statements."""
        self.groups: dict[typing.Hashable, Shares] = {}

    def of_group(self, group: typing.Hashable) -> Shares:
        """Return the shares of a group."""
        found = self.groups.get(group)
        if found is None:
            found = Shares()
            self.groups[group] = found
        return found

    def charge(
        self, group: typing.Hashable, customer: str, service_ms: float
    ) -> float:
        """Charge a statement and return its virtual start."""
        if customer or self.groups:
            return self.of_group(group).charge(customer, service_ms)
        return 0

    def serve(
        self, group: typing.Hashable, customer: str, service_ms: float
    ) -> None:
        """Charge a statement that is served now."""
        self.advance(group, self.charge(group, customer, service_ms))

    def advance(self, group: typing.Hashable, start_ms: float) -> None:
        """Set the virtual time of a group after a statement was served."""
        if self.groups:
            self.of_group(group).advance(start_ms)
