"""One connection to a runner, which carries one request at a time."""

from __future__ import annotations

from typing import Protocol

from ..net.connection import Connection, connect
from ..net.connection_outcome import ConnectionOutcome
from ..net.loop import WORKERS, EventLoop
from ..net.timers import Deadline
from ..routing.interface import AttemptOutcome
from . import stale_connection
from .answer_parser import AnswerHead, AnswerParser

CONNECT_TIMEOUT_S = 0.3


class CarriedRequest(Protocol):
    """The request that a connection carries. Exactly one of `on_answer_end` and `on_lost` ends it."""

    name: bytes  # its X-Attempt-Id

    def request(self) -> bytes | None:
        """Its bytes, asked for once the connection is up; None if it is not to be sent any more."""

    def on_answer(self, head: AnswerHead) -> None:
        """The head of its answer has come."""

    def on_body(self, data: bytes) -> None:
        """Bytes of the body have come."""

    def on_answer_end(self) -> None:
        """The answer is complete."""

    def on_lost(self, outcome: AttemptOutcome) -> None:
        """There will be no (more) answer."""


class ConnectionOwner(Protocol):
    """The pool that a connection belongs to."""

    loop: EventLoop

    def on_released(self, connection: RunnerConnection, keep_alive_s: float | None) -> None:
        """It is free for the next request; `keep_alive_s` is what the runner advertised in Keep-Alive."""

    def on_closed(self, connection: RunnerConnection) -> None:
        """It is closed."""

    def on_stale(self, connection: RunnerConnection) -> None:
        """It was kept, and proved closed when it was used again, or was closed while it was idle."""


