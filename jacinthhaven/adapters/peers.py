"""Peer transport: listener and connections to the other members.

A connection is opened for the first payload to a member and carries
payloads in both directions, whichever side opened it. If both sides open
one at the same time, both remain usable.
"""

import functools
import random
import typing

from jacinthhaven.adapters import (
    listeners,
    peer_codec,
    peer_handshake,
    peer_link,
    poller,
    streams,
    tls,
)
from jacinthhaven.decide import messages
from jacinthhaven.kernel import backoff, failures
from jacinthhaven.ports import peers
from jacinthhaven.records import handshake, topology

# Covers the TCP connect, TLS and the handshake between distant regions.
_HANDSHAKE_TIMEOUT_MS = 2000
# Closes idle connections, since gossip partners are random and their
# connections would accumulate.
_IDLE_LIMIT_MS = 60_000
_IDLE_CHECK_MS = 10_000
# Limit of connections whose handshake is incomplete, so that
# unauthenticated peers cannot hold more sockets until its timeout.
_MAX_HANDSHAKES = 256

BAD_PAYLOAD = failures.Kind('peer_bad_payload', failures.Outcome.NOT_RUN, 0)
TIMED_OUT = failures.Kind('peer_timed_out', failures.Outcome.NOT_RUN, 0)
TOO_LARGE = failures.Kind('peer_too_large', failures.Outcome.NOT_RUN, 0)
TOO_MANY = failures.Kind('peer_too_many', failures.Outcome.NOT_RUN, 0)
REPLACED = failures.Kind('peer_replaced', failures.Outcome.NOT_RUN, 0)


