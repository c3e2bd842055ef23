"""Decisions of one process: gateway, coordination and elections together."""

import abc
import dataclasses
import functools
import random
import typing

import msgspec

from jacinthhaven.kernel import ranking
from jacinthhaven.records import store
from jacinthhaven.sql import (
    coordination,
    election,
    gateway,
    group,
    lending,
    ownership,
    ports,
    records,
    relaying,
    scripts,
    statements,
)

# A stopping node goes on accepting sessions for this long, since the
# balancer notices only after two checks that it is not ready.
NOTICE_MS = 2200
# Part of the grace period that open transactions get.
_TRANSACTION_SHARE = 0.5
# Kept free at the end of the grace period.
_GRACE_RESERVE_MS = 700

# Time after which a smaller number of members changes the shares; longer
# than leases last while the store is unreachable for some nodes.
_SHRINK_MS = 20_000

# Range of the random starts that spread borrowers over lenders.
_SPREAD = 1000

Entries = typing.Sequence[store.KeyValue]


class Documents(abc.ABC):
    """Decoding of what the operator and the instances write.

    Attributes:
      configuration_key: Key of the operator's configuration.
      own_prefix: Prefix of the keys of this product.
      watched_prefix: Prefix of both.
      registry_prefix: Prefix of the registry.
      member_prefix: Prefix of the keys of the nodes, which is not watched.
    """

    configuration_key: str
    own_prefix: str
    watched_prefix: str
    registry_prefix: str
    member_prefix: str

    @abc.abstractmethod
    def configuration(self, text: str) -> records.Configuration | str:
        """Return the configuration, or why it cannot be used."""

    @abc.abstractmethod
    def instances(
        self,
        entries: Entries,
        on_unusable: typing.Callable[[str, str], None],
    ) -> list[records.Instance]:
        """Return the usable instances."""


@dataclasses.dataclass(frozen=True, slots=True)
class Identity:
    """Who this node is."""

    name: str
    grace_ms: int
    peer: ownership.Peer


@dataclasses.dataclass(frozen=True, slots=True)
class Surroundings:
    """Ports of one node."""

    databases: ports.Databases
    clients: ports.Clients
    borrowers: ports.Borrowers
    relays: ports.Relays
    platform: ports.Platform
    journal: ports.Journal
    documents: Documents
    rng: random.Random


