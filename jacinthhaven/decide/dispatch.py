"""Dispatch of queued requests to idle connections."""

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
    """Sends the queued requests of a group to its instances."""

    def __init__(self, state: 'group_state.GroupState') -> None:
        """Work on the state of one group."""
        self.state = state
        self.policy_name = ''
        self.policy: routing.RoutingPolicy = routing.ReplicaFirst()

    def send_queued(self, db: database.Database, now_ms: int) -> None:
        """Send queued requests of a database while connections are idle."""
        if not db.admission.size:
            return
        self._load_policy()
        for send_next in (self._send_to_replica, self._send_to_primary):
            more = True
            while more:
                more = send_next(db, now_ms)

    def send_all_queued(self, now_ms: int) -> None:
        """Send queued requests of all databases."""
        for db in self.state.databases.values():
            self.send_queued(db, now_ms)

    def retry_parked(self, db: database.Database, now_ms: int) -> None:
        """Queue the parked requests again and look for instances for them."""
        parked = db.parked
        if not parked:
            return
        db.parked = []
        for job in reversed(parked):
            if not job.finished:
                db.admission.push_front(job)
        self.send_queued(db, now_ms)

    def call(self, job: work.Work, connection: int, instance: str) -> None:
        """Send a request on a connection that is reserved for it."""
        job.instance = instance
        job.connection = connection
        call = self.state.calls.start(connection, instance, job)
        self.state.outbox.append(
            messages.BackendCall(connection, call.number, _request(job)),
        )

    def use_primary(
        self,
        db: database.Database,
        job: work.Work,
        reason: str,
    ) -> None:
        """Move a read to the front of the primary lane."""
        job.lane = admission.PRIMARY_LANE
        job.reason = f'primary, replicas {reason}'
        db.admission.push_front(job)

    def _load_policy(self) -> None:
        name = self.state.preset.routing
        if name != self.policy_name:
            self.policy = plugins.find(plugins.ROUTING_POLICY, name)()
            self.policy_name = name

    # Both methods return whether the lane's next request may be tried.

    def _send_to_replica(self, db: database.Database, now_ms: int) -> bool:
        job = db.admission.peek(admission.REPLICA_LANE)
        if job is None:
            return False
        if self._refuse_lost_position(db, job):
            return True
        eligible = routing.eligible_replicas(
            db.view,
            job,
            self.state.preset,
            now_ms,
        )
        if not eligible or not self.policy.uses_replicas:
            self._park(db, db.admission.pop(job.lane), now_ms)
            return True
        chosen = self._choose(eligible, now_ms)
        if chosen is None:
            return self._wait_for_replica(db, job, eligible, now_ms)
        db.admission.pop(job.lane)
        job.reason = 'replica'
        self._send(job, chosen.instance, len(eligible))
        return True

    def _send_to_primary(self, db: database.Database, now_ms: int) -> bool:
        job = db.admission.peek(admission.PRIMARY_LANE)
        if job is None:
            return False
        if self._remove_unsendable(db, job):
            return True
        confirm_ms = self.state.preset.primary_confirm_ms
        if db.block_reason(job, confirm_ms, now_ms):
            return False
        if not self.state.pools[db.primary].idle:
            self._open(db.primary, db.admission.size, now_ms)
            return False
        db.admission.pop(job.lane)
        job.reason = job.reason or 'primary'
        self._send(job, db.primary, 0)
        return True

    def _remove_unsendable(self, db: database.Database, job: work.Work) -> bool:
        """Remove the next request of the lane if it must not be sent."""
        if job.finished:
            db.admission.pop(job.lane)
        elif db.is_behind(job):
            # Parked, so that the requests behind it need not wait until this
            # owner learns of the later term.
            db.parked.append(db.admission.pop(job.lane))
        else:
            return self._refuse_lost_position(db, job)
        return True

    def _refuse_lost_position(
        self, db: database.Database, job: work.Work
    ) -> bool:
        """Refuse the next request if its session's write was lost."""
        if not db.has_lost(job):
            return False
        db.admission.pop(job.lane)
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
            limit = connections.ramp_limit(slow_start_ms, now_ms)
            if connections.idle and len(connections.busy) < limit:
                options.append(routing.candidate(view, connections))
        return self.policy.choose(options, self.state.rng)

    def _wait_for_replica(
        self,
        db: database.Database,
        job: work.Work,
        eligible: list[views.InstanceView],
        now_ms: int,
    ) -> bool:
        """Wait for busy replicas, or fall back to the primary.

        More connections to the replicas are opened meanwhile.
        """
        for view in eligible:
            self._open(view.name, db.admission.size, now_ms)
        if now_ms - job.arrived_ms <= self.state.preset.replica_wait_ms:
            return False
        self.use_primary(db, db.admission.pop(job.lane), 'busy')
        return True

    def _park(
        self,
        db: database.Database,
        job: work.Work,
        now_ms: int,
    ) -> None:
        if not job.parked_until_ms:
            wait_ms = self.state.preset.replica_wait_ms
            if not self.policy.uses_replicas:
                wait_ms = 0
            job.parked_until_ms = now_ms + wait_ms
        if now_ms >= job.parked_until_ms:
            self.use_primary(db, job, 'behind')
        else:
            db.parked.append(job)

    def _open(self, instance: str, wanted: int, now_ms: int) -> None:
        connections = self.state.pools[instance]
        self.state.outbox.extend(connections.open_more(wanted, now_ms))

    def _send(self, job: work.Work, instance: str, alternatives: int) -> None:
        connection = self.state.pools[instance].take()
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
