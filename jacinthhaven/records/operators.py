"""Records of the operator protocol for changes of the configuration."""

import msgspec

from jacinthhaven.records import presets


class PresetSwitch(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """Body of `POST /v1/preset`.

    Attributes:
      name: Preset to put in force.
      expected_revision: Policy revision that the operator saw.
      change_id: Unique id of the change; assigned if empty.
    """

    name: str
    expected_revision: int
    change_id: str = ''


class ConfigApply(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """Body of `POST /v1/config`.

    Attributes:
      presets: Complete set of presets.
      expected_revision: Policy revision that the operator saw.
      change_id: Unique id of the change; assigned if empty.
    """

    presets: dict[str, presets.Preset]
    expected_revision: int
    change_id: str = ''


class Problem(msgspec.Struct, frozen=True):
    """One reason why a document is not valid.

    Attributes:
      place: Path of the field in the document.
      reason: What is wrong with it.
    """

    place: str
    reason: str


class ChangeResult(msgspec.Struct, omit_defaults=True):
    """Answer to a change.

    Attributes:
      outcome: `done`, `not_run` or `unknown`.
      change_id: Id of the change.
      revision: Policy revision after the change, or the current one.
      in_force: Whether no node decides under an older revision any more.
      unconfirmed: Number of members that have not confirmed the change.
      error: Failure code, if the outcome is not `done`.
      detail: Explanation for people.
      problems: All reasons why the document is not valid.
    """

    outcome: str
    change_id: str = ''
    revision: int = 0
    in_force: bool = False
    unconfirmed: int = 0
    error: str = ''
    detail: str = ''
    problems: tuple[Problem, ...] = ()
