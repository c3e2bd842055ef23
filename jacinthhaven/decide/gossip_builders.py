"""Builders of small simulated clusters for tests that use gossip."""

import random

import msgspec

from jacinthhaven.decide import (
    directory,
    gossip,
    liveness,
    messages,
    partners,
)
from jacinthhaven.records import store, topology

STEP_MS = 50


def member(name, zone='z1'):
    """Build a member with a fixed address and port."""
    return topology.Member(name, f'boot-{name}', '127.0.0.1', 1, zone)


def key_value(key, document='', revision=1, created=1):
    """Build a store entry."""
    return store.KeyValue(key, document, created, revision)


def member_entry(name, revision=1):
    """Build the store entry of a member."""
    document = msgspec.json.encode(member(name)).decode()
    return key_value(f'members/{name}', document, revision, revision)


def read_reply(names, revision=10):
    """Build the reply to a read of all keys that lists these members."""
    return store.ReadReply(revision, tuple(map(member_entry, names)))


class Node:
    """Gossip component of one member and its dependencies."""

    def __init__(self, name, seeds=()):
        """Start with an empty directory."""
        rng = random.Random(name)
        self.name = name
        self.directory = directory.Directory()
        self.liveness = liveness.Liveness(name, self.directory)
        partner_set = partners.Partners(name, 'z1', rng, seeds)
        self.gossip = gossip.Gossip(
            self.directory,
            self.liveness,
            partner_set,
            rng,
        )


class Cluster:
    """Simulated members; a message arrives one step after it was sent.

    Attributes:
      disconnected: Names of disconnected members; their messages are dropped.
      sent_count: Number of sent messages.
    """

    def __init__(self, names, read=None):
        """Create the nodes; `read` fills the directory of each of them."""
        self.nodes = {name: Node(name) for name in names}
        self.now_ms = 0
        self.disconnected = set()
        self.sent_count = 0
        self.in_flight = []
        for node in self.nodes.values():
            if read is not None:
                node.directory.apply_read(read, 0)
                node.directory.record_proof(read.revision, 0)

    def send(self, source, sent):
        """Queue the messages of a member for delivery."""
        for message in sent:
            if isinstance(message, messages.PeerSend):
                self.sent_count += 1
                self.in_flight.append((source, message))

    def run(self, duration_ms):
        """Advance the time in steps and deliver messages."""
        for _ in range(duration_ms // STEP_MS):
            self.now_ms += STEP_MS
            delivered = self.in_flight
            self.in_flight = []
            for source, message in delivered:
                if not self.disconnected & {source, message.member}:
                    received = messages.PeerReceived(source, message.payload)
                    node = self.nodes[message.member]
                    replies = node.gossip.handle(received, self.now_ms)
                    self.send(node.name, replies)
            for name, node in self.nodes.items():
                self.send(name, node.gossip.tick(self.now_ms))
