"""Decision code of one proxy process as a whole.

The node dispatches each message to the component that owns the affected
state: the entry, the owners of the groups, or the cluster services. It opens
no sockets; a process or a scenario delivers the messages that it returns.
"""

import dataclasses
import itertools
import random
import typing

from jacinthhaven.decide import (
    cluster,
    configuration,
    entry,
    forward_answers,
    group_state,
    messages,
    operator_changes,
    owner,
    owner_table,
    requests,
    tokens,
    work,
)
from jacinthhaven.kernel import failures
from jacinthhaven.records import gossip, peers, presets, topology

_NUMBER_BITS = 40
_NUMBER_SHIFT = 20
# Without a tick for this long, the process is taken to have been paused, and
# its state may have expired. Ticks come every 20 ms.
_PAUSE_THRESHOLD_MS = 500


@dataclasses.dataclass(slots=True)
class Identity:
    """Name, settings and secrets that a node starts with.

    Attributes:
      member: This node as other members see it.
      groups: Database groups from the settings.
      cluster_key: Secret shared by all members.
      status_wait_ms: Longest wait of a status request.
      rng: Random number generator; must be unpredictable in production,
        because ids come from it.
      services: Settings of the cluster services.
    """

    member: topology.Member
    groups: tuple[topology.Group, ...]
    cluster_key: bytes
    status_wait_ms: int
    rng: random.Random
    services: cluster.ClusterSettings = dataclasses.field(
        default_factory=cluster.ClusterSettings,
    )


