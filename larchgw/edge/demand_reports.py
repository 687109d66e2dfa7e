"""Reports demand to the placer regularly, and immediately when a request needs a model no runner holds."""

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
# From all dispatchers to the single placer, which needs some milliseconds for each report. Many dispatchers
# that report rarely show a change of demand as early as a few that report often.
MAX_REPORTS_PER_S = 100.0
# Per dispatcher. A line has about 80 bytes, so this uses 12 of the 15 KB/s allowed for control traffic.
MAX_LINES_PER_S = 150.0
JITTER = 0.1  # of the interval; spreads the reports of dispatchers that started at the same time
URGENT_INTERVAL_S = 0.02  # minimum time between urgent reports
TIMEOUT_S = 0.5


def report_interval_s(dispatchers: int, has_waiting: bool, lines: int = 0) -> float:
    """Returns the seconds between two reports.

    Args:
        dispatchers: Returns how many dispatchers report to the placer.
        has_waiting: Whether the last report had a waiting request; its end should be reported soon.
        lines: The number of lines of the last report.
    """
    if has_waiting:
        return INTERVAL_S
    return max(INTERVAL_S, dispatchers / MAX_REPORTS_PER_S, lines / MAX_LINES_PER_S)


class DemandReporter:
    """Sends demand reports to the current placer, as named by the registry."""

    def __init__(
        self,
        node_name: str,
        registry: Registry,
        clients: RpcClients,
        demand: Callable[[], list[ModelDemand]],
        dispatchers: Callable[[], int],
        random_source: Random,
    ) -> None:
        """Creates a reporter; `run` sends the reports.

        Args:
            node_name: The name of this process, included in reports.
            registry: Holds the address of the placer.
            clients: RPC clients of the control processes.
            demand: Returns the lines of the next report.
            dispatchers: Returns how many dispatchers report to the placer.
            random_source: Randomizes the report interval.
        """
        self._node_name, self._registry, self._clients, self._demand = node_name, registry, clients, demand
        self._dispatchers, self._random_source = dispatchers, random_source
        self._urgent = asyncio.Event()
        # Of the last report: whether any request waited, and the number of lines.
        self._has_waiting, self._lines = False, 0

    def report_now(self) -> None:
        """Sends a report immediately, for a request that needs a model no runner holds."""
        self._urgent.set()

    async def run(self) -> None:
        """Sends reports until cancelled."""
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
        interval = report_interval_s(self._dispatchers(), self._has_waiting, self._lines)
        return interval * self._random_source.uniform(1.0 - JITTER, 1.0)

    async def _report(self, interval_ms: int) -> None:
        address = known_placer(self._registry).address
        if not address:
            return
        models = self._demand()
        self._has_waiting, self._lines = any(line.waiting > 0 for line in models), len(models)
        if not models:
            return
        report = DemandReport(node_name=self._node_name, interval_ms=interval_ms, models=models)
        try:
            await self._clients.get(address).call("demand", report, TIMEOUT_S)
        except RpcError as error:
            log.info("demand_report.failed", address=address, error=str(error))
