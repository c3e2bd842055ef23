"""Builders of small clusters for tests of the gossip and its users."""

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
    """Build a member whose port is always the same."""
    return topology.Member(name, f'boot-{name}', '127.0.0.1', 1, zone)


def key_value(key, document='', revision=1, created=1):
    """Build a stored key."""
    return store.KeyValue(key, document, created, revision)


def member_key(name, revision=1):
    """Build the stored key of a member."""
    document = msgspec.json.encode(member(name)).decode()
    return key_value(f'members/{name}', document, revision, revision)


def read_reply(names, revision=10):
    """Build the reply to a read of all keys with these members."""
    return store.ReadReply(revision, tuple(map(member_key, names)))


class Node:
    """Gossip of one member and everything that it uses."""

    def __init__(self, name, seeds=()):
        """Start without knowledge."""
        rng = random.Random(name)
        self.name = name
        self.directory = directory.Directory()
        self.live = liveness.Liveness(name, self.directory)
        chooser = partners.Partners(name, 'z1', rng, seeds)
        self.gossip = gossip.Gossip(self.directory, self.live, chooser, rng)


class Cluster:
    """Members that exchange messages with a delay of one step.

    Attributes:
      cut: Names of members that neither send nor receive.
      sent: Number of messages.
    """

    def __init__(self, names, read=None):
        """Create the nodes; all of them know `read`."""
        self.nodes = {name: Node(name) for name in names}
        self.now_ms = 0
        self.cut = set()
        self.sent = 0
        self.flying = []
        for node in self.nodes.values():
            if read is not None:
                node.directory.apply_read(read, 0)
                node.directory.record_proof(read.revision, 0)

    def post(self, source, sent):
        """Put the messages of a member on their way."""
        for message in sent:
            if isinstance(message, messages.PeerSend):
                self.sent += 1
                self.flying.append((source, message))

    def run(self, duration_ms):
        """Let time pass and deliver messages."""
        for _ in range(duration_ms // STEP_MS):
            self.now_ms += STEP_MS
            arrived = self.flying
            self.flying = []
            for source, message in arrived:
                if not self.cut & {source, message.member}:
                    received = messages.PeerReceived(source, message.payload)
                    node = self.nodes[message.member]
                    replies = node.gossip.handle(received, self.now_ms)
                    self.post(node.name, replies)
            for name, node in self.nodes.items():
                self.post(name, node.gossip.tick(self.now_ms))
