"""Spreading of the directory, proofs and confirmations between members.

Every `gossip_ms` a node asks one partner; new entries are pushed at once
to `fanout` partners. The partner answers with what the node lacks, and the
node closes the exchange if it knows something newer itself.
"""

import dataclasses
import itertools
import random
import typing

from jacinthhaven.decide import directory as directories
from jacinthhaven.decide import liveness, messages, partners
from jacinthhaven.records import gossip

# Pushes in a storm of changes are combined over this time.
_PUSH_INTERVAL_MS = 250
# New entries up to this size travel with the question of a push. Larger
# ones only go to members that turn out to lack them.
_INLINE_BYTES = 1000
# A closing message is worth its bytes if the proof is younger by this.
_PROOF_GAIN_MS = 250
# Time in which evidence about 2,000 members is collected on request, and
# the part of it that every hop of the request takes.
_GATHER_MS = 6000
_GATHER_STEP_MS = 300
# Answers that arrive later prove nothing that is still of use.
_ASKED_LIMIT = 64
# Exchanges at the same revision but with other keys until a full list is
# requested. A single one occurs while an entry is on its way.
_MISMATCH_LIMIT = 4


@dataclasses.dataclass(slots=True)
class Settings:
    """Parameters of the gossip.

    Attributes:
      gossip_ms: Time between two rounds.
      fanout: Partners that a new entry is pushed to.
      freshness_ms: Age from which a proof no longer counts.
    """

    gossip_ms: int = 500
    fanout: int = 3
    freshness_ms: int = 5000


