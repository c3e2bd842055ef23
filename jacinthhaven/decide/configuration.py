"""The policy in force on this node and whether the node may use it.

Only higher revisions are adopted, so an accepted change is never reverted.
A node that cannot know whether its policy is current refuses new work.
"""

import enum
import typing

from jacinthhaven.decide import directory as directories
from jacinthhaven.decide import gossip, liveness, messages, policy_rules
from jacinthhaven.records import operators, presets, topology


class Freshness(enum.Enum):
    """Whether this node may use its policy for new work.

    Attributes:
      FRESH: A recent proof shows that the policy is the newest one.
      OUTAGE: There is no recent proof, but this node is in contact with a
        majority of the members that has none either: the store is down.
      ISOLATED: Neither holds; a newer policy may be in force elsewhere.
    """

    FRESH = 'fresh'
    OUTAGE = 'outage'
    ISOLATED = 'isolated'


class PolicyTracker:
    """Policy in force on this node and its freshness.

    Attributes:
      policy: Policy in force; None before the first one.
      started: Whether this node has learned a revision that was current
        when the node started or later.
    """

    def __init__(
        self,
        directory: directories.Directory,
        live: liveness.Liveness,
        gossiper: gossip.Gossip,
        seeds: tuple[topology.Member, ...] = (),
    ) -> None:
        """Start without a policy.

        Args:
          directory: Source of the documents.
          live: Recent contacts with the other members.
          gossiper: Announces the revision that is in force here.
          seeds: Members named in the settings.
        """
        self.directory = directory
        self.live = live
        self.gossip = gossiper
        self.seeds = seeds
        self.policy: presets.Policy | None = None
        self.started = False
        self.state = Freshness.ISOLATED
        # Of the configuration and the preset choice that were read last.
        self.examined_revisions = (0, 0)

    def handle(
        self,
        _message: typing.Any,
        now_ms: int,
    ) -> list[typing.Any]:
        """Adopt documents that the directory learned from any message.

        Returns:
          Messages of type `DecisionLine` and `Count`.
        """
        return self.tick(now_ms)

    def tick(self, now_ms: int) -> list[typing.Any]:
        """Adopt newer documents and report a change of the freshness.

        Returns:
          Messages of type `DecisionLine` and `Count`.
        """
        sent = self._adopt_documents()
        state = self.freshness(now_ms)
        if state is not self.state:
            self.state = state
            line = {'state': state.value, 'revision': self.revision}
            sent.append(messages.DecisionLine('freshness', line))
            sent.append(messages.Count(f'freshness_{state.value}'))
        return sent

    @property
    def revision(self) -> int:
        """Return the revision of the policy in force, or 0."""
        return self.policy.revision if self.policy else 0

    def freshness(self, now_ms: int) -> Freshness:
        """Return whether this node may use its policy for new work."""
        if self.policy is None:
            return Freshness.ISOLATED
        age_ms = self.directory.proof_age_ms(now_ms)
        if 0 <= age_ms <= self.live.freshness_ms:
            self.started = True
            return Freshness.FRESH
        if not self.started and not self._has_heard_most_seeds():
            return Freshness.ISOLATED
        self.started = True
        # If any member of the majority had a fresher proof, this node would
        # have received it, so the store is down for all of them.
        if self.live.has_majority(now_ms):
            return Freshness.OUTAGE
        return Freshness.ISOLATED

    def _has_heard_most_seeds(self) -> bool:
        # This node does not count: it knows nothing that it could confirm.
        heard = [
            seed
            for seed in self.seeds
            if seed.name in self.live.direct_contact_ms
        ]
        return len(heard) * 2 > len(self.seeds)

    def _adopt_documents(self) -> list[typing.Any]:
        entries = self.directory.entries
        config = entries.get(directories.CONFIG)
        choice = entries.get(directories.PRESET)
        if config is None or choice is None:
            return []
        revisions = (config.revision, choice.revision)
        # The two documents may be combined only if this node knows every
        # change up to the newer one.
        if (
            revisions == self.examined_revisions
            or max(revisions) > self.directory.complete
        ):
            return []
        self.examined_revisions = revisions
        result = build_policy(config.value, choice.value, max(revisions))
        if isinstance(result, operators.Problem):
            line = {
                'revision': max(revisions),
                'place': result.place,
                'reason': result.reason,
            }
            return [
                messages.DecisionLine('policy_invalid', line),
                messages.Count('policy_invalid'),
            ]
        if result.revision <= self.revision:
            return []
        self.policy = result
        self.gossip.confirm(result.revision)
        line = {'revision': result.revision, 'preset': result.name}
        return [messages.DecisionLine('policy', line)]


def build_policy(
    config: str,
    choice: str,
    revision: int,
) -> presets.Policy | operators.Problem:
    """Return the policy of two stored documents, or why there is none.

    Args:
      config: Document of type `presets.Configuration`; empty if deleted.
      choice: Document of type `presets.PresetChoice`; empty if deleted.
      revision: Revision of the newer document.
    """
    configuration = policy_rules.decode(config, presets.Configuration)
    if isinstance(configuration, operators.Problem):
        return configuration
    chosen = policy_rules.decode(choice, presets.PresetChoice)
    if isinstance(chosen, operators.Problem):
        return chosen
    preset = configuration.presets.get(chosen.name)
    if preset is None:
        return operators.Problem('name', f'unknown preset {chosen.name}')
    return presets.Policy(revision=revision, name=chosen.name, preset=preset)
