"""Shapes of the two deployments that the bench starts on loopback."""

import dataclasses


@dataclasses.dataclass(slots=True)
class Deployment:
    """Shape of a deployment.

    Attributes:
      cluster: Name of the cluster.
      region: Name of the region.
      zones: Availability zones.
      group: Name of the database group.
      databases: Names of the databases.
      connection_limit: Connections per instance.
      open_ms: Time to open a connection.
    """

    cluster: str
    region: str
    zones: tuple[str, ...]
    group: str
    databases: tuple[str, ...]
    connection_limit: int
    open_ms: int


EXCHANGE = Deployment(
    'exchange',
    'ga-middle',
    ('macon', 'milledgeville', 'dublin'),
    'exchange-db',
    ('lots', 'bids', 'certificates'),
    20,
    10,
)
BRIGHTLINE = Deployment(
    'brightline',
    'southeast',
    ('atl-a', 'atl-b', 'atl-c'),
    'draftbooks',
    ('flushes', 'lines', 'contracts'),
    40,
    30,
)
