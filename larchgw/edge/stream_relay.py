"""Passes a stream of events on, event by event, and resumes it with another runner's where it may.

A *run* is one runner's answer; the client's answer is made of one run, or of several that go on from each
other.
"""

from __future__ import annotations

from ..net.http_server import Exchange
from .answer_parser import AnswerHead
from .errors import StreamMismatchError
from .events import Event, EventSplitter, parse
from .relay import start

VERSIONS = b"versions"


class StreamRelay:
    """The client's answer, made of one run or of several that go on from each other.

    The head of the first run whose event was passed on stays. An event that has not ended is never passed on,
    except as the last of a complete answer.

    Attributes:
        started: Whether the client has got any byte.
        last_id: Id of the last event passed on.
        version: Of the weights that made it; empty where no run told.
    """

    def __init__(self, exchange: Exchange) -> None:
        """Begins with nothing passed on to the client of `exchange`."""
        self._exchange = exchange
        self._head = AnswerHead()
        self._splitter = EventSplitter()
        self._step: int | None = None  # between any two ids so far; 0: it varies
        self._is_framed = False  # the run tells its end, and does not just close
        self._is_resumed = False
        self._ids_rise = True  # every event had an id above the one before it
        self.started = False
        self.last_id: int | None = None
        self.version = b""

    @property
    def can_resume_elsewhere(self) -> bool:
        """Whether another run can go on where this one ends."""
        return not self.started or (self._ids_rise and self.last_id is not None)

    def begin(self, head: AnswerHead) -> None:
        """A run's answer begins.

        Raises:
            StreamMismatchError: Other weights make it than made the run before.
        """
        version = head.headers.get(VERSIONS, b"")
        self._splitter = EventSplitter()
        self._is_framed = head.is_framed
        self._is_resumed = self.started
        if not self._is_resumed:
            self._head, self.version = head, version
        elif version and self.version and version != self.version:
            raise StreamMismatchError(f"weights of version {version!r} follow those of {self.version!r}")

    def feed(self, data: bytes) -> int:
        """Takes bytes of the body.

        Returns:
            How many events were passed on.

        Raises:
            StreamMismatchError: An event does not follow the last one passed on.
            EventTooLongError: An event is too long.
        """
        events = self._splitter.feed(data)
        if events:
            self._forward(events)
        return len(events)

    def complete(self) -> None:
        """The run's answer is complete.

        Raises:
            StreamMismatchError: It ended in the middle of an event.
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
        fitting = []
        try:
            for event in events:
                self._accept(event)
                fitting.append(event.raw)
        finally:
            if fitting:
                if not self.started:
                    self._start()
                self._exchange.send(b"".join(fitting))

    def _accept(self, event: Event) -> None:
        """Records the event; in a resumed run it must follow the last one without gap or repetition."""
        last, number = self.last_id, event.id
        if number is None and event.is_comment:
            return
        rises = number is not None and (last is None or number > last)
        if self._is_resumed and last is not None and not self._follows(last, number):
            raise StreamMismatchError(f"event {number} follows event {last}")
        if event.version:
            self.version = event.version
        if number is None or not rises:
            self._ids_rise = False
            return
        if last is not None:
            self._step = number - last if self._step in (None, number - last) else 0
        self.last_id = number

    def _follows(self, last: int, number: int | None) -> bool:
        """Whether the event may come after `last`; the final one may hold fewer tokens, and be nearer."""
        if number is None or number <= last:
            return False
        return not self._step or number <= last + self._step
