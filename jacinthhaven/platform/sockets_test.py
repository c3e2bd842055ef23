"""Tests of the connections of clients."""

from jacinthhaven.platform import sockets


class FakeStream:
    """Stream whose socket has no more bytes."""

    def __init__(self) -> None:
        self.sock = self
        self.finished = False

    def recv(self, _count: int, _flags: int) -> bytes:
        """Raise the error of a socket without received bytes."""
        raise BlockingIOError

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
