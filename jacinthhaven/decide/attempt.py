"""Attempts to raise the term on a majority and promote one instance.

Safety depends only on the term checks of the instances. This state machine
keeps two rules: every fence uses a term that it has not used before, and in
each term it promotes one instance only.
"""

import random
import typing

from jacinthhaven.decide import fence_round, messages, promotion_rules, views
from jacinthhaven.kernel import failures
from jacinthhaven.records import backend

# Bounds of the random backoff. If two owners fence at the same time and
# neither gets a majority, they retry at different times.
MIN_BACKOFF_MS = 40
MAX_BACKOFF_MS = 320
# Interval at which an unanswered promote order is repeated while its term is
# still the highest known.
PROMOTE_REPEAT_MS = 100

_Phase = promotion_rules.Phase


class Attempt:
    """State machine that fences a majority and promotes one instance.

    Attributes:
      database: Name of the database.
      phase: `FENCING`, `WAITING` (backoff) or `PROMOTING` while it runs;
        `FOLLOWING` after success and `IDLE` if it was given up.
      since_ms: When the phase was entered.
      due_ms: When the next retry or repetition is due.
      tries: Number of fence rounds since `start`.
      fence_round: Fence replies in the newest term.
      chosen: Instance selected from the replies of the newest majority.
      inputs: What the owner knew at the last tick.
    """

    def __init__(self, database: str, seed: int) -> None:
        """Start without an attempt; the seed determines the backoff times."""
        self.database = database
        self.phase = _Phase.IDLE
        self.since_ms = 0
        self.due_ms = 0
        self.tries = 0
        self.fence_round = fence_round.FenceRound(0, fence_round.Cause(), set())
        self.chosen = ''
        self.inputs: promotion_rules.PromotionInputs | None = None
        self._random = random.Random(seed)  # noqa: S311

    def start(
        self,
        inputs: promotion_rules.PromotionInputs,
        cause: fence_round.Cause,
        now_ms: int,
    ) -> list[typing.Any]:
        """Send the first fence requests.

        Args:
          inputs: What the owner knows.
          cause: Why the primary is replaced.
          now_ms: Current time.

        Returns:
          `InstanceOrder` and `DecisionLine` messages.
        """
        self.inputs = inputs
        self.tries = 0
        return self._send_fences(cause, now_ms)

    def tick(
        self,
        inputs: promotion_rules.PromotionInputs,
        now_ms: int,
    ) -> list[typing.Any]:
        """Advance timers and re-evaluate what the owner knows."""
        self.inputs = inputs
        newest = views.newest_term(inputs.instances, self.database)
        if newest > self.fence_round.term:
            return self._give_up('another owner has used a higher term', now_ms)
        if self.phase == _Phase.FENCING:
            elapsed_ms = now_ms - self.since_ms
            final = elapsed_ms >= inputs.preset.suspect_ms
            return self._evaluate_replies(now_ms, final=final)
        if self.phase == _Phase.WAITING:
            return self._tick_waiting(now_ms)
        return self._tick_promoting(now_ms)

    def on_reply(
        self,
        order: messages.InstanceOrder,
        reply: backend.Reply | failures.Failure | None,
        now_ms: int,
    ) -> list[typing.Any]:
        """Process the reply to a fence or promote order.

        A failed promote order is ignored: it may have taken effect before
        its reply was lost. The instance's status shows whether it did.
        """
        request = order.request
        if request.term != self.fence_round.term:
            return []
        if isinstance(request, backend.FenceRequest):
            if self.phase != _Phase.FENCING:
                return []
            self.fence_round.record(order.instance, reply)
            return self._evaluate_replies(now_ms, final=False)
        failed = isinstance(reply, failures.Failure)
        if failed or self.phase != _Phase.PROMOTING:
            return []
        return self._succeed('instance accepted the promotion', now_ms)

    def _tick_waiting(self, now_ms: int) -> list[typing.Any]:
        """Retry after the backoff unless the promotion has taken effect."""
        instances = self.inputs.instances
        primary = self.inputs.primary(self.database)
        if primary is not None and not primary.suspected:
            if primary.copies[self.database].term < self.fence_round.term:
                return self._give_up('primary responds again', now_ms)
            self.chosen = primary.name
            return self._succeed('status shows the promotion', now_ms)
        if now_ms < self.due_ms:
            return []
        alive = promotion_rules.responding(instances, self.database)
        if len(alive) < views.majority(instances):
            return self._give_up('no majority of instances responds', now_ms)
        return self._send_fences(self.fence_round.cause, now_ms)

    def _tick_promoting(self, now_ms: int) -> list[typing.Any]:
        view = self.inputs.instances[self.chosen]
        copy = view.copies.get(self.database)
        if copy and copy.primary and copy.term == self.fence_round.term:
            return self._succeed('status shows the promotion', now_ms)
        elapsed_ms = now_ms - self.since_ms
        if view.suspected or elapsed_ms >= self.inputs.preset.suspect_ms:
            return self._back_off('chosen instance does not respond', now_ms)
        if now_ms < self.due_ms:
            return []
        return [self._promote_order(now_ms)]

    def _send_fences(
        self,
        cause: fence_round.Cause,
        now_ms: int,
    ) -> list[typing.Any]:
        """Fence the responding instances and the old primary in a new term."""
        instances = self.inputs.instances
        newest = views.newest_term(instances, self.database)
        alive = promotion_rules.responding(instances, self.database)
        asked = {view.name for view in alive}
        if cause.old_primary:
            asked.add(cause.old_primary)
        term = max(newest, self.fence_round.term) + 1
        self.fence_round = fence_round.FenceRound(term, cause, asked)
        self.tries += 1
        self._enter_phase(_Phase.FENCING, now_ms)
        names = sorted(asked)
        request = backend.FenceRequest(self.database, term)
        orders = [messages.InstanceOrder(name, request) for name in names]
        return [
            self._decision_line('fence', cause.reason, alternatives=names),
            *orders,
        ]

    def _evaluate_replies(
        self,
        now_ms: int,
        *,
        final: bool,
    ) -> list[typing.Any]:
        round_result = self.fence_round.count(self.inputs, final=final)
        if round_result.failed:
            return self._back_off('no majority accepted the term', now_ms)
        if not round_result.chosen:
            return []
        self.chosen = round_result.chosen
        self._enter_phase(_Phase.PROMOTING, now_ms)
        line = self._decision_line(
            'promote',
            self.fence_round.cause.reason,
            chosen=self.chosen,
            alternatives=sorted(set(self.fence_round.accepted) - {self.chosen}),
            position=self.fence_round.accepted[self.chosen].position,
        )
        return [line, self._promote_order(now_ms)]

    def _promote_order(self, now_ms: int) -> messages.InstanceOrder:
        self.due_ms = now_ms + PROMOTE_REPEAT_MS
        request = backend.PromoteRequest(self.database, self.fence_round.term)
        return messages.InstanceOrder(self.chosen, request)

    def _back_off(self, reason: str, now_ms: int) -> list[typing.Any]:
        self._enter_phase(_Phase.WAITING, now_ms)
        limit_ms = min(MAX_BACKOFF_MS, MIN_BACKOFF_MS * 2**self.tries)
        self.due_ms = now_ms + self._random.randint(MIN_BACKOFF_MS, limit_ms)
        return [self._decision_line('promotion_retry', reason)]

    def _succeed(self, reason: str, now_ms: int) -> list[typing.Any]:
        self._enter_phase(_Phase.FOLLOWING, now_ms)
        return [self._decision_line('promoted', reason, chosen=self.chosen)]

    def _give_up(self, reason: str, now_ms: int) -> list[typing.Any]:
        self._enter_phase(_Phase.IDLE, now_ms)
        return [self._decision_line('promotion_abandoned', reason)]

    def _enter_phase(self, phase: promotion_rules.Phase, now_ms: int) -> None:
        self.phase = phase
        self.since_ms = now_ms

    def _decision_line(
        self,
        event: str,
        reason: str,
        **details: typing.Any,
    ) -> messages.DecisionLine:
        return promotion_rules.decision_line(
            self.database,
            event,
            reason,
            term=self.fence_round.term,
            **details,
        )
