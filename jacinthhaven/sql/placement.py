"""Choice of the instance and link that execute a statement.

The load that this answers: the slots of all instances together are barely
enough, so reads go to whichever instance is expected to answer first, the
primary included at a disadvantage, since its slots are the only ones for
statements that need it.
"""

import dataclasses

from jacinthhaven.sql import instances, links, proofs, records, sessions

# Difference in expected time that does not matter; the own zone wins.
_NEAR_MS = 2.0
# Disadvantage of the primary for reads, whose slots writes need.
_PRIMARY_MS = 8.0


@dataclasses.dataclass(frozen=True, slots=True)
class Choice:
    """Where a statement goes.

    Attributes:
      link: Link that executes it.
      after: Position that the instance must have applied, if any.
      reason: Why this instance was chosen, for the log.
      age_ms: Age of the proof behind `after`.
      guarded: Whether the statement runs inside a transaction of its own,
        which only succeeds while the instance leads.
    """

    link: links.Link
    after: records.Position | None
    reason: str
    age_ms: int = 0
    guarded: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class View:
    """What the choice depends on.

    Attributes:
      states: Instances of the service by name.
      leader: Name of the leading instance, if known.
      proofs: Proved positions of the primary.
      zone: Availability zone of this node.
      now_ms: Current time.
      renew: Whether a further proof is due.
      may_lead: Whether this node may use the leading instance as such.
    """

    states: dict[str, instances.InstanceState]
    leader: str | None
    proofs: proofs.ProofHistory
    zone: str
    now_ms: int
    renew: bool = False
    may_lead: bool = True


def choose(work: sessions.Work, view: View) -> Choice | None:
    """Return where a statement goes now, or None if it has to wait."""
    if work.needs_primary:
        return _primary(work, view, guarded=work.strict_read)
    proof = view.proofs.required(
        work.route.max_age_ms,
        view.now_ms,
        work.session.position,
    )
    if proof is None or view.renew:
        # A guarded read proves the position that it has seen.
        choice = _primary(work, view, guarded=True)
        if proof is None or choice is not None:
            return choice
    age_ms = view.now_ms - proof.at_ms
    able = [
        state
        for state in view.states.values()
        if may_read(work, view, state, proof)
    ]
    if not able:
        return None
    # Those that have failed this statement come last.
    able = [state for state in able if not _has_failed(work, state)] or able
    best = min(able, key=lambda state: _cost_ms(state, view))
    reason = 'primary' if best.entry.name == view.leader else 'replica'
    return Choice(_pick(best, work), proof.position, reason, age_ms)


def may_read(
    work: sessions.Work,
    view: View,
    state: instances.InstanceState,
    proof: proofs.Proof,
) -> bool:
    """Return whether an instance can take a read with an age now."""
    name = state.entry.name
    if not state.open_links(view.now_ms) or not state.usable_at(view.now_ms):
        return False
    if _has_failed(work, state) and state.window.shrunk_at(view.now_ms):
        return False
    if name == view.leader:
        return True
    age_ms = view.now_ms - proof.at_ms
    return state.has_applied(proof.position, age_ms, view.now_ms)


def _has_failed(work: sessions.Work, state: instances.InstanceState) -> bool:
    return state.entry.name in work.tried


def _cost_ms(state: instances.InstanceState, view: View) -> float:
    """Return the expected time of a read, with preferences in milliseconds."""
    cost_ms = state.expected_ms(view.now_ms)
    if state.entry.zone == view.zone:
        cost_ms -= _NEAR_MS
    if state.entry.name == view.leader:
        cost_ms += _PRIMARY_MS
    return cost_ms


def nearest(work: sessions.Work, view: View) -> str | None:
    """Return the instance whose further link would help a statement."""
    if work.needs_primary:
        return view.leader
    usable = [
        state
        for name, state in view.states.items()
        if state.usable_at(view.now_ms) and name not in work.tried
    ]
    if not usable:
        return None
    best = min(usable, key=lambda state: state.expected_ms(view.now_ms))
    return best.entry.name


def _primary(
    work: sessions.Work,
    view: View,
    *,
    guarded: bool,
) -> Choice | None:
    state = view.states.get(view.leader or '')
    if state is None or not view.may_lead or not state.open_links(view.now_ms):
        return None
    if not state.reachable_at(view.now_ms):
        return None
    return Choice(_pick(state, work), None, 'primary', guarded=guarded)


def _pick(
    state: instances.InstanceState,
    work: sessions.Work,
) -> links.Link:
    """Return the free link that needs the fewest setup commands."""
    return min(
        state.free_links,
        key=lambda link: len(
            links.setup_steps(link, work.session, work.statement),
        ),
    )
