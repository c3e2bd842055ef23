"""Signed session ids and session tokens.

A token lets any proxy guarantee read-your-writes without shared state. The
signature prevents a caller from forging the id of a session that it was not
given, and so from reading the recorded result of another caller's request.
"""

import base64
import binascii
import functools
import hmac
import random

import msgspec

from jacinthhaven.kernel import failures

_SESSION_BYTES = 12
_SESSION_TAG_BYTES = 9
_TOKEN_TAG_BYTES = 15
_BITS_PER_BYTE = 8
_SESSION_CHARS = 28
# Longer than any token of `MAX_DATABASES` databases with long names.
_MAX_TOKEN_CHARS = 4096
# Covers the sessions of a process at the target size, 3,050 connections.
_CACHE_SIZE = 4096
# Bounds the size of a token. The least recently updated databases are
# dropped first, and the token is no longer complete then.
MAX_DATABASES = 32


class Position(msgspec.Struct, array_like=True, frozen=True):
    """Log position of a confirmed write with the term that wrote it."""

    term: int
    position: int


class Token(msgspec.Struct, array_like=True):
    """Newest confirmed writes of a session.

    Attributes:
      session: Session id.
      positions: Position that a read must see, by database name.
      complete: Whether the session is known to have written no other
        database. This is false after an earlier token was lost; a read of
        another database then needs a proof that the term is current.
    """

    session: str
    positions: dict[str, Position] = msgspec.field(default_factory=dict)
    complete: bool = False

    def covers(self, database: str) -> bool:
        """Return whether the session's writes to a database are known."""
        return self.complete or database in self.positions


class Signer:
    """Creates and checks session ids and tokens under the cluster key."""

    def __init__(self, cluster_key: bytes, rng: random.Random) -> None:
        """Derive the keys for session ids and tokens.

        Args:
          cluster_key: Secret shared by all proxies.
          rng: Source of session ids; must be unpredictable in production.
        """
        self.session_key = hmac.digest(cluster_key, b'session', 'sha256')
        self.token_key = hmac.digest(cluster_key, b'token', 'sha256')
        self.rng = rng
        self.encoder = msgspec.msgpack.Encoder()
        self.decoder = msgspec.msgpack.Decoder(Token)
        # A caller sends the same session id and mostly the same token with
        # each request; the caches save two signatures per request.
        self.cached_parse = functools.lru_cache(_CACHE_SIZE)(self._parse)
        self.cached_session = functools.lru_cache(_CACHE_SIZE)(self._valid)

    def new_session(self) -> str:
        """Return a new session id of 28 characters."""
        unique = self.rng.getrandbits(_SESSION_BYTES * _BITS_PER_BYTE)
        raw = unique.to_bytes(_SESSION_BYTES, 'big')
        return _to_text(raw + self._session_tag(raw))

    def open_session(self) -> tuple[str, str]:
        """Return a new session id and its first token.

        The token says that the session has written nothing, so that its
        first reads need no proof of the term.
        """
        session = self.new_session()
        return session, self.sign(Token(session, complete=True))

    def valid_session(self, session: str) -> bool:
        """Return whether the session id was issued under this key."""
        return len(session) == _SESSION_CHARS and self.cached_session(session)

    def sign(self, token: Token) -> str:
        """Return the text form of a token."""
        raw = self.encoder.encode(token)
        return _to_text(self._token_tag(raw) + raw)

    def parse(self, text: str) -> Token | failures.Failure:
        """Return the token, or a `bad_token` failure if it is invalid.

        The token is cached and shared between requests, so it must not be
        modified.
        """
        if len(text) > _MAX_TOKEN_CHARS:
            return failures.BAD_TOKEN.because('token is too long')
        return self.cached_parse(text)

    def _valid(self, session: str) -> bool:
        raw = _from_text(session)
        # The base64 decoder skips characters outside its alphabet, so the
        # text is compared too: the session id becomes part of the request
        # keys that the database stores.
        if (
            _to_text(raw) != session
            or len(raw) != _SESSION_BYTES + _SESSION_TAG_BYTES
        ):
            return False
        unique = raw[:_SESSION_BYTES]
        return hmac.compare_digest(
            raw[_SESSION_BYTES:],
            self._session_tag(unique),
        )

    def _parse(self, text: str) -> Token | failures.Failure:
        raw = _from_text(text)
        body = raw[_TOKEN_TAG_BYTES:]
        if not hmac.compare_digest(
            raw[:_TOKEN_TAG_BYTES],
            self._token_tag(body),
        ):
            return failures.BAD_TOKEN.because('signature does not match')
        try:
            return self.decoder.decode(body)
        except msgspec.MsgspecError:
            return failures.BAD_TOKEN.because('token has an unknown format')

    def _session_tag(self, raw: bytes) -> bytes:
        digest = hmac.digest(self.session_key, raw, 'sha256')
        return digest[:_SESSION_TAG_BYTES]

    def _token_tag(self, raw: bytes) -> bytes:
        return hmac.digest(self.token_key, raw, 'sha256')[:_TOKEN_TAG_BYTES]


def advance(token: Token, database: str, newest: Position) -> Token:
    """Return a token that also covers a newer confirmed position.

    Args:
      token: Previous token of the session.
      database: Name of the database.
      newest: Term and position of a write, or of a read that is proved to
        have seen all earlier writes of the session.
    """
    known = token.positions.get(database)
    if known is not None and _sort_key(known) >= _sort_key(newest):
        return token
    positions = dict(token.positions)
    positions.pop(database, None)
    positions[database] = newest
    complete = token.complete and len(positions) <= MAX_DATABASES
    while len(positions) > MAX_DATABASES:
        positions.pop(next(iter(positions)))
    return Token(token.session, positions, complete)


def _sort_key(position: Position) -> tuple[int, int]:
    return position.term, position.position


def _to_text(raw: bytes) -> str:
    return base64.urlsafe_b64encode(raw).rstrip(b'=').decode('ascii')


def _from_text(text: str) -> bytes:
    try:
        return base64.urlsafe_b64decode(f'{text}=='.encode('ascii'))
    except (binascii.Error, UnicodeEncodeError):
        return b''
