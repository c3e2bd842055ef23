"""Orders that make all other instances follow the primary of a database.

Every owner repeats them while a copy is in an older term or has no contact
with the primary, because the owner that ran the promotion may have stopped
before an old primary returns.
"""

from jacinthhaven.decide import messages, promotion_rules, views
from jacinthhaven.records import backend

# Interval of repeated orders. An instance needs some round trips to connect
# to its new primary.
REPEAT_INTERVAL_MS = 500


class FollowOrders:
    """Follow orders of one database.

    Attributes:
      database: Name of the database.
      term: Term of the primary to which the attributes below apply.
      confirmed: Instances that have accepted an order of this term.
      sent_ms: When the newest order was sent, by instance.
      not_following_since_ms: Since when an instance has not followed the
        primary, by instance.
    """

    def __init__(self, database: str) -> None:
        """Start in term 0, without orders."""
        self.database = database
        self.term = 0
        self.confirmed: set[str] = set()
        self.sent_ms: dict[str, int] = {}
        self.not_following_since_ms: dict[str, int] = {}

    def on_reply(self, order: messages.InstanceOrder, accepted: bool) -> None:
        """Record the reply to a follow order."""
        if order.request.term != self.term:
            return
        if accepted:
            self.confirmed.add(order.instance)

    def orders(
        self,
        inputs: promotion_rules.PromotionInputs,
        primary: str,
        term: int,
        now_ms: int,
    ) -> list[messages.InstanceOrder]:
        """Return the orders that are due after a promotion by this owner.

        Every responding instance gets an order until it accepts one, even
        if it had contact with a primary recently: a fenced copy follows no
        primary.
        """
        self._start_term(term)
        due = []
        for view in self._other_instances(inputs, primary):
            unconfirmed = view.name not in self.confirmed
            if unconfirmed or self._is_not_following(inputs, view):
                due += self._order_if_due(view.name, primary, now_ms)
        return due

    def repairs(
        self,
        inputs: promotion_rules.PromotionInputs,
        primary: str,
        term: int,
        now_ms: int,
    ) -> list[messages.InstanceOrder]:
        """Return the orders that are due in normal operation.

        The owner in slot k waits k times the stagger first, so that
        normally only one owner sends them.
        """
        self._start_term(term)
        wait_ms = inputs.slot * inputs.preset.decider_stagger_ms
        due = []
        for view in self._other_instances(inputs, primary):
            if not self._is_not_following(inputs, view):
                self.not_following_since_ms.pop(view.name, None)
                continue
            since_ms = self.not_following_since_ms.setdefault(view.name, now_ms)
            if now_ms - since_ms >= wait_ms:
                due += self._order_if_due(view.name, primary, now_ms)
        return due

    def complete(
        self,
        inputs: promotion_rules.PromotionInputs,
        primary: str,
    ) -> bool:
        """Return whether every responding instance accepted an order."""
        return all(
            view.name in self.confirmed
            for view in self._other_instances(inputs, primary)
        )

    def _start_term(self, term: int) -> None:
        if term != self.term:
            self.term = term
            self.confirmed.clear()
            self.sent_ms.clear()
            self.not_following_since_ms.clear()

    def _other_instances(
        self,
        inputs: promotion_rules.PromotionInputs,
        primary: str,
    ) -> list[views.InstanceView]:
        return [
            view
            for view in promotion_rules.responding(
                inputs.instances,
                self.database,
            )
            if view.name != primary
        ]

    def _is_not_following(
        self,
        inputs: promotion_rules.PromotionInputs,
        view: views.InstanceView,
    ) -> bool:
        copy = view.copies[self.database]
        silent = copy.upstream_silent_ms >= inputs.preset.suspect_ms
        return copy.term < self.term or copy.primary or silent

    def _order_if_due(
        self,
        name: str,
        primary: str,
        now_ms: int,
    ) -> list[messages.InstanceOrder]:
        sent_ms = self.sent_ms.get(name)
        if sent_ms is not None and now_ms - sent_ms < REPEAT_INTERVAL_MS:
            return []
        self.sent_ms[name] = now_ms
        request = backend.FollowRequest(self.database, self.term, primary)
        return [messages.InstanceOrder(name, request)]
