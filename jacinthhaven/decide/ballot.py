"""Count of the fence replies of one promotion attempt.

The replies of a majority decide which copy has every acknowledged write.
Replies are kept per attempt, because a reply to another number proves
nothing about this one.
"""

import dataclasses

from jacinthhaven.decide import promotion_rules, views
from jacinthhaven.kernel import failures
from jacinthhaven.records import backend


@dataclasses.dataclass(slots=True)
class Verdict:
    """Result of a count.

    Attributes:
      chosen: Instance to promote; empty without one.
      failed: Whether the attempt cannot reach a majority any more.
    """

    chosen: str = ''
    failed: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Cause:
    """Why a primary is replaced.

    Attributes:
      reason: Explanation for the log line.
      old_primary: Name of the primary to replace; empty if unknown.
      planned: Whether the old primary is alive and hands over.
    """

    reason: str = ''
    old_primary: str = ''
    planned: bool = False


@dataclasses.dataclass(slots=True)
class Ballot:
    """Fence replies to one number.

    Attributes:
      term: Number that the instances were asked to accept.
      cause: Why the primary is replaced.
      asked: Instances that were asked and have not answered.
      accepted: Log ends of the instances that accepted, by name.
    """

    term: int
    cause: Cause
    asked: set[str]
    accepted: dict[str, backend.FenceReply] = dataclasses.field(
        default_factory=dict,
    )

    def record(
        self,
        name: str,
        reply: backend.Reply | failures.Failure,
    ) -> None:
        """Record an answer; a failure counts as a refusal."""
        if name not in self.asked:
            return
        self.asked.discard(name)
        if isinstance(reply, backend.FenceReply) and reply.term == self.term:
            self.accepted[name] = reply

    def count(
        self,
        situation: promotion_rules.Situation,
        *,
        final: bool,
    ) -> Verdict:
        """Return what the answers so far allow.

        Instances that are suspected are not waited for, and their logs are
        left out when the others form a majority: a suspected primary with
        unconfirmed entries should not be promoted again.

        Args:
          situation: What the owner knows.
          final: Whether no further answer is waited for.
        """
        majority = views.majority(situation.instances)
        reliable = {
            name: end
            for name, end in self.accepted.items()
            if self._reliable(situation, name)
        }
        awaited = set() if final else self._awaited(situation)
        if len(reliable) >= majority:
            chosen = promotion_rules.choose(situation, reliable)
            if awaited and self._worth_waiting(situation, chosen, awaited):
                return Verdict()
            return Verdict(chosen)
        if awaited and len(self.accepted) + len(self.asked) >= majority:
            return Verdict()
        if len(self.accepted) >= majority:
            chosen = promotion_rules.choose(situation, self.accepted)
            return Verdict(chosen)
        reachable = len(self.accepted) + len(self.asked)
        return Verdict(failed=final or reachable < majority)

    def _reliable(
        self,
        situation: promotion_rules.Situation,
        name: str,
    ) -> bool:
        """Return whether an instance may be promoted before others.

        A primary that is replaced without a plan has no contact to its
        replicas or to the owners, even if it answers here.
        """
        if name == self.cause.old_primary and not self.cause.planned:
            return False
        return not situation.instances[name].suspected

    def _awaited(self, situation: promotion_rules.Situation) -> set[str]:
        return {
            name
            for name in self.asked
            if not situation.instances[name].suspected
        }

    def _worth_waiting(
        self,
        situation: promotion_rules.Situation,
        chosen: str,
        awaited: set[str],
    ) -> bool:
        """Return whether another answer may lead to a better choice."""
        if self.cause.planned and self.cause.old_primary in awaited:
            return True
        return promotion_rules.avoided(situation, chosen)
