"""Payloads that answer forwards and probes of other members."""

import msgspec

from jacinthhaven.decide import messages, work
from jacinthhaven.kernel import failures
from jacinthhaven.records import peers


def probe_reply(
    member: str,
    probe: peers.Probe,
    _now_ms: int,
) -> list[messages.PeerSend]:
    """Return the answer to a probe."""
    return [messages.PeerSend(member, peers.ProbeReply(probe.number))]


def owner_answer(message: work.OwnerAnswer) -> messages.PeerSend:
    """Return an owner's answer as a payload for the entry that asked."""
    origin = message.origin
    payload = peers.ForwardAnswer(
        origin.number,
        origin.attempt,
        msgspec.json.encode(message.answer),
    )
    if message.failure is not None:
        payload.failure = message.failure.kind.code
        payload.reason = message.failure.reason
    return messages.PeerSend(origin.member, payload)


def refusal(
    member: str,
    forward: peers.StatementForward | peers.OutcomeForward,
    failure: failures.Failure,
) -> messages.PeerSend:
    """Return the refusal of a forward that no owner has received."""
    payload = peers.ForwardAnswer(
        forward.number,
        forward.attempt,
        b'{"outcome":"not_run"}',
        failure.kind.code,
        failure.reason,
    )
    return messages.PeerSend(member, payload)
