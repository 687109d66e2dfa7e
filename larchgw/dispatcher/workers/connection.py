"""An HTTP connection to a runner, which carries one job or one probe at a time."""

from __future__ import annotations

import socket
from typing import Protocol

import structlog

from ...net.connection import Connection, connect
from ...net.connection_outcome import ConnectionOutcome
from ...net.loop import WORKERS, Loop
from ...net.timers import Deadline
from ..core import Attempt, Core, End, Request
from ..scheduling.interface import WorkerId
from .answer import MAX_RAW, AnswerReader
from .attempt_status import status_of
from .load_report import ReportReader

PROBE_TIMEOUT_S = 0.3
LAST_CHUNK_TIMEOUT_S = 0.5  # to receive the end of the response after its final line
# If no byte of the response was received, the connection had been closed before the request was sent.
STALE_OUTCOMES = (ConnectionOutcome.BROKE, ConnectionOutcome.CUT_SHORT)
LOGGED_OUTCOMES = (ConnectionOutcome.GARBLED, ConnectionOutcome.STRANGER, ConnectionOutcome.NO_SOCKET)
log = structlog.get_logger()


class ConnectionPool(Protocol):
    """The pool that owns a connection: its shared parts and the notifications that it receives."""

    loop: Loop
    core: Core
    reports: ReportReader

    def release(self, link: RunnerConnection) -> None:
        """Takes a connection back that is idle and can be reused."""

    def remove(self, link: RunnerConnection) -> None:
        """Removes a connection that has been closed."""

    def on_stale_connection(self, worker: WorkerId, idle_s: float) -> None:
        """Handles that a connection idle for `idle_s` had been closed without notice."""


