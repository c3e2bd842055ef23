"""Exhaustive search for event orders in which a replaced primary is used.

Three owners run the production rules without sockets. The first one replaces
the primary, the second one confirms terms and may be killed and restarted,
and the third one writes. Questions, answers and stop requests arrive in any
order or never, and any node may pause for any time. The search visits every
state that can be reached within a number of steps.
"""

import collections
import typing

import pytest

from jacinthhaven.sql import leadership, rights

_NODES = ('n0', 'n1', 'n2')
_PROMOTER = 0
_OWNER = 1
_USER = 2
_FENCE = 7
_WAIT_STEP_MS = 700
# The search visits all states up to this depth; most broken variants fail in
# fewer steps.
_DEPTH = 8


class MajorityOnlyWithdrawal(rights.Withdrawal):
    """Broken variant: completes as soon as a majority has stopped.

    It does not wait until the confirmations of the other nodes expire.
    """

    def is_complete(self, now_ms: int) -> bool:
        """Return whether a majority has stopped."""
        return self.right.is_majority(self.stopped_nodes)


class StopIgnoringRight(rights.Right):
    """Broken variant: results are returned after the node has stopped."""

    def held(self, now_ms: int) -> bool:
        """Return whether a majority confirms, ignoring promises to stop."""
        names = [
            name
            for name, answer in self.confirmations.items()
            if answer.asked_ms > now_ms - rights.CONFIRMATION_VALID_MS
        ]
        return self.is_majority([*names, self.node])


class NeverExpiringRight(rights.Right):
    """Broken variant: confirmations do not expire."""

    def held(self, now_ms: int) -> bool:
        """Return whether a majority has ever confirmed."""
        return self.stopped_term < 1 and self.is_majority(
            [*self.confirmations, self.node],
        )


class ConfirmAfterRestartRight(rights.Right):
    """Broken variant: a restarted node confirms terms at once."""

    def require(self, node: str, now_ms: int) -> None:
        """Require the right, and confirm terms to other nodes."""
        super().require(node, now_ms)
        self.knows_promotions = True


class Model:
    """Three owners, an old primary and undelivered messages.

    Attributes:
      messages: Last undelivered message by kind and number of the owner.
      write_running: Whether a write of the third node runs at the old
        primary.
      request: Request to stop using the old primary, or None.
      replaced: Whether the successor leads.
      violated: Whether a result of the old primary was returned after the
        successor led.
    """

    def __init__(
        self,
        right: type[rights.Right] = rights.Right,
        withdrawal: type[rights.Withdrawal] = rights.Withdrawal,
    ) -> None:
        """Start with confirmations of all owners for the third node."""
        self.right = right
        self.withdrawal = withdrawal
        self.now_ms = 10_000
        self.nodes = [self._start(name) for name in _NODES]
        for node in self.nodes:
            node.knows_promotions = True
        self.messages: dict[tuple[str, int], typing.Any] = {}
        self.write_running = False
        self.request: rights.Withdrawal | None = None
        self.replaced = False
        self.violated = False
        for owner in (_PROMOTER, _OWNER):
            self.answer_question(owner)
            self.receive_answer(owner)

    def answer_question(self, owner: int) -> None:
        """Let an owner receive and answer a question of the third node."""
        node = self.nodes[owner]
        if node.knows_promotions:
            node.on_question(_NODES[_USER], self.now_ms)
            self.messages['answer', owner] = rights.Confirmation(
                self.now_ms,
                1,
                node.draining_term,
            )

    def receive_answer(self, owner: int) -> None:
        """Let the third node receive the answer of an owner."""
        answer = self.messages.pop(('answer', owner), None)
        if answer is not None:
            self.nodes[_USER].on_confirmation(_NODES[owner], answer)

    def send_write(self, _number: int) -> None:
        """Send a write to the old primary if the right allows it."""
        self.write_running |= self.nodes[_USER].may_send(self.now_ms)

    def receive_reply(self, _number: int) -> None:
        """Commit at the old primary; return the result if allowed."""
        if self.write_running and self.nodes[_USER].held(self.now_ms):
            self.violated |= self.replaced
        self.write_running = False

    def restart(self, number: int) -> None:
        """Restart a node.

        It confirms terms at once only if no promotion is under way.
        """
        self.nodes[number] = self._start(_NODES[number])
        self.nodes[number].knows_promotions |= self.request is None

    def wait(self, _number: int) -> None:
        """Advance the clock."""
        self.now_ms += _WAIT_STEP_MS

    def promote(self, _number: int) -> None:
        """Start to replace the primary, or finish when no node uses it."""
        promoter = self.nodes[_PROMOTER]
        if self.request is None:
            self.request = self.withdrawal(promoter, 1, _FENCE)
            promoter.on_stop(_NODES[_PROMOTER], 1, _FENCE, self.now_ms)
            promoter.stop_when_drained(False, self.now_ms)
            self.request.on_stopped(
                _NODES[_PROMOTER],
                1,
                promoter.confirmation_ages(self.now_ms),
                self.now_ms,
            )
        self.replaced |= self.request.is_complete(self.now_ms)

    def stop(self, number: int) -> None:
        """Let a node receive the stop request, and stop once drained."""
        if self.request is None:
            return
        node = self.nodes[number]
        node.on_stop(_NODES[_PROMOTER], 1, _FENCE, self.now_ms)
        busy = number == _USER and self.write_running
        if node.stop_when_drained(busy, self.now_ms):
            self.messages['stopped', number] = node.confirmation_ages(
                self.now_ms
            )

    def confirm_stop(self, number: int) -> None:
        """Let the promoter learn that a node has stopped."""
        users = self.messages.pop(('stopped', number), None)
        if users is not None:
            self.request.on_stopped(_NODES[number], 1, users, self.now_ms)

    def signature(self) -> typing.Hashable:
        """Return all of the state on which later steps depend."""
        request = self.request
        return (
            tuple(self._node_signature(node) for node in self.nodes),
            tuple(sorted(map(repr, self._message_signatures()))),
            self.write_running,
            self.replaced,
            request
            and (
                tuple(sorted(request.stopped_nodes)),
                tuple(
                    (name, max(until_ms - self.now_ms, 0))
                    for name, until_ms in sorted(request.expiry_ms.items())
                ),
            ),
        )

    def _message_signatures(self) -> typing.Iterator[typing.Any]:
        for key, sent in self.messages.items():
            if key[0] == 'answer':
                age_ms = min(
                    self.now_ms - sent.asked_ms, rights.CONFIRMATION_VALID_MS
                )
                yield (key, age_ms, sent.stopped)
            else:
                yield (key, sorted(sent.items()))

    def _node_signature(self, node: rights.Right) -> typing.Hashable:
        ages = (
            (
                name,
                min(
                    self.now_ms - answer.asked_ms, rights.CONFIRMATION_VALID_MS
                ),
                answer.stopped,
            )
            for name, answer in sorted(node.confirmations.items())
        )
        users = sorted(node.confirmation_ages(self.now_ms).items())
        draining_ms = min(self.now_ms - node.draining_since_ms, rights.DRAIN_MS)
        return (
            tuple(ages),
            tuple(users),
            (
                node.draining_term,
                node.stopped_term,
                node.stop_requester,
                node.knows_promotions,
            ),
            draining_ms if node.draining_term else 0,
        )

    def _start(self, name: str) -> rights.Right:
        leads = leadership.Leadership(self.now_ms)
        leads.observe('db-a', 1, leadership.Source.STATUS)
        node = self.right(leads)
        node.require(name, self.now_ms)
        node.voters = _NODES
        return node


