"""Access of callers to routes, and how they are refused.

A refusal for good needs certainty: a route or a key that this node does not
know may have been added by a configuration that it has not received yet.
"""

import typing

from jacinthhaven.sql import customer_keys, records, statements


class Access:
    """Decides which callers may use which databases.

    Attributes:
      configuration: Active configuration.
      is_certain: Returns whether it contains all changes that must be in
        force.
    """

    def __init__(self) -> None:
        """Start without a configuration, which counts as certain."""
        self.configuration = records.EMPTY
        self.is_certain: typing.Callable[[], bool] = _always

    @property
    def needs_keys(self) -> bool:
        """Return whether callers are recognised by their keys."""
        return self.configuration.customers is not None

    def allows(self, database: str, key_digest: str) -> bool:
        """Return whether a caller may use a database.

        Args:
          database: Name that the caller connects to.
          key_digest: Digest of its key, or '' if it sent none.
        """
        route = self.configuration.routes.get(database)
        if route is None:
            return False
        found = customer_keys.find_customer(
            self.configuration, route, key_digest
        )
        return found is not None

    def customer_of(self, database: str, key_digest: str) -> str:
        """Return the name of the customer of an allowed caller, or ''."""
        route = self.configuration.routes.get(database)
        if route is None:
            return ''
        return (
            customer_keys.find_customer(self.configuration, route, key_digest)
            or ''
        )

    def is_in_doubt(self, database: str, key_digest: str) -> bool:
        """Return whether a caller that is not allowed may be so meanwhile."""
        return not self.allows(database, key_digest) and not self.is_certain()

    def refusal_code(
        self, database: str, key_digest: str
    ) -> statements.Code | None:
        """Return the error for a caller, or None if it may use its database."""
        if self.allows(database, key_digest):
            return None
        if not self.is_certain():
            return statements.Code.BUSY
        if database in self.configuration.routes:
            return statements.Code.UNKNOWN_KEY
        return statements.Code.UNKNOWN_DATABASE


def _always() -> bool:
    """Return true; default of an unset callback."""
    return True
