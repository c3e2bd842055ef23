"""Settings of one node, and the adapters that connect it to its process."""

import random

import msgspec

from jacinthhaven.balancing import zone_outflow
from jacinthhaven.kernel import clock
from jacinthhaven.quotas import limits
from jacinthhaven.sql import ownership, peering, ports, records, registry


class Identity(msgspec.Struct, frozen=True):
    """Static settings of this node.

    Attributes:
      name: Node name, unique among all nodes.
      grace_ms: Time between the request to stop and the exit.
      peer: Entry of this node in the member list.
      fenced: Whether the platform rejects orders with an outdated fencing
        number, so that a replaced primary serves nobody.
      first_start: Whether the whole system starts for the first time.
      seeds: Addresses of nodes that may run.
      apply_within_ms: Longest time until a new configuration is in force.
      slack: How far all nodes together may exceed the limit of a customer.
      leaving_cost_ms: Price of leaving the availability zone.
      may_leave: Whether new sessions may leave the zone although its own
        owners can be reached.
    """

    name: str
    grace_ms: int
    peer: ownership.Peer
    fenced: bool = True
    first_start: bool = False
    seeds: tuple[records.Address, ...] = ()
    apply_within_ms: int = 3000
    slack: limits.Slack = limits.DEFAULT_SLACK
    leaving_cost_ms: float = zone_outflow.DEFAULT_LEAVING_COST_MS
    may_leave: bool = False


class Adapters(msgspec.Struct, frozen=True):
    """Adapters that connect one node to its process and platform."""

    databases: ports.Databases
    clients: ports.Clients
    borrowers: ports.Borrowers
    relays: ports.Relays
    copies: ports.ConfigurationCopies
    messenger: peering.Messenger
    clock: clock.Clock
    platform: ports.Platform
    journal: ports.Journal
    documents: registry.Documents
    rng: random.Random
