"""Requests that wait for a change or for their timeout."""

import functools
import typing

import msgspec

from jacinthhaven.adapters import http_server, poller
from jacinthhaven.standins import instance_faults

# Answers a request if it can be answered now or must be (the last
# argument), and returns whether it was.
Attempt = typing.Callable[[http_server.Exchange, typing.Any, bool], bool]


class Waiting(msgspec.Struct, eq=False):
    """One waiting request."""

    exchange: http_server.Exchange
    request: typing.Any


class LongPolls:
    """Waiting requests of one kind.

    Attributes:
      waiting: Requests in the order of their arrival.
    """

    def __init__(
        self,
        loop: poller.Poller,
        gate: instance_faults.Gate,
        attempt: Attempt,
    ) -> None:
        """Start without requests.

        Args:
          loop: Poller of the process.
          gate: Gate that holds back the answers.
          attempt: Function that answers a request.
        """
        self.poller = loop
        self.gate = gate
        self.attempt = attempt
        self.waiting: dict[int, Waiting] = {}

    def add(
        self,
        exchange: http_server.Exchange,
        request: typing.Any,
        wait_ms: int,
    ) -> None:
        """Answer a request now, or upon a change or after a time."""
        if self.attempt(exchange, request, False):
            return
        entry = Waiting(exchange, request)
        self.waiting[id(entry)] = entry
        self.poller.call_later(
            wait_ms,
            functools.partial(
                self.gate.run,
                functools.partial(self._expire, entry),
            ),
        )

    def check(self) -> None:
        """Answer the requests that a change affects."""
        if self.gate.closed:
            return
        for number, entry in tuple(self.waiting.items()):
            abandoned = entry.exchange.abandoned
            if abandoned or self.attempt(entry.exchange, entry.request, False):
                self.waiting.pop(number)

    def _expire(self, entry: Waiting) -> None:
        if self.waiting.pop(id(entry), None) is not None:
            self.attempt(entry.exchange, entry.request, True)
