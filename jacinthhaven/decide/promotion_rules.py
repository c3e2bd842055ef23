"""Rules that decide when a promotion starts and which instance it chooses.

The rules are pure functions of the owner's views, so that they can be
tested independently of the order in which commands and replies arrive.
"""

import dataclasses
import enum
import typing

from jacinthhaven.decide import messages, views
from jacinthhaven.records import backend, peers, presets

# Silence reports are repeated while an instance is silent. An older report
# is ignored, because the instance may have answered since.
MAX_REPORT_AGE_MS = 1000
# Time for which replicas must have had no contact with a primary that still
# answers the owners, as a multiple of the suspicion time.
_CONTACT_LOSS_FACTOR = 2


class Phase(enum.Enum):
    """Step of a promotion or handover."""

    IDLE = 'idle'
    HOLDING = 'holding'
    FENCING = 'fencing'
    WAITING = 'waiting'
    PROMOTING = 'promoting'
    FOLLOWING = 'following'


@dataclasses.dataclass(slots=True)
class SilenceReport:
    """Newest silence report of another owner.

    Attributes:
      report: Silence of each instance, as measured by that owner.
      received_ms: When the report arrived on this owner's clock.
    """

    report: peers.InstanceSilence
    received_ms: int


@dataclasses.dataclass(slots=True)
class PromotionInputs:
    """Inputs of the promotion rules for one database at one owner.

    Attributes:
      instances: Views of all instances of the group.
      preset: Parameters of the preset in force.
      slot: Number of the owner's connection slot.
      reports: Newest silence report of every other owner, by member.
      live_owners: Number of live owners of the group, this one included.
      primary_leaving: Whether the primary must be handed over.
      writes_finished: Whether this owner's running statements at the
        primary are finished and confirmed.
    """

    instances: views.Instances
    preset: presets.Preset
    slot: int = 0
    reports: dict[str, SilenceReport] = dataclasses.field(default_factory=dict)
    live_owners: int = 1
    primary_leaving: bool = False
    writes_finished: bool = False

    def primary(self, database: str) -> views.InstanceView | None:
        """Return the primary of the highest term that any copy reports.

        A primary of a lower term does not count: a copy that has accepted
        a higher term accepts nothing from it.
        """
        found = views.primary_of(self.instances, database)
        if found is None:
            return None
        newest = views.newest_term(self.instances, database)
        return found if found.copies[database].term == newest else None


def decision_line(
    database: str,
    event: str,
    reason: str,
    **details: typing.Any,
) -> messages.DecisionLine:
    """Return the log line of one decision; omitted details are empty."""
    fields = {
        'database': database,
        'chosen': '',
        'alternatives': [],
        'reason': reason,
        'term': 0,
        'position': 0,
    }
    return messages.DecisionLine(event, fields | details)


def responding(
    instances: views.Instances,
    database: str,
) -> list[views.InstanceView]:
    """Return the instances that respond and have a copy of the database."""
    return [
        view
        for view in instances.values()
        if database in view.copies and not view.suspected
    ]


def is_leaving_or_excluded(inputs: PromotionInputs, name: str) -> bool:
    """Return whether an instance is leaving or excluded by the preset."""
    leaving = inputs.instances[name].leaving
    return leaving or name in inputs.preset.excluded_instances


def start_reason(
    inputs: PromotionInputs,
    database: str,
    since_ms: int,
    now_ms: int,
) -> str:
    """Return the reason to start a promotion.

    Args:
      inputs: What the owner knows.
      database: Name of the database.
      since_ms: Since when the database has had no responding primary of
        its highest term.
      now_ms: Current time.

    Returns:
      Reason for the log line; empty if a promotion may not start.
    """
    instances = inputs.instances
    if len(responding(instances, database)) < views.majority(instances):
        return ''
    primary = inputs.primary(database)
    if primary is None:
        if now_ms - since_ms < inputs.preset.suspect_ms:
            return ''
        # Any instance that this owner cannot reach may be the primary.
        silent = [
            view
            for view in instances.values()
            if view.suspected or view.heard_ms == views.NEVER_MS
        ]
    elif primary.suspected:
        silent = [primary]
    elif has_lost_majority(inputs, database, primary):
        return 'the primary has no contact with a majority'
    else:
        return ''
    return _evidence(inputs, database, silent, now_ms - since_ms, now_ms)


