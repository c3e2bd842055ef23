"""State of one group at an owner, shared by the parts of the owner."""

import itertools
import random
import typing

from jacinthhaven.decide import (
    calls,
    database,
    messages,
    pool,
    transactions,
    views,
    work,
)
from jacinthhaven.kernel import failures
from jacinthhaven.records import callers, presets, topology


class GroupState:
    """Views, connections, queues and calls of one group.

    Attributes:
      group: The database group.
      member: Name of this node.
      numbers: Allocator of call and connection numbers of the process.
      rng: Seeded source of random numbers.
      policy: Configuration in force.
      instances: Views of the group's instances by name.
      pools: Data connections by instance name.
      databases: State by database name.
      calls: Calls in flight on data connections.
      transactions: Open transactions.
      outbox: Messages to deliver.
    """

    def __init__(
        self,
        group: topology.Group,
        member: str,
        numbers: itertools.count,
        rng: random.Random,
    ) -> None:
        """Create the state of a group without connections."""
        self.group = group
        self.member = member
        self.numbers = numbers
        self.rng = rng
        self.policy = presets.Policy()
        self.instances: views.Instances = {
            instance.name: views.InstanceView(instance.name, instance.zone)
            for instance in group.instances
        }
        self.pools: dict[str, pool.Pool] = {}
        self.databases = {
            name: database.Database(name, self.instances)
            for name in group.databases
        }
        self.calls = calls.Calls(numbers)
        self.transactions = transactions.Transactions(member, rng)
        self.outbox: list[typing.Any] = []

    @property
    def preset(self) -> presets.Preset:
        """Return the parameters of the preset in force."""
        return self.policy.preset

    def count(self, name: str) -> None:
        """Increase a counter."""
        self.outbox.append(messages.Count(name))

    def log(self, event: str, fields: dict[str, typing.Any]) -> None:
        """Write a decision line about the group."""
        fields['group'] = self.group.name
        self.outbox.append(messages.DecisionLine(event, fields))

    def close(self, instance: str, connection: int) -> None:
        """Close a data connection; a call on it is forgotten."""
        self.calls.remove_on_connection(connection)
        self.pools[instance].forget(connection)
        self.outbox.append(messages.BackendClose(connection))

    def answer(
        self,
        job: work.Work,
        answer: callers.Answer,
        failure: failures.Failure | None = None,
    ) -> None:
        """Answer a request unless it was answered before."""
        if not job.finished:
            job.finished = True
            self.outbox.append(work.OwnerAnswer(job.origin, answer, failure))

    def refuse(self, job: work.Work, failure: failures.Failure) -> None:
        """Answer a request with a failure that is true for it.

        A refusal as not run is changed to an unknown outcome if a copy of
        the request was sent whose result was not seen.
        """
        if job.maybe_run and failure.outcome is failures.Outcome.NOT_RUN:
            failure = failures.UNCONFIRMED.because(failure.reason)
        answer = callers.Answer(
            failure.outcome.value,
            error=failure.kind.code,
            detail=failure.reason,
        )
        self.answer(job, answer, failure)
