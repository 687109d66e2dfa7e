"""A connection to a runner that carries one request at a time."""

from __future__ import annotations

from collections import deque
from enum import Enum
from typing import Protocol

from ..net.connection import Connect, Connection, connect
from ..net.connection_outcome import ConnectionOutcome
from ..net.loop import WORKERS, EventLoop
from ..net.timers import Deadline
from ..routing.interface import AttemptOutcome
from . import stale_connection
from .answer_parser import AnswerHead, AnswerParser
from .forwarding import SerializedRequest

CONNECT_TIMEOUT_S = 0.3
RECENT_IDS = 4  # of a connection, to tell where a surplus answer belongs


class SurplusPlace(Enum):
    """Where bytes came that belong to no awaited answer. The values are label values of a metric."""

    BEFORE = "before"  # an answer to an earlier request of the connection, while one was awaited
    ELSEWHERE = "elsewhere"  # an answer to a request that the connection has not carried, or long ago
    BEHIND = "behind"  # after a complete answer
    IDLE = "idle"  # while no request was in progress


class CarriedRequest(Protocol):
    """The request that a connection carries. It ends with exactly one of `on_answer_end` and `on_lost`."""

    name: bytes  # its X-Attempt-Id

    def request(self) -> SerializedRequest | None:
        """Returns the request once connected; None if the request must no longer be sent."""

    def on_answer(self, head: AnswerHead) -> None:
        """Called with the head of the response."""

    def on_body(self, data: bytes) -> None:
        """Called with bytes of the response body."""

    def on_answer_end(self) -> None:
        """Called when the response is complete."""

    def on_lost(self, outcome: AttemptOutcome) -> None:
        """Called when no complete response will follow."""


class ConnectionOwner(Protocol):
    """The pool that a connection belongs to."""

    loop: EventLoop

    def on_released(self, connection: RunnerConnection, keep_alive_s: float | None) -> None:
        """Called when the connection can carry another request.

        `keep_alive_s` is the time-out that the runner advertised in `Keep-Alive`, if any.
        """

    def on_closed(self, connection: RunnerConnection) -> None:
        """Called when the connection is closed."""

    def on_stale(self, connection: RunnerConnection) -> None:
        """Called when a kept connection was closed while idle, or was found closed when reused."""

    def on_surplus(self, place: SurplusPlace) -> None:
        """Called when bytes came that belong to no awaited answer."""


