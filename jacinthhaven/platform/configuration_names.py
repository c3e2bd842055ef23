"""Names of fields in the operator's configuration.

A check names them as the operator has written them.
"""

ROUTE_TYPE = 'routeType'
TIMEOUT_MS = 'timeoutMs'
TARGET_MS = 'targetLatencyMs'
MAX_AGE_MS = 'maxStalenessMs'
MAX_CONNECTIONS = 'maxConnections'
ACKNOWLEDGING = 'syncReplicas'
KEYS = 'apiKeys'
RATE_PER_S = 'ratePerS'
TRANSACTION_IDLE_MS = 'txIdleMs'
# Values of the type of a route.
ROUTE_TYPES = ('primary', 'bounded_staleness', 'read_your_writes')
BOUNDED = ROUTE_TYPES[1]
