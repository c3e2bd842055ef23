"""Fence replies of one term and the choice of the instance to promote.

The replies of a majority show which copy has every acknowledged write.
Replies are kept for each term, because a reply for another term proves
nothing about this one.
"""

import dataclasses

from jacinthhaven.decide import promotion_rules, views
from jacinthhaven.kernel import failures
from jacinthhaven.records import backend


@dataclasses.dataclass(slots=True)
class RoundResult:
    """Result of counting the replies.

    Attributes:
      chosen: Instance to promote; empty if none is chosen yet.
      failed: Whether a majority can no longer be reached in this term.
    """

    chosen: str = ''
    failed: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Cause:
    """Why a primary is replaced.

    Attributes:
      reason: Explanation for the log line.
      old_primary: Name of the primary to replace; empty if unknown.
      planned: Whether this is a handover from a live primary.
    """

    reason: str = ''
    old_primary: str = ''
    planned: bool = False


@dataclasses.dataclass(slots=True)
class FenceRound:
    """Replies to the fence requests of one term.

    Attributes:
      term: Term that the instances were asked to accept.
      cause: Why the primary is replaced.
      pending: Instances that have not replied yet.
      accepted: Log ends of the instances that accepted, by name.
    """

    term: int
    cause: Cause
    pending: set[str]
    accepted: dict[str, backend.FenceReply] = dataclasses.field(
        default_factory=dict,
    )

    def record(
        self,
        name: str,
        reply: backend.Reply | failures.Failure,
    ) -> None:
        """Record a reply; a failure counts as a refusal."""
        if name not in self.pending:
            return
        self.pending.discard(name)
        if isinstance(reply, backend.FenceReply) and reply.term == self.term:
            self.accepted[name] = reply

    def count(
        self,
        inputs: promotion_rules.PromotionInputs,
        *,
        final: bool,
    ) -> RoundResult:
        """Return the decision that the replies so far allow.

        Suspected instances are not waited for, and their logs are ignored
        when the others form a majority: a suspected primary with
        unconfirmed entries should not be promoted again.

        Args:
          inputs: What the owner knows.
          final: Whether to decide without waiting for further replies.
        """
        majority = views.majority(inputs.instances)
        reliable = {
            name: end
            for name, end in self.accepted.items()
            if self._reliable(inputs, name)
        }
        awaited = set() if final else self._awaited(inputs)
        if len(reliable) >= majority:
            chosen = promotion_rules.choose(inputs, reliable)
            if awaited and self._worth_waiting(inputs, chosen, awaited):
                return RoundResult()
            return RoundResult(chosen)
        if awaited and len(self.accepted) + len(self.pending) >= majority:
            return RoundResult()
        if len(self.accepted) >= majority:
            chosen = promotion_rules.choose(inputs, self.accepted)
            return RoundResult(chosen)
        reachable = len(self.accepted) + len(self.pending)
        return RoundResult(failed=final or reachable < majority)

    def _reliable(
        self,
        inputs: promotion_rules.PromotionInputs,
        name: str,
    ) -> bool:
        """Return whether an instance is preferred for promotion.

        The old primary is preferred only in a planned handover. Otherwise
        it has no contact with its replicas or with the owners, even if it
        replies to this owner.
        """
        if name == self.cause.old_primary and not self.cause.planned:
            return False
        return not inputs.instances[name].suspected

    def _awaited(self, inputs: promotion_rules.PromotionInputs) -> set[str]:
        return {
            name
            for name in self.pending
            if not inputs.instances[name].suspected
        }

    def _worth_waiting(
        self,
        inputs: promotion_rules.PromotionInputs,
        chosen: str,
        awaited: set[str],
    ) -> bool:
        """Return whether another reply may lead to a better choice."""
        if self.cause.planned and self.cause.old_primary in awaited:
            return True
        return promotion_rules.is_leaving_or_excluded(inputs, chosen)
