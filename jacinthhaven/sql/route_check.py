"""Refusals of databases that have no route."""

import typing

from jacinthhaven.sql import records, statements


class RouteCheck:
    """Decides whether the lack of a route may be told to a client.

    Attributes:
      configuration: Active configuration.
      is_certain: Returns whether it contains all changes that must be in
        force.
    """

    def __init__(self) -> None:
        """Start without a configuration, which counts as certain."""
        self.configuration = records.EMPTY
        self.is_certain: typing.Callable[[], bool] = _always

    def is_in_doubt(self, database: str) -> bool:
        """Return whether a missing route may have been added meanwhile."""
        known = database in self.configuration.routes
        return not known and not self.is_certain()

    def refusal_code(self, database: str) -> statements.Code:
        """Return the error for a database without a route."""
        if self.is_in_doubt(database):
            return statements.Code.BUSY
        return statements.Code.UNKNOWN_DATABASE


def _always() -> bool:
    """Return true; default of an unset callback."""
    return True
