"""Gossip protocol that spreads directory, proofs and confirmations.

Every `gossip_ms` a node sends a request to one partner; new entries are
pushed to `fanout` partners at once. The partner replies with what the node
lacks, and the node ends the exchange with a final message if it has
something newer itself.
"""

import dataclasses
import itertools
import random
import typing

from jacinthhaven.decide import directory as directories
from jacinthhaven.decide import liveness, messages, partners
from jacinthhaven.records import gossip

# Changes within this time are combined into one push.
_PUSH_INTERVAL_MS = 250
# New entries up to this total size are included in the request of a push.
# Larger ones are sent only in the reply to members that lack them.
_MAX_INLINE_BYTES = 1000
# A proof justifies a final message if it is younger by this much; a smaller
# gain is not worth the traffic.
_MIN_PROOF_GAIN_MS = 250
# Time in which contact ages of 2,000 members are collected on request, and
# the time by which each hop shortens the request.
_COLLECTION_MS = 6000
_COLLECTION_HOP_MS = 300
# Replies to older requests arrive too late for their proofs to be useful.
_MAX_PENDING_REQUESTS = 64
# Consecutive exchanges at the same revision but with different keys after
# which a full list is requested. A single mismatch is normal while an entry
# is in transit.
_MISMATCH_LIMIT = 4


@dataclasses.dataclass(slots=True)
class Settings:
    """Parameters of the gossip protocol.

    Attributes:
      gossip_ms: Interval between rounds.
      fanout: Number of partners that a new entry is pushed to.
      freshness_ms: Age from which a proof is no longer valid.
    """

    gossip_ms: int = 500
    fanout: int = 3
    freshness_ms: int = 5000