class Node:
    """Decision code of one process.

    Attributes:
      stopping_ms: When the planned stop began, or None.
      stopped: Whether the process may end.
    """

    def __init__(self, identity: Identity, around: Surroundings) -> None:
        """Start without knowledge."""
        self.identity = identity
        self.around = around
        self.journal = around.journal
        self.gateway = gateway.Gateway(
            identity.peer.zone,
            around.databases,
            around.clients,
            around.journal,
        )
        documents = around.documents
        self.keys = election.Keys(documents.own_prefix)
        self.coordination = coordination.Coordination(
            around.platform,
            (
                documents.watched_prefix,
                documents.registry_prefix,
                documents.member_prefix,
                documents.configuration_key,
            ),
            self,
            around.journal,
            around.rng,
        )
        self.coordination.keeper.join(
            f'{documents.member_prefix}{identity.name}',
            ownership.encode(identity.peer),
        )
        self.relay = relaying.Relay(
            identity.name,
            self.gateway,
            around.relays,
            around.rng,
        )
        self.lender = lending.Lender(
            self.gateway,
            around.borrowers,
            around.journal,
        )
        self.peers: dict[str, ownership.Peer] = {}
        self.elections: dict[str, election.Election] = {}
        self.unusable: dict[str, str] = {}
        self.sleepers = scripts.Sleepers()
        self.stopping_ms: int | None = None
        self.stopped = False
        self.shrink_ms = 0
        self.now_ms = 0

    @property
    def members(self) -> tuple[str, ...]:
        """Return the names of all known nodes."""
        return tuple(sorted(self.peers))

    @property
    def ready(self) -> bool:
        """Return whether the balancer should send sessions."""
        return self.relay.settled and self.stopping_ms is None

    def tick(self, now_ms: int) -> None:
        """Advance all timers."""
        self.now_ms = now_ms
        self.coordination.tick(now_ms)
        self.gateway.tick(now_ms)
        self.relay.tick(now_ms)
        for name, vote in self.elections.items():
            owners = self.gateway.groups[name].owners
            if self.identity.name in owners:
                vote.tick(owners, self.coordination.lease, now_ms)
        self.sleepers.wake(now_ms)
        if now_ms >= self.shrink_ms:
            self._share_links()
        if self.stopping_ms is not None and not self.stopped:
            self._continue_stop(now_ms)

    def stop(self, now_ms: int) -> None:
        """Begin the planned stop."""
        if self.stopping_ms is None:
            self.stopping_ms = now_ms
            self.journal.write(
                'stopping',
                {'sessions': len(self.gateway.sessions)},
            )
            self.gateway.drain(now_ms)
            self.relay.close_quiet(now_ms)

    def on_key(self, key: str, text: str | None, revision: int) -> None:
        """Accept a watched key."""
        documents = self.around.documents
        if key == documents.configuration_key:
            if text is not None:
                self._configure(text, revision)
            return
        name = key.removeprefix(documents.own_prefix)
        rest = name.partition('/')[2]
        service = rest.partition('/')[0]
        vote = self.elections.get(service)
        if vote is not None:
            vote.on_key(name, text, revision)

    def on_registry(self, entries: Entries, fresh: bool) -> None:
        """Accept all entries of the registry."""
        unusable: dict[str, str] = {}
        found = self.around.documents.instances(
            entries,
            unusable.__setitem__,
        )
        for key, reason in unusable.items():
            if key not in self.unusable:
                self.journal.write(
                    'registry_entry_unusable',
                    {'key': key, 'reason': reason},
                )
        self.unusable = unusable
        self.gateway.register(found, self.now_ms)

    def on_members(self, entries: Entries) -> None:
        """Accept the keys of all nodes."""
        peers = {}
        prefix = self.around.documents.member_prefix
        for entry in entries:
            name = entry.key.removeprefix(prefix)
            try:
                peers[name] = ownership.decode(entry.value)
            except msgspec.DecodeError as error:
                self.journal.write(
                    'member_unusable',
                    {'member': name, 'reason': str(error)},
                )
        for name in peers.keys() ^ self.peers.keys():
            self.journal.write(
                'members',
                {'member': name, 'present': name in peers},
            )
        if peers == self.peers:
            return
        self.peers = peers
        self.relay.know(peers)
        self._choose_lenders()
        self._share_links()

    def _configure(self, text: str, revision: int) -> None:
        loaded = self.around.documents.configuration(text)
        if isinstance(loaded, str):
            self.journal.write(
                'configuration_unusable',
                {'revision': revision, 'reason': loaded},
            )
            return
        self.gateway.configure(loaded, self.now_ms)
        for name, service in self.gateway.groups.items():
            if name not in self.elections:
                self.elections[name] = election.Election(
                    service,
                    self.identity.name,
                    self.keys,
                    functools.partial(self._perform, name),
                    self.journal,
                )
        for name, declared in loaded.services.items():
            vote = self.elections[name]
            vote.acknowledging = declared.acknowledging_replicas
        self._choose_lenders()
        self._share_links()

    def _choose_lenders(self) -> None:
        """Borrow from the other owners, beginning at a random one."""
        start = self.around.rng.randrange(_SPREAD)
        for name, known in self.gateway.groups.items():
            seen = ownership.seen_from(
                self.identity.peer.zone,
                name,
                self.peers,
            )
            known.pool.lenders = [
                self.peers[owner].address
                for owner in seen.order(start)
                if owner != self.identity.name
            ]

    def _share_links(self) -> None:
        """Share connections among the largest recent number of owners.

        Owners whose keys are missing may still hold their connections.
        """
        size = 1
        owned = set()
        for name, known in self.gateway.groups.items():
            owners = ownership.owners(name, self.peers)
            known.owners = owners
            checker = ranking.ranked(name, owners)[:1]
            known.check_ms = group.OTHERS_CHECK_MS
            if not owners or checker == [self.identity.name]:
                known.check_ms = group.CHECK_MS
            size = max(size, len(owners))
            if not owners or self.identity.name in owners:
                owned.add(name)
        self.coordination.own_services(bool(owned))
        if size >= self.gateway.members or self.now_ms >= self.shrink_ms:
            self.shrink_ms = self.now_ms + _SHRINK_MS
            self.gateway.share_links(size, owned)
        else:
            self.gateway.share_links(self.gateway.members, owned)

    def _perform(
        self,
        service: str,
        call: scripts.Call,
        on_result: typing.Callable[[typing.Any], None],
    ) -> None:
        match call:
            case scripts.Sleep(delay_ms=delay_ms):
                self.sleepers.add(self.now_ms + delay_ms, on_result)
            case scripts.AskAll():
                _Survey(self.gateway.groups[service], call, on_result).start(
                    self.now_ms,
                )
            case scripts.Promote(service=name, instance=instance, fence=fence):
                self.around.platform.promote(name, instance, fence, on_result)
            case _:
                self.around.platform.call(call, on_result)

    def _continue_stop(self, now_ms: int) -> None:
        elapsed_ms = now_ms - self.stopping_ms
        if elapsed_ms >= NOTICE_MS:
            self.around.clients.stop_accepting()
        grace_ms = self.identity.grace_ms
        if elapsed_ms >= grace_ms * _TRANSACTION_SHARE:
            self.gateway.abort_transactions(now_ms)
        over = elapsed_ms >= grace_ms - _GRACE_RESERVE_MS
        busy = self.gateway.sessions or self.relay.sessions or self.lender.loans
        idle = elapsed_ms >= NOTICE_MS and not busy
        if over or idle:
            self.stopped = True


class _Survey:
    """Control command that several instances answer."""

    def __init__(
        self,
        service: typing.Any,
        call: scripts.AskAll,
        on_result: typing.Callable[[typing.Any], None],
    ) -> None:
        self.service = service
        self.call = call
        self.on_result = on_result
        self.found: dict[str, records.InstanceStatus | None] = {}

    def start(self, now_ms: int) -> None:
        """Send the command to all instances."""
        if not self.call.instances:
            self.on_result({})
            return
        for name in self.call.instances:
            self.service.ask(
                name,
                self.call.command,
                functools.partial(self._on_reply, name),
                now_ms,
            )

    def _on_reply(self, name: str, reply: statements.Reply | None) -> None:
        self.found[name] = None if reply is None else reply.status
        if len(self.found) == len(self.call.instances):
            self.on_result(self.found)
