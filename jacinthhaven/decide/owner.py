"""Owner of one database group: connections, status, and promotion.

An owner holds a connection slot of the group. It keeps the views of the
instances up to date through the control connections, passes them to the
promotion state machines and passes the requests to the executor.
"""

import dataclasses
import typing

from jacinthhaven.decide import (
    control,
    executor,
    group_state,
    messages,
    pool,
    promotion,
    promotion_rules,
    suspicion,
    views,
    work,
)
from jacinthhaven.kernel import failures
from jacinthhaven.records import backend, peers, presets, topology

# One connection of the slot's share is reserved for control.
_CONTROL_CONNECTIONS = 1
_REPORT_INTERVAL_MS = 300
_SEED_BITS = 32
# If this owner cannot reach the primary of a database, it refuses the work
# when another owner reports contact with the primary within this time.
_CONTACT_MS = 400


@dataclasses.dataclass(slots=True)
class OtherOwners:
    """What the owner knows of the other owners of its group.

    Attributes:
      members: Names of the other live owners.
      reports: Newest silence report by member.
    """

    members: tuple[str, ...] = ()
    reports: dict[str, promotion_rules.SilenceReport] = dataclasses.field(
        default_factory=dict,
    )


class Owner:
    """Owner of one group; inactive while it holds no slot.

    Attributes:
      group: The database group.
      state: State of the group.
      status_wait_ms: Longest wait of a status request.
      slot: Connection slot that this node holds; None while inactive.
      other_owners: The other owners of the group.
      channels: Control connections by instance name.
      failure_detectors: Failure detectors by instance name.
      reported_ms: When this owner's silence report was sent last.
      evicted_epoch: Newest epoch that an instance has refused; only higher
        ones are started.
      executor: Executor of the requests.
      promotions: Promotion state machines by database name.
      outbox: Messages to deliver.
      instance_of: Instance name by connection number.
    """

    def __init__(
        self,
        state: group_state.GroupState,
        status_wait_ms: int,
    ) -> None:
        """Create an inactive owner.

        Args:
          state: State of the group.
          status_wait_ms: Longest wait of a status request.
        """
        self.group = state.group
        self.state = state
        self.status_wait_ms = status_wait_ms
        self.slot: topology.Slot | None = None
        self.other_owners = OtherOwners()
        self.channels: dict[str, control.ControlChannel] = {}
        self.failure_detectors: dict[str, suspicion.FailureDetector] = {}
        self.reported_ms = 0
        self.evicted_epoch = 0
        self.executor = executor.Executor(state)
        self.promotions = {
            name: promotion.DatabasePromotion(
                name,
                state.rng.getrandbits(_SEED_BITS),
            )
            for name in state.databases
        }
        self.outbox = state.outbox
        self.instance_of: dict[int, str] = {}

    @property
    def share(self) -> int:
        """Return how many data connections a slot may open per instance."""
        share = self.group.connection_limit // self.group.owners
        return share - _CONTROL_CONNECTIONS

    def start(self, slot: topology.Slot, now_ms: int) -> list[typing.Any]:
        """Open the connections of a slot that this node has acquired."""
        if self.slot == slot or slot.epoch <= self.evicted_epoch:
            return []
        out = self.stop('slot was replaced')
        self.slot = slot
        request = backend.ConnectRequest(slot.key, slot.epoch)
        for instance in self.state.instances:
            self._connect(instance, request)
            self.failure_detectors[instance] = suspicion.FailureDetector(now_ms)
        self.state.log('own', {'slot': slot.number, 'epoch': slot.epoch})
        return [*out, *self.tick(now_ms)]

    def stop(self, reason: str) -> list[typing.Any]:
        """Close all connections and refuse all pending requests."""
        if self.slot is None:
            return []
        self.slot = None
        self.executor.refuse_all(failures.NO_OWNER, reason)
        # Closing the connections requeues the requests that were in flight.
        self._close_all()
        self.executor.refuse_all(failures.NO_OWNER, reason)
        for view in self.state.instances.values():
            view.clear_status()
        self.state.log('disown', {'reason': reason})
        return self.take_messages()

    def submit(self, job: work.Work, now_ms: int) -> list[typing.Any]:
        """Accept a request; it is answered by a `work.OwnerAnswer`."""
        if self.slot is None:
            failure = failures.NO_OWNER.because('this node holds no slot')
            self.state.refuse(job, failure)
        else:
            self.executor.submit(job, now_ms)
        return self.take_messages()

    def handle(self, message: typing.Any, now_ms: int) -> list[typing.Any]:
        """Process a message about one of this owner's connections."""
        instance = self.instance_of.get(message.connection)
        if instance is None:
            return []
        if _is_eviction(message):
            return self._evict(instance)
        channel = self.channels[instance]
        if channel.connection == message.connection:
            self._on_control(channel, message, now_ms)
        elif isinstance(message, messages.BackendOpened):
            self.state.pools[instance].on_opened(message.connection, now_ms)
            self.executor.on_opened(now_ms)
        elif isinstance(message, messages.BackendReply):
            self.executor.on_reply(message, now_ms)
        else:
            self._on_data_lost(instance, message, now_ms)
        return self.take_messages()

    def tick(self, now_ms: int) -> list[typing.Any]:
        """Advance timers."""
        if self.slot is None:
            return []
        for name, channel in self.channels.items():
            self.outbox.extend(
                self._process_control_output(channel.tick(now_ms), now_ms),
            )
            self._update_suspicion(name, now_ms)
        self._tick_promotions(now_ms)
        self.executor.tick(now_ms)
        self._report_silence(now_ms)
        self._refuse_unreachable(now_ms)
        return self.take_messages()

    def on_silence_report(
        self,
        member: str,
        report: peers.InstanceSilence,
        now_ms: int,
    ) -> None:
        """Store another owner's report of silent instances."""
        self.other_owners.reports[member] = promotion_rules.SilenceReport(
            report,
            now_ms,
        )

    def update_other_owners(self, members: typing.Iterable[str]) -> None:
        """Replace the names of the other live owners of the group."""
        self.other_owners.members = tuple(members)
        for name in tuple(self.other_owners.reports):
            if name not in self.other_owners.members:
                self.other_owners.reports.pop(name)

    def set_leaving(self, leaving: typing.Container[str], now_ms: int) -> None:
        """Set which instances must not get new work."""
        for name, view in self.state.instances.items():
            is_leaving = name in leaving
            if is_leaving and not view.leaving:
                view.leaving_since_ms = now_ms
                self.state.log('leaving', {'instance': name})
            view.leaving = is_leaving

    def set_policy(self, policy: presets.Policy) -> None:
        """Replace the configuration in force."""
        self.state.policy = policy

    def take_messages(self) -> list[typing.Any]:
        """Return and clear the messages to deliver."""
        out = list(self.outbox)
        self.outbox.clear()
        for message in out:
            if isinstance(message, messages.BackendOpen):
                self.instance_of[message.connection] = message.instance
            elif isinstance(message, messages.BackendClose):
                self.instance_of.pop(message.connection, None)
        return out

    def _evict(self, instance: str) -> list[typing.Any]:
        """Stop because an instance knows a newer holder of the slot.

        The directory may still name this node as the holder for some time,
        so the same epoch is not started again.
        """
        if self.slot is not None:
            self.evicted_epoch = self.slot.epoch
            self.state.log('evicted', {'instance': instance})
        return self.stop('slot has a newer holder')

    # Control connections.

    def _close_all(self) -> None:
        for connections in self.state.pools.values():
            for closing in connections.close_all():
                self.outbox.append(closing)
                self.executor.recovery.on_lost(closing.connection)
        for channel in self.channels.values():
            if channel.connection:
                self.outbox.append(messages.BackendClose(channel.connection))
        self.channels.clear()
        self.state.pools.clear()
        self.instance_of.clear()

    def _connect(
        self,
        instance: str,
        request: backend.ConnectRequest,
    ) -> None:
        self.channels[instance] = control.ControlChannel(
            instance,
            request,
            self.state.numbers,
            self.status_wait_ms,
        )
        self.state.pools[instance] = pool.Pool(
            instance,
            self.share,
            request,
            self.state.numbers,
        )

    def _on_control(
        self,
        channel: control.ControlChannel,
        message: typing.Any,
        now_ms: int,
    ) -> None:
        if isinstance(message, messages.BackendOpened):
            out = channel.on_opened(now_ms)
        elif isinstance(message, messages.BackendReply):
            out = self._on_control_reply(channel, message, now_ms)
        else:
            self.failure_detectors[channel.instance].on_connection_lost()
            self.instance_of.pop(message.connection, None)
            out = channel.on_lost(now_ms)
        self.outbox.extend(self._process_control_output(out, now_ms))

    def _on_control_reply(
        self,
        channel: control.ControlChannel,
        message: messages.BackendReply,
        now_ms: int,
    ) -> list[typing.Any]:
        arrived = channel.on_reply(message, now_ms)
        if isinstance(arrived, control.StatusReceived):
            self._on_status(arrived, now_ms)
            return channel.send_next(now_ms)
        if isinstance(arrived, control.OrderAnswered):
            return [arrived, *channel.send_next(now_ms)]
        return []

    def _process_control_output(
        self,
        out: list[typing.Any],
        now_ms: int,
    ) -> list[typing.Any]:
        """Return the messages to send; pass answered orders to promotion."""
        kept = []
        for message in out:
            if isinstance(message, control.OrderAnswered):
                order = message.order
                state_machine = self.promotions[order.request.database]
                self._deliver(
                    state_machine.on_reply(order, message.reply, now_ms),
                )
            else:
                self._record_sent(message, now_ms)
                kept.append(message)
        return kept

    def _record_sent(self, message: typing.Any, now_ms: int) -> None:
        if isinstance(message, messages.BackendOpen):
            self.instance_of[message.connection] = message.instance
        elif isinstance(message, messages.BackendCall) and isinstance(
            message.request,
            backend.StatusRequest,
        ):
            instance = self.instance_of[message.connection]
            self.failure_detectors[instance].on_request(now_ms)

    def _on_status(
        self,
        arrived: control.StatusReceived,
        now_ms: int,
    ) -> None:
        status = arrived.status
        view = self.state.instances.get(status.instance)
        if view is None:
            return
        self.failure_detectors[view.name].on_response(
            arrived.max_wait_ms, now_ms
        )
        if view.boot != status.boot or status.leaving:
            self.outbox.append(messages.InstanceStatusUpdate(status))
        view.boot = status.boot
        view.asked_ms = arrived.asked_ms
        view.heard_ms = now_ms
        view.suspected = False
        view.copies = {copy.database: copy for copy in status.databases}
        self.executor.on_status(now_ms)

    def _update_suspicion(self, name: str, now_ms: int) -> None:
        view = self.state.instances[name]
        suspected = self.failure_detectors[name].suspected(
            self.state.preset.suspect_ms,
            now_ms,
        )
        newly = suspected and not view.suspected
        view.suspected = suspected
        if newly:
            self.state.log(
                'suspect',
                {
                    'instance': name,
                    'silent_ms': self.failure_detectors[name].silent_ms(now_ms),
                },
            )
            self.executor.recovery.on_suspected(name)

    # Promotion of databases.

    def _tick_promotions(self, now_ms: int) -> None:
        for name, state_machine in self.promotions.items():
            self._deliver(
                state_machine.tick(now_ms, self._promotion_inputs(name)),
            )

    def _promotion_inputs(self, name: str) -> promotion_rules.PromotionInputs:
        state = self.state.databases[name]
        primary = self.state.instances.get(state.primary)
        return promotion_rules.PromotionInputs(
            self.state.instances,
            self.state.preset,
            self.slot.number if self.slot else 0,
            self.other_owners.reports,
            len(self.other_owners.members) + 1,
            bool(primary and self._is_leaving_or_excluded(primary)),
            self.executor.writes_drained(name),
        )

    def _is_leaving_or_excluded(self, view: views.InstanceView) -> bool:
        excluded = self.state.preset.excluded_instances
        return view.leaving or view.name in excluded

    def _deliver(self, out: list[typing.Any]) -> None:
        for message in out:
            if isinstance(message, messages.InstanceOrder):
                channel = self.channels.get(message.instance)
                if channel is not None:
                    channel.add_order(message)
            elif isinstance(message, promotion.HoldWrites):
                self.state.databases[message.database].held = message.held
            else:
                self.outbox.append(message)

    # Other owners.

    def _report_silence(self, now_ms: int) -> None:
        if now_ms - self.reported_ms < _REPORT_INTERVAL_MS:
            return
        self.reported_ms = now_ms
        report = peers.InstanceSilence(
            self.group.name,
            {
                name: view.silent_ms(now_ms)
                for name, view in self.state.instances.items()
            },
        )
        for member in self.other_owners.members:
            self.outbox.append(messages.PeerSend(member, report))

    def _refuse_unreachable(self, now_ms: int) -> None:
        """Refuse requests whose primary only another owner can reach."""
        for state in self.state.databases.values():
            waiting = state.admission.size
            primary = views.primary_of(self.state.instances, state.name)
            if not waiting or primary is None or not primary.suspected:
                continue
            if self._is_reachable_elsewhere(primary.name, now_ms):
                self.executor.refuse_waiting(
                    state,
                    failures.NO_PRIMARY,
                    'this owner cannot reach the primary',
                )

    def _is_reachable_elsewhere(self, instance: str, now_ms: int) -> bool:
        return any(
            now_ms - entry.received_ms < _CONTACT_MS
            and entry.report.silent_ms.get(instance, _CONTACT_MS) < _CONTACT_MS
            for entry in self.other_owners.reports.values()
        )

    def _on_data_lost(
        self,
        instance: str,
        message: messages.BackendLost,
        now_ms: int,
    ) -> None:
        self.instance_of.pop(message.connection, None)
        self.state.pools[instance].on_lost(
            message.connection,
            message.failure,
            now_ms,
        )
        self.executor.on_lost(message.connection, now_ms)


def _is_eviction(message: typing.Any) -> bool:
    return (
        isinstance(message, messages.BackendLost)
        and message.failure.kind is failures.STALE_EPOCH
    )