class Peers(peers.PeerTransport):
    """Peer transport over TCP, optionally with TLS."""

    def __init__(
        self,
        loop: poller.Poller,
        hello: handshake.Hello,
        key: bytes,
        rng: random.Random,
        contexts: tls.PeerContexts | None = None,
    ) -> None:
        """Create a transport that does not listen yet.

        Args:
          loop: Poller that watches the sockets.
          hello: Cluster, version, name and boot of this member.
          key: Cluster key.
          rng: Source of the backoff jitter.
          contexts: TLS contexts, or None for plain TCP.
        """
        self.poller = loop
        self.hello = hello
        self.key = key
        self.rng = rng
        self.contexts = contexts
        self.deliver: peers.Deliver = _ignore
        self.on_failure: peers.OnFailure = _ignore
        self.addresses: dict[str, tuple[str, int]] = {}
        self.backoffs: dict[str, backoff.Backoff] = {}
        # Link used for sending to each member, open or connecting.
        self.current: dict[str, peer_link.Link] = {}
        self.links: set[peer_link.Link] = set()
        self.listener: listeners.Listener | None = None
        self.stopped = False

    def listen(self, address: tuple[str, int]) -> int:
        """Start to accept connections.

        Returns:
          The bound TCP port.

        Raises:
          OSError: If the address cannot be bound.
        """
        self.listener = listeners.Listener(
            self.poller,
            address,
            self._on_stream,
            self.contexts and self.contexts.accepting,
        )
        self.poller.call_later(_IDLE_CHECK_MS, self._close_idle)
        return self.listener.port

    def know(self, members: typing.Iterable[topology.Member]) -> None:
        """Replace the addresses of the members."""
        addresses = {
            member.name: (member.host, member.port) for member in members
        }
        for name, address in self.addresses.items():
            if addresses.get(name) != address:
                self.backoffs.pop(name, None)
        self.addresses = addresses

    def send(self, message: messages.PeerSend) -> None:
        """Send a payload; connect first if there is no connection."""
        raw = self._encode(message)
        link = self.current.get(message.member)
        if link is None and raw:
            link = self._connect(message.member)
        if link is None or not raw:
            self._deliver_lost(message.member)
        else:
            link.send(raw)

    def close(self) -> None:
        """Close the listener and all connections without calling back."""
        self.stopped = True
        if self.listener is not None:
            self.listener.close()
        for link in self.links:
            link.close()
        self.links.clear()
        self.current.clear()

    def _encode(self, message: messages.PeerSend) -> bytes:
        try:
            raw = peer_codec.encode(message.payload)
        except peer_codec.BadPayloadError as error:
            self.on_failure(BAD_PAYLOAD.because(str(error)))
            return b''
        if len(raw) > peer_codec.MAX_MESSAGE_BYTES:
            self.on_failure(TOO_LARGE.because(message.member))
            return b''
        return raw

    def _connect(self, member: str) -> peer_link.Link | None:
        address = self.addresses.get(member)
        delay = self.backoffs.get(member)
        now_ms = self.poller.clock.now_ms()
        if address is None or self.stopped:
            return None
        if delay is not None and now_ms < delay.retry_ms:
            return None
        stream = streams.connect(
            self.poller,
            address,
            self.contexts and self.contexts.connecting,
        )
        link = self._add_link(stream, peer_handshake.CONNECTOR, member)
        self.current[member] = link
        return link

    def _on_stream(self, stream: streams.Stream) -> None:
        handshakes_pending = sum(not link.opened for link in self.links)
        if handshakes_pending >= _MAX_HANDSHAKES:
            stream.close()
            self.on_failure(TOO_MANY.because('handshakes'))
        else:
            self._add_link(stream, peer_handshake.ACCEPTOR)

    def _add_link(
        self,
        stream: streams.Stream,
        role: str,
        member: str = '',
    ) -> peer_link.Link:
        handshake_state = peer_handshake.Handshake(role, self.key, self.hello)
        link = peer_link.Link(stream, handshake_state, member)
        link.on_payload = self._on_payload
        link.on_open = self._on_open
        link.on_closed = self._on_closed
        self.links.add(link)
        self.poller.call_later(
            _HANDSHAKE_TIMEOUT_MS,
            functools.partial(self._expire_handshake, link),
        )
        return link

    def _on_payload(self, link: peer_link.Link, payload: typing.Any) -> None:
        self.deliver(messages.PeerReceived(link.member, payload))

    def _on_open(self, link: peer_link.Link) -> None:
        member = link.member
        self.backoffs.pop(member, None)
        for other in tuple(self.links):
            # Connections of an earlier boot are dead: the member restarted.
            if other.opened and other.member == member:
                if other.boot != link.boot:
                    other.fail(REPLACED.because(member))
        # Prefer the newest connection: the other side may have abandoned an
        # older one without this side detecting it.
        self.current[member] = link

    def _on_closed(
        self,
        link: peer_link.Link,
        failure: failures.Failure | None,
    ) -> None:
        self.links.discard(link)
        if failure is not None:
            self.on_failure(failure)
        if not link.opened:
            if not link.member:
                return
            delay = self.backoffs.setdefault(
                link.member,
                backoff.Backoff(self.rng),
            )
            delay.fail(self.poller.clock.now_ms())
        self._replace_current(link)
        self._deliver_lost(link.member)

    def _replace_current(self, link: peer_link.Link) -> None:
        if self.current.get(link.member) is not link:
            return
        self.current.pop(link.member)
        for other in self.links:
            if other.opened and other.member == link.member:
                self.current[link.member] = other
                return

    def _deliver_lost(self, member: str) -> None:
        lost = messages.PeerLost(member)
        self.poller.call_soon(lambda: self.stopped or self.deliver(lost))

    def _expire_handshake(self, link: peer_link.Link) -> None:
        if not link.opened:
            link.fail(TIMED_OUT.because(link.member or 'accepted'))

    def _close_idle(self) -> None:
        if self.stopped:
            return
        limit_ms = self.poller.clock.now_ms() - _IDLE_LIMIT_MS
        for link in tuple(self.links):
            if link.used_ms < limit_ms:
                link.fail(None)
        self.poller.call_later(_IDLE_CHECK_MS, self._close_idle)


def _ignore(*_args: typing.Any) -> None:
    """Do nothing; default of an unset callback."""
