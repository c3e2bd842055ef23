"""Keys by which the callers of a customer are recognised.

A key is replaced by its digest where it is read. No log line, metric or
message between nodes can thus contain it.
"""

import hashlib
import typing

from jacinthhaven.sql import records, statements

_DIGEST_BYTES = 16


def digest(key: str) -> str:
    """Return the digest of a key, or '' for no key."""
    if not key:
        return ''
    return hashlib.blake2b(key.encode(), digest_size=_DIGEST_BYTES).hexdigest()


def find_customer(
    configuration: records.Configuration,
    route: records.Route,
    key_digest: str,
) -> str | None:
    """Return the name of the customer that a caller belongs to.

    Args:
      configuration: Configuration that holds the keys.
      route: Route of the caller's database.
      key_digest: Digest of its key, or '' if it sent none.

    Returns:
      The name, '' if the caller needs no key and none of its customer is
      known, or None if it may not use the route.
    """
    if configuration.customers is None:
        return ''
    customer = configuration.customers.get(key_digest)
    if customer is not None:
        return customer.name
    return '' if route.is_public else None


class KeyCheck:
    """Decides whether a caller may use a route, and how it is refused.

    Attributes:
      configuration: Active configuration.
      is_certain: Returns whether it contains all changes that must be in
        force.
    """

    def __init__(self) -> None:
        """Start without a configuration, which counts as certain."""
        self.configuration = records.EMPTY
        self.is_certain: typing.Callable[[], bool] = _always

    def allows(self, database: str, key_digest: str) -> bool:
        """Return whether a caller may use the route of a database, if any."""
        route = self.configuration.routes.get(database)
        if route is None:
            return True
        found = find_customer(self.configuration, route, key_digest)
        return found is not None

    def is_in_doubt(self, database: str, key_digest: str) -> bool:
        """Return whether an unknown key may have been added meanwhile."""
        if self.allows(database, key_digest):
            return False
        return not self.is_certain()

    def refusal_code(self, database: str, key_digest: str) -> statements.Code:
        """Return the error for a caller that may not use a route."""
        if self.is_in_doubt(database, key_digest):
            return statements.Code.BUSY
        return statements.Code.UNKNOWN_KEY


def _always() -> bool:
    """Return true; default of an unset callback."""
    return True
