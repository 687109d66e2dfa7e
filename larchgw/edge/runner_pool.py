"""Kept connections to each runner, and how long they may have stood to be used again."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Mapping

import structlog

from ..net.address import parse_address
from ..net.connection import Connection
from ..net.loop import EventLoop
from ..net.timers import Deadline
from ..runner_directory.runner_record import RunnerRecord, Stage
from .counters import EdgeCounters
from .keep_alive_limit import KeepTime
from .runner_link import RunnerLink

LEAST_CONNECTIONS = 4  # to one runner, however many dispatchers share its limit
UNEVEN = 2  # times its part, which a dispatcher may use for a while: clients are not spread evenly
SWEEP_S = 1.0  # between two looks for connections that have stood too long
log = structlog.get_logger()


class _Kept:
    """The connections to one incarnation of a runner, idle ones in the order in which they were freed."""

    __slots__ = ("service", "address", "idle", "open")

    def __init__(self, service: str, address: tuple[str, int]) -> None:
        self.service, self.address = service, address
        self.idle: deque[RunnerLink] = deque()
        self.open: set[RunnerLink] = set()


class RunnerPool:
    """Connections by runner.

    `max_open(service)` tells this process's part of the connections that one runner accepts; 0: no limit.
    """

    def __init__(self, loop: EventLoop, counters: EdgeCounters, max_open: Callable[[str], int]) -> None:
        self.loop, self._counters, self._max_open = loop, counters, max_open
        self._kept: dict[str, _Kept] = {}
        self._owner: dict[RunnerLink, str] = {}
        self._keep_times: dict[str, KeepTime] = {}  # by service
        self._sweep: Deadline | None = None

    def acquire(self, runner: RunnerRecord, once: bool) -> RunnerLink | None:
        """A connection to the runner, free to carry a request; None where none can be had.

        `once`: the request may not run twice, so that only a connection that has just been used will do.
        """
        try:
            address = parse_address(runner.address)
        except ValueError:
            log.warning("runner.address_invalid", runner=runner.id, address=runner.address)
            return None
        kept = self._kept.get(runner.id)
        if kept is None or kept.address != address:
            kept = _Kept(runner.service, address)
        return self._reuse(kept, once) or self._open(runner, kept)

    def runners_changed(self, runners: Mapping[str, RunnerRecord]) -> None:
        """Closes idle connections to runners that take no more requests; what is not sent is withdrawn."""
        for name, kept in list(self._kept.items()):
            runner = runners.get(name)
            if runner is not None and runner.stage < Stage.DRAINING:
                continue
            for link in list(kept.open):
                if link.idle:
                    link.close()
                else:
                    link.withdraw_unsent()

    def close(self) -> None:
        """Closes all connections, whatever they carry."""
        self.loop.deadlines.drop(self._sweep)
        for link in list(self._owner):
            link.close()

    def count(self) -> int:
        """Open connections."""
        return len(self._owner)

    # From connections

    def released(self, link: RunnerLink, keep_s: float | None) -> None:
        """It has carried its request and may carry another."""
        name = self._owner.get(link)
        kept = self._kept.get(name) if name is not None else None
        if kept is None:
            link.close()
            return
        if keep_s is not None:
            self._keep_time(kept.service).told(keep_s)
        part = self._part(kept.service)
        if part and len(kept.open) > part:
            link.close()
            return
        kept.idle.append(link)
        if self._sweep is None:
            self._sweep = self.loop.deadlines.add(self.loop.clock.now() + SWEEP_S, self._close_old)

    def closed(self, link: RunnerLink) -> None:
        """It is over."""
        name = self._owner.pop(link, None)
        kept = self._kept.get(name) if name is not None else None
        if name is None or kept is None:
            return
        kept.open.discard(link)
        if link in kept.idle:
            kept.idle.remove(link)
        if not kept.open:
            del self._kept[name]

    def died(self, link: RunnerLink) -> None:
        """It had been kept and was dead, or was closed while it stood idle."""
        self._counters.connections.labels("died").inc()
        name = self._owner.get(link)
        kept = self._kept.get(name) if name is not None else None
        if kept is None:
            return
        now, keep_time = self.loop.clock.now(), self._keep_time(kept.service)
        if link.idle:
            keep_time.closed_idle(now, now - link.idle_since)
        else:
            keep_time.proved_dead(now, link.idle_for)

    def _keep_time(self, service: str) -> KeepTime:
        return self._keep_times.setdefault(service, KeepTime())

    def _part(self, service: str) -> int:
        part = self._max_open(service)
        return max(part, LEAST_CONNECTIONS) if part else 0

    def _reuse(self, kept: _Kept, once: bool) -> RunnerLink | None:
        now = self.loop.clock.now()
        trusted = self._keep_time(kept.service).limit(now, once)
        while kept.idle:
            link = kept.idle[-1]
            stood = now - link.idle_since
            if stood > trusted:
                return None
            kept.idle.pop()
            if isinstance(link.connection, Connection) and link.connection.quiet():
                link.idle_for = stood
                link.kept = True
                self._counters.connections.labels("reused").inc()
                return link
            self._counters.connections.labels("stale").inc()
            link.close()
        return None

    def _open(self, runner: RunnerRecord, kept: _Kept) -> RunnerLink | None:
        part = self._part(runner.service)
        if part and len(kept.open) >= UNEVEN * part:
            if not kept.idle:
                self._counters.connections.labels("limit").inc()
                return None
            kept.idle.popleft().close()
        link = RunnerLink(self, kept.address)
        if not isinstance(link.connection, Connection):
            self._counters.connections.labels("failed").inc()
            return None
        self._kept[runner.id] = kept
        kept.open.add(link)
        self._owner[link] = runner.id
        self._counters.connections.labels("opened").inc()
        return link

    def _close_old(self) -> None:
        now = self.loop.clock.now()
        some = False
        for kept in list(self._kept.values()):
            limit = self._keep_time(kept.service).limit(now)
            while kept.idle and now - kept.idle[0].idle_since > limit:
                kept.idle[0].close()
            some = some or bool(kept.idle)
        self._sweep = self.loop.deadlines.add(now + SWEEP_S, self._close_old) if some else None
