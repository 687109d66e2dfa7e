"""Reports demand to the placer, and at once when a request waits for a model that no runner holds."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from random import Random

import structlog

from ..distribution.placer_entry import known_placer
from ..distribution.registry import Registry
from ..rpc.errors import RpcError
from ..rpc.generated.ttypes import DemandReport, ModelDemand
from ..runtime.rpc_clients import RpcClients

log = structlog.get_logger()
INTERVAL_S = 0.5  # between reports; demand changes within seconds
# Of all dispatchers to the one placer: each report takes it some milliseconds, and many dispatchers show a
# change of demand together as soon as few do that report more often.
MAX_REPORTS_PER_S = 100.0
MAX_LINES_PER_S = 150.0  # of one dispatcher, about 80 bytes each: 12 of the 15 KB/s that control may take
JITTER = 0.1  # of the interval: dispatchers that started together do not report together
URGENT_INTERVAL_S = 0.02  # at least so long between two reports that something waits
TIMEOUT_S = 0.5


def report_interval_s(dispatchers: int, waits: bool, lines: int = 0) -> float:
    """Seconds from a report to the next.

    Args:
        dispatchers: How many report to the placer.
        waits: Whether the report had a request that waits; that it no longer does is reported soon.
        lines: Lines of the report.
    """
    if waits:
        return INTERVAL_S
    return max(INTERVAL_S, dispatchers / MAX_REPORTS_PER_S, lines / MAX_LINES_PER_S)


class DemandReporter:
    """Sends demand reports to the process that the registry names as placer."""

    def __init__(
        self,
        node_name: str,
        registry: Registry,
        clients: RpcClients,
        demand: Callable[[], list[ModelDemand]],
        dispatchers: Callable[[], int],
        random_source: Random,
    ) -> None:
        """Begins without a report sent; `run` sends them.

        Args:
            node_name: This process's name, for the report.
            registry: Names the placer.
            clients: Clients of control processes.
            demand: Gives the lines of the next report.
            dispatchers: How many report to the placer.
            random_source: Spreads reports of dispatchers that started together.
        """
        self._node_name, self._registry, self._clients, self._demand = node_name, registry, clients, demand
        self._dispatchers, self._random_source = dispatchers, random_source
        self._urgent = asyncio.Event()
        self._waits, self._lines = False, 0  # of the last report: whether something waits, and its lines

    def report_now(self) -> None:
        """A request waits for a model that no runner holds."""
        self._urgent.set()

    async def run(self) -> None:
        """Reports until cancelled."""
        loop = asyncio.get_running_loop()
        last = loop.time()
        while True:
            try:
                async with asyncio.timeout(self._interval_s()):
                    await self._urgent.wait()
            except TimeoutError:
                pass
            self._urgent.clear()
            now = loop.time()
            await self._report(round(1000.0 * (now - last)))
            last = now
            await asyncio.sleep(URGENT_INTERVAL_S)

    def _interval_s(self) -> float:
        interval = report_interval_s(self._dispatchers(), self._waits, self._lines)
        return interval * self._random_source.uniform(1.0 - JITTER, 1.0)

    async def _report(self, interval_ms: int) -> None:
        address = known_placer(self._registry).address
        if not address:
            return
        models = self._demand()
        self._waits, self._lines = any(line.waiting > 0 for line in models), len(models)
        if not models:
            return
        report = DemandReport(node_name=self._node_name, interval_ms=interval_ms, models=models)
        try:
            await self._clients.get(address).call("demand", report, TIMEOUT_S)
        except RpcError as error:
            log.info("demand_report.failed", address=address, error=str(error))