class Node:
    """Entry and owners of one process."""

    def __init__(self, identity: Identity) -> None:
        """Create a node that knows no members and holds no slots."""
        self.identity = identity
        self.name = identity.member.name
        # Numbers start at a random value so that an answer to a request that
        # was sent before a restart of this process matches no request.
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
        self.cluster = cluster.Cluster(
            identity.member,
            identity.groups,
            self.numbers,
            identity.rng,
            identity.services,
        )
        self.draining = False
        self.last_tick_ms = 0
        self.handlers: dict[type, typing.Callable] = {
            messages.CallerRequest: self.entry.on_request,
            messages.CallerOutcome: self.entry.on_outcome,
            messages.CallerDisconnected: self._on_disconnected,
            messages.BackendOpened: self._on_backend,
            messages.BackendReply: self._on_backend,
            messages.BackendLost: self._on_backend,
            messages.PeerReceived: self._on_peer_received,
            messages.PeerLost: self._on_peer_lost,
            peers.StatementForward: self._on_forward,
            peers.OutcomeForward: self._on_forward,
            peers.ForwardAnswer: self.entry.on_answer,
            peers.ForwardCancel: self._on_cancel,
            peers.Probe: forward_answers.probe_reply,
            peers.InstanceSilence: self._on_instance_silence,
            gossip.Exchange: self._on_exchange,
            messages.StoreReply: self._on_cluster,
            messages.VmListUpdate: self._on_vm_list,
            operator_changes.ChangeRequest: self._on_cluster,
            cluster.TopologyChanged: self._on_topology,
            cluster.PolicyChanged: self._on_policy,
            cluster.FreshnessChanged: self._on_freshness,
            cluster.LeavingChanged: self._on_leaving,
            messages.InstanceStatusUpdate: self._on_instance_status,
        }

    def handle(self, message: typing.Any, now_ms: int) -> list[typing.Any]:
        """Handle a message from a task.

        Args:
          message: One of the message types of `decide.messages`.
          now_ms: Current time.

        Returns:
          Messages for the tasks.
        """
        out: list[typing.Any] = []
        if now_ms - self.last_tick_ms > _PAUSE_THRESHOLD_MS:
            out = self.tick(now_ms)
        self.table.now_ms = now_ms
        handler = self.handlers[type(message)]
        return out + self._deliver_internal(handler(message, now_ms), now_ms)

    def tick(self, now_ms: int) -> list[typing.Any]:
        """Advance the timers of all components."""
        self.last_tick_ms = now_ms
        self.table.now_ms = now_ms
        out = self.cluster.tick(now_ms)
        out += self.entry.tick(now_ms)
        for group_owner in self.owners.values():
            out.extend(group_owner.tick(now_ms))
        return self._deliver_internal(out, now_ms)

    def drain(self, now_ms: int) -> list[typing.Any]:
        """Announce that this node is leaving; requests are still served."""
        self.draining = True
        return self._deliver_internal(self.cluster.drain(now_ms), now_ms)

    def release(self, now_ms: int) -> list[typing.Any]:
        """Release the slots; call it when the node is idle."""
        return self._deliver_internal(
            self.cluster.release_slots(now_ms), now_ms
        )

    def leave(self, now_ms: int) -> list[typing.Any]:
        """End the membership lease; the last call before the process stops."""
        return self._deliver_internal(self.cluster.stop(now_ms), now_ms)

    @property
    def idle(self) -> bool:
        """Return whether no request or transaction is in progress."""
        return not self.entry.pending and all(
            group_owner.executor.idle for group_owner in self.owners.values()
        )

    @property
    def ready(self) -> bool:
        """Return whether callers should be sent to this node."""
        return self.entry.refusal is None and not self.draining

    def adopt_policy(self, policy: presets.Policy) -> None:
        """Use a newer policy for all later decisions."""
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

    def _deliver_internal(
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
            next_queue: list[typing.Any] = []
            for message in queue:
                produced = self._handle_internal(message, now_ms)
                if produced is None:
                    remaining.append(message)
                else:
                    next_queue.extend(produced)
            queue = next_queue
        return remaining

    def _handle_internal(
        self,
        message: typing.Any,
        now_ms: int,
    ) -> list[typing.Any] | None:
        """Return the messages that an internal message causes.

        Returns:
          The messages, or None if the message is for a task.
        """
        message_type = type(message)
        if message_type is work.OwnerAnswer:
            return [forward_answers.owner_answer(message)]
        if message_type is messages.PeerSend:
            if message.member == self.name:
                return self._on_payload(self.name, message.payload, now_ms)
            return None
        if message_type in _INTERNAL_MESSAGES:
            return self.handlers[message_type](message, now_ms)
        return None

    # Messages to and from the cluster services.

    def _on_cluster(
        self,
        message: typing.Any,
        now_ms: int,
    ) -> list[typing.Any]:
        return self.cluster.handle(message, now_ms)

    def _on_exchange(
        self,
        member: str,
        exchange: gossip.Exchange,
        now_ms: int,
    ) -> list[typing.Any]:
        received = messages.PeerReceived(member, exchange)
        return self.cluster.handle(received, now_ms)

    def _on_vm_list(
        self,
        message: messages.VmListUpdate,
        now_ms: int,
    ) -> list[typing.Any]:
        return self.cluster.on_vm_list(message.leaving, now_ms)

    def _on_instance_status(
        self,
        message: messages.InstanceStatusUpdate,
        now_ms: int,
    ) -> list[typing.Any]:
        return self.cluster.on_status(message.status, now_ms)

    def _on_topology(
        self,
        message: cluster.TopologyChanged,
        now_ms: int,
    ) -> list[typing.Any]:
        self.table.update(message.members.values(), message.slots)
        out: list[typing.Any] = [messages.MemberAddresses(self.table.members)]
        for name, group_owner in self.owners.items():
            group_owner.update_other_owners(
                slot.holder
                for slot in self.table.slots[name]
                if slot.holder != self.name
            )
            held = message.held.get(name)
            if held is None:
                out.extend(group_owner.stop('slot was lost'))
            else:
                out.extend(group_owner.start(held, now_ms))
        return out

    def _on_policy(
        self,
        message: cluster.PolicyChanged,
        _now_ms: int,
    ) -> list[typing.Any]:
        self.adopt_policy(message.policy)
        return []

    def _on_freshness(
        self,
        message: cluster.FreshnessChanged,
        _now_ms: int,
    ) -> list[typing.Any]:
        self.entry.refusal = None
        if message.state is configuration.Freshness.ISOLATED:
            refusal = failures.ISOLATED.because(
                'configuration may be out of date',
            )
            self.entry.refusal = refusal
            for group_owner in self.owners.values():
                group_owner.executor.refuse_queued(refusal)
        return []

    def _on_leaving(
        self,
        message: cluster.LeavingChanged,
        now_ms: int,
    ) -> list[typing.Any]:
        for group_owner in self.owners.values():
            group_owner.set_leaving(message.instances, now_ms)
        return []

    # Messages from callers.

    def _on_disconnected(
        self,
        message: messages.CallerDisconnected,
        now_ms: int,
    ) -> list[typing.Any]:
        return self.entry.on_disconnected(message.number)

    # Messages from backend servers.

    def _on_backend(
        self,
        message: messages.BackendReply,
        now_ms: int,
    ) -> list[typing.Any]:
        for group_owner in self.owners.values():
            if message.connection in group_owner.instance_of:
                return group_owner.handle(message, now_ms)
        return []

    # Messages from peers.

    def _on_peer_received(
        self,
        message: messages.PeerReceived,
        now_ms: int,
    ) -> list[typing.Any]:
        self.table.mark_heard(message.member)
        self.entry.on_heard(message.member, now_ms)
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
        handler = self.handlers.get(type(payload))
        return [] if handler is None else handler(member, payload, now_ms)

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
            return [forward_answers.refusal(member, forward, job)]
        refusal = self.entry.refusal
        if refusal is not None and job.kind not in work.ALLOWED_WHEN_ISOLATED:
            # It could be routed under a preset that is no longer in force.
            return [forward_answers.refusal(member, forward, refusal)]
        group = self.table.group_of.get(job.database, '')
        if group not in self.owners:
            failure = failures.UNKNOWN_DATABASE.because(job.database)
            return [forward_answers.refusal(member, forward, failure)]
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

    def _on_instance_silence(
        self,
        member: str,
        report: peers.InstanceSilence,
        now_ms: int,
    ) -> list[typing.Any]:
        group_owner = self.owners.get(report.group)
        if group_owner is not None:
            group_owner.on_silence_report(member, report, now_ms)
        return []


# Messages between the components of the node.
_INTERNAL_MESSAGES = frozenset(
    (
        cluster.TopologyChanged,
        cluster.PolicyChanged,
        cluster.FreshnessChanged,
        cluster.LeavingChanged,
        messages.InstanceStatusUpdate,
    ),
)
