"""One connection to a runner that speaks HTTP: one job or one probe at a time."""

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

PROBE_TIME = 0.3
LAST_CHUNK_TIME = 0.5  # after the line that ends an attempt
# Without a byte of an answer: it had been closed before the request.
DEAD = (ConnectionOutcome.BROKE, ConnectionOutcome.CUT_SHORT)
UNUSUAL = (ConnectionOutcome.GARBLED, ConnectionOutcome.STRANGER, ConnectionOutcome.NO_SOCKET)
log = structlog.get_logger()


class LinkPool(Protocol):
    """What a connection needs of the pool that it belongs to, and what it tells it."""

    loop: Loop
    core: Core
    reports: ReportReader

    def keep(self, link: RunnerLink) -> None:
        """It rests, and may be used again."""

    def forget(self, link: RunnerLink) -> None:
        """It is over."""

    def distrust(self, worker: WorkerId, stood: float) -> None:
        """A connection that had stood so long was dead, and nobody had told us."""


class RunnerLink:
    """One connection to a runner."""

    def __init__(
        self, pool: LinkPool, worker: WorkerId, address: tuple[str, int], sock: socket.socket | None = None
    ) -> None:
        self.pool, self.worker, self.address = pool, worker, address
        self.attempt: Attempt | None = None
        self.probe_at = 0.0  # when a probe was sent; 0: none
        self.timer: Deadline | None = None
        self.idle_since = 0.0
        self.stood = 0.0  # how long it had stood idle before its present request; 0: it is new
        self._answer = AnswerReader(self, pool.reports)
        self.connection: Connection | ConnectionOutcome = (
            connect(pool.loop, address, self, WORKERS)
            if sock is None
            else Connection(pool.loop, sock, self, rank=WORKERS)
        )

    # What it carries

    def begin(self, attempt: Attempt) -> None:
        """Sends an attempt."""
        self._carry(attempt)
        self._write(self._head(attempt.request) + attempt.request.body)

    def begin_probe(self) -> None:
        """Asks for a load report."""
        self.probe_at = self.pool.loop.clock.now()
        self.time(PROBE_TIME, ConnectionOutcome.SILENT)
        self._answer.expect(None)
        self._write(
            b"GET /-/load HTTP/1.1\r\nHost: %b:%d\r\n\r\n" % (self.address[0].encode(), self.address[1])
        )

    def resume(self, attempt: Attempt, answer: bytes) -> None:
        """Goes on with an attempt that another process wrote, of whose answer it had read so much."""
        self._carry(attempt)
        if answer:
            self.on_data(answer)

    def answer_so_far(self) -> bytes:
        """The present answer as it came; whole where `movable`."""
        return bytes(self._answer.raw)

    def movable(self) -> bool:
        """Whether its attempt has been written whole and all of the answer so far is at hand."""
        return (
            self.attempt is not None
            and self.attempt.written
            and self._answer.ending is None
            and self._answer.came <= MAX_RAW
            and isinstance(self.connection, Connection)
            and not self.connection.busy()
        )

    def written(self) -> bool:
        """Whether the last byte of the request has gone to the kernel."""
        return isinstance(self.connection, Connection) and not self.connection.unsent

    def unsent(self) -> bool:
        """Whether it carries an attempt of which no byte is out."""
        connection = self.connection
        return self.attempt is not None and isinstance(connection, Connection) and connection.connecting

    def _carry(self, attempt: Attempt) -> None:
        self.attempt = attempt
        attempt.carrier = self
        self._answer.expect(attempt.request.name)

    def _head(self, request: Request) -> bytes:
        host = f"{self.address[0]}:{self.address[1]}".encode()
        left = max(int(1000 * (request.give_up_at - self.pool.loop.clock.now())), 1)
        key = b"X-Key: %016x\r\n" % request.key if request.key else b""
        # Workers drop a repeat by this key alone; where clients give none, the job's own name serves.
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

    # Its end

    def time(self, seconds: float, ending: ConnectionOutcome) -> None:
        """After so many seconds it is over, for this reason."""
        self.pool.loop.deadlines.drop(self.timer)
        self.timer = self.pool.loop.deadlines.add(
            self.pool.loop.clock.now() + seconds, lambda: self._over(ending)
        )

    def close(self) -> None:
        """It is of no more use. What it carries is not told of it."""
        self.pool.loop.deadlines.drop(self.timer)
        self.pool.forget(self)
        if isinstance(self.connection, Connection):
            self.connection.close()

    def cancel(self) -> bool:
        """Closes it under its attempt, of which nothing more is heard. Returns whether that was written."""
        written = self.written()
        self.attempt = None
        self._answer.disregard()
        self.close()
        return written

    def withdraw(self) -> None:
        """No byte of its attempt is out, and none shall be: it never ran, and the module decides anew."""
        self.pool.core.counters.withdrawn.inc()
        self._over(ConnectionOutcome.WITHDRAWN)

    def _over(self, ending: ConnectionOutcome) -> None:
        """The connection is of no more use, for this reason."""
        written = self.written()
        if self.stood and self._answer.busy and not self._answer.came and ending in DEAD:
            self.pool.distrust(self.worker, self.stood)
        self.close()
        self._settle(ending, written)

    def _settle(self, ending: ConnectionOutcome, written: bool = True) -> None:
        """Tells the core how the attempt or the probe ended."""
        attempt, self.attempt = self.attempt, None
        answer, status = self._answer, status_of(ending, written)
        answer.disregard()
        if self.probe_at:
            latency, self.probe_at = self.pool.loop.clock.now() - self.probe_at, 0.0
            self.pool.core.probed(self.worker, status, latency, answer.report)
        elif attempt is not None:
            if ending in UNUSUAL:
                log.warning(
                    "runner.ending",
                    box=self.worker.decode("latin-1"),
                    ending=ending.name,
                    request=attempt.request.name.decode("latin-1"),
                )
            self.pool.core.ended(attempt, End(status, answer.result, answer.report, ending.value))

    # From the answer

    def on_started(self) -> None:
        if self.attempt is not None:
            self.pool.core.started(self.attempt)

    def on_progress(self, share: float) -> None:
        if self.attempt is not None:
            self.pool.core.progress(self.attempt, share)

    # From the connection

    def on_open(self) -> None:
        self.pool.loop.deadlines.drop(self.timer)
        self.timer = None
        # It has taken its time: since the decision its worker may drain, its client or its window be gone.
        if self.attempt is not None and not self.pool.core.may_start_attempt(self.attempt):
            self.withdraw()

    def on_data(self, data: bytes) -> None:
        answer = self._answer
        if not answer.busy:
            self._over(ConnectionOutcome.GARBLED)  # an answer that nobody asked for
            return
        if not answer.feed(data):
            self._over(answer.ending or ConnectionOutcome.GARBLED)
            return
        ending = answer.ending
        if ending is None:
            return  # the answer goes on
        lost = ending in (ConnectionOutcome.GARBLED, ConnectionOutcome.STRANGER) or not self.written()
        if lost or not (answer.busy or answer.keep):
            self._over(ending)
        elif not answer.busy:
            self.pool.keep(self)  # before the end is told: the next send may want it
            self._settle(ending)
        elif self.attempt is not None:
            self._settle(ending)  # nobody need wait for the last chunk
            self.time(LAST_CHUNK_TIME, ConnectionOutcome.SLOW)

    def on_written(self) -> None:
        if self.attempt is not None:
            self.pool.core.written(self.attempt)

    def on_end(self, ending: ConnectionOutcome) -> None:
        if isinstance(self.connection, Connection) and self.connection.connecting:
            self._over(ending)
        elif ending is ConnectionOutcome.CLOSED:
            self._over(ConnectionOutcome.CUT_SHORT)
        else:
            self._over(ending)