class Gossip:
    """Exchanges of one node with its partners."""

    def __init__(
        self,
        directory: directories.Directory,
        live: liveness.Liveness,
        chooser: partners.Partners,
        rng: random.Random,
        settings: Settings | None = None,
    ) -> None:
        """Start without an exchange.

        Args:
          directory: Knowledge of this node.
          live: Evidence about the other members.
          chooser: Choice of the partners.
          rng: Source of the phase of the rounds.
          settings: Parameters, or None for the defaults.
        """
        self.directory = directory
        self.live = live
        self.partners = chooser
        self.settings = settings or Settings()
        self.numbers = itertools.count(1)
        # Member and time of each message that may be echoed.
        self.asked: dict[int, tuple[str, int]] = {}
        self.phase_ms = rng.randrange(self.settings.gossip_ms)
        self.round_ms: int | None = None
        self.push_ms = 0
        self.gather_ms = 0
        self.joining = False
        self.mismatches = 0
        self.policy_revision = 0

    def handle(
        self,
        message: typing.Any,
        now_ms: int,
    ) -> list[typing.Any]:
        """React to a received payload; other messages are ignored.

        Returns:
          Messages of type `PeerSend` and `Count`.
        """
        if not isinstance(message, messages.PeerReceived):
            return []
        if not isinstance(message.payload, gossip.Exchange):
            return []
        sent = self._on_exchange(message.member, message.payload, now_ms)
        return sent + self._push(now_ms)

    def tick(self, now_ms: int) -> list[typing.Any]:
        """Start a round when it is due and push what is new.

        Returns:
          Messages of type `PeerSend` and `Count`.
        """
        if self.round_ms is None:
            self.round_ms = now_ms + self.phase_ms
        sent: list[typing.Any] = []
        if now_ms >= self.round_ms:
            self.round_ms = now_ms + self._interval_ms(now_ms)
            self.directory.expire(now_ms)
            self.live.forget(now_ms)
            self.partners.refresh(self.directory, now_ms)
            sent = self._ask(now_ms)
        return sent + self._push(now_ms)

    def probe(self, member: str, now_ms: int) -> list[typing.Any]:
        """Ask a certain member, for example about its confirmation."""
        return [self._send(member, gossip.Exchange(), now_ms)]

    def gather(self, now_ms: int) -> None:
        """Collect evidence about all members for a short time.

        The partners join in, since nobody can ask all members itself.
        """
        self._gather_until(now_ms + _GATHER_MS, now_ms)

    def confirm(self, revision: int) -> None:
        """Announce the policy revision that is in force on this node."""
        self.policy_revision = revision
        self.live.confirm(self.live.me, revision)

    def _push(self, now_ms: int) -> list[typing.Any]:
        base = self.directory.unsent_base
        flags = self.directory.leaving_flags
        if base is None and not (flags.unsent_changes or self.joining):
            return []
        if now_ms < self.push_ms:
            return []
        self.push_ms = now_ms + _PUSH_INTERVAL_MS
        self.directory.unsent_base = None
        flags.unsent_changes = False
        self.joining = False
        self.partners.refresh(self.directory, now_ms)
        question = gossip.Exchange()
        if base:
            question = self.directory.delta(base)
            size = sum(
                len(entry.key) + len(entry.value) for entry in question.entries
            )
            if size > _INLINE_BYTES:
                question = gossip.Exchange()
        return [
            self._send(partner, question, now_ms)
            for partner in self.partners.sample(self.settings.fanout)
        ]

    def _ask(self, now_ms: int) -> list[typing.Any]:
        partner = self.partners.following()
        if partner is None:
            return []
        question = self._send(partner, gossip.Exchange(), now_ms)
        if self.mismatches < _MISMATCH_LIMIT:
            return [question]
        # A member that knows nothing is sent everything.
        self.mismatches = 0
        question.payload.complete = 0
        return [question, messages.Count('gossip_full_requests')]

    def _on_exchange(
        self,
        member: str,
        exchange: gossip.Exchange,
        now_ms: int,
    ) -> list[typing.Any]:
        asked = self.asked.pop(exchange.echo, None)
        # Without the deduction two members would keep each other asking.
        gather_ms = now_ms + exchange.wants_ages_ms - _GATHER_STEP_MS
        self._gather_until(gather_ms, now_ms)
        self.directory.merge(exchange, now_ms)
        self.live.confirm(member, exchange.policy_revision)
        self.live.merge_acked(exchange)
        if asked is not None and asked[0] == member:
            self._on_answer(member, exchange, asked[1])
        if not exchange.number:
            return []
        if exchange.echo and not self._is_useful(exchange, now_ms):
            return []
        return [self._answer(member, exchange, now_ms)]

    def _on_answer(
        self,
        member: str,
        exchange: gossip.Exchange,
        at_ms: int,
    ) -> None:
        self.live.hear(member, at_ms)
        self.live.merge_ages(exchange, at_ms)
        if exchange.proof_age_ms != gossip.NO_PROOF:
            proof_ms = at_ms - exchange.proof_age_ms
            self.directory.record_proof(exchange.complete, proof_ms)
        if exchange.complete == self.directory.complete:
            if exchange.live_hash == self.directory.live_hash:
                self.mismatches = 0
            else:
                self.mismatches += 1

    def _is_useful(self, exchange: gossip.Exchange, now_ms: int) -> bool:
        known = self.directory
        if known.complete > exchange.complete or exchange.wants_ages_ms:
            return True
        if known.leaving_flags.digest != exchange.flags_hash:
            return True
        if known.members_hash == exchange.members_hash:
            if self.live.acked_hash() != exchange.acked_hash:
                return True
        age_ms = known.proof_age_ms(now_ms)
        if exchange.proof_age_ms == gossip.NO_PROOF:
            return age_ms != gossip.NO_PROOF
        return age_ms + _PROOF_GAIN_MS < exchange.proof_age_ms

    def _answer(
        self,
        member: str,
        exchange: gossip.Exchange,
        now_ms: int,
    ) -> messages.PeerSend:
        known = self.directory
        answer = gossip.Exchange()
        if known.complete > exchange.complete:
            answer = known.delta(exchange.complete)
        if known.leaving_flags.digest != exchange.flags_hash:
            answer.entries += tuple(known.leaving_flags.entries.values())
        if self.live.acked_hash() != exchange.acked_hash:
            answer.acked = self.live.acked_bitmap()
        if exchange.wants_ages_ms:
            answer.ages = self.live.ages(now_ms)
        answer.echo = exchange.number
        return self._send(member, answer, now_ms, closing=exchange.echo > 0)

    def _interval_ms(self, now_ms: int) -> int:
        interval_ms = self.settings.gossip_ms
        if self._wants_ages_ms(now_ms) and not self.live.has_majority(now_ms):
            return interval_ms // 2
        return interval_ms

    def _gather_until(self, until_ms: int, now_ms: int) -> None:
        if until_ms > now_ms and self.gather_ms <= now_ms:
            # Partners must join in at once to leave time for the evidence.
            self.joining = True
        self.gather_ms = max(self.gather_ms, until_ms)

    def _wants_ages_ms(self, now_ms: int) -> int:
        # Evidence takes some rounds to spread, so it starts to travel
        # before the proof has expired.
        age_ms = self.directory.proof_age_ms(now_ms)
        wanted_ms = max(0, self.gather_ms - now_ms)
        if age_ms < 0 or age_ms * 2 > self.settings.freshness_ms:
            return max(wanted_ms, _GATHER_STEP_MS)
        if wanted_ms and self.live.is_settled(now_ms):
            return 0
        return wanted_ms

    def _send(
        self,
        member: str,
        exchange: gossip.Exchange,
        now_ms: int,
        closing: bool = False,
    ) -> messages.PeerSend:
        known = self.directory
        if not closing:
            exchange.number = next(self.numbers)
            self.asked[exchange.number] = (member, now_ms)
            if len(self.asked) > _ASKED_LIMIT:
                self.asked.pop(next(iter(self.asked)))
        exchange.complete = known.complete
        exchange.proof_age_ms = known.proof_age_ms(now_ms)
        exchange.flags_hash = known.leaving_flags.digest
        exchange.members_hash = known.members_hash
        exchange.live_hash = known.live_hash
        exchange.wants_ages_ms = self._wants_ages_ms(now_ms)
        exchange.policy_revision = self.policy_revision
        exchange.acked_hash = self.live.acked_hash()
        exchange.acked_revision = self.live.acked_revision
        return messages.PeerSend(member, exchange)
