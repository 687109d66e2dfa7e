"""The transport to boxes that speak HTTP: one request at a time on each kept connection."""

from __future__ import annotations

import json
import socket
from collections import deque
from collections.abc import Sequence
from typing import Any

import httptools
import structlog

from ..core import Attempt, Core, End
from ..core.deadlines import Deadline
from ..core.requests import Reach
from ..interface import Status, WorkerId
from .connection import Connection, connect
from .connection_outcome import ConnectionOutcome, status_of
from .loop import WORKERS, Loop

MAX_RAW = 8192  # of an answer that has not ended
MAX_LINE = 8 * 65536  # of a runner's answer: a result of 64 KiB, escaped as JSON may be
MAX_ANSWER = 4 * MAX_LINE  # of all that it says, with heads and signs of life: one without an end is cut off
PROBE_TIME = 0.3
MAX_REPORT = 4096  # of the body that answers a probe
LAST_CHUNK_TIME = 0.5  # after the line that ends an attempt
IDLE_SHARE, IDLE_MARGIN = 0.8, 1.0  # we close well before the runner's machine does
SETTLE = 0.005  # seconds that a connection must have stood, for a close right after an answer to be seen
DISTRUST = 0.25  # share of its standing time that is still trusted when a kept connection proves dead
REGAIN = 30.0  # seconds in which the trusted time doubles again
# The settings name the report's fields by the simulator's words, the sockets by these.
FIELD = {"rif": "inflight", "q": "queue", "busy": "util", "lat_ms": "latency_ms", "rate": "qps",
         "fail_rate": "eps"}
log = structlog.get_logger()


