"""Keys by which the callers of a customer are recognised.

A key is replaced by its digest where it is read. No log line, metric or
message between nodes can thus contain it.
"""

import hashlib

from jacinthhaven.sql import records

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
