"""Transport to HTTP workers: persistent connections that carry one request at a time."""

from __future__ import annotations

import socket
from collections import deque
from typing import Any

import structlog

from ...net.connection import Connection
from ...net.connection_outcome import ConnectionOutcome
from ...net.keep_alive_limit import MIN_IDLE_S, KeepAliveLimit
from ...net.loop import Loop
from ..core import Attempt, Core, End
from ..core.requests import Reach
from ..scheduling.interface import Status, WorkerId
from .attempt_status import status_of
from .connection import RunnerConnection
from .load_report import ReportReader

DEFAULT_IDLE_CLOSE_S = 15.0  # after which workers close idle connections, unless the settings say otherwise
log = structlog.get_logger()


class RunnerPool:
    """Addresses of the workers and the idle connections to each, most recently used last."""

    name = "http"

    def __init__(self, loop: Loop, core: Core, raw_settings: dict[str, Any], cap: int) -> None:
        self.loop, self.core = loop, core
        self.reports = ReportReader()
        self.addresses: dict[WorkerId, tuple[str, int]] = {}
        self.idle: dict[WorkerId, deque[RunnerConnection]] = {}
        self.links: set[RunnerConnection] = set()
        self._cap_logged = False
        self._keep_alive = KeepAliveLimit(DEFAULT_IDLE_CLOSE_S)
        self.configure(raw_settings, cap)
        core.list_listeners.append(self._close_drained)

    def configure(self, raw_settings: dict[str, Any], cap: int) -> None:
        """Applies the settings for connections and load reports, and the connection limit."""
        self.cap = cap
        while len(self.links) > cap and self._close_longest_idle():
            pass
        allowed = raw_settings.get("allowed", {})
        self._keep_alive.configure(float(allowed.get("idleClose", DEFAULT_IDLE_CLOSE_S)))
        self.reports.configure(raw_settings.get("report", {}))

    def set_address(self, worker: WorkerId, address: tuple[str, int] | None) -> None:
        """Sets a worker's current address; None means that it accepts no more requests."""
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
        link = self._connection_to(attempt.worker, new=effect == "at_most_once")
        if isinstance(link, ConnectionOutcome):
            self.core.ended(attempt, End(status_of(link), why=link.value))
        else:
            link.begin(attempt)

    def give_up(self, attempt: Attempt, late: bool) -> Status:
        link: RunnerConnection = attempt.carrier
        written = link.cancel()
        return status_of(ConnectionOutcome.SILENT if late else ConnectionOutcome.GIVEN_UP, written)

    def adopt(self, attempt: Attempt, address: tuple[str, int], sock: socket.socket, answer: bytes) -> None:
        """Takes over an attempt in flight, with the connection that another process opened for it."""
        link = RunnerConnection(self, attempt.worker, address, sock)
        self.links.add(link)
        link.resume(attempt, answer)

    def probe(self, worker: WorkerId) -> None:
        link = self._connection_to(worker)
        if isinstance(link, ConnectionOutcome):
            self.core.probed(worker, status_of(link), 0.0, ())
        else:
            link.begin_probe()

    def release(self, link: RunnerConnection) -> None:
        link.idle_since = self.loop.clock.now()
        if self.addresses.get(link.worker) != link.address:
            link.close()
            return
        link.set_timeout(self._keep_alive.limit_s(link.idle_since), ConnectionOutcome.IDLE)
        self.idle.setdefault(link.worker, deque()).append(link)

    def remove(self, link: RunnerConnection) -> None:
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
        """Stops sending to draining workers.

        Attempts that still wait for a connection are withdrawn, so that they go to other workers. Idle
        connections are closed because they only occupy descriptors.
        """
        for link in [x for x in self.links if x.unsent()]:
            moved = link.address != self.addresses.get(link.worker)
            if moved or not self.core.workers.takes_work(link.worker):
                link.withdraw()
        for worker, idle in list(self.idle.items()):
            if not self.core.workers.takes_work(worker):
                for link in list(idle):
                    link.close()

    def on_stale_connection(self, worker: WorkerId, idle_s: float) -> None:
        """Lowers the keep-alive limit: a connection idle for `idle_s` had been closed without notice."""
        limit = self._keep_alive.observe_stale(self.loop.clock.now(), idle_s)
        self.core.counters.dead.inc()
        log.info(
            "runner.dead_connection",
            box=worker.decode("latin-1"),
            stood=round(idle_s, 3),
            trusted=round(limit, 3),
        )

    def _connection_to(self, worker: WorkerId, new: bool = False) -> RunnerConnection | ConnectionOutcome:
        """Returns an idle connection or opens a new one.

        A request that is written to an idle connection already closed by the runner's host ends with a reset,
        and an at-most-once job cannot be retried after that. Opening a connection takes only milliseconds, so
        such a job always gets a new one.
        """
        self._close_expired(worker)
        idle = self.idle.get(worker)
        if idle and new:
            idle[0].close()  # keeps the number of connections constant
        elif idle and (kept := self._take_idle(idle)) is not None:
            return kept
        return self._open(worker)

    def _close_expired(self, worker: WorkerId) -> None:
        now = self.loop.clock.now()
        limit, idle = self._keep_alive.limit_s(now), self.idle.get(worker)
        while idle and now - idle[0].idle_since >= limit:
            idle[0].close()  # longest idle first; close() removes it from the queue
            idle = self.idle.get(worker)

    def _take_idle(self, idle: deque[RunnerConnection]) -> RunnerConnection | None:
        """Takes the most recently used connection that is still usable out of the idle queue."""
        now = self.loop.clock.now()
        for link in [x for x in reversed(idle) if now - x.idle_since >= MIN_IDLE_S]:
            if not isinstance(link.connection, Connection) or not link.connection.is_reusable():
                link.close()  # an unread EOF or unexpected data is in the socket buffer
                self.core.counters.stale.inc()
                continue
            idle.remove(link)
            self.loop.deadlines.cancel(link.timer)
            link.timer, link.idle_s = None, now - link.idle_since
            return link
        return None

    def _open(self, worker: WorkerId) -> RunnerConnection | ConnectionOutcome:
        address = self.addresses.get(worker)
        if address is None:
            return ConnectionOutcome.NO_WAY
        if len(self.links) >= self.cap and not self._make_room():
            return ConnectionOutcome.NO_SOCKET
        link = RunnerConnection(self, worker, address)
        if isinstance(link.connection, ConnectionOutcome):
            return link.connection
        self.links.add(link)
        link.set_timeout(self.core.settings.dial_timeout, ConnectionOutcome.NEVER_UP)
        return link

    def _make_room(self) -> bool:
        """Closes the longest-idle connection because the limit is reached. Returns whether there was one."""
        self.core.counters.caps.labels("runners").inc()
        if not self._cap_logged:
            self._cap_logged = True
            log.warning("cap.runners", cap=self.cap)
        return self._close_longest_idle()

    def _close_longest_idle(self) -> bool:
        oldest = min((q[0] for q in self.idle.values() if q), key=lambda x: x.idle_since, default=None)
        if oldest is not None:
            oldest.close()
        return oldest is not None
