"""A pool of connections to each runner, with limits on their number and idle time."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Collection, Mapping

import structlog

from ..net.address import parse_address
from ..net.connection import Connect, Connection, connect
from ..net.loop import EventLoop
from ..net.timers import Deadline
from ..runner_directory.runner_record import RunnerRecord, Stage
from .counters import EdgeCounters
from .keep_alive_limit import KeepAliveLimit
from .runner_connection import RunnerConnection, SurplusPlace

MIN_CONNECTIONS = 4  # per runner, however many dispatchers share its limit
MAX_OVERSUBSCRIPTION = 2  # times its share; a dispatcher may exceed it for a while, as load is uneven
EXPIRY_CHECK_INTERVAL_S = 1.0  # between checks for connections that have been idle too long
log = structlog.get_logger()


class _RunnerConnections:
    """The connections to one address of a runner; the idle ones are ordered by when they became idle."""

    __slots__ = ("service", "address", "idle", "open")

    def __init__(self, service: str, address: tuple[str, int]) -> None:
        self.service, self.address = service, address
        self.idle: deque[RunnerConnection] = deque()
        self.open: dict[RunnerConnection, None] = {}  # oldest first


class RunnerPool:
    """The connections of this process to all runners."""

    def __init__(
        self,
        loop: EventLoop,
        counters: EdgeCounters,
        max_open: Callable[[str], int],
        connect: Connect = connect,
    ) -> None:
        """Creates an empty pool.

        Args:
            loop: The event loop of the connections.
            counters: Counts events of the connections.
            max_open: Returns, for a service, this process's share of the connections that one of its runners
                accepts; 0 for no limit.
            connect: Opens the transports.
        """
        self._connect = connect
        self.loop, self._counters, self._max_open = loop, counters, max_open
        self._by_runner: dict[str, _RunnerConnections] = {}
        self._runner_ids: dict[RunnerConnection, str] = {}
        self._opened = 0  # connections so far
        self._keep_alive_limits: dict[str, KeepAliveLimit] = {}  # by service
        self._expiry_timer: Deadline | None = None

    def acquire(
        self, runner: RunnerRecord, idempotent: bool, used: Collection[RunnerConnection] = ()
    ) -> RunnerConnection | None:
        """Returns a connection that can carry a request to the runner; None if there is none.

        Args:
            runner: The runner.
            idempotent: Whether the request may run twice; if not, only a recently used connection is reused.
            used: The connections that have carried the request before. None of them carries it again: a
                runner may repeat an answer late, and all attempts of a request have one id, so that the
                answer to an earlier attempt could not be told from the one to the next.
        """
        try:
            address = parse_address(runner.address)
        except ValueError:
            log.warning("runner.address_invalid", runner=runner.id, address=runner.address)
            return None
        connections = self._by_runner.get(runner.id)
        if connections is None or connections.address != address:
            connections = _RunnerConnections(runner.service, address)
        return self._reuse(connections, idempotent, used) or self._open(runner, connections)

    def runners_changed(self, runners: Mapping[str, RunnerRecord]) -> None:
        """Closes idle connections to runners that accept no more requests, and withdraws unsent requests."""
        for runner_id, connections in list(self._by_runner.items()):
            runner = runners.get(runner_id)
            if runner is not None and runner.stage < Stage.DRAINING:
                continue
            for connection in list(connections.open):
                if connection.is_idle:
                    connection.close()
                else:
                    connection.withdraw_unsent()

    def close(self) -> None:
        """Closes all connections, including those with a request in progress."""
        self.loop.deadlines.cancel(self._expiry_timer)
        for connection in list(self._runner_ids):
            connection.close()

    def count(self) -> int:
        """Returns the number of open connections."""
        return len(self._runner_ids)

    # Called by the connections

    def on_released(self, connection: RunnerConnection, keep_alive_s: float | None) -> None:
        """Keeps the connection for reuse, unless there are too many; see `ConnectionOwner`."""
        runner_id = self._runner_ids.get(connection)
        connections = self._by_runner.get(runner_id) if runner_id is not None else None
        if connections is None:
            connection.close()
            return
        if keep_alive_s is not None:
            self._keep_alive_limit(connections.service).observe_advertised(keep_alive_s)
        share = self._connection_share(connections.service)
        if share and len(connections.open) > share:
            connection.close()
            return
        connections.idle.append(connection)
        if self._expiry_timer is None:
            self._expiry_timer = self.loop.deadlines.add(
                self.loop.clock.now() + EXPIRY_CHECK_INTERVAL_S, self._close_expired
            )

    def on_closed(self, connection: RunnerConnection) -> None:
        """Removes the connection from the pool; see `ConnectionOwner`."""
        runner_id = self._runner_ids.pop(connection, None)
        connections = self._by_runner.get(runner_id) if runner_id is not None else None
        if runner_id is None or connections is None:
            return
        connections.open.pop(connection, None)
        if connection in connections.idle:
            connections.idle.remove(connection)
        if not connections.open:
            del self._by_runner[runner_id]

    def on_stale(self, connection: RunnerConnection) -> None:
        """Adjusts the keep-alive limit of the service; see `ConnectionOwner`."""
        self._counters.connections.labels("died").inc()
        runner_id = self._runner_ids.get(connection)
        connections = self._by_runner.get(runner_id) if runner_id is not None else None
        if connections is None:
            return
        now, keep_alive_limit = self.loop.clock.now(), self._keep_alive_limit(connections.service)
        if connection.is_idle:
            keep_alive_limit.observe_idle_close(now, now - connection.idle_since)
        else:
            keep_alive_limit.observe_stale(now, connection.idle_s)

    def on_surplus(self, place: SurplusPlace) -> None:
        """Counts bytes that belong to no awaited answer; see `ConnectionOwner`."""
        self._counters.surplus_answers.labels(place.value).inc()

    def _keep_alive_limit(self, service: str) -> KeepAliveLimit:
        return self._keep_alive_limits.setdefault(service, KeepAliveLimit())

    def _connection_share(self, service: str) -> int:
        share = self._max_open(service)
        return max(share, MIN_CONNECTIONS) if share else 0

    def _reuse(
        self, connections: _RunnerConnections, idempotent: bool, used: Collection[RunnerConnection]
    ) -> RunnerConnection | None:
        now = self.loop.clock.now()
        limit_s = self._keep_alive_limit(connections.service).limit_s(now, idempotent)
        while (connection := self._newest_idle(connections, used)) is not None:
            idle_s = now - connection.idle_since
            if idle_s > limit_s:
                return None
            connections.idle.remove(connection)
            if isinstance(connection.connection, Connection) and connection.connection.is_reusable():
                connection.idle_s = idle_s
                connection.is_reused = True
                self._counters.connections.labels("reused").inc()
                return connection
            self._counters.connections.labels("stale").inc()
            connection.close()
        return None

    def _newest_idle(
        self, connections: _RunnerConnections, used: Collection[RunnerConnection]
    ) -> RunnerConnection | None:
        for connection in reversed(connections.idle):
            if connection not in used:
                return connection
            self._counters.connections.labels("avoided").inc()
        return None

    def _open(self, runner: RunnerRecord, connections: _RunnerConnections) -> RunnerConnection | None:
        share = self._connection_share(runner.service)
        if share and len(connections.open) >= MAX_OVERSUBSCRIPTION * share:
            if not connections.idle:
                self._counters.connections.labels("limit").inc()
                return None
            connections.idle.popleft().close()
        self._opened += 1
        connection = RunnerConnection(self, connections.address, self._opened, self._connect)
        if not isinstance(connection.connection, Connection):
            self._counters.connections.labels("failed").inc()
            return None
        self._by_runner[runner.id] = connections
        connections.open[connection] = None
        self._runner_ids[connection] = runner.id
        self._counters.connections.labels("opened").inc()
        return connection

    def _close_expired(self) -> None:
        now = self.loop.clock.now()
        has_idle = False
        for connections in list(self._by_runner.values()):
            limit_s = self._keep_alive_limit(connections.service).limit_s(now)
            while connections.idle and now - connections.idle[0].idle_since > limit_s:
                connections.idle[0].close()
            has_idle = has_idle or bool(connections.idle)
        self._expiry_timer = (
            self.loop.deadlines.add(now + EXPIRY_CHECK_INTERVAL_S, self._close_expired) if has_idle else None
        )
