"""The transport to workers that speak HTTP: one request at a time on each kept connection."""

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
from .connection import RunnerLink
from .load_report import ReportReader

IDLE_CLOSE = 15.0  # seconds after which workers close idle connections, where the settings do not say
log = structlog.get_logger()


class Runners:
    """Addresses of the workers, and the kept connections to each, newest last."""

    name = "http"

    def __init__(self, loop: Loop, core: Core, raw_settings: dict[str, Any], cap: int) -> None:
        self.loop, self.core = loop, core
        self.reports = ReportReader()
        self.addresses: dict[WorkerId, tuple[str, int]] = {}
        self.idle: dict[WorkerId, deque[RunnerLink]] = {}
        self.links: set[RunnerLink] = set()
        self._capped = False
        self._keep_alive = KeepAliveLimit(IDLE_CLOSE)
        self.configure(raw_settings, cap)
        core.list_listeners.append(self._close_drained)

    def configure(self, raw_settings: dict[str, Any], cap: int) -> None:
        """What the settings say of connections and reports."""
        self.cap = cap
        while len(self.links) > cap and self._close_idlest():
            pass
        allowed = raw_settings.get("allowed", {})
        self._keep_alive.configure(float(allowed.get("idleClose", IDLE_CLOSE)))
        self.reports.configure(raw_settings.get("report", {}))

    def locate(self, worker: WorkerId, address: tuple[str, int] | None) -> None:
        """Where a worker is now, or that it wants nothing more."""
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
        link = self._link(attempt.worker, new=effect == "at_most_once")
        if isinstance(link, ConnectionOutcome):
            self.core.ended(attempt, End(status_of(link), why=link.value))
        else:
            link.begin(attempt)

    def give_up(self, attempt: Attempt, late: bool) -> Status:
        link: RunnerLink = attempt.carrier
        written = link.cancel()
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
        link.time(self._keep_alive.limit_s(link.idle_since), ConnectionOutcome.IDLE)
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
        """Nothing more is sent to a worker that drains: what waits there for its connection goes elsewhere,
        and kept connections only hold descriptors."""
        for link in [x for x in self.links if x.unsent()]:
            moved = link.address != self.addresses.get(link.worker)
            if moved or not self.core.workers.takes_work(link.worker):
                link.withdraw()
        for worker, idle in list(self.idle.items()):
            if not self.core.workers.takes_work(worker):
                for link in list(idle):
                    link.close()

    def distrust(self, worker: WorkerId, stood: float) -> None:
        """A connection that had stood so long was dead, and nobody had told us."""
        limit = self._keep_alive.observe_stale(self.loop.clock.now(), stood)
        self.core.counters.dead.inc()
        log.info(
            "runner.dead_connection",
            box=worker.decode("latin-1"),
            stood=round(stood, 3),
            trusted=round(limit, 3),
        )

    def _link(self, worker: WorkerId, new: bool = False) -> RunnerLink | ConnectionOutcome:
        """A kept connection, or a new one.

        What is written to a kept one that the runner's machine has closed ends as a reset, after which a job
        that may not be repeated is lost. A new connection costs milliseconds: such a job always gets one.
        """
        self._close_old(worker)
        idle = self.idle.get(worker)
        if idle and new:
            idle[0].close()  # the new one takes its place
        elif idle and (kept := self._kept(idle)) is not None:
            return kept
        return self._open(worker)

    def _close_old(self, worker: WorkerId) -> None:
        now = self.loop.clock.now()
        limit, idle = self._keep_alive.limit_s(now), self.idle.get(worker)
        while idle and now - idle[0].idle_since >= limit:
            idle[0].close()  # the longest idle first; closing takes it out
            idle = self.idle.get(worker)

    def _kept(self, idle: deque[RunnerLink]) -> RunnerLink | None:
        """The one that rests for the shortest time, of those that are still good."""
        now = self.loop.clock.now()
        for link in [x for x in reversed(idle) if now - x.idle_since >= MIN_IDLE_S]:
            if not isinstance(link.connection, Connection) or not link.connection.is_reusable():
                link.close()  # its end, or a second answer, lies in our socket: its turn has not come yet
                self.core.counters.stale.inc()
                continue
            idle.remove(link)
            self.loop.deadlines.drop(link.timer)
            link.timer, link.stood = None, now - link.idle_since
            return link
        return None

    def _open(self, worker: WorkerId) -> RunnerLink | ConnectionOutcome:
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