class RunnerConnection:
    """A connection that connects, carries a request, is idle, carries another, and is closed.

    Attributes:
        owner: The pool that is told of its changes.
        address: The runner's host and port.
        idle_since: When it became idle last, in seconds of the loop's clock.
        idle_s: How long it had been idle before its present request.
        is_reused: Whether it has carried a request before its present one.
        connection: The transport, or why there is none.
    """

    def __init__(self, owner: ConnectionOwner, address: tuple[str, int]) -> None:
        """Begins to connect."""
        self.owner, self.address = owner, address
        self.idle_since = 0.0
        self.idle_s = 0.0
        self.is_reused = False
        self._carried: CarriedRequest | None = None
        self._answer = AnswerParser(b"", head_only=False)
        self._head_reported = False
        self._request_bytes = 0  # that were handed to the transport
        self._has_received = False  # whether a byte has come since the request was sent
        self._connect_timer: Deadline | None = None
        self._delivery_timer: Deadline | None = None  # while a long request is carried
        self.connection: Connection | ConnectionOutcome = connect(owner.loop, address, self, WORKERS)
        if isinstance(self.connection, Connection):
            stale_connection.watch_by_kernel(self.connection.sock)
            self.connection.reads_until_empty = False  # each event would cost a second call
            self._connect_timer = owner.loop.deadlines.add(
                owner.loop.clock.now() + CONNECT_TIMEOUT_S, self._on_connect_timeout
            )

    @property
    def is_idle(self) -> bool:
        """Whether it carries nothing."""
        return self._carried is None

    @property
    def is_connecting(self) -> bool:
        """Whether it is not up yet."""
        return isinstance(self.connection, Connection) and self.connection.connecting

    def begin(self, carried: CarriedRequest, head_only: bool) -> None:
        """Sends the request, once the connection is up. `head_only`: the answer has no body (HEAD)."""
        self._carried = carried
        self._has_received = self._head_reported = False
        self._request_bytes = 0
        self._answer = AnswerParser(carried.name, head_only)
        if not self.is_connecting:
            self._write(carried)

    def cancel(self) -> AttemptOutcome:
        """Gives the request up by closing the connection.

        Returns:
            CANCELLED where it may have run, else UNSENT.
        """
        carried, self._carried = self._carried, None
        may_have_run = self._is_sent() and carried is not None
        self.close()
        return AttemptOutcome.CANCELLED if may_have_run else AttemptOutcome.UNSENT

    def pause(self, paused: bool) -> None:
        """Stops reading the answer, or goes on."""
        if isinstance(self.connection, Connection):
            self.connection.pause(paused)

    def close(self) -> None:
        """Closes it; only the owner is told."""
        self.owner.loop.deadlines.cancel(self._connect_timer)
        self.owner.loop.deadlines.cancel(self._delivery_timer)
        if isinstance(self.connection, Connection):
            self.connection.close()
        self.owner.on_closed(self)

    def withdraw_unsent(self) -> bool:
        """Gives the request up as never run, if nothing of it has been sent yet. Returns whether it did."""
        if self._carried is None or not self.is_connecting:
            return False
        self._lose(AttemptOutcome.UNSENT)
        return True

    # Events of the transport

    def on_open(self) -> None:
        """It is up: its request is sent, if it still may be."""
        self.owner.loop.deadlines.cancel(self._connect_timer)
        self._connect_timer = None
        if self._carried is not None:
            self._write(self._carried)

    def on_data(self, data: bytes) -> None:
        """Bytes of an answer came; on an idle connection there should be none."""
        if self._carried is None:
            self.owner.on_stale(self)
            self.close()
            return
        self._has_received = True
        is_answer = self._answer.feed(data)
        self._report(garbled=not is_answer)

    def on_written(self) -> None:
        """All of the request is with the kernel."""

    def on_end(self, ending: ConnectionOutcome) -> None:
        """It broke, was closed or never came up."""
        answer = self._answer
        if self._carried is None:
            self.owner.on_stale(self)
            self.close()
        elif not self._is_sent():
            self._lose(AttemptOutcome.CONNECT_FAILED)
        elif ending is ConnectionOutcome.CLOSED and answer.has_head and not answer.head.is_framed:
            answer.complete_by_close()
            self._report(garbled=False)
        else:
            if self.is_reused and not self._has_received:
                self.owner.on_stale(self)
            self._lose(self._broken())

    def _on_connect_timeout(self) -> None:
        self._connect_timer = None
        self._lose(AttemptOutcome.CONNECT_FAILED)

    # The request

    def _write(self, carried: CarriedRequest) -> None:
        request = carried.request()
        if request is None:
            self._lose(AttemptOutcome.UNSENT)
            return
        assert isinstance(self.connection, Connection)
        self._request_bytes = len(request)
        self.connection.max_unsent = max(self.connection.max_unsent, len(request))
        if self._is_long():
            stale_connection.watch_by_polling(self.connection.sock)
            self._check_delivery_later()
        self.connection.write(request)

    def _is_sent(self) -> bool:
        """Whether any of the request is with the kernel: a runner may run it before a long body's end."""
        return isinstance(self.connection, Connection) and self.connection.unsent < self._request_bytes

    def _is_long(self) -> bool:
        return self._request_bytes > stale_connection.LONG_REQUEST_BYTES

    def _is_delivered(self) -> bool:
        """Whether the runner's machine has all of the request. Its program may read it much later."""
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
        """Until a long request is delivered: its runner may read slowly, but its machine must answer."""
        self._delivery_timer = None
        assert isinstance(self.connection, Connection)
        if stale_connection.is_dead(self.connection.sock):
            self._lose(self._broken())
        elif self._is_delivered():
            self._end_delivery_checks()
        else:
            self._check_delivery_later()

    def _end_delivery_checks(self) -> None:
        """Leaves the watch to the kernel again, if the request was a long one."""
        if self._is_long() and isinstance(self.connection, Connection):
            self.owner.loop.deadlines.cancel(self._delivery_timer)
            self._delivery_timer = None
            stale_connection.watch_by_kernel(self.connection.sock)

    # The answer

    def _report(self, garbled: bool) -> None:
        """Hands on what the parser has recorded. Each call may make the request give the connection up."""
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
            self._lose(AttemptOutcome.GARBLED)

    def _finish(self, carried: CarriedRequest) -> None:
        """The answer is complete: the connection is kept for the next request where that is safe."""
        self._carried = None
        if self._is_reusable():
            self._end_delivery_checks()
            self.pause(False)  # the client reads slowly, but the next request may be another client's
            self.idle_since = self.owner.loop.clock.now()
            self.owner.on_released(self, self._answer.keep_alive_s())
        else:
            self.close()
        carried.on_answer_end()

    def _is_reusable(self) -> bool:
        connection, answer = self.connection, self._answer
        if not isinstance(connection, Connection) or connection.closed or connection.peer_ended:
            return False
        if answer.has_surplus or answer.has_foreign_answer:
            return False
        return answer.keep_alive and self._is_delivered()

    def _broken(self) -> AttemptOutcome:
        return AttemptOutcome.CUT if self._head_reported else AttemptOutcome.RESET

    def _lose(self, outcome: AttemptOutcome) -> None:
        carried, self._carried = self._carried, None
        self.close()
        if carried is not None:
            carried.on_lost(outcome)
