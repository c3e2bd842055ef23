"""Tests of the entry: owners, lost answers and proved outcomes."""

from jacinthhaven.decide import builders, work
from jacinthhaven.kernel import failures
from jacinthhaven.records import peers


def test_commit_without_owner_is_looked_up():
    """Guards against "not run" for the repeat of a commit that has run."""
    desk = builders.EntryDesk()
    number = desk.request(
        work.COMMIT,
        transaction='gone~1',
        request_id='w1',
    )
    sent = desk.forwards[-1]
    assert isinstance(sent.payload, peers.OutcomeForward)
    desk.reply(failures.DEADLINE.because('test'))
    assert desk.outcomes(number) == ['unknown']


def test_unconfirmed_commit_is_looked_up():
    """Guards against an unknown outcome that another owner can find out."""
    desk = builders.EntryDesk()
    number = desk.request(work.COMMIT, transaction='m1~1')
    desk.reply(failures.UNCONFIRMED.because('slot lost'))
    sent = desk.forwards[-1]
    assert sent.member == 'm2'
    assert isinstance(sent.payload, peers.OutcomeForward)
    desk.reply()
    assert desk.outcomes(number) == ['done']
