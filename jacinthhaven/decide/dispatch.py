"""Dispatch of waiting requests to free connections."""

import typing

import msgspec

from jacinthhaven.decide import (
    admission,
    database,
    messages,
    routing,
    views,
    work,
)
from jacinthhaven.kernel import failures, plugins
from jacinthhaven.records import backend

if typing.TYPE_CHECKING:
    from jacinthhaven.decide import group_state


class Dispatcher:
    """Takes requests from the queues and sends them."""

    def __init__(self, state: 'group_state.GroupState') -> None:
        """Work on the state of one group."""
        self.state = state
        self.policy_name = ''
        self.policy: routing.RoutingPolicy = routing.ReplicaFirst()

    def pump(self, base: database.Database, now_ms: int) -> None:
        """Send waiting requests of a database while connections are free."""
        if not base.admission.size:
            return
        self._load_policy()
        for step in (self._step_replica_lane, self._step_primary_lane):
            more = True
            while more:
                more = step(base, now_ms)

    def pump_all(self, now_ms: int) -> None:
        """Send waiting requests of all databases."""
        for base in self.state.databases.values():
            self.pump(base, now_ms)

    def retry_parked(self, base: database.Database, now_ms: int) -> None:
        """Look again for replicas for the reads that wait for one."""
        parked = base.parked
        if not parked:
            return
        base.parked = []
        for job in reversed(parked):
            if not job.finished:
                base.admission.push_front(job)
        self.pump(base, now_ms)

    def call(self, job: work.Work, connection: int, instance: str) -> None:
        """Send a request on a connection that this request has taken."""
        job.instance = instance
        job.connection = connection
        call = self.state.calls.start(connection, instance, job)
        self.state.outbox.append(
            messages.BackendCall(connection, call.number, _request(job)),
        )

    def use_primary(
        self,
        base: database.Database,
        job: work.Work,
        reason: str,
    ) -> None:
        """Move a read to the front of the primary lane."""
        job.lane = admission.PRIMARY_LANE
        job.reason = f'primary, replicas {reason}'
        base.admission.push_front(job)

    def _load_policy(self) -> None:
        name = self.state.preset.routing
        if name != self.policy_name:
            self.policy = plugins.find(plugins.ROUTING_POLICY, name)()
            self.policy_name = name

    # Both steps return whether the next request of the lane may be tried.

    def _step_replica_lane(self, base: database.Database, now_ms: int) -> bool:
        job = base.admission.peek(admission.REPLICA_LANE)
        if job is None:
            return False
        if self._refuse_lost(base, job):
            return True
        eligible = routing.eligible_replicas(
            base.view,
            job,
            self.state.preset,
            now_ms,
        )
        if not eligible or not self.policy.uses_replicas:
            self._park(base, base.admission.pop(job.lane), now_ms)
            return True
        chosen = self._choose(eligible, now_ms)
        if chosen is None:
            return self._wait(base, job, eligible, now_ms)
        base.admission.pop(job.lane)
        job.reason = 'replica'
        self._send(job, chosen.instance, len(eligible))
        return True

    def _step_primary_lane(self, base: database.Database, now_ms: int) -> bool:
        job = base.admission.peek(admission.PRIMARY_LANE)
        if job is None:
            return False
        if self._set_aside(base, job):
            return True
        confirm_ms = self.state.preset.primary_confirm_ms
        if base.block_reason(job, confirm_ms, now_ms):
            return False
        if not self.state.pools[base.primary].idle:
            self._open(base.primary, base.admission.size, now_ms)
            return False
        base.admission.pop(job.lane)
        job.reason = job.reason or 'primary'
        self._send(job, base.primary, 0)
        return True

    def _set_aside(self, base: database.Database, job: work.Work) -> bool:
        """Take the next request out of the lane if it must not be sent."""
        if job.finished:
            base.admission.pop(job.lane)
        elif base.is_behind(job):
            # Others need not wait until this owner sees the later term.
            base.parked.append(base.admission.pop(job.lane))
        else:
            return self._refuse_lost(base, job)
        return True

    def _refuse_lost(self, base: database.Database, job: work.Work) -> bool:
        """Refuse the next request if its session's write was lost."""
        if not base.has_lost_position(job):
            return False
        base.admission.pop(job.lane)
        failure = failures.POSITION_LOST.because(
            'a later term has replaced the newest write of the session',
        )
        self.state.refuse(job, failure)
        return True

    def _choose(
        self,
        eligible: list[views.InstanceView],
        now_ms: int,
    ) -> routing.Candidate | None:
        slow_start_ms = self.state.preset.slow_start_ms
        options = []
        for view in eligible:
            connections = self.state.pools[view.name]
            limit = connections.slow_start_limit(slow_start_ms, now_ms)
            if connections.idle and len(connections.busy) < limit:
                options.append(routing.candidate(view, connections))
        return self.policy.choose(options, self.state.rng)

    def _wait(
        self,
        base: database.Database,
        job: work.Work,
        eligible: list[views.InstanceView],
        now_ms: int,
    ) -> bool:
        """Open connections to busy replicas, or fall back to the primary."""
        for view in eligible:
            self._open(view.name, base.admission.size, now_ms)
        if now_ms - job.arrived_ms <= self.state.preset.replica_wait_ms:
            return False
        self.use_primary(base, base.admission.pop(job.lane), 'busy')
        return True

    def _park(
        self,
        base: database.Database,
        job: work.Work,
        now_ms: int,
    ) -> None:
        if not job.parked_until_ms:
            wait_ms = self.state.preset.replica_wait_ms
            if not self.policy.uses_replicas:
                wait_ms = 0
            job.parked_until_ms = now_ms + wait_ms
        if now_ms >= job.parked_until_ms:
            self.use_primary(base, job, 'behind')
        else:
            base.parked.append(job)

    def _open(self, instance: str, wanted: int, now_ms: int) -> None:
        connections = self.state.pools[instance]
        self.state.outbox.extend(connections.open_more(wanted, now_ms))

    def _send(self, job: work.Work, instance: str, alternatives: int) -> None:
        connection = self.state.pools[instance].acquire()
        job.term = self.state.databases[job.database].term
        self.call(job, connection, instance)
        policy = self.state.policy
        self.state.outbox.append(
            messages.DecisionLine(
                'route',
                {
                    'database': job.database,
                    'kind': job.kind,
                    'chosen': instance,
                    'lane': job.lane,
                    'alternatives': alternatives,
                    'reason': job.reason,
                    'term': job.term,
                    'preset': policy.name,
                    'preset_revision': policy.revision,
                },
            ),
        )


def _request(job: work.Work) -> backend.Request:
    if job.kind == work.RESOLVE:
        return backend.ResolveRequest(job.database, job.term, job.request_key)
    return backend.ExecuteRequest(
        job.database,
        job.term,
        job.kind,
        msgspec.Raw(job.statement),
        job.request_key,
        job.fingerprint,
    )
