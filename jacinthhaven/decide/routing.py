"""Choice of the copy of a database that executes a statement.

Rules that apply to every policy (read-your-writes, age, leaving) determine
the eligible copies; then the policy named by the preset picks one of them.
Policies are plug-ins.
"""

import abc
import dataclasses
import random

from jacinthhaven.decide import pool, positions, views, work
from jacinthhaven.kernel import plugins
from jacinthhaven.records import backend, presets

PRIMARY = 'primary'
REPLICA = 'replica'


@dataclasses.dataclass(slots=True)
class Candidate:
    """Copy that is eligible to execute a statement.

    Attributes:
      instance: Name of the instance.
      zone: Availability zone of the instance.
      busy: Connections in use.
    """

    instance: str
    zone: str
    busy: int


class RoutingPolicy(abc.ABC):
    """Preference among the copies that are eligible for a read."""

    uses_replicas = True

    @abc.abstractmethod
    def choose(
        self,
        candidates: list[Candidate],
        rng: random.Random,
    ) -> Candidate | None:
        """Return the preferred candidate, or None to use the primary.

        Args:
          candidates: Eligible replicas with an idle connection.
          rng: Seeded source of random numbers.
        """


@plugins.register(plugins.ROUTING_POLICY, 'replica_first')
class ReplicaFirst(RoutingPolicy):
    """Uses the less busy of two random replicas (power of two choices).

    Always choosing the least busy one would make every owner send its load
    to the same replica between two status responses.
    """

    def choose(
        self,
        candidates: list[Candidate],
        rng: random.Random,
    ) -> Candidate | None:
        """Return the less busy of two random candidates."""
        if len(candidates) > 2:
            candidates = rng.sample(candidates, 2)
        return min(candidates, key=_load, default=None)


@plugins.register(plugins.ROUTING_POLICY, 'primary_only')
class PrimaryOnly(RoutingPolicy):
    """Uses no replicas, so that they can be maintained."""

    uses_replicas = False

    def choose(
        self,
        candidates: list[Candidate],
        rng: random.Random,
    ) -> Candidate | None:
        """Return None, as no replica is used."""


def _load(option: Candidate) -> int:
    return option.busy


@dataclasses.dataclass(slots=True)
class DatabaseView:
    """Inputs of the eligibility rules for one database.

    Attributes:
      database: Name of the database.
      instances: Views of all instances of the group.
      complete_ms: Time up to which each copy is proved to have all data,
        by instance name.
    """

    database: str
    instances: views.Instances
    complete_ms: dict[str, int]


def eligible_replicas(
    view: DatabaseView,
    job: work.Work,
    preset: presets.Preset,
    now_ms: int,
) -> list[views.InstanceView]:
    """Return the replicas that may serve a read.

    A replica may serve if it is not leaving, excluded or suspected, its
    log covers the session's token, and its data is proved to be within the
    allowed age.
    """
    oldest_ms = max(now_ms - job.max_age_ms, 0)
    return [
        instance
        for instance in view.instances.values()
        if usable(instance, preset)
        and view.complete_ms.get(instance.name, views.NEVER_MS) >= oldest_ms
        and _is_covering_replica(instance.copies.get(view.database), job)
    ]


def usable(instance: views.InstanceView, preset: presets.Preset) -> bool:
    """Return whether an instance may get new work."""
    return not (
        instance.leaving
        or instance.suspected
        or instance.name in preset.excluded_instances
    )


def _is_covering_replica(
    copy: backend.DatabaseStatus | None,
    job: work.Work,
) -> bool:
    if copy is None or copy.primary:
        return False
    return positions.covers(copy, job.needed)


def candidate(
    instance: views.InstanceView,
    connections: pool.Pool,
) -> Candidate:
    """Return a candidate with the load of its connections."""
    return Candidate(instance.name, instance.zone, len(connections.busy))