def has_lost_majority(
    inputs: PromotionInputs,
    database: str,
    primary: views.InstanceView,
) -> bool:
    """Return whether a responding primary has no contact with a majority.

    Such a primary cannot confirm any write. The limit is longer than that
    for a suspected primary, because a replica needs some time to connect,
    and short enough for a failover gap of 2 s.
    """
    limit_ms = _CONTACT_LOSS_FACTOR * inputs.preset.suspect_ms
    term = primary.copies[database].term
    silent = [
        view
        for view in responding(inputs.instances, database)
        if view is not primary
        and view.copies[database].term == term
        and view.copies[database].upstream_silent_ms >= limit_ms
    ]
    return len(silent) >= views.majority(inputs.instances)


def choose(
    inputs: PromotionInputs,
    fenced: dict[str, backend.FenceReply],
) -> str:
    """Return the fenced instance to promote.

    Args:
      inputs: What the owner knows.
      fenced: Log ends of a majority of the instances, by name.

    Returns:
      Name of the instance with the highest log term and position. Among
      equals, one that is neither leaving nor excluded is preferred, then
      the first by name.
    """
    return min(
        fenced,
        key=lambda name: (
            -fenced[name].log_term,
            -fenced[name].position,
            is_leaving_or_excluded(inputs, name),
            name,
        ),
    )


def caught_up_replicas(
    inputs: PromotionInputs,
    database: str,
    primary: views.InstanceView,
) -> list[str]:
    """Return the replicas that may take over from a leaving primary.

    Returns:
      Names of responding replicas that are neither leaving nor excluded
      and whose log ends exactly where the primary's log ends.
    """
    source = primary.copies[database]
    end = (source.term, source.log_term, source.position)
    names = []
    for view in responding(inputs.instances, database):
        copy = view.copies[database]
        same = (copy.term, copy.log_term, copy.position) == end
        if (
            same
            and not copy.primary
            and not is_leaving_or_excluded(inputs, view.name)
        ):
            names.append(view.name)
    return names


def _evidence(
    inputs: PromotionInputs,
    database: str,
    silent: list[views.InstanceView],
    outage_ms: int,
    now_ms: int,
) -> str:
    """Return why no silent instance can be an active primary.

    Returns:
      Reason for the log line; empty without sufficient evidence.
    """
    if not silent:
        return 'no instance is primary in the highest term'
    if _no_replica_has_contact(inputs, database):
        return 'replicas have no contact with the primary'
    silences = {
        view.name: outage_ms
        if view.heard_ms == views.NEVER_MS
        else view.silent_ms(now_ms)
        for view in silent
    }
    if all(
        _most_owners_report_silence(inputs, name, silent_ms, now_ms)
        for name, silent_ms in silences.items()
    ):
        return 'most owners have no contact with the primary'
    return ''


def _no_replica_has_contact(inputs: PromotionInputs, database: str) -> bool:
    """Return whether no responding replica has contact with the primary.

    Copies below the highest term do not follow its primary, so they give
    no evidence about whether it is alive.
    """
    term = views.newest_term(inputs.instances, database)
    silences = [
        view.copies[database].upstream_silent_ms
        for view in responding(inputs.instances, database)
        if view.copies[database].term == term
    ]
    return bool(silences) and min(silences) >= inputs.preset.suspect_ms


def _most_owners_report_silence(
    inputs: PromotionInputs,
    name: str,
    silent_ms: int,
    now_ms: int,
) -> bool:
    """Return whether a majority of live owners reports an instance silent.

    Args:
      inputs: What the owner knows.
      name: Name of the instance.
      silent_ms: Silence measured by this owner.
      now_ms: Current time.
    """
    limit_ms = inputs.preset.unreachable_ms
    reporting = int(silent_ms >= limit_ms)
    for entry in inputs.reports.values():
        recent = now_ms - entry.received_ms <= MAX_REPORT_AGE_MS
        reported_ms = entry.report.silent_ms.get(name, 0)
        reporting += int(recent and reported_ms >= limit_ms)
    return reporting > inputs.live_owners // 2
