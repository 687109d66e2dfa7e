"""Passes a stream of events on, event by event, and goes on with another runner's where it may."""

from __future__ import annotations

from ..net.http_server import Exchange
from .events import Event, EventSplitter, parse
from .relay import start
from .runner_link import AnswerHead

VERSIONS = b"versions"


class StreamMismatch(Exception):
    """What a run says can't be passed on: it doesn't go on where the first one ended, or it isn't whole."""


class StreamRelay:
    """The client's answer, made of one run or of several that go on from each other.

    The head of the first run whose event was passed on stays. An event that has not ended is never passed on,
    except as the last of a whole answer.
    """

    def __init__(self, exchange: Exchange) -> None:
        self._exchange = exchange
        self._head = AnswerHead()
        self._splitter = EventSplitter()
        self._step: int | None = None  # the distance of any two ids so far; 0: it varies
        self._framed = False  # whether the present run tells its end, and doesn't just close
        self._continues = False  # whether the present run goes on from another one
        self._in_order = True  # whether every event has told an id above the one before it
        self.started = False
        self.last_id: int | None = None  # of the last event passed on
        self.version = b""  # of the weights that made it

    @property
    def can_go_on(self) -> bool:
        """Whether another run can go on where this one ends."""
        return not self.started or (self._in_order and self.last_id is not None)

    def begin(self, head: AnswerHead) -> None:
        """A run's answer begins. Raises StreamMismatch where other weights make it."""
        version = head.headers.get(VERSIONS, b"")
        self._splitter = EventSplitter()
        self._framed = head.framed
        self._continues = self.started
        if not self._continues:
            self._head, self.version = head, version
        elif version and self.version and version != self.version:
            raise StreamMismatch(f"weights of version {version!r} follow those of {self.version!r}")

    def feed(self, data: bytes) -> int:
        """Bytes of the body. Returns how many events have been passed on.

        Raises StreamMismatch and EventTooLong.
        """
        events = self._splitter.feed(data)
        if events:
            self._pass(events)
        return len(events)

    def complete(self) -> None:
        """The answer is whole. Raises StreamMismatch."""
        rest = self._splitter.rest()
        if rest and not self._framed:
            raise StreamMismatch("the connection was closed in the middle of an event")
        if rest:
            self._pass([parse(rest)])
        elif not self.started:
            self._start()
        self._exchange.end(complete=True)

    def _start(self) -> None:
        self.started = True
        start(self._exchange, self._head, None)

    def _pass(self, events: list[Event]) -> None:
        fitting = []
        try:
            for event in events:
                self._check(event)
                fitting.append(event.raw)
        finally:
            if fitting:
                if not self.started:
                    self._start()
                self._exchange.send(b"".join(fitting))

    def _check(self, event: Event) -> None:
        """Notes the event; in a run that goes on from another one it must follow without gap or repeat."""
        last, number = self.last_id, event.id
        if number is None and event.comment:
            return
        rises = number is not None and (last is None or number > last)
        if self._continues and last is not None:
            # The last event may hold fewer tokens than the others, and so be nearer.
            if number is None or not rises or (self._step and number > last + self._step):
                raise StreamMismatch(f"event {number} follows event {last}")
        if event.version:
            self.version = event.version
        if number is None or not rises:
            self._in_order = False
            return
        if last is not None:
            self._step = number - last if self._step in (None, number - last) else 0
        self.last_id = number
