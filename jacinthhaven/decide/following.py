"""Orders that make all other instances follow the primary of a database.

Every owner repeats them while a copy is at an older term or without
contact to the primary, because the owner that ran the promotion may be
gone when an old primary comes back.
"""

from jacinthhaven.decide import messages, promotion_rules, views
from jacinthhaven.records import backend

# An instance needs some round trips to connect to its new primary.
REPEAT_MS = 500


class FollowOrders:
    """Follow orders of one database.

    Attributes:
      database: Name of the database.
      term: Term of the primary that the state below belongs to.
      confirmed: Instances that have accepted an order of this term.
      sent_ms: When the newest order was sent, by instance.
      astray_ms: Since when an instance has not followed, by instance.
    """

    def __init__(self, database: str) -> None:
        """Start without orders."""
        self.database = database
        self.term = 0
        self.confirmed: set[str] = set()
        self.sent_ms: dict[str, int] = {}
        self.astray_ms: dict[str, int] = {}

    def on_reply(self, order: messages.InstanceOrder, accepted: bool) -> None:
        """Record the reply to an order of this class."""
        if order.request.term != self.term:
            return
        if accepted:
            self.confirmed.add(order.instance)

    def orders(
        self,
        situation: promotion_rules.Situation,
        primary: str,
        term: int,
        now_ms: int,
    ) -> list[messages.InstanceOrder]:
        """Return the orders that are due after a promotion by this owner.

        Every responding instance gets an order until it accepts one, even
        if its silence is short: a fenced copy follows nobody.
        """
        self._adopt(term)
        due = []
        for view in self._others(situation, primary):
            unconfirmed = view.name not in self.confirmed
            if unconfirmed or self._astray(situation, view):
                due += self._order(view.name, primary, now_ms)
        return due

    def repairs(
        self,
        situation: promotion_rules.Situation,
        primary: str,
        term: int,
        now_ms: int,
    ) -> list[messages.InstanceOrder]:
        """Return the orders that are due in normal operation.

        Slot k waits k times the stagger longer, so that normally only one
        owner sends them.
        """
        self._adopt(term)
        wait_ms = situation.slot * situation.preset.decider_stagger_ms
        due = []
        for view in self._others(situation, primary):
            if not self._astray(situation, view):
                self.astray_ms.pop(view.name, None)
                continue
            since_ms = self.astray_ms.setdefault(view.name, now_ms)
            if now_ms - since_ms >= wait_ms:
                due += self._order(view.name, primary, now_ms)
        return due

    def complete(
        self,
        situation: promotion_rules.Situation,
        primary: str,
    ) -> bool:
        """Return whether every responding instance accepted an order."""
        return all(
            view.name in self.confirmed
            for view in self._others(situation, primary)
        )

    def _adopt(self, term: int) -> None:
        if term != self.term:
            self.term = term
            self.confirmed.clear()
            self.sent_ms.clear()
            self.astray_ms.clear()

    def _others(
        self,
        situation: promotion_rules.Situation,
        primary: str,
    ) -> list[views.InstanceView]:
        return [
            view
            for view in promotion_rules.responding(
                situation.instances,
                self.database,
            )
            if view.name != primary
        ]

    def _astray(
        self,
        situation: promotion_rules.Situation,
        view: views.InstanceView,
    ) -> bool:
        copy = view.copies[self.database]
        silent = copy.upstream_silent_ms >= situation.preset.suspect_ms
        return copy.term < self.term or copy.primary or silent

    def _order(
        self,
        name: str,
        primary: str,
        now_ms: int,
    ) -> list[messages.InstanceOrder]:
        sent_ms = self.sent_ms.get(name)
        if sent_ms is not None and now_ms - sent_ms < REPEAT_MS:
            return []
        self.sent_ms[name] = now_ms
        request = backend.FollowRequest(self.database, self.term, primary)
        return [messages.InstanceOrder(name, request)]
