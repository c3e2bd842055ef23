"""Replacement of the primary of a database, as decided by one owner.

Each owner of a group runs one state machine per database. It detects the
loss of the primary, runs one promotion attempt at a time, hands over a
leaving primary and makes all other instances follow the new one.
"""

import dataclasses
import typing

from jacinthhaven.decide import (
    attempt,
    fence_round,
    following,
    messages,
    promotion_rules,
    views,
)
from jacinthhaven.kernel import failures
from jacinthhaven.records import backend

# Longest time that a handover waits for running writes to finish. New writes
# wait in the queue meanwhile; their default deadline is 5 s.
HANDOVER_WAIT_MS = 1500
# Time from the start of one handover to the start of the next. Counted from
# the start, so that all owners hold their writes at about the same time
# although their waits differ by the stagger.
HANDOVER_RETRY_MS = 5000
# After this time, instances that have not accepted a follow order are no
# longer waited for. They get one in normal operation when they respond again.
FOLLOW_TIMEOUT_MS = 2000

_Phase = promotion_rules.Phase


@dataclasses.dataclass(slots=True)
class HoldWrites:
    """Promotion code to owner: hold new writes in the queue, or release them.

    Attributes:
      database: Name of the database.
      held: Whether new writes and transactions must wait.
    """

    database: str
    held: bool


@dataclasses.dataclass(slots=True)
class Outage:
    """Period without a responding primary in the highest term.

    Attributes:
      term: Highest term that any copy reported.
      since_ms: When the outage was detected.
      suspect: Name of the suspected primary; empty if none is known.
      ready_ms: Since when a promotion may start; None while it may not.
    """

    term: int
    since_ms: int
    suspect: str
    ready_ms: int | None = None