class RunnerConnection:
    """A connection that carries one request after another and is idle in between.

    Attributes:
        owner: The pool, notified of state changes.
        number: Its number among the connections of this process, for log lines.
        address: The runner's host and port.
        idle_since: When it last became idle, in seconds of the loop's clock.
        idle_s: How long it had been idle before its current request.
        is_reused: Whether it carried a request before its current one.
        connection: The transport, or the reason why it could not be opened.
    """

    def __init__(
        self,
        owner: ConnectionOwner,
        address: tuple[str, int],
        number: int = 0,
        connect: Connect = connect,
    ) -> None:
        """Starts connecting; `connect` opens the transport."""
        self.owner, self.address, self.number = owner, address, number
        self.idle_since = 0.0
        self.idle_s = 0.0
        self.is_reused = False
        self._carried: CarriedRequest | None = None
        self._answer = AnswerParser(b"", head_only=False)
        self._head_reported = False
        self._request_bytes = 0  # handed to the transport
        self._recent_ids: deque[bytes] = deque(maxlen=RECENT_IDS)  # of the requests carried last
        self._has_received = False  # whether a byte was received since the request was sent
        self._connect_timer: Deadline | None = None
        self._delivery_timer: Deadline | None = None  # set until a long request is delivered
        self.connection: Connection | ConnectionOutcome = connect(owner.loop, address, self, WORKERS)
        if isinstance(self.connection, Connection):
            stale_connection.watch_by_kernel(self.connection.sock)
            self.connection.reads_until_empty = False  # saves a second recv call per event
            self._connect_timer = owner.loop.deadlines.add(
                owner.loop.clock.now() + CONNECT_TIMEOUT_S, self._on_connect_timeout
            )

    @property
    def is_idle(self) -> bool:
        """Whether it carries no request."""
        return self._carried is None

    @property
    def is_connecting(self) -> bool:
        """Whether it is still being established."""
        return isinstance(self.connection, Connection) and self.connection.connecting

    def begin(self, carried: CarriedRequest, head_only: bool) -> None:
        """Sends the request once connected. `head_only`: the response has no body (HEAD)."""
        self._carried = carried
        self._has_received = self._head_reported = False
        self._request_bytes = 0
        self._answer = AnswerParser(carried.name, head_only)
        self._recent_ids.append(carried.name)
        if not self.is_connecting:
            self._write(carried)

    def cancel(self) -> AttemptOutcome:
        """Cancels the request by closing the connection.

        Returns:
            CANCELLED if the request may have run, else UNSENT.
        """
        carried, self._carried = self._carried, None
        may_have_run = self._is_sent() and carried is not None
        self.close()
        return AttemptOutcome.CANCELLED if may_have_run else AttemptOutcome.UNSENT

    def pause(self, paused: bool) -> None:
        """Pauses or resumes reading the response."""
        if isinstance(self.connection, Connection):
            self.connection.pause(paused)

    def close(self) -> None:
        """Closes the connection and notifies the owner, but not the request."""
        self.owner.loop.deadlines.cancel(self._connect_timer)
        self.owner.loop.deadlines.cancel(self._delivery_timer)
        if isinstance(self.connection, Connection):
            self.connection.close()
        self.owner.on_closed(self)

    def withdraw_unsent(self) -> bool:
        """Fails the request as UNSENT if still connecting. Returns whether it did."""
        if self._carried is None or not self.is_connecting:
            return False
        self._fail(AttemptOutcome.UNSENT)
        return True

    # Called by the transport

    def on_open(self) -> None:
        """Sends the request, if it still may be sent."""
        self.owner.loop.deadlines.cancel(self._connect_timer)
        self._connect_timer = None
        if self._carried is not None:
            self._write(self._carried)

    def on_data(self, data: bytes) -> None:
        """Handles received bytes; on an idle connection they make it unusable."""
        if self._carried is None:
            self.owner.on_surplus(SurplusPlace.IDLE)
            self.owner.on_stale(self)
            self.close()
            return
        self._has_received = True
        is_answer = self._answer.feed(data)
        self._report(garbled=not is_answer)

    def on_written(self) -> None:
        """Does nothing: the kernel has taken all of the request."""

    def on_end(self, ending: ConnectionOutcome) -> None:
        """Handles a connection that broke, was closed or could not be established."""
        answer = self._answer
        if self._carried is None:
            self.owner.on_stale(self)
            self.close()
        elif not self._is_sent():
            self._fail(AttemptOutcome.CONNECT_FAILED)
        elif ending is ConnectionOutcome.CLOSED and answer.has_head and not answer.head.is_framed:
            answer.complete_by_close()
            self._report(garbled=False)
        else:
            if self.is_reused and not self._has_received:
                self.owner.on_stale(self)
            self._fail(self._loss_outcome())

    def _on_connect_timeout(self) -> None:
        self._connect_timer = None
        self._fail(AttemptOutcome.CONNECT_FAILED)

    # Sending the request

    def _write(self, carried: CarriedRequest) -> None:
        request = carried.request()
        if request is None:
            self._fail(AttemptOutcome.UNSENT)
            return
        assert isinstance(self.connection, Connection)
        self._request_bytes = len(request)
        self.connection.max_unsent = max(self.connection.max_unsent, len(request))
        if self._is_long():
            stale_connection.watch_by_polling(self.connection.sock)
            self._check_delivery_later()
        self.connection.write(request.head, request.body)

    def _is_sent(self) -> bool:
        """Whether the kernel has any of the request: a runner may run it before it has all of a long body."""
        return isinstance(self.connection, Connection) and self.connection.unsent < self._request_bytes

    def _is_long(self) -> bool:
        return self._request_bytes > stale_connection.LONG_REQUEST_BYTES

    def _is_delivered(self) -> bool:
        """Whether the runner's kernel has acknowledged the request; its process may read it much later."""
        connection = self.connection
        if not isinstance(connection, Connection) or connection.unsent:
            return False
        return not self._is_long() or not stale_connection.undelivered_bytes(connection.sock)

    def _check_delivery_later(self) -> None:
        now = self.owner.loop.clock.now()
        self._delivery_timer = self.owner.loop.deadlines.add(
            now + stale_connection.POLL_S, self._check_delivery
        )

    def _check_delivery(self) -> None:
        """Checks a long request until delivered: the runner may read slowly, but its kernel must respond."""
        self._delivery_timer = None
        assert isinstance(self.connection, Connection)
        if stale_connection.is_dead(self.connection.sock):
            self._fail(self._loss_outcome())
        elif self._is_delivered():
            self._end_delivery_checks()
        else:
            self._check_delivery_later()

    def _end_delivery_checks(self) -> None:
        """Restores the kernel's time-out after a long request."""
        if self._is_long() and isinstance(self.connection, Connection):
            self.owner.loop.deadlines.cancel(self._delivery_timer)
            self._delivery_timer = None
            stale_connection.watch_by_kernel(self.connection.sock)

    # Receiving the response

    def _report(self, garbled: bool) -> None:
        """Passes on what the parser has recorded. The request may cancel itself during any of these calls."""
        carried, answer = self._carried, self._answer
        if carried is None:
            return
        if answer.has_head and not self._head_reported:
            self._head_reported = True
            carried.on_answer(answer.head)
        if self._carried is carried and (body := answer.take_body()):
            carried.on_body(body)
        if self._carried is not carried:
            return
        if answer.is_complete:
            self._finish(carried)
        elif garbled:
            self._fail(AttemptOutcome.GARBLED)

    def _finish(self, carried: CarriedRequest) -> None:
        """Ends the request after a complete response, and keeps the connection where that is safe."""
        self._carried = None
        for foreign_id in self._answer.foreign_ids:
            is_own = foreign_id in self._recent_ids
            self.owner.on_surplus(SurplusPlace.BEFORE if is_own else SurplusPlace.ELSEWHERE)
        if self._answer.has_surplus:
            self.owner.on_surplus(SurplusPlace.BEHIND)
        if self._is_reusable():
            self._end_delivery_checks()
            self.pause(False)  # it was paused for a slow client; the next request may be another client's
            self.idle_since = self.owner.loop.clock.now()
            self.owner.on_released(self, self._answer.keep_alive_s())
        else:
            self.close()
        carried.on_answer_end()

    def _is_reusable(self) -> bool:
        connection, answer = self.connection, self._answer
        if not isinstance(connection, Connection) or connection.closed or connection.peer_ended:
            return False
        if answer.has_surplus or answer.foreign_ids:
            return False
        return answer.keep_alive and self._is_delivered()

    def _loss_outcome(self) -> AttemptOutcome:
        return AttemptOutcome.CUT if self._head_reported else AttemptOutcome.RESET

    def _fail(self, outcome: AttemptOutcome) -> None:
        carried, self._carried = self._carried, None
        self.close()
        if carried is not None:
            carried.on_lost(outcome)