class RunnerConnection:
    """A connection to a runner, and the attempt or probe that it carries."""

    def __init__(
        self,
        pool: ConnectionPool,
        worker: WorkerId,
        address: tuple[str, int],
        sock: socket.socket | None = None,
    ) -> None:
        self.pool, self.worker, self.address = pool, worker, address
        self.attempt: Attempt | None = None
        self.probe_at = 0.0  # time at which the pending probe was sent; 0 if there is none
        self.timer: Deadline | None = None
        self.idle_since = 0.0
        self.idle_s = 0.0  # idle time before the current request; 0 for a new connection
        self._answer = AnswerReader(self, pool.reports)
        self.connection: Connection | ConnectionOutcome = (
            connect(pool.loop, address, self, WORKERS)
            if sock is None
            else Connection(pool.loop, sock, self, rank=WORKERS)
        )

    # Requests

    def begin(self, attempt: Attempt) -> None:
        """Sends an attempt."""
        self._set_attempt(attempt)
        self._write(self._request_head(attempt.request) + attempt.request.body)

    def begin_probe(self) -> None:
        """Requests a load report."""
        self.probe_at = self.pool.loop.clock.now()
        self.set_timeout(PROBE_TIMEOUT_S, ConnectionOutcome.SILENT)
        self._answer.expect(None)
        self._write(
            b"GET /-/load HTTP/1.1\r\nHost: %b:%d\r\n\r\n" % (self.address[0].encode(), self.address[1])
        )

    def resume(self, attempt: Attempt, answer: bytes) -> None:
        """Continues an attempt that another process sent; `answer` is what it has read of the response."""
        self._set_attempt(attempt)
        if answer:
            self.on_data(answer)

    def answer_so_far(self) -> bytes:
        """Returns the raw bytes of the current response; complete if `movable`."""
        return bytes(self._answer.raw)

    def movable(self) -> bool:
        """Whether the request is fully written and all response bytes received so far are available."""
        return (
            self.attempt is not None
            and self.attempt.written
            and self._answer.ending is None
            and self._answer.received_bytes <= MAX_RAW
            and isinstance(self.connection, Connection)
            and not self.connection.busy()
        )

    def written(self) -> bool:
        """Whether the last byte of the request has been passed to the kernel."""
        return isinstance(self.connection, Connection) and not self.connection.unsent

    def unsent(self) -> bool:
        """Whether it carries an attempt of which no byte has been sent."""
        connection = self.connection
        return self.attempt is not None and isinstance(connection, Connection) and connection.connecting

    def _set_attempt(self, attempt: Attempt) -> None:
        self.attempt = attempt
        attempt.carrier = self
        self._answer.expect(attempt.request.name)

    def _request_head(self, request: Request) -> bytes:
        host = f"{self.address[0]}:{self.address[1]}".encode()
        left = max(int(1000 * (request.give_up_at - self.pool.loop.clock.now())), 1)
        key = b"X-Key: %016x\r\n" % request.key if request.key else b""
        # Workers detect repeats by this key alone. Without a key from the client, the job's name is used.
        deduplicated = self.pool.core.settings.classes[request.job_class].effect == "deduplicated"
        once = request.idempotency_key or (request.unique or request.name if deduplicated else b"")
        key += b"Idempotency-Key: %b\r\n" % once if once else b""
        return (
            b"POST %b HTTP/1.1\r\nHost: %b\r\nX-Request-Id: %b\r\n%bX-Deadline-Ms: %d\r\n"
            b"Content-Length: %d\r\n\r\n" % (request.target, host, request.name, key, left, len(request.body))
        )

    def _write(self, data: bytes) -> None:
        assert isinstance(self.connection, Connection)
        self.connection.write(data)

    # Closing

    def set_timeout(self, seconds: float, ending: ConnectionOutcome) -> None:
        """Ends the connection with this outcome after `seconds`, in place of an earlier timeout."""
        self.pool.loop.deadlines.cancel(self.timer)
        self.timer = self.pool.loop.deadlines.add(
            self.pool.loop.clock.now() + seconds, lambda: self._end(ending)
        )

    def close(self) -> None:
        """Closes the connection without reporting an outcome for what it carries."""
        self.pool.loop.deadlines.cancel(self.timer)
        self.pool.remove(self)
        if isinstance(self.connection, Connection):
            self.connection.close()

    def cancel(self) -> bool:
        """Closes the connection and drops its attempt without a report. Returns whether it was written."""
        written = self.written()
        self.attempt = None
        self._answer.ignore_rest()
        self.close()
        return written

    def withdraw(self) -> None:
        """Ends an attempt before its first byte is sent: it never ran, and the scheduler decides again."""
        self.pool.core.counters.withdrawn.inc()
        self._end(ConnectionOutcome.WITHDRAWN)

    def _end(self, ending: ConnectionOutcome) -> None:
        """Closes the connection and reports the outcome of what it carried."""
        written = self.written()
        if self.idle_s and self._answer.busy and not self._answer.received_bytes and ending in STALE_OUTCOMES:
            self.pool.on_stale_connection(self.worker, self.idle_s)
        self.close()
        self._report_outcome(ending, written)

    def _report_outcome(self, ending: ConnectionOutcome, written: bool = True) -> None:
        """Reports to the core how the attempt or the probe ended."""
        attempt, self.attempt = self.attempt, None
        answer, status = self._answer, status_of(ending, written)
        answer.ignore_rest()
        if self.probe_at:
            latency, self.probe_at = self.pool.loop.clock.now() - self.probe_at, 0.0
            self.pool.core.probed(self.worker, status, latency, answer.report)
        elif attempt is not None:
            if ending in LOGGED_OUTCOMES:
                log.warning(
                    "runner.ending",
                    box=self.worker.decode("latin-1"),
                    ending=ending.name,
                    request=attempt.request.name.decode("latin-1"),
                )
            self.pool.core.ended(attempt, End(status, answer.result, answer.report, ending.value))

    # Callbacks of the answer reader

    def on_started(self) -> None:
        if self.attempt is not None:
            self.pool.core.started(self.attempt)

    def on_progress(self, share: float) -> None:
        if self.attempt is not None:
            self.pool.core.progress(self.attempt, share)

    # Callbacks of the connection

    def on_open(self) -> None:
        self.pool.loop.deadlines.cancel(self.timer)
        self.timer = None
        # While the connection was being opened, the worker may have begun to drain, the client may have left,
        # or the time window of the attempt may have passed.
        if self.attempt is not None and not self.pool.core.may_start_attempt(self.attempt):
            self.withdraw()

    def on_data(self, data: bytes) -> None:
        answer = self._answer
        if not answer.busy:
            self._end(ConnectionOutcome.GARBLED)  # response without a request
            return
        if not answer.feed(data):
            self._end(answer.ending or ConnectionOutcome.GARBLED)
            return
        ending = answer.ending
        if ending is None:
            return  # the response is incomplete
        lost = ending in (ConnectionOutcome.GARBLED, ConnectionOutcome.STRANGER) or not self.written()
        if lost or not (answer.busy or answer.keep_alive):
            self._end(ending)
        elif not answer.busy:
            self.pool.release(self)  # first, because reporting the end may start a send that can reuse it
            self._report_outcome(ending)
        elif self.attempt is not None:
            self._report_outcome(ending)  # no need to wait for the last chunk
            self.set_timeout(LAST_CHUNK_TIMEOUT_S, ConnectionOutcome.SLOW)

    def on_written(self) -> None:
        if self.attempt is not None:
            self.pool.core.written(self.attempt)

    def on_end(self, ending: ConnectionOutcome) -> None:
        if isinstance(self.connection, Connection) and self.connection.connecting:
            self._end(ending)
        elif ending is ConnectionOutcome.CLOSED:
            self._end(ConnectionOutcome.CUT_SHORT)
        else:
            self._end(ending)
