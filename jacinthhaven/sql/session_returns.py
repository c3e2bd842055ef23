"""Return of sessions that a node executes itself, although it is no owner."""

from jacinthhaven.sql import expiry, gateway, owner_choice

# Shortest interval between two sessions that are returned to the owners.
_RETURN_INTERVAL_MS = 20


class SessionReturns:
    """Closes inactive local sessions that an owner can execute.

    The client reconnects and is relayed. Sessions executed on this node occupy
    instance connections that the owners have to give up.

    Attributes:
      next_ms: When the next session may be returned to the owners.
    """

    def __init__(
        self,
        node: str,
        local: gateway.Gateway,
        choice: owner_choice.OwnerChoice,
    ) -> None:
        """Create it for the sessions of one node."""
        self.node = node
        self.local = local
        self.choice = choice
        self.next_ms = 0

    def tick(self, now_ms: int) -> None:
        """Close one inactive local session that an owner can execute."""
        if now_ms < self.next_ms or not self.local.sessions:
            return
        for session in self.local.sessions.values():
            if self._is_owned_elsewhere(session.database, now_ms):
                if expiry.close_if_inactive(self.local, session, now_ms):
                    self.local.journal.count('relays', 'returned')
                    self.next_ms = now_ms + _RETURN_INTERVAL_MS
                    return

    def _is_owned_elsewhere(self, database: str, now_ms: int) -> bool:
        route = self.local.configuration.routes.get(database)
        if route is None:
            return False
        owners = self.choice.owners(route.service)
        if self.node in owners.near or self.node in owners.far:
            return False
        return bool(self.choice.reachable(route.service, now_ms))
