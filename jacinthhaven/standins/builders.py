"""Test data for the stand-ins: instances, requests and replication."""

import json
import typing

import msgspec

from jacinthhaven.records import backend
from jacinthhaven.standins import instance_model

DATABASE = 'lots'

Prepare = typing.Callable[[instance_model.InstanceModel], object]


def raw(document: object) -> msgspec.Raw:
    """Return a document as it appears in a request."""
    return msgspec.Raw(json.dumps(document).encode())


def rows(reply: backend.ExecuteReply | backend.ResolveReply) -> object:
    """Return the decoded result of a reply."""
    return json.loads(bytes(reply.result))


def execute(
    kind: str,
    statement: object = None,
    term: int = 1,
    key: str = '',
    fingerprint: str = 'f',
) -> backend.ExecuteRequest:
    """Return an execute request for the test database."""
    return backend.ExecuteRequest(
        DATABASE,
        term,
        kind,
        raw(statement),
        key,
        fingerprint,
    )


def add(key: str = '', term: int = 1, by: int = 1) -> backend.ExecuteRequest:
    """Return a write that increases the counter `n`."""
    return execute('write', {'op': 'add', 'key': 'n', 'by': by}, term, key)


def get(name: str = 'n') -> backend.ExecuteRequest:
    """Return a read of one key."""
    return execute('read', {'op': 'get', 'key': name})


class Group:
    """Instances with direct replication and one open connection each."""

    def __init__(
        self,
        names: str = 'abc',
        limit: int = 2,
        prepare: Prepare | None = None,
    ) -> None:
        """Start the instances; the first one is primary in term 1.

        Args:
          names: Names of the instances, one letter each.
          limit: Connection limit of each instance.
          prepare: Called with each instance before it starts.
        """
        self.now_ms = 0
        self.instances = {
            name: instance_model.InstanceModel(name, [DATABASE], limit)
            for name in names
        }
        for instance in self.instances.values():
            if prepare is not None:
                prepare(instance)
            instance.start_as({DATABASE: names[0]}, 0)
            instance.open('c', backend.ConnectRequest('g/0', 1))

    def call(self, name: str, request: backend.Request) -> instance_model.Reply:
        """Send a request on the open connection of an instance."""
        return self.instances[name].call('c', request, self.now_ms)

    def pull(self, name: str) -> bool:
        """Replicate once from the followed primary."""
        replica = self.instances[name]
        request = replica.pull_request(DATABASE)
        primary = self.instances[replica.copies[DATABASE].upstream]
        reply = primary.serve_pull(request)
        if isinstance(reply, backend.ErrorReply):
            return False
        return replica.accept_pull(DATABASE, reply, self.now_ms)

    def status(self, name: str) -> backend.DatabaseStatus:
        """Return the state of an instance's copy."""
        return self.call(name, backend.StatusRequest(0, 0)).databases[0]

    def promote(self, name: str, term: int, fenced: str) -> None:
        """Fence instances and promote one of them."""
        for other in fenced:
            self.call(other, backend.FenceRequest(DATABASE, term))
        self.call(name, backend.PromoteRequest(DATABASE, term))
