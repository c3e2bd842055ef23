"""Replication of one database copy from the primary that it follows.

One pull request is outstanding at a time; the primary holds it until it
has entries or a heartbeat is due.
"""

import functools
import http
import typing

import msgspec

from jacinthhaven.adapters import http_client, http_messages, poller
from jacinthhaven.standins import (
    database_copy,
    instance_faults,
    instance_model,
)

# Pause before a primary that refused a pull or was not reached is asked
# again.
_RETRY_MS = 50
# A reply holds a limited number of entries but no limited number of bytes.
_MAX_REPLY_BYTES = 67_108_864
_decoder = msgspec.json.Decoder(database_copy.PullReply)


class Replicators:
    """Replication of all database copies of one instance.

    Attributes:
      cut: Names of the instances that are not contacted.
      on_accepted: Called after entries or a heartbeat were accepted.
    """

    def __init__(
        self,
        loop: poller.Poller,
        model: instance_model.InstanceModel,
        addresses: dict[str, tuple[str, int]],
        gate: instance_faults.Gate,
    ) -> None:
        """Create one task for each database copy.

        Args:
          loop: Poller of the process.
          model: Instance that the copies belong to.
          addresses: IP address and port of the other instances by name.
          gate: Gate that holds back received replies.
        """
        self.poller = loop
        self.model = model
        self.addresses = addresses
        self.gate = gate
        self.cut: typing.Collection[str] = ()
        self.on_accepted: typing.Callable[[], None] = _ignore
        self.tasks = [Replicator(self, database) for database in model.copies]

    def update(self) -> None:
        """Connect every copy to the primary that it follows now."""
        for task in self.tasks:
            task.update()


class Replicator:
    """Task that owns the replication connection of one database copy."""

    def __init__(self, tasks: 'Replicators', database: str) -> None:
        """Create a task that follows nobody yet.

        Args:
          tasks: Tasks of the instance, which hold what the copies share.
          database: Name of the database.
        """
        self.tasks = tasks
        self.model = tasks.model
        self.database = database
        self.target = ''
        self.client: http_client.Client | None = None
        self.retrying = False

    def update(self) -> None:
        """Connect to the primary that the copy follows now."""
        target = self.model.copies[self.database].upstream
        if target in self.tasks.cut:
            target = ''
        if target != self.target:
            self.target = target
            self._disconnect()
            self._connect()

    def _connect(self) -> None:
        address = self.tasks.addresses.get(self.target)
        if address is None:
            return
        client = http_client.Client(self.tasks.poller, address)
        client.parser.max_body = _MAX_REPLY_BYTES
        client.on_open = self._pull
        client.on_reply = self._replied
        client.on_lost = self._lost
        self.client = client

    def _disconnect(self) -> None:
        if self.client is not None:
            self.client.close()
            self.client = None

    def _pull(self) -> None:
        request = self.model.pull_request(self.database)
        if self.client is not None and request is not None:
            self.client.send('/replicate', msgspec.json.encode(request))

    def _replied(self, message: http_messages.Message) -> None:
        self.tasks.gate.run(functools.partial(self._accept, message))

    def _accept(self, message: http_messages.Message) -> None:
        accepted = False
        if message.status == http.HTTPStatus.OK:
            accepted = self.model.accept_pull(
                self.database,
                _decoder.decode(message.body),
                self.tasks.poller.clock.now_ms(),
            )
        if accepted:
            self.tasks.on_accepted()
            self._pull()
        else:
            self._disconnect()
            self._retry_later()

    def _lost(self) -> None:
        self.client = None
        self._retry_later()

    def _retry_later(self) -> None:
        if not self.retrying:
            self.retrying = True
            self.tasks.poller.call_later(_RETRY_MS, self._retry)

    def _retry(self) -> None:
        self.retrying = False
        if self.client is None:
            self._connect()


def _ignore() -> None:
    """Do nothing; default of an unset callback."""
