"""Owner of one database group: connections, status, and promotion.

An owner holds a connection slot of the group. It keeps the views of the
instances up to date through the control connections, feeds them to the
promotion machines and lets the executor run the requests.
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

# One connection of the share is the control connection.
_CONTROL_CONNECTIONS = 1
_REPORT_EVERY_MS = 300
_SEED_BITS = 32
# A database whose primary this owner cannot reach is left to an owner that
# reports contact with the primary within this time.
_CONTACT_MS = 400


@dataclasses.dataclass(slots=True)
class Peers:
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
    """Owner of one group; inactive until it holds a slot."""

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
        self.peers = Peers()
        self.channels: dict[str, control.ControlChannel] = {}
        self.suspicions: dict[str, suspicion.Suspicion] = {}
        self.reported_ms = 0
        # Epoch that an instance has refused; later ones are higher.
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
        self.places: dict[int, str] = {}

    @property
    def share(self) -> int:
        """Return the data connections per instance of one slot."""
        share = self.group.connection_limit // self.group.owners
        return share - _CONTROL_CONNECTIONS

    def start(self, slot: topology.Slot, now_ms: int) -> list[typing.Any]:
        """Open the connections of a slot that this node holds now."""
        if self.slot == slot or slot.epoch <= self.evicted_epoch:
            return []
        out = self.stop('slot was replaced')
        self.slot = slot
        request = backend.ConnectRequest(slot.key, slot.epoch)
        for instance in self.state.instances:
            self._connect(instance, request)
            self.suspicions[instance] = suspicion.Suspicion(now_ms)
        self.state.log('own', {'slot': slot.number, 'epoch': slot.epoch})
        return [*out, *self.tick(now_ms)]

    def stop(self, reason: str) -> list[typing.Any]:
        """Close all connections and refuse what waits or is in flight."""
        if self.slot is None:
            return []
        self.slot = None
        self.executor.refuse_all(failures.NO_OWNER, reason)
        self._close_all()
        self.executor.refuse_all(failures.NO_OWNER, reason)
        for view in self.state.instances.values():
            view.forget()
        self.state.log('disown', {'reason': reason})
        return self.take()

    def submit(self, job: work.Work, now_ms: int) -> list[typing.Any]:
        """Accept a request; the answer follows as `work.OwnerAnswer`."""
        if self.slot is None:
            failure = failures.NO_OWNER.because('this node holds no slot')
            self.state.refuse(job, failure)
        else:
            self.executor.submit(job, now_ms)
        return self.take()

    def handle(self, message: typing.Any, now_ms: int) -> list[typing.Any]:
        """Accept a message about one of this owner's connections."""
        instance = self.places.get(message.connection)
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
        return self.take()

    def tick(self, now_ms: int) -> list[typing.Any]:
        """Advance timers."""
        if self.slot is None:
            return []
        for name, channel in self.channels.items():
            self.outbox.extend(self._control_out(channel.tick(now_ms), now_ms))
            self._suspect(name, now_ms)
        self._promote(now_ms)
        self.executor.tick(now_ms)
        self._report_silence(now_ms)
        self._leave_to_others(now_ms)
        return self.take()

    def on_silence(
        self,
        member: str,
        report: peers.InstanceSilence,
        now_ms: int,
    ) -> None:
        """Remember another owner's view of the instances."""
        self.peers.reports[member] = promotion_rules.SilenceReport(
            report,
            now_ms,
        )

    def set_owners(self, members: typing.Iterable[str]) -> None:
        """Set the names of the other live owners of the group."""
        self.peers.members = tuple(members)
        for name in tuple(self.peers.reports):
            if name not in self.peers.members:
                self.peers.reports.pop(name)

    def set_leaving(self, leaving: typing.Container[str], now_ms: int) -> None:
        """Set which instances must not get new work."""
        for name, view in self.state.instances.items():
            gone = name in leaving
            if gone and not view.leaving:
                view.leaving_since_ms = now_ms
                self.state.log('leaving', {'instance': name})
            view.leaving = gone

    def set_policy(self, policy: presets.Policy) -> None:
        """Use another preset from now on."""
        self.state.policy = policy

    def take(self) -> list[typing.Any]:
        """Return and clear the collected messages."""
        out = list(self.outbox)
        self.outbox.clear()
        for message in out:
            if isinstance(message, messages.BackendOpen):
                self.places[message.connection] = message.instance
            elif isinstance(message, messages.BackendClose):
                self.places.pop(message.connection, None)
        return out

    def _evict(self, instance: str) -> list[typing.Any]:
        """Stop because an instance knows a newer holder of the slot.

        The directory may name this node as the holder for some time; until
        it does not, the same epoch is not started again.
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
        self.places.clear()

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
            self.suspicions[channel.instance].on_connection_lost()
            self.places.pop(message.connection, None)
            out = channel.on_lost(now_ms)
        self.outbox.extend(self._control_out(out, now_ms))

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

    def _control_out(
        self,
        out: list[typing.Any],
        now_ms: int,
    ) -> list[typing.Any]:
        """Keep the messages to send; feed answered orders to promotion."""
        kept = []
        for message in out:
            if isinstance(message, control.OrderAnswered):
                order = message.order
                machine = self.promotions[order.request.database]
                self._apply(machine.on_reply(order, message.reply, now_ms))
            else:
                self._note_status_sent(message, now_ms)
                kept.append(message)
        return kept

    def _note_status_sent(self, message: typing.Any, now_ms: int) -> None:
        if isinstance(message, messages.BackendOpen):
            self.places[message.connection] = message.instance
        elif isinstance(message, messages.BackendCall) and isinstance(
            message.request,
            backend.StatusRequest,
        ):
            instance = self.places[message.connection]
            self.suspicions[instance].on_request(now_ms)

    def _on_status(
        self,
        arrived: control.StatusReceived,
        now_ms: int,
    ) -> None:
        status = arrived.status
        view = self.state.instances.get(status.instance)
        if view is None:
            return
        self.suspicions[view.name].on_response(arrived.max_wait_ms, now_ms)
        if view.boot != status.boot or status.leaving:
            self.outbox.append(messages.InstanceStatusUpdate(status))
        view.boot = status.boot
        view.asked_ms = arrived.asked_ms
        view.heard_ms = now_ms
        view.suspected = False
        view.copies = {copy.database: copy for copy in status.databases}
        self.executor.on_status(now_ms)

    def _suspect(self, name: str, now_ms: int) -> None:
        view = self.state.instances[name]
        suspected = self.suspicions[name].suspected(
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
                    'silent_ms': self.suspicions[name].silent_ms(now_ms),
                },
            )
            self.executor.recovery.on_suspected(name)

    # Promotion.

    def _promote(self, now_ms: int) -> None:
        for name, machine in self.promotions.items():
            self._apply(machine.tick(now_ms, self._situation(name)))

    def _situation(self, name: str) -> promotion_rules.Situation:
        state = self.state.databases[name]
        primary = self.state.instances.get(state.primary)
        return promotion_rules.Situation(
            self.state.instances,
            self.state.preset,
            self.slot.number if self.slot else 0,
            self.peers.reports,
            len(self.peers.members) + 1,
            bool(primary and self._must_leave(primary)),
            self.executor.writes_drained(name),
        )

    def _must_leave(self, view: views.InstanceView) -> bool:
        excluded = self.state.preset.excluded_instances
        return view.leaving or view.name in excluded

    def _apply(self, out: list[typing.Any]) -> None:
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
        if now_ms - self.reported_ms < _REPORT_EVERY_MS:
            return
        self.reported_ms = now_ms
        report = peers.InstanceSilence(
            self.group.name,
            {
                name: view.silent_ms(now_ms)
                for name, view in self.state.instances.items()
            },
        )
        for member in self.peers.members:
            self.outbox.append(messages.PeerSend(member, report))

    def _leave_to_others(self, now_ms: int) -> None:
        """Refuse work that another owner can do and this one cannot."""
        for state in self.state.databases.values():
            waiting = state.admission.size
            primary = views.primary_of(self.state.instances, state.name)
            if not waiting or primary is None or not primary.suspected:
                continue
            if self._others_reach(primary.name, now_ms):
                self.executor.refuse_waiting(
                    state,
                    failures.NO_PRIMARY,
                    'this owner cannot reach the primary',
                )

    def _others_reach(self, instance: str, now_ms: int) -> bool:
        return any(
            now_ms - entry.received_ms < _CONTACT_MS
            and entry.report.silent_ms.get(instance, _CONTACT_MS) < _CONTACT_MS
            for entry in self.peers.reports.values()
        )

    def _on_data_lost(
        self,
        instance: str,
        message: messages.BackendLost,
        now_ms: int,
    ) -> None:
        self.places.pop(message.connection, None)
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