class Gossip:
    """Gossip exchanges of one node with its partners."""

    def __init__(
        self,
        directory: directories.Directory,
        member_liveness: liveness.Liveness,
        partner_set: partners.Partners,
        rng: random.Random,
        settings: Settings | None = None,
    ) -> None:
        """Start without an exchange.

        Args:
          directory: Directory of this node.
          member_liveness: Last contacts with the other members.
          partner_set: Gossip partners of this node.
          rng: Random source of the offset of the first round.
          settings: Parameters, or None for the defaults.
        """
        self.directory = directory
        self.liveness = member_liveness
        self.partners = partner_set
        self.settings = settings or Settings()
        self.message_numbers = itertools.count(1)
        # Receiver and sending time of each message whose number a reply may
        # echo, by number.
        self.pending_requests: dict[int, tuple[str, int]] = {}
        self.phase_ms = rng.randrange(self.settings.gossip_ms)
        self.next_round_ms: int | None = None
        self.next_push_ms = 0
        self.collect_until_ms = 0
        self.collection_started = False
        self.mismatches = 0
        self.policy_revision = 0

    def handle(
        self,
        message: typing.Any,
        now_ms: int,
    ) -> list[typing.Any]:
        """Process a received exchange; other messages are ignored.

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
        """Start a round when it is due and push new entries.

        Returns:
          Messages of type `PeerSend` and `Count`.
        """
        if self.next_round_ms is None:
            self.next_round_ms = now_ms + self.phase_ms
        sent: list[typing.Any] = []
        if now_ms >= self.next_round_ms:
            self.next_round_ms = now_ms + self._interval_ms(now_ms)
            self.directory.expire(now_ms)
            self.liveness.prune(now_ms)
            self.partners.refresh(self.directory, now_ms)
            sent = self._start_exchange(now_ms)
        return sent + self._push(now_ms)

    def probe(self, member: str, now_ms: int) -> list[typing.Any]:
        """Send a request to one member, for example for its confirmation."""
        return [self._send(member, gossip.Exchange(), now_ms)]

    def collect_ages(self, now_ms: int) -> None:
        """Collect contact ages of all members for `_COLLECTION_MS`.

        The request spreads through the partners, because a single node
        cannot contact all members itself.
        """
        self._extend_collection(now_ms + _COLLECTION_MS, now_ms)

    def confirm(self, revision: int) -> None:
        """Confirm the policy revision that is in force on this node."""
        self.policy_revision = revision
        self.liveness.record_confirmation(self.liveness.own_name, revision)

    def _push(self, now_ms: int) -> list[typing.Any]:
        base = self.directory.unsent_base
        flags = self.directory.leaving_flags
        if base is None and not (
            flags.unsent_changes or self.collection_started
        ):
            return []
        if now_ms < self.next_push_ms:
            return []
        self.next_push_ms = now_ms + _PUSH_INTERVAL_MS
        self.directory.unsent_base = None
        flags.unsent_changes = False
        self.collection_started = False
        self.partners.refresh(self.directory, now_ms)
        request = gossip.Exchange()
        if base:
            request = self.directory.delta(base)
            size = sum(
                len(entry.key) + len(entry.value) for entry in request.entries
            )
            if size > _MAX_INLINE_BYTES:
                request = gossip.Exchange()
        return [
            self._send(partner, request, now_ms)
            for partner in self.partners.sample(self.settings.fanout)
        ]

    def _start_exchange(self, now_ms: int) -> list[typing.Any]:
        partner = self.partners.next_partner()
        if partner is None:
            return []
        request = self._send(partner, gossip.Exchange(), now_ms)
        if self.mismatches < _MISMATCH_LIMIT:
            return [request]
        # A request with revision 0 is answered with a full list.
        self.mismatches = 0
        request.payload.complete = 0
        return [request, messages.Count('gossip_full_requests')]

    def _on_exchange(
        self,
        member: str,
        exchange: gossip.Exchange,
        now_ms: int,
    ) -> list[typing.Any]:
        pending = self.pending_requests.pop(exchange.echo, None)
        # Without the deduction two members would extend each other's
        # collection forever.
        collect_until_ms = now_ms + exchange.wants_ages_ms - _COLLECTION_HOP_MS
        self._extend_collection(collect_until_ms, now_ms)
        self.directory.merge(exchange, now_ms)
        self.liveness.record_confirmation(member, exchange.policy_revision)
        self.liveness.merge_acked(exchange)
        if pending is not None and pending[0] == member:
            self._on_reply(member, exchange, pending[1])
        if not exchange.number:
            return []
        if exchange.echo and not self._needs_reply(exchange, now_ms):
            return []
        return [self._reply(member, exchange, now_ms)]

    def _on_reply(
        self,
        member: str,
        exchange: gossip.Exchange,
        sent_ms: int,
    ) -> None:
        self.liveness.record_reply(member, sent_ms)
        self.liveness.merge_ages(exchange, sent_ms)
        if exchange.proof_age_ms != gossip.NO_PROOF:
            proof_ms = sent_ms - exchange.proof_age_ms
            self.directory.record_proof(exchange.complete, proof_ms)
        if exchange.complete == self.directory.complete:
            if exchange.live_hash == self.directory.live_hash:
                self.mismatches = 0
            else:
                self.mismatches += 1

    def _needs_reply(self, exchange: gossip.Exchange, now_ms: int) -> bool:
        directory = self.directory
        if directory.complete > exchange.complete or exchange.wants_ages_ms:
            return True
        if directory.leaving_flags.digest != exchange.flags_hash:
            return True
        if directory.members_hash == exchange.members_hash:
            if self.liveness.acked_hash() != exchange.acked_hash:
                return True
        age_ms = directory.proof_age_ms(now_ms)
        if exchange.proof_age_ms == gossip.NO_PROOF:
            return age_ms != gossip.NO_PROOF
        return age_ms + _MIN_PROOF_GAIN_MS < exchange.proof_age_ms

    def _reply(
        self,
        member: str,
        exchange: gossip.Exchange,
        now_ms: int,
    ) -> messages.PeerSend:
        directory = self.directory
        reply = gossip.Exchange()
        if directory.complete > exchange.complete:
            reply = directory.delta(exchange.complete)
        if directory.leaving_flags.digest != exchange.flags_hash:
            reply.entries += tuple(directory.leaving_flags.entries.values())
        if self.liveness.acked_hash() != exchange.acked_hash:
            reply.acked = self.liveness.acked_bitmap()
        if exchange.wants_ages_ms:
            reply.ages = self.liveness.ages(now_ms)
        reply.echo = exchange.number
        return self._send(member, reply, now_ms, final=exchange.echo > 0)

    def _interval_ms(self, now_ms: int) -> int:
        interval_ms = self.settings.gossip_ms
        if self._wants_ages_ms(now_ms) and not self.liveness.has_majority(
            now_ms,
        ):
            return interval_ms // 2
        return interval_ms

    def _extend_collection(self, until_ms: int, now_ms: int) -> None:
        if until_ms > now_ms and self.collect_until_ms <= now_ms:
            # Push at once, so that the partners start to collect while
            # there is still time.
            self.collection_started = True
        self.collect_until_ms = max(self.collect_until_ms, until_ms)

    def _wants_ages_ms(self, now_ms: int) -> int:
        # Contact ages take some rounds to spread, so their collection
        # starts before the proof has expired, at half of `freshness_ms`.
        age_ms = self.directory.proof_age_ms(now_ms)
        wanted_ms = max(0, self.collect_until_ms - now_ms)
        if age_ms < 0 or age_ms * 2 > self.settings.freshness_ms:
            return max(wanted_ms, _COLLECTION_HOP_MS)
        if wanted_ms and self.liveness.has_stable_majority(now_ms):
            return 0
        return wanted_ms

    def _send(
        self,
        member: str,
        exchange: gossip.Exchange,
        now_ms: int,
        final: bool = False,
    ) -> messages.PeerSend:
        directory = self.directory
        if not final:
            exchange.number = next(self.message_numbers)
            self.pending_requests[exchange.number] = (member, now_ms)
            if len(self.pending_requests) > _MAX_PENDING_REQUESTS:
                self.pending_requests.pop(next(iter(self.pending_requests)))
        exchange.complete = directory.complete
        exchange.proof_age_ms = directory.proof_age_ms(now_ms)
        exchange.flags_hash = directory.leaving_flags.digest
        exchange.members_hash = directory.members_hash
        exchange.live_hash = directory.live_hash
        exchange.wants_ages_ms = self._wants_ages_ms(now_ms)
        exchange.policy_revision = self.policy_revision
        exchange.acked_hash = self.liveness.acked_hash()
        exchange.acked_revision = self.liveness.acked_revision
        return messages.PeerSend(member, exchange)
