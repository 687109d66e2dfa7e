"""Forwards an event stream event by event, and resumes it with another runner's where possible.

A *run* is one runner's response. The client's response consists of one run, or of several runs where each
continues the previous one.
"""

from __future__ import annotations

from ..net.http_server import Exchange
from .answer_parser import AnswerHead
from .errors import StreamMismatchError
from .events import Event, EventSplitter, parse
from .relay import start

VERSIONS = b"versions"


class StreamRelay:
    """The client's response, made of one run or of several consecutive runs.

    The client gets the head of the first run that had an event forwarded. An incomplete event is never
    forwarded, except at the end of a complete response.

    Attributes:
        started: Whether any byte was sent to the client.
        last_id: The id of the last event forwarded.
        version: The version of the model weights; empty if no run stated it.
    """

    def __init__(self, exchange: Exchange) -> None:
        """Creates a relay to the client of `exchange`."""
        self._exchange = exchange
        self._head = AnswerHead()
        self._splitter = EventSplitter()
        self._step: int | None = None  # difference between consecutive ids so far; 0 if it varies
        self._is_framed = False  # whether the run marks its own end, rather than closing
        self._is_resumed = False
        self._ids_increase = True  # whether every event had a higher id than the previous one
        self.started = False
        self.last_id: int | None = None
        self.version = b""

    @property
    def can_resume_elsewhere(self) -> bool:
        """Whether another run can continue where this one ended."""
        return not self.started or (self._ids_increase and self.last_id is not None)

    def begin(self, head: AnswerHead) -> None:
        """Starts a run.

        Raises:
            StreamMismatchError: It uses other weights than the previous run.
        """
        version = head.headers.get(VERSIONS, b"")
        self._splitter = EventSplitter()
        self._is_framed = head.is_framed
        self._is_resumed = self.started
        if not self._is_resumed:
            self._head, self.version = head, version
        elif version and self.version and version != self.version:
            raise StreamMismatchError(
                f"resumed run has weights version {version!r} instead of {self.version!r}"
            )

    def feed(self, data: bytes) -> int:
        """Takes body bytes of the run.

        Returns:
            How many events were forwarded.

        Raises:
            StreamMismatchError: An event does not continue from the last one forwarded.
            EventTooLongError: An event is too long.
        """
        events = self._splitter.feed(data)
        if events:
            self._forward(events)
        return len(events)

    def complete(self) -> None:
        """Completes the response after the end of the run.

        Raises:
            StreamMismatchError: The run ended in the middle of an event.
        """
        rest = self._splitter.rest()
        if rest and not self._is_framed:
            raise StreamMismatchError("the connection was closed in the middle of an event")
        if rest:
            self._forward([parse(rest)])
        elif not self.started:
            self._start()
        self._exchange.end(complete=True)

    def _start(self) -> None:
        self.started = True
        start(self._exchange, self._head, None)

    def _forward(self, events: list[Event]) -> None:
        accepted = []
        try:
            for event in events:
                self._accept(event)
                accepted.append(event.raw)
        finally:
            if accepted:
                if not self.started:
                    self._start()
                self._exchange.send(b"".join(accepted))

    def _accept(self, event: Event) -> None:
        """Records an event; in a resumed run it must continue from the last one without gap or repetition."""
        last, number = self.last_id, event.id
        if number is None and event.is_comment:
            return
        increases = number is not None and (last is None or number > last)
        if self._is_resumed and last is not None and not self._follows(last, number):
            raise StreamMismatchError(f"event {number} does not continue from event {last}")
        if event.version:
            self.version = event.version
        if number is None or not increases:
            self._ids_increase = False
            return
        if last is not None:
            self._step = number - last if self._step in (None, number - last) else 0
        self.last_id = number

    def _follows(self, last: int, number: int | None) -> bool:
        """Whether an event may follow `last`; the final event may hold fewer tokens, hence a smaller step."""
        if number is None or number <= last:
            return False
        return not self._step or number <= last + self._step
