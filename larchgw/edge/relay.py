"""Forwards a runner's response to the client: buffered if short, otherwise as it is received."""

from __future__ import annotations

from typing import Protocol

from ..net.heads import Fields, end_to_end, reason_phrase
from ..net.http_server import Exchange
from .answer_parser import AnswerHead

BUFFERED_BYTES = 65536  # a shorter response is forwarded once complete, so it can be retried until then


class Relay(Protocol):
    """Forwards a response to the client."""

    started: bool  # whether any byte was sent to the client

    def feed(self, data: bytes) -> int:
        """Takes body bytes. Returns how many were forwarded."""

    def complete(self) -> None:
        """Completes the response."""


class BufferedRelay:
    """Relay of a response that is not an event stream.

    Attributes:
        started: Whether any byte was sent to the client.
    """

    def __init__(self, exchange: Exchange, head: AnswerHead) -> None:
        """Creates a relay of a response with this head to the client of `exchange`."""
        self._exchange, self._head = exchange, head
        self._body = bytearray()
        self.started = False

    def feed(self, data: bytes) -> int:
        """Takes body bytes. Returns how many were forwarded."""
        if self.started:
            self._exchange.send(data)
            return len(data)
        self._body += data
        if len(self._body) <= BUFFERED_BYTES:
            return 0
        self._start(self._head.length)
        return len(self._body)

    def complete(self) -> None:
        """Completes the response."""
        if not self.started:
            bodyless = self._exchange.method == b"HEAD"
            self._start(self._head.length if bodyless else len(self._body))
        self._exchange.end(complete=True)

    def _start(self, length: int | None) -> None:
        self.started = True
        start(self._exchange, self._head, length)
        self._exchange.send(bytes(self._body))


def start(exchange: Exchange, head: AnswerHead, length: int | None) -> None:
    """Starts the response to the client with a runner's head."""
    fields: Fields = end_to_end(head.fields)
    exchange.start(head.status, head.reason or reason_phrase(head.status), fields, length)
