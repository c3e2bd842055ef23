"""Choice of the instance and link that execute a statement.

Under high load the execution slots of all instances together are barely
enough. Reads therefore go to the instance that is expected to answer first.
The primary gets a penalty for reads, since statements that need the primary
can only use its slots.
"""

import msgspec

from jacinthhaven.balancing import zone_outflow
from jacinthhaven.sql import instances, links, proofs, records, sessions

# Penalty of the primary for reads, since writes need its slots.
_PRIMARY_MS = 8.0


class Choice(msgspec.Struct, frozen=True):
    """Link that executes a statement, and under which conditions.

    Attributes:
      link: Link that executes it.
      after: Log position that the instance must have applied first, if any.
      reason: Role of the chosen instance, for the log.
      age_ms: Age of the proof that `after` comes from.
      verifies_primary: Whether the statement runs inside a read-write
        transaction of its own, which succeeds only while the instance is the
        primary.
    """

    link: links.Link
    after: records.Position | None
    reason: str
    age_ms: int = 0
    verifies_primary: bool = False


class View(msgspec.Struct, frozen=True):
    """State of a service that the choice depends on.

    Attributes:
      states: States of the instances by name.
      leader: Name of the primary, if known.
      proofs: Proved log positions of the primary.
      zone: Availability zone of this node.
      now_ms: Current time.
      renew_proof: Whether a new proof is due.
      may_use_primary: Whether this node may send statements to the primary that
        only a primary may execute.
      leaving_cost_ms: Price of an instance in another availability zone.
    """

    states: dict[str, instances.InstanceState]
    leader: str | None
    proofs: proofs.ProofHistory
    zone: str
    now_ms: int
    renew_proof: bool = False
    may_use_primary: bool = True
    leaving_cost_ms: float = zone_outflow.DEFAULT_LEAVING_COST_MS


def choose(work: sessions.Work, view: View) -> Choice | None:
    """Return the link for a statement that is sent without a permit.

    Returns:
      The choice, or None if the statement has to wait.
    """
    names = [
        name for name in candidates(work, view) if view.states[name].has_room()
    ]
    if not names:
        return None
    name = names[0]
    if view.renew_proof and view.leader in names:
        name = view.leader
    return choose_at(work, view, name)


def candidates(work: sessions.Work, view: View) -> list[str]:
    """Return the instances that can execute a statement now, the best first.

    Each of them has a free link. Limits of the statements in flight are not
    considered.
    """
    linked = {
        name: state
        for name, state in view.states.items()
        if state.free_for(work.customer)
    }
    return _suitable(work, view, linked)


def suitable(work: sessions.Work, view: View) -> list[str]:
    """Return the instances that could execute a statement with a free link."""
    return _suitable(work, view, view.states)


def choose_at(work: sessions.Work, view: View, name: str) -> Choice:
    """Return the link for a statement at one of its candidates."""
    state = view.states[name]
    link = _best_link(state, work)
    proof = _required_proof(work, view)
    if proof is None:
        # A read that verifies the primary also proves the position it saw.
        verifies = work.strict_read or not work.needs_primary
        return Choice(link, None, 'primary', verifies_primary=verifies)
    if name == view.leader and view.renew_proof and view.may_use_primary:
        return Choice(link, None, 'primary', verifies_primary=True)
    reason = 'primary' if name == view.leader else 'replica'
    return Choice(link, proof.position, reason, view.now_ms - proof.at_ms)


def wanted_instance(work: sessions.Work, view: View) -> str | None:
    """Return the instance to which a waiting statement needs a link."""
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


def _suitable(
    work: sessions.Work, view: View, among: instances.States
) -> list[str]:
    """Return those of some instances that could execute a statement."""
    proof = _required_proof(work, view)
    if proof is None:
        return _primary_candidate(view, among)
    states = [
        state for state in among.values() if _can_read(work, view, state, proof)
    ]
    # Instances that have failed this statement are the last resort.
    states = [
        state for state in states if state.entry.name not in work.tried
    ] or states
    if any(state.health.left for state in states):
        states = _without_failing(work, view, proof, states)
    states.sort(key=lambda state: _cost_ms(state, view))
    return [state.entry.name for state in states]


def _required_proof(
    work: sessions.Work,
    view: View,
) -> proofs.Proof | None:
    """Return the position that a read needs; None requires the primary."""
    if work.needs_primary:
        return None
    return view.proofs.required(
        work.route.max_age_ms,
        view.now_ms,
        work.session.position,
    )


def _primary_candidate(view: View, among: instances.States) -> list[str]:
    state = among.get(view.leader or '')
    if state is None or not view.may_use_primary:
        return []
    if not state.reachable_at(view.now_ms):
        return []
    return [state.entry.name]


def _without_failing(
    work: sessions.Work,
    view: View,
    proof: proofs.Proof,
    states: list[instances.InstanceState],
) -> list[instances.InstanceState]:
    """Leave out instances at which reads fail, but for one probe at a time.

    A read waits while the links of the others are busy. If no other instance can
    read at all, it is sent to one at which reads fail.
    """
    allowed = [state for state in states if state.health.allows(view.now_ms)]
    others = any(
        not state.health.left and _can_read(work, view, state, proof)
        for state in view.states.values()
    )
    return allowed if allowed or others else states


def _can_read(
    work: sessions.Work,
    view: View,
    state: instances.InstanceState,
    proof: proofs.Proof,
) -> bool:
    """Return whether an instance can take a read of bounded age now."""
    if not state.usable_at(view.now_ms):
        return False
    if state.entry.name in work.tried and state.window.shrunk_at(view.now_ms):
        return False
    if state.entry.name == view.leader:
        return True
    age_ms = view.now_ms - proof.at_ms
    return state.has_applied(proof.position, age_ms, view.now_ms)


def _cost_ms(state: instances.InstanceState, view: View) -> float:
    """Return the expected time of a read with the prices of its instance."""
    cost_ms = zone_outflow.cost_ms(
        state.expected_ms(view.now_ms),
        view.leaving_cost_ms,
        is_own_zone=state.entry.zone == view.zone,
    )
    if state.entry.name == view.leader:
        cost_ms += _PRIMARY_MS
    return cost_ms


def _best_link(
    state: instances.InstanceState,
    work: sessions.Work,
) -> links.Link:
    """Return the free link of the customer that needs the fewest commands."""
    return min(
        state.free_for(work.customer),
        key=lambda link: len(
            links.setup_steps(link, work.session, work.statement),
        ),
    )
