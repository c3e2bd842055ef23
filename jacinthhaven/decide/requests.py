"""Validation of caller requests and their conversion to `work.Work`."""

import hashlib

import msgspec

from jacinthhaven.decide import admission, tokens, transactions, work
from jacinthhaven.kernel import failures
from jacinthhaven.records import callers, peers, presets

MAX_DEADLINE_MS = 60_000
MAX_AGE_MS = 3_600_000
_MAX_REQUEST_ID_CHARS = 128
_FINGERPRINT_BYTES = 12
_BODY_DECODER = msgspec.json.Decoder(callers.StatementRequest)
_OUTCOME_DECODER = msgspec.json.Decoder(callers.OutcomeRequest)


def validation_error(body: callers.StatementRequest) -> str:
    """Return why a statement request is invalid; empty if it is valid."""
    if body.kind not in work.KINDS:
        return f'unknown kind {body.kind!r}'
    if body.priority not in callers.PRIORITIES:
        return f'unknown priority {body.priority!r}'
    if not 0 <= body.deadline_ms <= MAX_DEADLINE_MS:
        return 'deadline_ms is out of range'
    if not 0 <= body.max_age_ms <= MAX_AGE_MS:
        return 'max_age_ms is out of range'
    return _id_error(body)


def outcome_validation_error(body: callers.OutcomeRequest) -> str:
    """Return why an outcome request is invalid; empty if it is valid."""
    if not body.session or not body.request_id:
        return 'session and request_id are required'
    if len(body.request_id) > _MAX_REQUEST_ID_CHARS:
        return 'request_id is too long'
    if not 0 <= body.deadline_ms <= MAX_DEADLINE_MS:
        return 'deadline_ms is out of range'
    return ''


def _id_error(body: callers.StatementRequest) -> str:
    if len(body.request_id) > _MAX_REQUEST_ID_CHARS:
        return 'request_id is too long'
    if (body.kind in work.TRANSACTION_STEPS) != bool(body.transaction):
        return 'transaction is required in its steps and not allowed elsewhere'
    if body.transaction and not transactions.owner_of(body.transaction):
        return 'transaction id is malformed'
    return ''


def request_key(session: str, request_id: str) -> str:
    """Return the idempotency key that the database stores with a change.

    The session is part of the key, so that no caller can obtain the
    recorded result of another caller's request.
    """
    return f'{session}/{request_id}'


def fingerprint(kind: str, statement: msgspec.Raw) -> str:
    """Return a hash of kind and statement, to detect a reused key."""
    digest = hashlib.blake2b(
        bytes(statement),
        digest_size=_FINGERPRINT_BYTES,
        person=kind.encode('ascii'),
    )
    return digest.hexdigest()


def allowed_age_ms(
    body: callers.StatementRequest,
    preset: presets.Preset,
) -> int:
    """Return the maximum age of a read's data in milliseconds.

    A read of history without a limit of its own gets the preset's default.
    """
    if body.max_age_ms or body.priority != callers.HISTORY:
        return body.max_age_ms
    return preset.default_max_age_ms


def statement_work(
    member: str,
    forward: peers.StatementForward,
    preset: presets.Preset,
    now_ms: int,
) -> work.Work | failures.Failure:
    """Return the work for a forwarded statement.

    Args:
      member: Member whose entry forwarded it.
      forward: The forwarded request.
      preset: Preset in force at the owner.
      now_ms: Current time.
    """
    try:
        body = _BODY_DECODER.decode(forward.body)
    except msgspec.MsgspecError as error:
        return failures.BAD_REQUEST.because(str(error))
    job = work.Work(
        work.Origin(member, forward.number, forward.attempt),
        forward.database,
        body.kind,
        body.session,
        now_ms + forward.remaining_ms,
        statement=bytes(body.statement),
        transaction=body.transaction,
        priority=body.priority,
        strict=forward.strict,
    )
    if forward.needed_position:
        job.needed = tokens.Position(
            forward.needed_term,
            forward.needed_position,
        )
    _set_kind(job, body, preset)
    return job


def _set_kind(
    job: work.Work,
    body: callers.StatementRequest,
    preset: presets.Preset,
) -> None:
    if job.kind in {work.WRITE, work.COMMIT}:
        job.request_key = request_key(body.session, body.request_id)
        job.fingerprint = fingerprint(body.kind, body.statement)
    elif job.kind == work.READ and not job.strict:
        job.max_age_ms = allowed_age_ms(body, preset)
        if job.max_age_ms:
            job.lane = admission.REPLICA_LANE


def outcome_work(
    member: str,
    forward: peers.OutcomeForward,
    now_ms: int,
) -> work.Work | failures.Failure:
    """Return the work that determines the outcome of a write.

    Args:
      member: Member whose entry forwarded it.
      forward: The forwarded outcome request.
      now_ms: Current time.
    """
    try:
        body = _OUTCOME_DECODER.decode(forward.body)
    except msgspec.MsgspecError as error:
        return failures.BAD_REQUEST.because(str(error))
    return work.Work(
        work.Origin(member, forward.number, forward.attempt),
        forward.database,
        work.RESOLVE,
        body.session,
        now_ms + forward.remaining_ms,
        request_key=request_key(body.session, body.request_id),
        priority=callers.SETTLEMENT,
    )