Step = tuple[str, int]
_STEPS: tuple[Step, ...] = (
    ('send_write', 0),
    ('receive_reply', 0),
    ('promote', 0),
    ('stop', _OWNER),
    ('stop', _USER),
    ('confirm_stop', _OWNER),
    ('confirm_stop', _USER),
    ('wait', 0),
    ('answer_question', _PROMOTER),
    ('receive_answer', _PROMOTER),
    ('answer_question', _OWNER),
    ('receive_answer', _OWNER),
    ('restart', _OWNER),
)


def _run_steps(steps: tuple[Step, ...], **variant: type) -> Model:
    model = Model(**variant)
    for name, number in steps:
        getattr(model, name)(number)
    return model


# A promotion during which the second node stops, and then restarts.
_STEPS_UP_TO_RESTART: tuple[Step, ...] = (
    ('promote', 0),
    ('stop', _OWNER),
    ('confirm_stop', _OWNER),
    ('wait', 0),
    ('wait', 0),
    ('promote', 0),
    ('restart', _OWNER),
)
# Enough steps for a question, its answer and a write.
_DEPTH_AFTER_RESTART = 6


def _search(
    first: tuple[Step, ...],
    depth: int,
    **variant: type,
) -> tuple[Step, ...] | None:
    """Visit all states within a number of steps after the first ones.

    Returns:
      The first sequence of steps that violates the rule, or None.
    """
    seen = {_run_steps(first, **variant).signature()}
    waiting = collections.deque([first])
    while waiting:
        known = waiting.popleft()
        for step in _STEPS:
            steps = (*known, step)
            model = _run_steps(steps, **variant)
            if model.violated:
                return steps
            signature = model.signature()
            if signature not in seen and len(steps) < len(first) + depth:
                seen.add(signature)
                waiting.append(steps)
    return None


def test_replaced_primary_is_not_used():
    """Guards against acknowledgements of a primary after its successor led."""
    assert _search((), _DEPTH) is None


def test_restarted_owner_confirms_nothing():
    """Guards against a restart that loses an owner's promise to stop."""
    assert _run_steps(_STEPS_UP_TO_RESTART).replaced
    assert _search(_STEPS_UP_TO_RESTART, _DEPTH_AFTER_RESTART) is None


@pytest.mark.parametrize(
    'variant',
    [
        {'withdrawal': MajorityOnlyWithdrawal},
        {'right': StopIgnoringRight},
        {'right': NeverExpiringRight},
    ],
)
def test_search_finds_each_broken_variant(variant: dict[str, type]):
    """Guards against a search that misses violations."""
    assert _search((), _DEPTH, **variant) is not None


def test_search_finds_confirmation_after_a_restart():
    """Guards against a search that misses violations after restarts."""
    found = _search(
        _STEPS_UP_TO_RESTART,
        _DEPTH_AFTER_RESTART,
        right=ConfirmAfterRestartRight,
    )
    assert found is not None
