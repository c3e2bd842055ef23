"""Decision code of one proxy process as a whole.

The node delivers each message to the part that owns the state it is
about: the entry, the owners of the groups, or the cluster services. It
has no sockets; a process or a scenario delivers the messages it returns.
"""

import dataclasses
import itertools
import random
import typing

import msgspec

from jacinthhaven.decide import (
    entry,
    group_state,
    messages,
    owner,
    owner_table,
    requests,
    tokens,
    work,
)
from jacinthhaven.kernel import failures
from jacinthhaven.records import peers, presets, topology

_NUMBER_BITS = 40
_NUMBER_SHIFT = 20


@dataclasses.dataclass(slots=True)
class Identity:
    """What a node knows about itself when it starts.

    Attributes:
      member: This node as other members see it.
      groups: Database groups from the settings.
      cluster_key: Secret shared by all members.
      status_wait_ms: Longest wait of a status request.
      rng: Source of ids; must be unpredictable in production.
    """

    member: topology.Member
    groups: tuple[topology.Group, ...]
    cluster_key: bytes
    status_wait_ms: int
    rng: random.Random


class Node:
    """Entry and owners of one process."""

    def __init__(self, identity: Identity) -> None:
        """Create a node that knows no members and holds no slots."""
        self.identity = identity
        self.name = identity.member.name
        # Numbers start at a random value so that an answer to a request of
        # an earlier start of this process matches nothing.
        self.numbers = itertools.count(
            identity.rng.getrandbits(_NUMBER_BITS) << _NUMBER_SHIFT,
        )
        self.table = owner_table.OwnerTable(identity.member, identity.groups)
        self.entry = entry.Entry(
            self.name,
            tokens.Signer(identity.cluster_key, identity.rng),
            self.table,
        )
        self.policy = presets.Policy()
        self.owners = {
            group.name: self._new_owner(group) for group in identity.groups
        }
        self.gate: failures.Failure | None = None
        self.steps: dict[type, typing.Callable] = {
            messages.CallerRequest: self._on_request,
            messages.CallerOutcome: self._on_outcome,
            messages.CallerGone: self._on_gone,
            messages.BackendOpened: self._on_backend,
            messages.BackendReply: self._on_backend,
            messages.BackendLost: self._on_backend,
            messages.PeerReceived: self._on_received,
            messages.PeerLost: self._on_peer_lost,
            peers.StatementForward: self._on_forward,
            peers.OutcomeForward: self._on_forward,
            peers.ForwardAnswer: self.entry.on_answer,
            peers.ForwardCancel: self._on_cancel,
            peers.InstanceSilence: self._on_silence,
        }

    def handle(self, message: typing.Any, now_ms: int) -> list[typing.Any]:
        """Accept a message from a task.

        Args:
          message: One of the message types of `decide.messages`.
          now_ms: Current time.

        Returns:
          Messages for the tasks.
        """
        self.table.now_ms = now_ms
        step = self.steps[type(message)]
        return self._settle(step(message, now_ms), now_ms)

    def tick(self, now_ms: int) -> list[typing.Any]:
        """Advance the timers of all parts."""
        self.table.now_ms = now_ms
        out = self.entry.tick(now_ms)
        for group_owner in self.owners.values():
            out.extend(group_owner.tick(now_ms))
        return self._settle(out, now_ms)

    def set_topology(
        self,
        members: typing.Iterable[topology.Member],
        slots: typing.Iterable[topology.Slot],
        now_ms: int,
    ) -> list[typing.Any]:
        """Adopt the current members and slot holders."""
        self.table.update(members, slots)
        out: list[typing.Any] = []
        for name, group_owner in self.owners.items():
            held = self.table.slots[name]
            own = [slot for slot in held if slot.holder == self.name]
            group_owner.set_owners(
                slot.holder for slot in held if slot.holder != self.name
            )
            if own:
                out.extend(group_owner.start(own[0], now_ms))
            else:
                out.extend(group_owner.stop('slot was lost'))
        return self._settle(out, now_ms)

    def adopt_policy(self, policy: presets.Policy) -> None:
        """Use a newer configuration for all later decisions."""
        self.policy = policy
        self.entry.policy = policy
        for group_owner in self.owners.values():
            group_owner.set_policy(policy)

    def _new_owner(self, group: topology.Group) -> owner.Owner:
        state = group_state.GroupState(
            group,
            self.name,
            self.numbers,
            self.identity.rng,
        )
        return owner.Owner(state, self.identity.status_wait_ms)

    def _settle(
        self,
        out: list[typing.Any],
        now_ms: int,
    ) -> list[typing.Any]:
        """Deliver the messages whose destination is this node itself.

        Returns:
          The messages that remain for the tasks.
        """
        remaining = []
        queue = out
        while queue:
            following: list[typing.Any] = []
            for message in queue:
                if isinstance(message, work.OwnerAnswer):
                    message = _forward_answer(message)
                if isinstance(message, messages.PeerSend) and (
                    message.member == self.name
                ):
                    following.extend(
                        self._on_payload(self.name, message.payload, now_ms),
                    )
                else:
                    remaining.append(message)
            queue = following
        return remaining

    # Callers.

    def _on_request(
        self,
        message: messages.CallerRequest,
        now_ms: int,
    ) -> list[typing.Any]:
        return self.entry.on_request(message, now_ms)

    def _on_outcome(
        self,
        message: messages.CallerOutcome,
        now_ms: int,
    ) -> list[typing.Any]:
        return self.entry.on_outcome(message, now_ms)

    def _on_gone(
        self,
        message: messages.CallerGone,
        now_ms: int,
    ) -> list[typing.Any]:
        return self.entry.on_gone(message.number)

    # Backend servers.

    def _on_backend(
        self,
        message: messages.BackendReply,
        now_ms: int,
    ) -> list[typing.Any]:
        for group_owner in self.owners.values():
            if message.connection in group_owner.places:
                return group_owner.handle(message, now_ms)
        return []

    # Peers.

    def _on_received(
        self,
        message: messages.PeerReceived,
        now_ms: int,
    ) -> list[typing.Any]:
        self.table.mark_heard(message.member)
        return self._on_payload(message.member, message.payload, now_ms)

    def _on_peer_lost(
        self,
        message: messages.PeerLost,
        now_ms: int,
    ) -> list[typing.Any]:
        self.table.mark_lost(message.member)
        return self.entry.on_peer_lost(message.member, now_ms)

    def _on_payload(
        self,
        member: str,
        payload: typing.Any,
        now_ms: int,
    ) -> list[typing.Any]:
        step = self.steps.get(type(payload))
        return [] if step is None else step(member, payload, now_ms)

    def _on_forward(
        self,
        member: str,
        forward: peers.StatementForward | peers.OutcomeForward,
        now_ms: int,
    ) -> list[typing.Any]:
        if isinstance(forward, peers.StatementForward):
            job = requests.statement_work(
                member,
                forward,
                self.policy.preset,
                now_ms,
            )
        else:
            job = requests.outcome_work(member, forward, now_ms)
        if isinstance(job, failures.Failure):
            return [_forward_refusal(member, forward, job)]
        group = self.table.group_of.get(job.database, '')
        if group not in self.owners:
            failure = failures.UNKNOWN_DATABASE.because(job.database)
            return [_forward_refusal(member, forward, failure)]
        return self.owners[group].submit(job, now_ms)

    def _on_cancel(
        self,
        member: str,
        cancel: peers.ForwardCancel,
        now_ms: int,
    ) -> list[typing.Any]:
        for group_owner in self.owners.values():
            group_owner.executor.cancel(member, cancel.number)
        return []

    def _on_silence(
        self,
        member: str,
        report: peers.InstanceSilence,
        now_ms: int,
    ) -> list[typing.Any]:
        group_owner = self.owners.get(report.group)
        if group_owner is not None:
            group_owner.on_silence(member, report, now_ms)
        return []


def _forward_answer(message: work.OwnerAnswer) -> messages.PeerSend:
    origin = message.origin
    payload = peers.ForwardAnswer(
        origin.number,
        origin.attempt,
        msgspec.json.encode(message.answer),
    )
    if message.failure is not None:
        payload.failure = message.failure.kind.code
        payload.reason = message.failure.reason
    return messages.PeerSend(origin.member, payload)


def _forward_refusal(
    member: str,
    forward: peers.StatementForward | peers.OutcomeForward,
    failure: failures.Failure,
) -> messages.PeerSend:
    payload = peers.ForwardAnswer(
        forward.number,
        forward.attempt,
        b'{"outcome":"not_run"}',
        failure.kind.code,
        failure.reason,
    )
    return messages.PeerSend(member, payload)
