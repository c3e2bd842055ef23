"""Tests of the connections of clients."""

from jacinthhaven.platform import sockets


class FakeStream:
    """Stream whose socket has no more bytes."""

    def __init__(self) -> None:
        self.sock = self
        self.finished = False
        self.reading = True
        self.sent = []

    def recv(self, _count: int, _flags: int) -> bytes:
        """Raise the error of a socket without received bytes."""
        raise BlockingIOError

    def resume(self) -> None:
        """Record that bytes are read."""
        self.reading = True

    def pause(self) -> None:
        """Record that no bytes are read."""
        self.reading = False

    def send(self, chunk: bytes) -> None:
        """Record sent bytes."""
        self.sent.append(chunk)

    def finish(self) -> None:
        """Record the end."""
        self.finished = True


def test_session_is_not_closed_between_pipelined_statements():
    """Guards against statements that came in one packet and are dropped."""
    clients = sockets.ClientSockets(None)
    stream = FakeStream()
    number = clients.adopt(stream)
    answered = []

    def answer(session, statement):
        """Answer, and close as in the last part of a planned stop."""
        answered.append(statement.request_id)
        if not clients.has_more(session):
            clients.close(session)

    clients.on_statement = answer
    stream.on_bytes(b'QUERY a READ k\r\nQUERY b READ k\r\nQUERY c RE')
    assert answered == ['a', 'b']
    assert clients.has_more(number)
    stream.on_bytes(b'AD k\r\n')
    assert answered == ['a', 'b', 'c']
    assert stream.finished


def test_ping_is_answered_beside_a_large_statement():
    """Guards against a relaying node that takes a busy owner for dead."""
    clients = sockets.ClientSockets(None)
    stream = FakeStream()
    clients.adopt(stream)
    delivered = []
    clients.on_statement = lambda _number, known: delivered.append(known)
    stream.on_bytes(b'QUERY a READ '.ljust(300_000, b'k'))
    stream.on_bytes(b'\r\n')
    assert stream.reading
    stream.on_bytes(b'PING\r\n')
    assert stream.sent == [b'PONG\r\n']
    stream.on_bytes(b'QUERY b READ k\r\n')
    assert not stream.reading
    assert [known.request_id for known in delivered] == ['a']