class RunnerLink:
    """One connection to a runner. The parser's callbacks only note what they see: they must not raise."""

    def __init__(self, pool: Runners, worker: WorkerId, address: tuple[str, int],
                 sock: socket.socket | None = None) -> None:
        self.pool, self.worker, self.address = pool, worker, address
        self.attempt: Attempt | None = None
        self.probe_at = 0.0  # when a probe was sent; 0: none
        self.timer: Deadline | None = None
        self.idle_since = 0.0
        self.stood = 0.0  # how long it had stood idle before its present request; 0: it is new
        self._heard = False  # whether a byte of the present answer has come
        self._keep = False
        self._busy = False  # an answer is still coming in, whether or not its attempt has ended
        self._parser = httptools.HttpResponseParser(self)
        self._headers: dict[bytes, bytes] = {}
        self._body = bytearray()
        self._ending: ConnectionOutcome | None = None
        self._result, self._report = b"", ()  # type: tuple[bytes, Sequence[float]]
        self.raw = bytearray()  # the present answer as it came, while that is no more than MAX_RAW
        self._came = 0  # bytes of it
        self.connection: Connection | ConnectionOutcome = (
            connect(pool.loop, address, self, WORKERS) if sock is None
            else Connection(pool.loop, sock, self, rank=WORKERS))

    def begin(self, attempt: Attempt) -> None:
        self.attempt = attempt
        attempt.carrier = self
        request = attempt.request
        left = max(int(1000 * (request.give_up_at - self.pool.loop.clock.now())), 1)
        host = f"{self.address[0]}:{self.address[1]}".encode()
        key = b"X-Key: %016x\r\n" % request.key if request.key else b""
        # Boxes drop a repeat by this key alone; where clients give none, the job's own name serves.
        keyed = self.pool.core.settings.classes[request.job_class].effect == "keyed"
        once = request.once or (request.unique or request.name if keyed else b"")
        key += b"Idempotency-Key: %b\r\n" % once if once else b""
        self._write(b"POST %b HTTP/1.1\r\nHost: %b\r\nX-Request-Id: %b\r\n%bX-Deadline-Ms: %d\r\n"
                    b"Content-Length: %d\r\n\r\n%b"
                    % (request.target, host, request.name, key, left, len(request.body), request.body))

    def begin_probe(self) -> None:
        self.probe_at = self.pool.loop.clock.now()
        self.time(PROBE_TIME, ConnectionOutcome.SILENT)
        self._write(b"GET /-/load HTTP/1.1\r\nHost: %b:%d\r\n\r\n"
                    % (self.address[0].encode(), self.address[1]))

    def movable(self) -> bool:
        """Whether its attempt has been written whole and all of the answer so far is at hand."""
        return (self.attempt is not None and self.attempt.written and self._ending is None
                and self._came <= MAX_RAW and isinstance(self.connection, Connection)
                and not self.connection.busy())

    def resume(self, attempt: Attempt, answer: bytes) -> None:
        """Goes on with an attempt that another process wrote, of whose answer it had read so much."""
        self.attempt = attempt
        attempt.carrier = self
        self._busy = True
        if answer:
            self.on_data(answer)

    def written(self) -> bool:
        """Whether the last byte of the request has gone to the kernel."""
        return isinstance(self.connection, Connection) and not self.connection.unsent

    def time(self, seconds: float, ending: ConnectionOutcome) -> None:
        self.pool.loop.deadlines.drop(self.timer)
        self.timer = self.pool.loop.deadlines.add(
            self.pool.loop.clock.now() + seconds, lambda: self._over(ending))

    def close(self) -> None:
        self.pool.loop.deadlines.drop(self.timer)
        self.pool.forget(self)
        if isinstance(self.connection, Connection):
            self.connection.close()

    def unsent(self) -> bool:
        """Whether it carries an attempt of which no byte is out."""
        connection = self.connection
        return self.attempt is not None and isinstance(connection, Connection) and connection.connecting

    def withdraw(self) -> None:
        """No byte of its attempt is out, and none shall be: it never ran, and the module decides anew."""
        self.pool.core.counters.withdrawn.inc()
        self._over(ConnectionOutcome.WITHDRAWN)

    def _write(self, data: bytes) -> None:
        self._busy, self._ending, self._result, self._report = True, None, b"", ()
        self._heard = False
        self.raw.clear()
        self._came = 0
        assert isinstance(self.connection, Connection)
        self.connection.write(data)

    def _over(self, ending: ConnectionOutcome) -> None:
        """The connection is of no more use, for this reason."""
        written = self.written()
        if self.stood and self._busy and not self._heard and ending in DEAD:
            self.pool.distrust(self.worker, self.stood)
        self.close()
        self._settle(ending, written)

    def _settle(self, ending: ConnectionOutcome, written: bool = True) -> None:
        attempt, self.attempt = self.attempt, None
        status = status_of(ending, written)
        if self.probe_at:
            latency, self.probe_at = self.pool.loop.clock.now() - self.probe_at, 0.0
            self.pool.core.probed(self.worker, status, latency, self._report)
        elif attempt is not None:
            if ending in UNUSUAL:
                log.warning("runner.ending", box=self.worker.decode("latin-1"), ending=ending.name,
                            request=attempt.request.name.decode("latin-1"))
            self.pool.core.ended(attempt, End(status, self._result, self._report, ending.value))

    # From the connection

    def on_open(self) -> None:
        self.pool.loop.deadlines.drop(self.timer)
        self.timer = None
        # It has taken its time: since the decision its worker may drain, its client or its window be gone.
        if self.attempt is not None and not self.pool.core.may_begin(self.attempt):
            self.withdraw()

    def on_data(self, data: bytes) -> None:
        if not self._busy:
            self._over(ConnectionOutcome.GARBLED)  # an answer that nobody asked for
            return
        self._heard = True
        self._came += len(data)
        if self._came > MAX_ANSWER:
            self._over(self._ending or ConnectionOutcome.GARBLED)
            return
        if self._came <= MAX_RAW:
            self.raw += data
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._over(self._ending or ConnectionOutcome.GARBLED)
            return
        ending = self._ending
        if ending is None:
            return  # the answer goes on
        lost = ending in (ConnectionOutcome.GARBLED, ConnectionOutcome.STRANGER) or not self.written()
        if lost or not (self._busy or self._keep):
            self._over(ending)
        elif not self._busy:
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

    # From the parser

    def on_message_begin(self) -> None:
        self._headers.clear()
        self._body.clear()

    def on_header(self, name: bytes, value: bytes) -> None:
        self._headers[name.lower()] = value.strip(b" \t")  # the parser leaves what stands behind a value

    def on_headers_complete(self) -> None:
        load = self._headers.get(b"x-load")
        if load:
            self._report = self.pool.report_of(
                dict(p.partition("=")[::2] for p in load.decode("latin-1").split(",")))

    def on_body(self, body: bytes) -> None:
        if self._parser.get_status_code() != 200:
            return
        self._body += body
        if self.probe_at:
            if len(self._body) > MAX_REPORT:
                self._ending = ConnectionOutcome.GARBLED
            return
        *lines, rest = self._body.split(b"\n")
        self._body = bytearray(rest)
        for line in lines:
            if line.strip() and self._ending is None:
                self._line(bytes(line))
        if len(self._body) > MAX_LINE:
            self._ending = ConnectionOutcome.GARBLED

    def on_message_complete(self) -> None:
        status = self._parser.get_status_code()
        if status < 200:
            return
        self._busy = False
        self._keep = self._parser.should_keep_alive()  # the parser forgets it after this call
        if self._body.strip() and self._ending is None and status == 200 and not self.probe_at:
            self._line(bytes(self._body))  # a last line without its end
        if self._ending is None:
            never = status in (503, 504) and self._headers.get(b"x-not-run") == b"1"
            if self.probe_at and status == 200:
                self._report = self._report or self.pool.report_in(bytes(self._body))
                of_a_job = b'"state"' in self._body
                self._ending = ConnectionOutcome.STRANGER if of_a_job else ConnectionOutcome.DONE
            elif status == 200:
                # EOF, or a last chunk, without a last line is no answer.
                self._ending = ConnectionOutcome.CUT_SHORT
            else:
                self._ending = ConnectionOutcome.TURNED_AWAY if never else ConnectionOutcome.FAILED

    def _line(self, line: bytes) -> None:
        attempt = self.attempt
        if attempt is None:
            return
        try:
            said: Any = json.loads(line)
            state, name = said["state"], said["id"]
        except (ValueError, KeyError, TypeError):
            self._ending = ConnectionOutcome.GARBLED
            return
        if name != attempt.request.name.decode("latin-1"):
            # A result of another request must never reach this client.
            self._ending = ConnectionOutcome.STRANGER
            return
        if isinstance(said.get("load"), dict):
            self._report = self.pool.report_of(said["load"])
        if state == "started":
            self.pool.core.started(attempt)
        elif state == "running":
            share = said.get("share")
            self.pool.core.progress(attempt, float(share) if isinstance(share, (int, float)) else 0.0)
        elif state == "done":
            result = said.get("result", "")
            self._result = (result if isinstance(result, str) else json.dumps(result)).encode()
            self._ending = ConnectionOutcome.DONE
        else:
            self._ending = {"failed": ConnectionOutcome.FAILED, "returned": ConnectionOutcome.TURNED_AWAY,
                            "lost": ConnectionOutcome.KILLED}.get(state, ConnectionOutcome.GARBLED)


