"""Settings of one node, and the adapters that connect it to its process."""

import dataclasses
import random

from jacinthhaven.balancing import zone_outflow
from jacinthhaven.kernel import clock
from jacinthhaven.sql import ownership, peering, ports, records, registry


@dataclasses.dataclass(frozen=True, slots=True)
class Identity:
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
      leaving_cost_ms: Price of leaving the availability zone.
    """

    name: str
    grace_ms: int
    peer: ownership.Peer
    fenced: bool = True
    first_start: bool = False
    seeds: tuple[records.Address, ...] = ()
    apply_within_ms: int = 3000
    leaving_cost_ms: float = zone_outflow.DEFAULT_LEAVING_COST_MS


@dataclasses.dataclass(frozen=True, slots=True)
class Adapters:
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
