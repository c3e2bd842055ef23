"""Tests of calls to a store that is restored while they are under way."""

import pytest

from jacinthhaven.kernel import failures
from jacinthhaven.records import history, store
from jacinthhaven.sql import (
    builders,
    peer_messages,
    platform_builders,
    promotion_lock,
    scripts,
    store_calls,
    store_records,
)
from jacinthhaven.standins import store_model

_READ = store.ReadRequest('k')
_LOST = failures.STORE_UNAVAILABLE.because('no answer in time')


class _Held(platform_builders.FakePlatform):
    """Store whose answers are given by the test."""

    def __init__(self) -> None:
        """Start without calls."""
        super().__init__(store_model.StoreModel(), None)
        self.waiting = []

    def call(self, request, on_reply) -> int:
        """Keep a call."""
        self.calls.append(request)
        self.waiting.append(on_reply)
        return len(self.waiting)


class _Harness:
    """Calls of a node, whose answers are given by the test."""

    def __init__(self) -> None:
        """Start without calls."""
        self.platform = _Held()
        self.calls = store_calls.StoreCalls(
            self.platform, builders.FakeJournal()
        )
        self.calls.on_restored = self.count_restore
        self.replies = []
        self.restores = 0

    def count_restore(self) -> None:
        """Count the restores that the calls report."""
        self.restores += 1

    def send(self, request: store.Request = _READ) -> int:
        """Send a call and return its index."""
        self.calls.call(request, self.replies.append)
        return len(self.platform.waiting) - 1

    def answer(self, index: int, era: int, reply=None) -> None:
        """Answer a call in an era."""
        revision = history.EraNumber.at(era, 9)
        reply = reply or store.ReadReply(revision, ())
        self.platform.waiting[index](era, reply)


def test_answer_from_before_the_restore_does_not_count():
    """Guards against old knowledge that arrives after newer one."""
    harness = _Harness()
    harness.answer(harness.send(), 1)
    late = harness.send()
    harness.answer(harness.send(), 2)
    harness.answer(harness.send(), 2)
    harness.answer(late, 1)
    read, restored, again, late_reply = harness.replies
    assert read.revision.era == 1
    assert again.revision.era == 2
    assert restored == late_reply == store.Restored()
    assert harness.restores == 1


def test_answer_to_a_question_of_the_earlier_era_does_not_count():
    """Guards against a change that is read or written by a reused number."""
    harness = _Harness()
    harness.answer(harness.send(), 1)
    asked = harness.send()
    other = harness.send()
    harness.answer(asked, 2)
    harness.answer(other, 2)
    assert harness.replies[1:] == [store.Restored(), store.Restored()]


def test_first_answers_of_a_starting_node_count():
    """Guards against a start that is delayed by reads that are repeated."""
    harness = _Harness()
    sent = [harness.send(), harness.send()]
    for index in sent:
        harness.answer(index, 3)
    assert [reply.revision.era for reply in harness.replies] == [3, 3]
    assert not harness.restores


def test_answer_without_an_era_does_not_count_once_there_are_eras():
    """Guards against numbers whose era is not known."""
    harness = _Harness()
    harness.answer(harness.send(), 2)
    harness.answer(harness.send(), 0, store.ReadReply(history.EraNumber(9), ()))
    assert harness.replies[-1] == store.Restored()


def test_numbers_of_the_earlier_era_are_not_sent():
    """Guards against a condition that holds by a reused number."""
    harness = _Harness()
    harness.answer(harness.send(), 2)
    old = history.EraNumber.at(1, 7)
    requests = (
        store.SwapRequest((store.Compare('k', old),), ()),
        store.SwapRequest((), (store.Put('k', '', old),)),
        store.KeepAliveRequest(old),
        store.RevokeRequest(old),
    )
    for request in requests:
        harness.send(request)
    assert harness.replies[1:] == [store.Restored() for _sent in requests]
    assert len(harness.platform.calls) == 1


def test_missing_answer_is_a_failure_of_the_way():
    """Guards against a dead way that is taken for a restore."""
    harness = _Harness()
    harness.answer(harness.send(), 1)
    lost = harness.send()
    harness.answer(harness.send(), 2)
    harness.answer(lost, 0, _LOST)
    assert harness.replies[-1] is _LOST


def test_report_of_another_node_ends_the_earlier_era():
    """Guards against a node that cannot reach the store and keeps a lock."""
    harness = _Harness()
    harness.answer(harness.send(), 1)
    asked = harness.send()
    harness.calls.on_report(2)
    harness.answer(asked, 1)
    assert harness.restores == 1
    assert harness.replies[-1] == store.Restored()