# Without a byte of an answer: it had been closed before the request.
DEAD = (ConnectionOutcome.BROKE, ConnectionOutcome.CUT_SHORT)
UNUSUAL = (ConnectionOutcome.GARBLED, ConnectionOutcome.STRANGER, ConnectionOutcome.NO_SOCKET)


class Runners:
    """Addresses of the boxes, and the kept connections to each, newest last."""

    name = "http"

    def __init__(self, loop: Loop, core: Core, raw_settings: dict[str, Any], cap: int) -> None:
        self.loop, self.core = loop, core
        self.addresses: dict[WorkerId, tuple[str, int]] = {}
        self.idle: dict[WorkerId, deque[RunnerLink]] = {}
        self.links: set[RunnerLink] = set()
        self._capped = False
        self.trusted, self.trusted_at = float("inf"), 0.0  # the standing time that kept connections survive
        self.configure(raw_settings, cap)
        core.on_list.append(self._close_drained)

    def configure(self, raw_settings: dict[str, Any], cap: int) -> None:
        """What the settings say of connections and reports."""
        self.cap = cap
        while len(self.links) > cap and self._close_idlest():
            pass
        allowed = raw_settings.get("allowed", {})
        idle = float(allowed.get("idleClose", 15.0))
        self.idle_time = max(min(IDLE_SHARE * idle, idle - IDLE_MARGIN), 0.1 * idle)
        report = raw_settings.get("report", {})
        self._fields: list[str] = report.get("fields", []) if report.get("via", "silent") != "silent" else []

    def report_of(self, named: dict[str, Any]) -> Sequence[float]:
        """The report's figures in the order of the settings; empty if there is none."""
        try:
            return [float(named.get(FIELD.get(f, f), named.get(f, 0.0))) for f in self._fields]
        except (TypeError, ValueError):
            return ()

    def report_in(self, body: bytes) -> Sequence[float]:
        """The report that is the body of a probe's answer: an object, or written as in the header."""
        try:
            named = json.loads(body)
        except ValueError:
            named = dict(p.strip().partition("=")[::2] for p in body.decode("latin-1").split(","))
        named = named.get("load", named) if isinstance(named, dict) else None
        return self.report_of(named) if isinstance(named, dict) and named else ()

    def locate(self, worker: WorkerId, address: tuple[str, int] | None) -> None:
        """Where a box is now, or that it wants nothing more."""
        if address is None or self.addresses.get(worker) != address:
            for link in list(self.idle.get(worker, ())):
                link.close()
        if address is None:
            self.addresses.pop(worker, None)
        else:
            self.addresses[worker] = address

    def reach(self, worker: WorkerId, job_class: int) -> Reach:
        return Reach.NOW if worker in self.addresses else Reach.NO

    def send(self, attempt: Attempt) -> None:
        effect = self.core.settings.classes[attempt.request.job_class].effect
        link = self._link(attempt.worker, new=effect == "unsafe")
        if isinstance(link, ConnectionOutcome):
            self.core.ended(attempt, End(status_of(link), why=link.value))
        else:
            link.begin(attempt)

    def give_up(self, attempt: Attempt, late: bool) -> Status:
        link: RunnerLink = attempt.carrier
        written = link.written()
        link.attempt = None
        link.close()
        return status_of(ConnectionOutcome.SILENT if late else ConnectionOutcome.GIVEN_UP, written)

    def adopt(self, attempt: Attempt, address: tuple[str, int], sock: socket.socket, answer: bytes) -> None:
        """An attempt that is out on another process's connection."""
        link = RunnerLink(self, attempt.worker, address, sock)
        self.links.add(link)
        link.resume(attempt, answer)

    def probe(self, worker: WorkerId) -> None:
        link = self._link(worker)
        if isinstance(link, ConnectionOutcome):
            self.core.probed(worker, status_of(link), 0.0, ())
        else:
            link.begin_probe()

    def keep(self, link: RunnerLink) -> None:
        link.idle_since = self.loop.clock.now()
        if self.addresses.get(link.worker) != link.address:
            link.close()
            return
        link.time(self._trust(), ConnectionOutcome.IDLE)
        self.idle.setdefault(link.worker, deque()).append(link)

    def forget(self, link: RunnerLink) -> None:
        self.links.discard(link)
        idle = self.idle.get(link.worker)
        if idle is not None and link in idle:
            idle.remove(link)
            if not idle:
                del self.idle[link.worker]

    def close(self) -> None:
        for link in list(self.links):
            link.close()

    def _close_drained(self) -> None:
        """Nothing more is sent to a box that drains: what waits there for its connection goes elsewhere, and
        kept connections only hold descriptors."""
        for link in [x for x in self.links if x.unsent()]:
            moved = link.address != self.addresses.get(link.worker)
            if moved or not self.core.boxes.open_to_work(link.worker):
                link.withdraw()
        for worker, idle in list(self.idle.items()):
            if not self.core.boxes.open_to_work(worker):
                for link in list(idle):
                    link.close()

    def distrust(self, worker: WorkerId, stood: float) -> None:
        """A connection that had stood so long was dead, and nobody had told us."""
        self.trusted, self.trusted_at = DISTRUST * min(stood, self._trust()), self.loop.clock.now()
        self.core.counters.dead.inc()
        log.info("runner.dead_connection", box=worker.decode("latin-1"), stood=round(stood, 3),
                 trusted=round(self.trusted, 3))

    def _trust(self) -> float:
        """How long a connection may have stood and still be used."""
        if self.trusted == float("inf"):
            return self.idle_time
        regained: float = 2.0 ** ((self.loop.clock.now() - self.trusted_at) / REGAIN)
        return min(self.idle_time, max(self.trusted, SETTLE) * regained)

    def _link(self, worker: WorkerId, new: bool = False) -> RunnerLink | ConnectionOutcome:
        """A kept connection, or a new one.

        What is written to a kept one that the runner's machine has closed ends as a reset, after which a job
        that may not be repeated is lost. A new connection costs milliseconds: such a job always gets one.
        """
        idle = self.idle.get(worker)
        now, trust = self.loop.clock.now(), self._trust()
        while idle and now - idle[0].idle_since >= trust:
            idle[0].close()  # the longest idle first; closing takes it out
            idle = self.idle.get(worker)
        if idle and new:
            idle[0].close()  # the new one takes its place
        elif idle:
            for link in [x for x in reversed(idle) if now - x.idle_since >= SETTLE]:
                if not isinstance(link.connection, Connection) or not link.connection.quiet():
                    link.close()  # its end, or a second answer, lies in our socket: its turn has not come yet
                    self.core.counters.stale.inc()
                    continue
                idle.remove(link)
                self.loop.deadlines.drop(link.timer)
                link.timer, link.stood = None, now - link.idle_since
                return link
        address = self.addresses.get(worker)
        if address is None:
            return ConnectionOutcome.NO_WAY
        if len(self.links) >= self.cap and not self._make_room():
            return ConnectionOutcome.NO_SOCKET
        link = RunnerLink(self, worker, address)
        if isinstance(link.connection, ConnectionOutcome):
            return link.connection
        self.links.add(link)
        link.time(self.core.settings.dial_timeout, ConnectionOutcome.NEVER_UP)
        return link

    def _make_room(self) -> bool:
        """Closes the connection that has stood idle longest."""
        self.core.counters.caps.labels("runners").inc()
        if not self._capped:
            self._capped = True
            log.warning("cap.runners", cap=self.cap)
        return self._close_idlest()

    def _close_idlest(self) -> bool:
        oldest = min((q[0] for q in self.idle.values() if q), key=lambda x: x.idle_since, default=None)
        if oldest is not None:
            oldest.close()
        return oldest is not None
