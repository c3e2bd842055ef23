"""Check of a whole configuration."""

import typing

from jacinthhaven.configcheck import changes, fields, findings, rules


def check(
    document: typing.Any,
    deployment: rules.Deployment,
    in_force: typing.Any = None,
) -> list[findings.Finding]:
    """Return all findings about a configuration.

    Rules and differences are left out if the fields have errors, since they need
    fields of the right types.

    Args:
      document: Decoded JSON of the configuration.
      deployment: Facts that it does not contain.
      in_force: Decoded JSON of the version in force, or None to compare with
        nothing.
    """
    found = list(fields.check(document))
    if has_errors(found):
        return found
    found.extend(rules.check(document, deployment))
    if in_force is not None:
        found.extend(changes.compare(document, in_force))
    return found


def has_errors(found: typing.Iterable[findings.Finding]) -> bool:
    """Return whether the nodes would not serve as the operator wants."""
    return any(finding.level is findings.Level.ERROR for finding in found)