def test_report_that_the_store_confirms_is_handled_once():
    """Guards against reads that are repeated without need."""
    harness = _Harness()
    harness.answer(harness.send(), 1)
    harness.calls.on_report(2)
    harness.answer(harness.send(), 2)
    assert harness.replies[-1].revision.era == 2
    assert harness.restores == 1


def test_answer_after_a_report_does_not_outlive_the_restore():
    """Guards against an answer that was late, and that a report preceded."""
    harness = _Harness()
    harness.answer(harness.send(), 1)
    harness.calls.on_report(2)
    harness.answer(harness.send(), 1)
    harness.answer(harness.send(), 2)
    assert harness.restores == 2


def test_wrong_report_has_no_lasting_effect():
    """Guards against a node that believes no answer of the store any more."""
    harness = _Harness()
    harness.answer(harness.send(), 1)
    harness.calls.on_report(9)
    harness.calls.on_report(9)
    harness.answer(harness.send(), 1)
    assert harness.replies[-1].revision.era == 1
    assert harness.restores == 1
    harness.answer(harness.send(), 2)
    assert harness.restores == 2


def _now() -> int:
    return 0


def _run(script: scripts.Script, calls: store_calls.StoreCalls) -> list:
    """Run a script and return its result, in a list once it has one."""
    returned = []

    def record() -> scripts.Script:
        returned.append((yield from script))

    scripts.Runner(record(), calls.call)
    return returned


@pytest.mark.parametrize('answered', [1, 2])
def test_lock_whose_lease_is_lost_is_not_held(answered):
    """Guards against a lock that is acquired by a reused number."""
    harness = _Harness()
    harness.answer(harness.send(), 1)
    lock = promotion_lock.PromotionLock('lock', 'n0')
    harness.calls.on_restored = lock.on_restored
    returned = _run(lock.acquire(_now), harness.calls)
    lease = store.LeaseReply(history.EraNumber.at(1, 4), 3000)
    harness.answer(1, 1, lease)
    harness.answer(harness.send(), 2)
    written = history.EraNumber.at(answered, 9)
    harness.answer(2, answered, store.SwapReply(True, written))
    assert returned == [0]
    assert not lock.until_ms
    assert _run(lock.extend(_now), harness.calls) == [False]


def test_lock_is_not_taken_from_a_node_that_was_faster():
    """Guards against two holders that began at the same moment."""
    harness = _Harness()
    lock = promotion_lock.PromotionLock('lock', 'n0')
    returned = _run(lock.acquire(_now), harness.calls)
    lock.on_holder('n1', history.EraNumber(8))
    harness.answer(0, 1, store.LeaseReply(history.EraNumber(4), 3000))
    assert harness.platform.calls[-1].compares == (
        store.Compare('lock', history.NONE),
    )
    harness.answer(1, 1, store.SwapReply(False, history.NONE))
    assert returned == [0]


def test_fence_rises_with_the_era():
    """Guards against fencing tokens that are lower than earlier ones."""
    earlier = history.EraNumber.at(1, 10**9)
    assert history.EraNumber.at(2, 1) > earlier
    assert earlier == 10**9
    later = history.EraNumber.at(3, 5)
    assert (later.era, later.number, later.text) == (3, 5, '3:5')
    assert history.decode(later.encoded) == later
    assert later.encoded > history.EraNumber(2**44 - 1).encoded


def test_large_lease_numbers_keep_their_value():
    """Guards against leases that the store does not know."""
    lease = history.EraNumber.at(2, 2**63 + 1)
    assert (lease.era, lease.number) == (2, 2**63 + 1)


def test_leader_record_keeps_its_format():
    """Guards against records that builds without eras cannot read."""
    text = '{"instance":"a","term":3,"moving":true,"fence":7,"accepted":false}'
    record = store_records.decode(text)
    assert store_records.encode(record) == text


def test_messages_of_builds_without_eras_are_understood():
    """Guards against a fleet that falls apart while a build is replaced."""
    old = (['r', 'n1', ['127.0.0.1', 1], 5, 20], ['n', 'n1', 5, 20, 10, 3])
    for fields in old:
        message = peer_messages.decode(builders.pack(fields))
        assert message.version == -1
        assert message.revision.era == 1
        sent = builders.unpack(peer_messages.encode(message))
        assert sent[: len(fields)] == fields


def test_message_with_an_impossible_number_is_malformed():
    """Guards against a number of another type or size in the decisions."""
    for number in (-1, 2**60, True, 'x', None):
        chunk = builders.pack(['n', 'n1', 5, number, 10, 3])
        with pytest.raises(peer_messages.MALFORMED):
            peer_messages.decode(chunk)