class DatabasePromotion:
    """Promotion state machine of one database at one owner.

    Attributes:
      database: Name of the database.
      phase: Current step.
      since_ms: When the step was entered.
      held: Whether the owner was told to hold writes.
      false_starts: Number of outages that ended without a promotion,
        because the suspected primary responded again.
      attempt: Newest promotion attempt.
      follow_orders: Follow orders to the other instances.
      outage: Current outage; None while the primary responds.
      leaving_primary: Name and term of the primary to hand over.
      next_handover_ms: Earliest time of the next handover.
    """

    def __init__(self, database: str, seed: int) -> None:
        """Start idle; the seed determines the backoff between attempts."""
        self.database = database
        self.phase = _Phase.IDLE
        self.since_ms = 0
        self.held = False
        self.false_starts = 0
        self.attempt = attempt.Attempt(database, seed)
        self.follow_orders = following.FollowOrders(database)
        self.outage: Outage | None = None
        self.leaving_primary = ('', 0)
        self.next_handover_ms = 0

    def tick(
        self,
        now_ms: int,
        inputs: promotion_rules.PromotionInputs,
    ) -> list[typing.Any]:
        """Advance timers and re-evaluate what the owner knows.

        Args:
          now_ms: Current time.
          inputs: What the owner knows.

        Returns:
          Messages: `InstanceOrder`, `HoldWrites`, `DecisionLine`, `Count`.
        """
        if self.phase == _Phase.IDLE:
            return self._tick_idle(inputs, now_ms)
        if self.phase == _Phase.HOLDING:
            return self._tick_holding(inputs, now_ms)
        if self.phase == _Phase.FOLLOWING:
            return self._tick_following(inputs, now_ms)
        out = self.attempt.tick(inputs, now_ms)
        return out + self._sync_with_attempt(now_ms)

    def on_reply(
        self,
        order: messages.InstanceOrder,
        reply: backend.Reply | failures.Failure | None,
        now_ms: int,
    ) -> list[typing.Any]:
        """Process the reply to an order.

        Args:
          order: The order that this state machine returned.
          reply: Reply of the instance; a failure if it refused or if the
            reply was lost. Any other reply to a promote or follow order
            means that it was accepted.
          now_ms: Current time.

        Returns:
          Messages as returned by `tick`.
        """
        if isinstance(order.request, backend.FollowRequest):
            accepted = not isinstance(reply, failures.Failure)
            self.follow_orders.on_reply(order, accepted=accepted)
            return []
        out = self.attempt.on_reply(order, reply, now_ms)
        return out + self._sync_with_attempt(now_ms)

    def start_handover(
        self,
        inputs: promotion_rules.PromotionInputs,
        now_ms: int,
    ) -> list[typing.Any]:
        """Start a handover of the current primary if a replica can take over.

        Every owner of the group holds its writes at once, so that the log
        of the primary stops growing. The stagger by slot number determines
        which owner sends the orders.

        Args:
          inputs: What the owner knows.
          now_ms: Current time.

        Returns:
          Messages as returned by `tick`.
        """
        primary = inputs.primary(self.database)
        if self.phase != _Phase.IDLE or primary is None:
            return []
        self.next_handover_ms = now_ms + HANDOVER_RETRY_MS
        successors = [
            view
            for view in promotion_rules.responding(
                inputs.instances,
                self.database,
            )
            if not promotion_rules.is_leaving_or_excluded(inputs, view.name)
        ]
        if not [view for view in successors if view is not primary]:
            return []
        self.leaving_primary = self._name_and_term(primary)
        self._enter_phase(_Phase.HOLDING, now_ms)
        self.held = True
        return [
            HoldWrites(self.database, held=True),
            self._decision_line('handover', 'primary is leaving'),
        ]

    def _tick_idle(
        self,
        inputs: promotion_rules.PromotionInputs,
        now_ms: int,
    ) -> list[typing.Any]:
        primary = inputs.primary(self.database)
        if (
            primary is None
            or primary.suspected
            or promotion_rules.has_lost_majority(inputs, self.database, primary)
        ):
            return self._start_if_allowed(inputs, primary, now_ms)
        term = primary.copies[self.database].term
        out = self._end_outage(primary.name, term)
        out += self.follow_orders.repairs(inputs, primary.name, term, now_ms)
        if inputs.primary_leaving and now_ms >= self.next_handover_ms:
            out += self.start_handover(inputs, now_ms)
        return out

    def _start_if_allowed(
        self,
        inputs: promotion_rules.PromotionInputs,
        primary: views.InstanceView | None,
        now_ms: int,
    ) -> list[typing.Any]:
        """Start a promotion if the rules allow it and the stagger is over."""
        newest = views.newest_term(inputs.instances, self.database)
        if self.outage is None or self.outage.term != newest:
            suspect = primary.name if primary else ''
            self.outage = Outage(newest, now_ms, suspect)
        outage = self.outage
        reason = promotion_rules.start_reason(
            inputs,
            self.database,
            outage.since_ms,
            now_ms,
        )
        if not reason:
            outage.ready_ms = None
            return []
        if outage.ready_ms is None:
            outage.ready_ms = now_ms
        if now_ms - outage.ready_ms < _stagger_ms(inputs):
            return []
        cause = fence_round.Cause(reason, outage.suspect)
        return self._start_attempt(inputs, cause, now_ms)

    def _start_attempt(
        self,
        inputs: promotion_rules.PromotionInputs,
        cause: fence_round.Cause,
        now_ms: int,
    ) -> list[typing.Any]:
        out = self.attempt.start(inputs, cause, now_ms)
        self._enter_phase(self.attempt.phase, now_ms)
        return out

    def _tick_holding(
        self,
        inputs: promotion_rules.PromotionInputs,
        now_ms: int,
    ) -> list[typing.Any]:
        primary = inputs.primary(self.database)
        if primary is None or primary.suspected:
            return self._stop_handover('primary does not respond', now_ms)
        if self._name_and_term(primary) != self.leaving_primary:
            return self._stop_handover('primary has changed', now_ms)
        waited_ms = now_ms - self.since_ms - _stagger_ms(inputs)
        late = waited_ms >= HANDOVER_WAIT_MS
        quiet = waited_ms >= 0 and inputs.writes_finished
        ready = promotion_rules.caught_up_replicas(
            inputs,
            self.database,
            primary,
        )
        if late and not ready:
            return self._stop_handover('no replica has caught up', now_ms)
        if not ready or not (late or quiet):
            return []
        reason = 'handover of a leaving primary'
        cause = fence_round.Cause(reason, primary.name, planned=True)
        return self._start_attempt(inputs, cause, now_ms)

    def _tick_following(
        self,
        inputs: promotion_rules.PromotionInputs,
        now_ms: int,
    ) -> list[typing.Any]:
        chosen = self.attempt.chosen
        term = self.attempt.fence_round.term
        newest = views.newest_term(inputs.instances, self.database)
        lost = newest > term or inputs.instances[chosen].suspected
        late = now_ms - self.since_ms >= FOLLOW_TIMEOUT_MS
        if lost or late:
            self._enter_phase(_Phase.IDLE, now_ms)
            return []
        out = self.follow_orders.orders(inputs, chosen, term, now_ms)
        # Wait until the status shows the new primary; otherwise the next
        # tick would detect an outage.
        seen = inputs.primary(self.database) is not None
        if seen and self.follow_orders.complete(inputs, chosen):
            self._enter_phase(_Phase.IDLE, now_ms)
        return out

    def _sync_with_attempt(self, now_ms: int) -> list[typing.Any]:
        """Copy the phase of the attempt and release writes at its end."""
        if self.phase in {_Phase.IDLE, _Phase.HOLDING, _Phase.FOLLOWING}:
            return []
        if self.attempt.phase != self.phase:
            self._enter_phase(self.attempt.phase, now_ms)
        if self.phase == _Phase.FOLLOWING:
            self.outage = None
            inputs = self.attempt.inputs
            return self._release_writes() + self.follow_orders.orders(
                inputs,
                self.attempt.chosen,
                self.attempt.fence_round.term,
                now_ms,
            )
        if self.phase == _Phase.IDLE:
            return self._release_writes()
        return []

    def _stop_handover(self, reason: str, now_ms: int) -> list[typing.Any]:
        self._enter_phase(_Phase.IDLE, now_ms)
        line = self._decision_line('handover_stopped', reason)
        return [line, *self._release_writes()]

    def _end_outage(self, primary: str, term: int) -> list[typing.Any]:
        """End the outage; count it as false if its suspect is still primary."""
        outage = self.outage
        self.outage = None
        if outage is None or (outage.suspect, outage.term) != (primary, term):
            return []
        self.false_starts += 1
        return [messages.Count('promotion_false_starts')]

    def _release_writes(self) -> list[HoldWrites]:
        if not self.held:
            return []
        self.held = False
        return [HoldWrites(self.database, held=False)]

    def _name_and_term(self, primary: views.InstanceView) -> tuple[str, int]:
        return primary.name, primary.copies[self.database].term

    def _decision_line(self, event: str, reason: str) -> messages.DecisionLine:
        chosen, term = self.leaving_primary
        return promotion_rules.decision_line(
            self.database,
            event,
            reason,
            chosen=chosen,
            term=term,
        )

    def _enter_phase(self, phase: promotion_rules.Phase, now_ms: int) -> None:
        self.phase = phase
        self.since_ms = now_ms


def _stagger_ms(inputs: promotion_rules.PromotionInputs) -> int:
    return inputs.slot * inputs.preset.decider_stagger_ms
