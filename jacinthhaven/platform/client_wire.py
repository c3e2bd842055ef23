"""Codec of the line protocol between clients and this process."""

import types

from jacinthhaven.platform import words
from jacinthhaven.sql import customer_keys, statements

_VERBS_WITH_ARGUMENTS = types.MappingProxyType(
    {
        'READ': statements.Verb.READ,
        'WRITE': statements.Verb.WRITE,
        'SET': statements.Verb.SET,
        'PREPARE': statements.Verb.PREPARE,
        'EXECUTE': statements.Verb.EXECUTE,
        'DEALLOC': statements.Verb.DEALLOCATE,
    },
)
_VERBS_WITHOUT_ARGUMENTS = types.MappingProxyType(
    {
        'BEGIN': statements.Verb.BEGIN,
        'BEGIN READ': statements.Verb.BEGIN_READ,
        'COMMIT': statements.Verb.COMMIT,
        'ROLLBACK': statements.Verb.ROLLBACK,
    },
)
_PREPARED_KINDS = types.MappingProxyType(
    {
        'READ': statements.Verb.READ,
        'WRITE': statements.Verb.WRITE,
    },
)


def decode_start(line: str) -> tuple[str, str]:
    """Return the database name and the key's digest in a client's START line.

    The key itself is not kept. The digest is '' if the line has no key.

    Raises:
      words.MalformedLineError: If the line is not a valid START line.
    """
    word, _, rest = line.partition(' ')
    database, _, key = rest.partition(' ')
    if word != 'START' or not database:
        raise words.MalformedLineError('expected START and a database name')
    return database, customer_keys.digest(key)


def decode_query(line: str) -> statements.Statement | None:
    """Return the statement in a QUERY line, or None for TERMINATE.

    Raises:
      words.MalformedLineError: If the line is neither of the two.
    """
    word, _, rest = line.partition(' ')
    if word == 'TERMINATE':
        return None
    request_id, _, text = rest.partition(' ')
    if word != 'QUERY' or not request_id:
        raise words.MalformedLineError(
            'expected QUERY and a request ID, or TERMINATE'
        )
    return _decode_statement(request_id, text)


def _decode_statement(request_id: str, text: str) -> statements.Statement:
    word, _, rest = text.partition(' ')
    name, _, argument = rest.partition(' ')
    verb = _parse_verb(word, rest)
    if verb is statements.Verb.PREPARE:
        kind, _, shape = argument.partition(' ')
        if kind in _PREPARED_KINDS and shape:
            argument = f'{_PREPARED_KINDS[kind].value} {shape}'
        else:
            verb = statements.Verb.INVALID
    return statements.Statement(request_id, verb, name, argument, text)


def _parse_verb(word: str, rest: str) -> statements.Verb:
    named = _VERBS_WITH_ARGUMENTS.get(word)
    if named is not None:
        return named if rest.strip() else statements.Verb.INVALID
    return _VERBS_WITHOUT_ARGUMENTS.get(
        f'{word} {rest}'.rstrip(), statements.Verb.INVALID
    )


def encode_answer(answer: statements.Answer) -> bytes:
    """Return the encoded lines of an answer to a client."""
    lines = [f'DATAROW {row}' for row in answer.rows]
    if answer.code is None:
        lines.append(f'COMPLETE {answer.signature}')
    else:
        lines.append(words.error_line(answer.code, answer.detail))
    lines.append(words.ready_line(answer.state, answer.position))
    return words.encode(lines)
