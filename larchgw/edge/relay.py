"""Passes one runner's answer on to the client: buffered where it is short, else as it comes."""

from __future__ import annotations

from typing import Protocol

from ..net.heads import Fields, end_to_end, reason_phrase
from ..net.http_server import Exchange
from .answer_parser import AnswerHead

BUFFERED_BYTES = 65536  # a shorter answer is passed on once it is complete: until then it can be retried


class Relay(Protocol):
    """Takes one answer after the other until one is complete."""

    started: bool  # whether the client has got any byte

    def feed(self, data: bytes) -> int:
        """Bytes of the body. Returns how many have been passed on."""

    def complete(self) -> None:
        """The answer is complete."""


class BufferedRelay:
    """An answer that is no stream of events.

    Attributes:
        started: Whether the client has got any byte.
    """

    def __init__(self, exchange: Exchange, head: AnswerHead) -> None:
        """Begins an answer with this head for the client of `exchange`."""
        self._exchange, self._head = exchange, head
        self._body = bytearray()
        self.started = False

    def feed(self, data: bytes) -> int:
        """Bytes of the body. Returns how many have been passed on."""
        if self.started:
            self._exchange.send(data)
            return len(data)
        self._body += data
        if len(self._body) <= BUFFERED_BYTES:
            return 0
        self._start(self._head.length)
        return len(self._body)

    def complete(self) -> None:
        """The answer is complete."""
        if not self.started:
            bodyless = self._exchange.method == b"HEAD"
            self._start(self._head.length if bodyless else len(self._body))
        self._exchange.end(complete=True)

    def _start(self, length: int | None) -> None:
        self.started = True
        start(self._exchange, self._head, length)
        self._exchange.send(bytes(self._body))


def start(exchange: Exchange, head: AnswerHead, length: int | None) -> None:
    """Begins the client's answer with a runner's head."""
    fields: Fields = end_to_end(head.fields)
    exchange.start(head.status, head.reason or reason_phrase(head.status), fields, length)
